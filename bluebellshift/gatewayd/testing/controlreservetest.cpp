// Guards against callers that keep the store's responses out of memory: uploads over slow links
// take all the room that large messages may have, while the operator takes a key away.
#include <string>
#include <vector>

#include "bluebellshift/gatewayd/testing/gatewayprocess.h"
#include "bluebellshift/gatewayd/testing/samplesite.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gatewayd::testing;
using namespace bluebellshift::net::testing;
using platform::Json;
using platform::testing::StoreStandin;

namespace {

constexpr int routes = 400; // so that the configuration is larger than a small holding (64 KB)
constexpr std::chrono::milliseconds sendInterval { 100 };
constexpr std::chrono::seconds uploadTime { 8 }; // after the change; no upload is complete by then

// Bodies that take three quarters of the budget of 16 MB (each is held twice): few large ones, then
// ever smaller ones for what is left.
const struct
{
    int count;
    std::size_t bytes;
} uploads[] = { { 8, 900'000 }, { 20, 120'000 }, { 30, 33'000 } };

Json configWith(const std::vector<std::string> &keys)
{
    Json config = sampleConfig();
    Json &rules = config["listeners"][0]["rules"];
    rules[0]["public"] = false;
    const Json rule = rules[0];
    for (int i = 0; i < routes; ++i) {
        Json other = rule;
        other["name"] = "r" + std::to_string(i);
        other["match"]["path_prefix"] = "/other" + std::to_string(i) + '/';
        rules.insert(rules.begin(), other);
    }
    config["tenants"] = Json::array({ { { "name", "team" },
                                        { "api_keys", keys },
                                        { "priority", 1 },
                                        { "rate_per_s", 0 },
                                        { "allowed_regions", Json::array() } } });
    config["version"] = keys.size() == 2 ? 1 : 2;
    return config;
}

} // namespace

TEST_GROUP(ControlReserve)
{
    boost::asio::io_context loop;
    std::vector<RawPeer> uploaders;

    // Returns the status of a request with this key; 0 if there is no response.
    int statusWith(const GatewayProcess &gateway, const std::string &key)
    {
        RawPeer caller = RawPeer::connect(loop, gateway.callers());
        caller.send(get("/x", "Authorization: Bearer " + key + "\r\n"));
        runUntil(loop, [&] {
            sendOn();
            return caller.isEnded() || caller.received().find("\r\n\r\n") != std::string::npos;
        });
        const std::string received = caller.received();
        caller.close();
        return received.size() < 12 ? 0 : std::atoi(received.c_str() + 9);
    }
    // A few more bytes of each upload.
    void sendOn()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now < sendNextAt)
            return;
        sendNextAt = now + sendInterval;
        for (RawPeer &uploader : uploaders) {
            if (!uploader.isEnded() && uploader.received().empty())
                uploader.send("0123456789");
        }
    }

    std::chrono::steady_clock::time_point sendNextAt;
};

TEST(ControlReserve, UploadsOverSlowLinksDontKeepAConfigurationOut)
{
    StoreStandin store(loop);
    Target target(loop);
    const Json after = configWith({ "key-one" });
    CHECK(after.dump().size() > net::ByteBudget::smallHolding);
    store.put("config", "main", configWith({ "key-one", "key-two" }));
    store.put("servers", "t-1", targetSpec(target.port()));
    GatewayProcess gateway(loop, store.endpoint());
    CHECK_TEXT(gateway.start(), gateway.log().c_str());
    CHECK(runUntil(loop, [&] { return statusWith(gateway, "key-two") == 200; }));
    for (const auto &upload : uploads) {
        for (int i = 0; i < upload.count; ++i) {
            uploaders.push_back(RawPeer::connect(loop, gateway.callers()));
            uploaders.back().send(
                post("/x", "Content-Length: " + std::to_string(upload.bytes) + "\r\n"));
        }
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
        runUntil(loop, [&] { return std::chrono::steady_clock::now() > until; });
    }
    const auto refused = [&] {
        std::size_t count = 0;
        for (const RawPeer &uploader : uploaders)
            count += uploader.received().find(" 503 ") != std::string::npos ? 1 : 0;
        return count;
    };
    CHECK_TEXT(refused() > 0, "the uploads don't fill the room");
    CHECK_TEXT(refused() < uploaders.size(), "no upload is under way");

    store.put("config", "main", after);
    const auto giveUpAt = std::chrono::steady_clock::now() + uploadTime;
    int status = 0;
    while (status != 401 && std::chrono::steady_clock::now() < giveUpAt)
        status = statusWith(gateway, "key-two");
    CHECK_EQUAL_TEXT(401, status, "a key that was taken away still works");
    CHECK_EQUAL(200, statusWith(gateway, "key-one"));
    CHECK_TEXT(refused() < uploaders.size(), "no upload is under way any more");
}
