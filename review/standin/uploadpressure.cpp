// Many callers upload pictures over slow links while the operator takes a key away. With
// TROUBLE=0 nobody uploads. Exits with 1 if a request with the key that was taken away runs
// later than config_apply_s after the store accepted the configuration.
#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr int routes = 350;
constexpr int largeUploads = 85;
constexpr std::size_t largeBytes = 350'000;
constexpr int smallUploads = 40;
constexpr std::size_t smallBytes = 33'000;
constexpr double uploadSeconds = 25; // 112 kbit/s for a large one
constexpr double changeAfterSeconds = 6;
constexpr double configApplySeconds = 2.5;
constexpr double askSeconds = 6; // with the key that was taken away
constexpr double pauseSeconds = 0.25;
constexpr int deadlineMillis = 60'000;

std::atomic<bool> isOver { false };

std::string withKey(const std::string &request, const std::string &key)
{
    return request.substr(0, request.size() - 2) + "Authorization: Bearer " + key + "\r\n\r\n";
}

// One upload over a slow link; a refused one is tried again as Retry-After says.
void upload(World &world, const Gateway &gateway, const std::string &name, std::size_t bytes)
{
    for (int i = 0; !isOver; ++i) {
        const std::string id = name + '-' + std::to_string(i);
        const int socket = connectTo(gateway.port());
        std::string head = withKey(requestText("/up/1", id, deadlineMillis, "POST"), "key-one");
        const std::string none = "Content-Length: 0";
        head.replace(head.find(none), none.size(), "Content-Length: " + std::to_string(bytes));
        sendAll(socket, head);
        constexpr double step = 0.5;
        const auto part =
            static_cast<std::size_t>(static_cast<double>(bytes) * step / uploadSeconds);
        bool isRefused = false;
        for (std::size_t sent = 0; sent < bytes && !isRefused && !isOver; sent += part) {
            sendAll(socket, std::string(std::min(part, bytes - sent), 'p'));
            timeval limit = {};
            limit.tv_usec = static_cast<suseconds_t>(step * 1e6);
            setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
            char byte = 0;
            isRefused = recv(socket, &byte, 1, MSG_PEEK) > 0;
        }
        if (isRefused) {
            Reader reader(socket);
            Message answer;
            reader.read(&answer);
            world.record.line("uploader has for " + id + ": " + std::to_string(answer.status()));
        }
        close(socket);
        if (!isRefused)
            return;
        sleepSeconds(1);
    }
}

Json rulesOf()
{
    Json rules = Json::array();
    for (int i = 0; i < routes; ++i) {
        const bool isUpload = i == 0;
        const std::string path = isUpload ? "/up/" : "/r" + std::to_string(100 + i) + '/';
        rules.push_back({ { "name", "r-" + std::to_string(100000 + i) },
                          { "route_type", isUpload ? "upload" : "safe" },
                          { "target_latency_s", 0.5 },
                          { "priority", 2 },
                          { "public", false },
                          { "sticky", false },
                          { "match", { { "path_prefix", path } } },
                          { "action",
                            { { "backends",
                                Json::array({ { { "service", "pictures" }, { "weight", 90 } },
                                              { { "service", "reports" }, { "weight", 10 } } }) },
                              { "timeout_s", 60 },
                              { "max_attempts", 2 },
                              { "allowed_regions", Json::array() } } } });
    }
    return rules;
}

Json clustersOf()
{
    Json clusters = Json::array();
    for (const char *name : { "pictures", "reports" })
        clusters.push_back({ { "name", name },
                             { "health_path", "/health" },
                             { "max_conns", 390 },
                             { "warmup_s", 3 },
                             { "cold_per_s", 11 } });
    return clusters;
}

Json tenantsOf(const std::vector<std::string> &keys)
{
    return Json::array({ { { "name", "club" },
                           { "api_keys", keys },
                           { "priority", 1 },
                           { "rate_per_s", 0 },
                           { "allowed_regions", Json::array() } } });
}

int run(World &world, bool hasTrouble)
{
    world.configure(rulesOf(), clustersOf(), tenantsOf({ "key-one", "key-two" }));
    for (const char *service : { "pictures", "reports" }) {
        for (int i = 0; i < 2; ++i) {
            // For its threads.
            auto *instance = new Instance(
                world, { std::string(service) + std::to_string(i), service, "zone-a", 4 });
            instance->beginBeats();
        }
    }
    const std::map<std::string, std::string> zones = { { "zone-a", "region-a" },
                                                       { "zone-b", "region-b" } };
    Gateway first(world, { "front-1", "region-a", "zone-a" }, zones);
    Gateway second(world, { "front-2", "region-b", "zone-b" }, zones);
    first.start();
    second.start();
    if (!first.waitUntilReady(10) || !second.waitUntilReady(10))
        return 2;
    sleepSeconds(5); // both are in touch
    std::vector<std::thread> uploaders;
    if (hasTrouble) {
        world.record.line(std::to_string(largeUploads + smallUploads)
                          + " callers begin to upload to front-1");
        for (int i = 0; i < largeUploads + smallUploads; ++i) {
            const std::size_t bytes = i < largeUploads ? largeBytes : smallBytes;
            uploaders.emplace_back([&world, &first, i, bytes] {
                upload(world, first, "up-" + std::to_string(i), bytes);
            });
        }
    }
    sleepSeconds(changeAfterSeconds);
    world.configure(rulesOf(), clustersOf(), tenantsOf({ "key-one" }));
    const double acceptedAt = now();
    world.record.line("the store has accepted a configuration without key-two");
    sleepSeconds(configApplySeconds + 0.1);
    int ran = 0;
    int refused = 0;
    for (int i = 0; now() < acceptedAt + configApplySeconds + askSeconds; ++i) {
        for (const Gateway *gateway : { &first, &second }) {
            const std::string id = gateway->id() + "-ask-" + std::to_string(i);
            const int socket = connectTo(gateway->port());
            sendAll(socket, withKey(requestText("/r150/1", id, 2000), "key-two"));
            Reader reader(socket);
            Message answer;
            const int status = reader.read(&answer) ? answer.status() : 0;
            close(socket);
            world.record.line("caller has for " + id + " with key-two: " + std::to_string(status));
            ran += status == 200 ? 1 : 0;
            refused += status == 401 ? 1 : 0;
        }
        sleepSeconds(pauseSeconds);
    }
    isOver = true;
    for (std::thread &uploader : uploaders)
        uploader.join();
    world.record.line(std::to_string(ran) + " requests with key-two ran, " + std::to_string(refused)
                      + " were answered 401");
    if (ran + refused == 0)
        return 2;
    if (ran == 0)
        return 0;
    world.record.line("CONFIG: requests ran with a key that had been taken away");
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
