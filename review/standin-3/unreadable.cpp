// Cases with an entry of another writer among the instances whose bytes can't be read:
// unreadable CASE RECORD, with CASE one of `restart`, `draining`, `copy`.
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "smallfleet.h"

using namespace review;

namespace {

constexpr int listedWorkers = 40;
constexpr std::size_t foreignWriters = 15;

// A list of a status tool that wrote it in another language's notation.
std::string notJson(int sequence)
{
    std::string text = "[";
    for (int i = 0; i < listedWorkers; ++i) {
        text += i == 0 ? "" : ", ";
        text +=
            "{'worker': " + std::to_string(i) + ", 'load': " + std::to_string(sequence % 7) + "}";
    }
    return text + "]";
}

// RECOVER: an entry of another writer is there when all processes are killed.
int runRestart(const std::string &recordPath)
{
    SmallFleet fleet({}, recordPath);
    if (!fleet.start())
        return exitCannotRun;
    fleet.beginTraffic();
    const auto from = Clock::now();
    fleet.runFor(Millis(4000));
    if (hasTrouble()) {
        fleet.store().putBytes("servers", "agent-1", notJson(1));
        fleet.report("another writer has written servers/agent-1, whose value can't be read");
    }
    fleet.runFor(Millis(6000));
    const auto killedAt = Clock::now();
    for (const auto &gateway : fleet.gateways())
        gateway->signal(SIGKILL);
    fleet.runFor(Millis(1100));
    for (const auto &gateway : fleet.gateways()) {
        if (gateway->isAlive() || !gateway->launch())
            return exitCannotRun;
    }
    const auto backAt = Clock::now();
    fleet.runFor(recoverTime + Millis(8000));
    fleet.endTraffic();
    const auto endAt = Clock::now();
    fleet.runFor(Millis(3200));
    const auto [sentBefore, servedBefore] = fleet.servedBetween(from, killedAt);
    const auto [sentAfter, servedAfter] = fleet.servedBetween(backAt + recoverTime, endAt);
    fleet.report("before the final fault: " + std::to_string(servedBefore) + " of "
                 + std::to_string(sentBefore) + " served");
    fleet.report("sent later than recover_s after the machines are back: "
                 + std::to_string(servedAfter) + " of " + std::to_string(sentAfter) + " served");
    fleet.writeLogs();
    if (sentBefore == 0 || sentAfter == 0 || servedBefore * 4 < sentBefore)
        return exitCannotRun;
    return servedAfter * 4 < sentAfter ? exitBroken : exitHeld;
}

// Requests that reach an instance later than drain_s after the store acknowledged that it leaves,
// sent on by machines that `isInTouch` holds for.
std::size_t countLate(SmallFleet &fleet, const Instance &instance,
                      const std::function<bool(std::size_t, Clock::time_point)> &isInTouch)
{
    std::map<std::string, std::size_t> gatewayOf;
    for (const Request &request : fleet.requests())
        gatewayOf[request.id] = request.gateway;
    std::size_t late = 0;
    for (const Arrival &arrival : instance.arrivals()) {
        if (!arrival.isRun || !instance.leavingAt()
            || arrival.at <= *instance.leavingAt() + drainTime
            || !isInTouch(gatewayOf[arrival.requestId], arrival.at))
            continue;
        ++late;
        if (late <= 3) {
            const auto after =
                std::chrono::duration_cast<Millis>(arrival.at - *instance.leavingAt());
            fleet.report(arrival.requestId + " reaches " + instance.place().id + " "
                         + std::to_string(after.count()) + " ms after the acknowledgement, from "
                         + fleet.gateways()[gatewayOf[arrival.requestId]]->name());
        }
    }
    return late;
}

// DRAIN: another writer's entries change as often as instances write theirs, while instances drain.
int runDraining(const std::string &recordPath)
{
    SmallFleet fleet({}, recordPath);
    if (!fleet.start())
        return exitCannotRun;
    fleet.beginTraffic();
    fleet.runFor(contactTime + Millis(2000));
    int sequence = 0;
    if (hasTrouble()) {
        fleet.report("another writer begins to write servers/load-agent-1 to -"
                     + std::to_string(foreignWriters) + ", whose values can't be read");
        fleet.every(heartbeat / foreignWriters, [&] {
            const std::string name = "load-agent-" + std::to_string(1 + sequence % foreignWriters);
            fleet.store().putBytes("servers", name, notJson(++sequence));
        });
    }
    fleet.runFor(Millis(3000));
    constexpr std::size_t leaving = 4;
    for (std::size_t i = 0; i < leaving; ++i) {
        Instance &instance = *fleet.instances()[i];
        fleet.at(Millis(700) * static_cast<int>(i), [&instance] { instance.drain(); });
        fleet.at(Millis(700) * static_cast<int>(i) + Millis(9000),
                 [&instance] { instance.exit(); });
    }
    fleet.runFor(Millis(700) * static_cast<int>(leaving) + Millis(10'000));
    fleet.endTraffic();
    fleet.runFor(Millis(3200));
    std::size_t late = 0;
    for (std::size_t i = 0; i < leaving; ++i)
        late += countLate(fleet, *fleet.instances()[i], [](std::size_t, auto) { return true; });
    std::size_t cut = 0;
    for (const Request &request : fleet.requests())
        cut += request.isUnsafe && (request.status == 0 || request.status == 502) ? 1 : 0;
    fleet.report(std::to_string(late) + " requests reached a draining instance later than drain_s");
    fleet.report(std::to_string(cut) + " requests of the unsafe route ended with 502 or no answer");
    fleet.writeLogs();
    return late > 0 ? exitBroken : exitHeld;
}

// DRAIN: the value that can't be read is a copy of the list of instances that was cut short. An
// instance of it leaves, then a machine is restarted.
int runCopy(const std::string &recordPath)
{
    SmallFleet fleet({}, recordPath);
    if (!fleet.start())
        return exitCannotRun;
    fleet.beginTraffic();
    fleet.runFor(contactTime + Millis(1000));
    if (hasTrouble()) {
        std::string copy = "{\"items\":[";
        for (const auto &instance : fleet.instances())
            copy += instance->entryText() + ',';
        fleet.store().putBytes("servers", "agent-1", copy.substr(0, copy.size() - 40));
        fleet.report("another writer has written servers/agent-1: a copy of the list, cut short");
    }
    fleet.runFor(Millis(1000));
    Instance &leaving = *fleet.instances()[3]; // in the zone of the machine that is restarted
    leaving.removeEntry();
    fleet.runFor(Millis(300));
    GatewayMachine &machine = *fleet.gateways()[0];
    machine.signal(SIGTERM);
    while (machine.isAlive())
        fleet.runFor(Millis(50));
    if (!machine.launch())
        return exitCannotRun;
    const auto startedAt = Clock::now();
    fleet.runFor(contactTime + Millis(8000));
    leaving.exit();
    fleet.endTraffic();
    fleet.runFor(Millis(3200));
    const std::size_t late =
        countLate(fleet, leaving, [&](std::size_t gateway, Clock::time_point at) {
            return gateway != 0 || at > startedAt + contactTime;
        });
    fleet.report(std::to_string(late) + " requests reached a gone instance later than drain_s");
    fleet.writeLogs();
    return late > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: unreadable restart|draining|copy RECORD\n";
        return exitCannotRun;
    }
    const std::map<std::string, std::function<int(const std::string &)>> cases = {
        { "restart", runRestart }, { "draining", runDraining }, { "copy", runCopy }
    };
    const auto found = cases.find(argv[1]);
    return found == cases.end() ? exitCannotRun : found->second(argv[2]);
}
