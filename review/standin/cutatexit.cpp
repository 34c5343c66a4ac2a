// A caller behind a link of 26 Mbit/s downloads an answer while its gateway is stopped with
// SIGTERM. With TROUBLE=0 there is no SIGTERM. Exits with 1 if the answer is cut.
#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr double linkBytesPerSecond = 3.2e6;
constexpr std::size_t answerBytes = 16'000'000;
constexpr double workSeconds = 0.2;
constexpr double stopAfterSeconds =
    0.1; // after the request was sent, while its instance is at work
constexpr double graceSeconds = 6;
constexpr int socketBufferBytes = 65536;
constexpr int deadlineMillis = 30'000;

// A link between the caller and the gateway: passes the request on at once, and the answer at
// linkBytesPerSecond. Returns the port at which it takes one connection.
std::uint16_t startLink(std::uint16_t gatewayPort)
{
    const int listener = listenOn(0);
    std::thread([listener, gatewayPort] {
        const int caller = accept(listener, nullptr, nullptr);
        const int gateway = connectTo(gatewayPort);
        setsockopt(gateway, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
        std::thread([caller, gateway] {
            char bytes[4096];
            for (;;) {
                const ssize_t size = recv(caller, bytes, sizeof(bytes), 0);
                if (size <= 0)
                    break;
                sendAll(gateway, std::string(bytes, static_cast<std::size_t>(size)));
            }
            shutdown(gateway, SHUT_WR);
        }).detach();
        char bytes[16384];
        double due = now();
        for (;;) {
            const ssize_t size = recv(gateway, bytes, sizeof(bytes), 0);
            if (size <= 0)
                break;
            due = std::max(due, now()) + static_cast<double>(size) / linkBytesPerSecond;
            sleepSeconds(std::max(0.0, due - now()));
            if (!sendAll(caller, std::string(bytes, static_cast<std::size_t>(size))))
                break;
        }
        close(gateway);
        shutdown(caller, SHUT_RDWR);
    }).detach();
    return portOf(listener);
}

int run(World &world, bool hasTrouble)
{
    const Json rule = {
        { "name", "r-plans" },
        { "route_type", "safe" },
        { "target_latency_s", 3 },
        { "priority", 2 },
        { "public", true },
        { "match", { { "path_prefix", "/plans/" } } },
        { "action", { { "service", "plans" }, { "timeout_s", 30 }, { "max_attempts", 2 } } }
    };
    const Json cluster = { { "name", "plans" },
                           { "health_path", "/health" },
                           { "max_conns", 390 },
                           { "warmup_s", 3 },
                           { "cold_per_s", 3.6 } };
    world.configure(Json::array({ rule }), Json::array({ cluster }), Json::array());
    auto &instance = *new Instance(
        world, { "i-1", "plans", "zone-a", 3, workSeconds, 0, answerBytes }); // for its threads
    instance.beginBeats();
    const std::map<std::string, std::string> zones = { { "zone-a", "region-a" },
                                                       { "zone-b", "region-b" } };
    Gateway first(world, { "front-1", "region-a", "zone-a" }, zones);
    Gateway second(world, { "front-2", "region-b", "zone-b" }, zones);
    first.start();
    second.start();
    if (!first.waitUntilReady(10) || !second.waitUntilReady(10)) {
        world.record.line("a gateway is not ready");
        return 2;
    }
    sleepSeconds(3);
    const int socket = connectTo(startLink(first.port()));
    const double sentAt = now();
    world.record.line("caller sends req-1 to front-1");
    sendAll(socket, requestText("/plans/1", "req-1", deadlineMillis));
    double stoppedAt = 0;
    std::thread stopper([&] {
        sleepSeconds(stopAfterSeconds);
        stoppedAt = now();
        if (hasTrouble) {
            first.signal(SIGTERM);
            if (!first.waitForEnd(graceSeconds + 1))
                first.signal(SIGKILL);
        }
    });
    Reader reader(socket);
    Message answer;
    const bool isComplete = reader.read(&answer);
    const double endedAt = now();
    world.record.line("caller has " + std::to_string(reader.bytesRead()) + " bytes of req-1 after "
                      + std::to_string(endedAt - sentAt) + " s, status "
                      + std::to_string(answer.status()) + (isComplete ? ", complete" : ", cut"));
    stopper.join();
    if (instance.arrivals().size() != 1 || answer.status() != 200) {
        world.record.line("the request did not take the way that the case needs");
        return 2;
    }
    if (isComplete)
        return 0;
    world.record.line("LOST: the connection ended without a complete answer "
                      + std::to_string(endedAt - stoppedAt) + " s after SIGTERM; the request had "
                      + "been passed on and answered by its instance");
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
