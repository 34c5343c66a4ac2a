// FAILBACK: an instance starts again under its id and is cold. Then the store carries out a write
// that its earlier run had sent: stale RECORD.
#include <algorithm>
#include <iostream>
#include <memory>
#include <string>

#include "smallfleet.h"

using namespace review;

namespace {

constexpr Millis coldTime { 3000 };         // warmup_s
constexpr double coldBound = 3.6 * 1.5 + 5; // cold_per_s x cold_overage + cold_slack
constexpr Millis downTime { 500 };
constexpr Millis lateBy { 1000 }; // after it was sent

// The most requests that reached the instance within one second while it was cold.
std::size_t mostInOneSecond(const Instance &instance, Record &record)
{
    std::vector<Clock::time_point> times;
    for (const Arrival &arrival : instance.arrivals()) {
        if (arrival.at >= instance.startedAt() && arrival.at < instance.startedAt() + coldTime)
            times.push_back(arrival.at);
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= Millis(1000))
            ++first;
        most = std::max(most, last - first + 1);
    }
    record.write(instance.place().id + " got " + std::to_string(times.size())
                 + " requests while it was cold, at most " + std::to_string(most) + " in a second");
    return most;
}

int run(const std::string &recordPath)
{
    SmallFleetOptions options;
    options.gateways = 12;
    options.instances = 12;
    options.safeInterval = Millis(10);
    options.unsafeInterval = Millis(100);
    options.safeWork = Millis(640);
    options.unsafeWork = Millis(840);
    SmallFleet fleet(options, recordPath);
    if (!fleet.start())
        return exitCannotRun;
    fleet.beginTraffic();
    fleet.runFor(Millis(8000));
    constexpr std::size_t restarted = 6;
    for (std::size_t i = 0; i < restarted; ++i) {
        Instance &instance = *fleet.instances()[i * 2];
        const Millis at = Millis(4500) * static_cast<int>(i);
        const auto sent = std::make_shared<platform::Json>();
        fleet.at(at, [&instance, sent] {
            *sent = instance.spec();
            instance.crash();
        });
        fleet.at(at + downTime, [&instance] { instance.startAgain(coldTime); });
        if (hasTrouble())
            fleet.at(at + lateBy, [&instance, sent] { instance.writeLate(*sent); });
    }
    fleet.runFor(Millis(4500) * static_cast<int>(restarted) + Millis(1000));
    fleet.endTraffic();
    fleet.runFor(Millis(3200));
    std::size_t most = 0;
    for (std::size_t i = 0; i < restarted; ++i)
        most = std::max(most, mostInOneSecond(*fleet.instances()[i * 2], fleet.record()));
    fleet.report("most requests to a cold instance in one second: " + std::to_string(most)
                 + ", allowed " + std::to_string(coldBound));
    fleet.writeLogs();
    return static_cast<double>(most) > coldBound ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: stale RECORD\n";
        return exitCannotRun;
    }
    return run(argv[1]);
}
