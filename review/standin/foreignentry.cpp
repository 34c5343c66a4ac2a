// Another writer puts an entry beside those of the instances, whose text can't be read. Then one
// instance reports draining, serves on for longer than drain_s, and leaves; last, one gateway is
// stopped and started again. With TROUBLE=0 there is no such entry. Exits with 1 if a request
// reaches the instance later than drain_s after its report.
#include "world.h"

#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

// JSON by its grammar, but "\ud800" stands for no character.
constexpr char foreignText[] = R"({"address":"127.0.0.1:9","born":1,"info":{"service":"ledger",)"
                               R"("version":"\ud800","zone":"zone-a","slots":3},"status":)"
                               R"({"state":"ready","sequence":1,"warmup_left_s":0}})";
constexpr double workSeconds = 0.4;
constexpr double drainSeconds = 2.5;
constexpr double serveOnSeconds = 4.5; // after the report, then the instance ends
constexpr double pauseSeconds = 0.1;   // of a caller between two requests
constexpr int deadlineMillis = 3000;
constexpr int callersPerGateway = 3;
constexpr double readySeconds = 10; // for a gateway that starts

std::atomic<bool> isOver { false };
std::atomic<int> succeeded { 0 };
std::atomic<int> cut { 0 }; // may have run, and has no answer

// A caller of one gateway: one unsafe request after the other, each on a new connection.
void callOn(World &world, const Gateway &gateway, const std::string &name)
{
    for (int i = 0; !isOver; ++i) {
        const int socket = connectTo(gateway.port());
        const std::string id = name + '-' + std::to_string(i);
        world.record.line("caller sends " + id + " to " + gateway.id());
        Reader reader(socket);
        Message answer;
        const bool isAnswered = sendAll(socket, requestText("/pay/1", id, deadlineMillis, "POST"))
            && reader.read(&answer);
        close(socket);
        const int status = isAnswered ? answer.status() : 0;
        world.record.line("caller has for " + id + ": " + std::to_string(status));
        (status == 200 ? succeeded : cut) += 1;
        sleepSeconds(pauseSeconds);
    }
}

int run(World &world, bool hasTrouble)
{
    const Json rule = {
        { "name", "r-pay" },
        { "route_type", "unsafe" },
        { "target_latency_s", 1 },
        { "priority", 0 },
        { "public", true },
        { "match", { { "path_prefix", "/pay/" } } },
        { "action", { { "service", "ledger" }, { "timeout_s", 3 }, { "max_attempts", 2 } } }
    };
    const Json cluster = { { "name", "ledger" },
                           { "health_path", "/health" },
                           { "max_conns", 390 },
                           { "warmup_s", 3 },
                           { "cold_per_s", 3.6 } };
    world.configure(Json::array({ rule }), Json::array({ cluster }), Json::array());
    std::vector<Instance *> instances; // for their threads
    for (int i = 0; i < 2; ++i) {
        instances.push_back(new Instance(
            world, { "i-" + std::to_string(i + 1), "ledger", "zone-a", 6, workSeconds }));
        instances.back()->beginBeats();
    }
    const std::map<std::string, std::string> zones = { { "zone-a", "region-a" },
                                                       { "zone-b", "region-b" } };
    Gateway first(world, { "front-1", "region-a", "zone-a" }, zones);
    Gateway second(world, { "front-2", "region-b", "zone-b" }, zones);
    first.start();
    second.start();
    if (!first.waitUntilReady(readySeconds) || !second.waitUntilReady(readySeconds))
        return 2;
    sleepSeconds(5); // both are in touch
    std::vector<std::thread> callers;
    for (const Gateway *gateway : { &first, &second }) {
        for (int i = 0; i < callersPerGateway; ++i) {
            const std::string name = gateway->id() + '-' + static_cast<char>('a' + i);
            callers.emplace_back([&world, gateway, name] { callOn(world, *gateway, name); });
            sleepSeconds(0.08); // so that they don't call in step
        }
    }
    sleepSeconds(2);
    if (hasTrouble) {
        world.store.putForeign("servers", "x-foreign", foreignText);
        world.record.line("another writer puts an entry that can't be read");
    }
    sleepSeconds(4);
    Instance &leaving = *instances.front();
    leaving.drain();
    const double drainedAt = now();
    sleepSeconds(serveOnSeconds);
    leaving.leave();
    sleepSeconds(1);
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    int late = 0;
    for (const double at : leaving.arrivals())
        late += at > drainedAt + drainSeconds ? 1 : 0;
    world.record.line(std::to_string(succeeded) + " requests were served, " + std::to_string(cut)
                      + " were not");
    first.signal(SIGTERM);
    first.waitForEnd(8);
    first.start();
    world.record.line(std::string("front-1, started again, is ")
                      + (first.waitUntilReady(readySeconds) ? "ready" : "not ready after 10 s"));
    if (leaving.arrivals().empty())
        return 2;
    world.record.line(std::to_string(late) + " requests reached i-1 later than 2.5 s after its "
                      + "report");
    if (late == 0)
        return 0;
    world.record.line("DRAIN: a leaving instance still got requests");
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
