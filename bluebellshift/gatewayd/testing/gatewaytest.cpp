// Tests the whole gateway over the loopback address: callers and targets are raw sockets, the
// store is a fake.
#include "bluebellshift/gatewayd/gateway.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "bluebellshift/net/testing/looptools.h"
#include "platform/testing/storestandin.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::net::testing;
using boost::asio::ip::tcp;
using gatewayd::Gateway;
using platform::Json;
using platform::testing::StoreStandin;

namespace {

constexpr char loopback[] = "127.0.0.1";
constexpr std::size_t longBody = 12 * 1024 * 1024;      // more than both sockets hold
constexpr std::size_t memoryBytes = 1024 * 1024 * 1024; // room for it, as a limit

// A route of one attempt, on which a request waits for a slot rather than queueing at a target.
Json sampleConfig()
{
    return Json::parse(R"({"version":1,
        "listeners":[{"host":"h","rules":[
            {"name":"u","route_type":"unsafe","public":true,"target_latency_s":1.2,
             "match":{"path_prefix":"/once"},
             "action":{"service":"s","timeout_s":10,"max_attempts":2}},
            {"name":"a","route_type":"safe","public":true,"target_latency_s":1.2,
             "match":{"path_prefix":"/again"},
             "action":{"service":"s","timeout_s":10,"max_attempts":2}},
            {"name":"r","route_type":"safe","public":true,"target_latency_s":1.2,
             "match":{"path_prefix":"/"},
             "action":{"service":"s","timeout_s":10,"max_attempts":1}}]}],
        "clusters":[{"name":"s","health_path":"/health"}]})");
}

Json targetSpec(std::uint16_t port, int slots)
{
    return {
        { "address", std::string(loopback) + ':' + std::to_string(port) },
        { "born", 1 },
        { "info",
          { { "service", "s" }, { "version", "v1" }, { "zone", "near-1" }, { "slots", slots } } },
        { "status", { { "state", "ready" }, { "sequence", 1 }, { "warmup_left_s", 0 } } }
    };
}

std::string requestText(const std::string &id, int deadlineMillis = 8000)
{
    return "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMillis) + "\r\n\r\n";
}

std::string uploadText(const std::string &path, const std::string &id)
{
    return "PUT " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 8000\r\nContent-Length: " + std::to_string(longBody) + "\r\n\r\n"
        + std::string(longBody, 'b');
}

std::string responseText(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
        + "\r\nServer-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok";
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(Gateway)
{
    boost::asio::io_context loop;
    std::unique_ptr<StoreStandin> store;
    std::vector<std::unique_ptr<tcp::acceptor>> targetAcceptors;
    std::vector<RawPeer> targetConnections;
    std::unique_ptr<Gateway> gateway;
    std::uint16_t port = 0;

    void begin(int slots, int targets = 1)
    {
        store = std::make_unique<StoreStandin>(loop);
        store->put("config", "main", sampleConfig());
        for (int i = 1; i <= targets; ++i) {
            targetAcceptors.push_back(std::make_unique<tcp::acceptor>(
                loop, tcp::endpoint(boost::asio::ip::make_address(loopback), 0)));
            tcp::acceptor &acceptor = *targetAcceptors.back();
            acceptTarget(acceptor);
            store->put("servers", "t-" + std::to_string(i),
                       targetSpec(acceptor.local_endpoint().port(), slots));
        }
        // Another process may take a free port before the gateway binds it.
        bool isStarted = false;
        for (int tries = 0; tries < 5 && !isStarted; ++tries) {
            gateway = std::make_unique<Gateway>(loop, makeSettings(), base::systemClock());
            isStarted = gateway->start().ok();
        }
        CHECK(isStarted);
    }
    gatewayd::GatewaySettings makeSettings()
    {
        gatewayd::GatewaySettings settings;
        const auto freeEndpoint = [&] { return core::Endpoint { loopback, freePort(loop) }; };
        gateway::VmEntry &vm = settings.gateway.vm;
        vm.id = core::VmId("vm-1");
        vm.incarnation = core::Incarnation(7);
        vm.region = core::RegionId("near");
        vm.failureDomain = core::FailureDomainId("near-1");
        vm.callers = freeEndpoint();
        vm.peers = freeEndpoint();
        port = vm.callers.port;
        settings.gateway.regionOf = { { vm.failureDomain, vm.region } };
        settings.gateway.peerKeyCandidate = std::string(64, 'a');
        settings.readyEndpoint = freeEndpoint();
        settings.lookupEndpoint = freeEndpoint();
        settings.metricsEndpoint = freeEndpoint();
        settings.memoryBytes = memoryBytes;
        settings.storeEndpoint = store->endpoint();
        return settings;
    }
    void teardown() override
    {
        gateway.reset();
        targetConnections.clear();
        targetAcceptors.clear();
        store.reset();
    }

    void acceptTarget(tcp::acceptor & acceptor)
    {
        acceptor.async_accept(
            [this, &acceptor](boost::system::error_code error, tcp::socket socket) {
                if (error)
                    return;
                targetConnections.emplace_back(std::move(socket));
                acceptTarget(acceptor);
            });
    }
    RawPeer connectCaller()
    {
        return RawPeer::connect(loop, port);
    }
    bool waitFor(const std::function<bool()> &isDone)
    {
        return runUntil(loop, isDone);
    }
    // The target's connection that received the request, or null.
    RawPeer *findAtTarget(const std::string &id)
    {
        const auto found =
            std::find_if(targetConnections.begin(), targetConnections.end(),
                         [&](const RawPeer &peer) { return contains(peer.received(), id); });
        return found == targetConnections.end() ? nullptr : &*found;
    }
    // Answers the upload as soon as its head has arrived, without a length, and resets the
    // connection.
    void answerAndReset(const std::string &id)
    {
        CHECK(waitFor([&] { return findAtTarget(id) != nullptr; }));
        RawPeer &target = *findAtTarget(id);
        CHECK(target.received().size() < longBody);
        target.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n\r\npart");
        target.reset();
        targetConnections.erase(targetConnections.begin() + (&target - targetConnections.data()));
    }
    // Sends a request, answers it at the target and waits until the caller has the response.
    void serve(const std::string &id)
    {
        RawPeer caller = connectCaller();
        caller.send(requestText(id));
        CHECK(waitFor([&] { return findAtTarget(id) != nullptr; }));
        findAtTarget(id)->send(responseText(id));
        CHECK(waitFor([&] { return contains(caller.received(), id); }));
    }
};

// Guards against work for a caller that closed its connection before the gateway read its request.
TEST(Gateway, SendsNoRequestWhoseCallerClosedBeforeItWasRead)
{
    begin(2);
    serve("first");
    {
        RawPeer caller = connectCaller();
        caller.send(requestText("abandoned"));
        caller.close();
    }
    serve("second");
    CHECK(findAtTarget("abandoned") == nullptr);
}

// Guards against work for a caller that closed its connection while its request was queued, where
// the target's response that frees the slot is handled first.
TEST(Gateway, SendsNoQueuedRequestWhoseCallerClosed)
{
    begin(1);
    RawPeer running = connectCaller();
    running.send(requestText("running"));
    CHECK(waitFor([&] { return findAtTarget("running") != nullptr; }));
    RawPeer queued = connectCaller();
    // Too little time for it to be sent to a busy target, however long the queue takes.
    queued.send(requestText("abandoned", 1500));
    RawPeer afterwards = connectCaller();
    afterwards.send("GET /x HTTP/1.1\r\nHost: other\r\n\r\n");
    CHECK(waitFor([&] { return contains(afterwards.received(), "404"); }));
    CHECK(findAtTarget("abandoned") == nullptr);
    findAtTarget("running")->send(responseText("running"));
    queued.close();
    CHECK(waitFor([&] { return contains(running.received(), "running"); }));
    serve("next");
    CHECK(findAtTarget("abandoned") == nullptr);
}

// Guards against a part of a response that reaches the caller as the whole one: the target resets
// the connection while the request is still being written. It may have run the request.
TEST(Gateway, AnswersNoPartOfAResponseThatIsResetDuringTheUpload)
{
    begin(2);
    RawPeer caller = connectCaller();
    caller.sendFromLoop(uploadText("/once", "unsafe"));
    answerAndReset("unsafe");
    CHECK(waitFor([&] { return contains(caller.received(), "\r\n\r\n") || caller.isEnded(); }));
    CHECK_EQUAL(0U, caller.received().find("HTTP/1.1 502 "));
    CHECK(!contains(caller.received(), "part"));
    CHECK(findAtTarget("unsafe") == nullptr);
    serve("next");
}

TEST(Gateway, MaySendASafeRequestAgainAfterAResponseThatIsReset)
{
    begin(2, 2);
    RawPeer caller = connectCaller();
    caller.sendFromLoop(uploadText("/again", "safe"));
    answerAndReset("safe");
    CHECK(waitFor([&] { return findAtTarget("safe") != nullptr; }));
    findAtTarget("safe")->send(responseText("safe"));
    CHECK(waitFor([&] { return contains(caller.received(), "\r\n\r\nok"); }));
    CHECK_EQUAL(0U, caller.received().find("HTTP/1.1 200 "));
    CHECK(!contains(caller.received(), "part"));
}
