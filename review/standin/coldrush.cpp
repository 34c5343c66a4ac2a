// The two instances of a service come back cold, and soon after all gateways are killed and
// started again. With TROUBLE=0 the gateways are not killed. Exits with 1 if a cold instance got
// more requests in one second than the rules allow.
#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr double coldPerSecond = 3.6;
constexpr double coldOverage = 1.5;
constexpr double coldSlack = 5;
constexpr double warmupSeconds = 3;
constexpr double workSeconds = 0.15;
constexpr double killAfterSeconds = 0.8;    // after the instances have come back
constexpr double restartDelaySeconds = 0.2; // of a killed process
constexpr double pauseSeconds = 0.06;       // of a caller between two requests
constexpr int deadlineMillis = 2000;
constexpr int gatewayCount = 12;
constexpr int callersPerGateway = 3;

// A caller of one gateway: one request after the other, each on a new connection.
void callAlways(World &world, const Gateway &gateway, const std::string &name)
{
    for (int i = 0;; ++i) {
        const int socket = connectTo(gateway.port());
        if (socket < 0) {
            sleepSeconds(0.02);
            continue;
        }
        timeval limit = {};
        limit.tv_sec = deadlineMillis / 1000;
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        const std::string id = name + '-' + std::to_string(i);
        world.record.line("caller sends " + id + " to " + gateway.id());
        Reader reader(socket);
        Message answer;
        const bool isAnswered =
            sendAll(socket, requestText("/fund/1", id, deadlineMillis)) && reader.read(&answer);
        close(socket);
        world.record.line("caller has for " + id + ": "
                          + (isAnswered ? std::to_string(answer.status()) : "no answer"));
        sleepSeconds(pauseSeconds);
    }
}

int run(World &world, bool hasTrouble)
{
    const Json rule = { { "name", "r-fund" },
                        { "route_type", "safe" },
                        { "target_latency_s", 0.6 },
                        { "priority", 1 },
                        { "public", true },
                        { "match", { { "path_prefix", "/fund/" } } },
                        { "action",
                          { { "service", "fund" }, { "timeout_s", 2 }, { "max_attempts", 2 } } } };
    const Json cluster = { { "name", "fund" },
                           { "health_path", "/health" },
                           { "max_conns", 390 },
                           { "warmup_s", warmupSeconds },
                           { "cold_per_s", coldPerSecond } };
    world.configure(Json::array({ rule }), Json::array({ cluster }), Json::array());
    const std::map<std::string, std::string> zones = {
        { "east-a", "east" }, { "east-b", "east" },   { "west-a", "west" },
        { "west-b", "west" }, { "south-a", "south" }, { "south-b", "south" },
    };
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < gatewayCount; ++i) {
        auto zone = std::next(zones.begin(), i % static_cast<int>(zones.size()));
        gateways.push_back(std::make_unique<Gateway>(
            world, GatewayOptions { "front-" + std::to_string(i + 1), zone->second, zone->first },
            zones));
    }
    for (const auto &gateway : gateways)
        gateway->start();
    for (const auto &gateway : gateways) {
        if (!gateway->waitUntilReady(15))
            return 2;
    }
    sleepSeconds(4); // the gateways know each other
    for (const auto &gateway : gateways) {
        for (int i = 0; i < callersPerGateway; ++i) {
            const std::string name = gateway->id() + '-' + static_cast<char>('a' + i);
            std::thread([&world, &gateway = *gateway, name] {
                callAlways(world, gateway, name);
            }).detach();
        }
    }
    sleepSeconds(1);
    std::vector<Instance *> instances; // for their threads
    for (const char *zone : { "east-a", "west-a" }) {
        const std::string id = std::string("i-") + zone;
        instances.push_back(
            new Instance(world, { id, "fund", zone, 3, workSeconds, warmupSeconds, 64 }));
        instances.back()->beginBeats();
        world.record.line("instance " + id + " is back, cold for 3 s");
    }
    const double backAt = now();
    sleepSeconds(killAfterSeconds);
    if (hasTrouble) {
        for (const auto &gateway : gateways)
            gateway->signal(SIGKILL);
        for (const auto &gateway : gateways)
            gateway->waitForEnd(1);
        sleepSeconds(restartDelaySeconds);
        for (const auto &gateway : gateways)
            gateway->start();
    }
    sleepSeconds(backAt + warmupSeconds - now());
    const double bound = coldPerSecond * coldOverage + coldSlack;
    std::size_t most = 0;
    std::size_t all = 0;
    for (Instance *instance : instances) {
        std::vector<double> times = instance->arrivals();
        times.erase(std::remove_if(times.begin(), times.end(),
                                   [&](double at) { return at > backAt + warmupSeconds; }),
                    times.end());
        all += times.size();
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1)
                ++first;
            most = std::max(most, last - first + 1);
        }
    }
    world.record.line("a cold instance got at most " + std::to_string(most)
                      + " requests in one second; allowed " + std::to_string(bound));
    if (all == 0)
        return 2;
    if (static_cast<double>(most) <= bound)
        return 0;
    world.record.line("FAILBACK: a cold instance got more requests than allowed");
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    World world(argv[1]);
    finish(world, run(world, trouble == nullptr || std::string(trouble) != "0"));
}
