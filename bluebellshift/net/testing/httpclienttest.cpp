#include "bluebellshift/net/httpclient.h"

#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "bluebellshift/net/testing/looptools.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::net;
using namespace bluebellshift::net::testing;

namespace {

const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                            "Content-Length: 4\r\n\r\nbody";
const std::string validResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nyes";
const std::string staleResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold";

std::string responseWithStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nyes";
}

enum class PeerAction { KeepOpen, ShutDownSend, Reset };

// What a target sends after it has read the request, and the expected outcome.
struct ResponseCase
{
    const char *name;
    std::string bytes;
    PeerAction action;
    CallOutcome outcome;
    const char *body; // only if Answered
};

const ResponseCase responseCases[] = {
    { "whole", validResponse, PeerAction::KeepOpen, CallOutcome::Answered, "yes" },
    { "complete, then closed", validResponse, PeerAction::ShutDownSend, CallOutcome::Answered,
      "yes" },
    { "two responses at once", validResponse + validResponse, PeerAction::KeepOpen,
      CallOutcome::Answered, "yes" },
    { "bytes after the response", validResponse + "garbage", PeerAction::KeepOpen,
      CallOutcome::Answered, "yes" },
    { "late response to another request first", staleResponse + validResponse, PeerAction::KeepOpen,
      CallOutcome::Answered, "yes" },
    { "only a response to another request", staleResponse, PeerAction::ShutDownSend,
      CallOutcome::Cut, "" },
    { "refusal with the ids of two requests",
      "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nRequest-Id: r0\r\nNot-Run: 1\r\nContent-Length: "
      "0\r\n\r\n",
      PeerAction::ShutDownSend, CallOutcome::Cut, "" },
    { "late refusals with another id, none and two before the response",
      "HTTP/1.1 503 No\r\nRequest-Id: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
      "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
          + validResponse,
      PeerAction::KeepOpen, CallOutcome::Answered, "yes" },
    { "interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + validResponse,
      PeerAction::KeepOpen, CallOutcome::Answered, "yes" },
    { "success without a request id", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
      PeerAction::ShutDownSend, CallOutcome::Cut, "" },
    { "failure without a request id", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
      PeerAction::ShutDownSend, CallOutcome::Cut, "" },
    { "cut off in the headers", "HTTP/1.1 200 OK\r\nRequest-", PeerAction::ShutDownSend,
      CallOutcome::Cut, "" },
    { "cut off in the body", validResponse.substr(0, validResponse.size() - 1),
      PeerAction::ShutDownSend, CallOutcome::Cut, "" },
    { "cut off by a reset", validResponse.substr(0, validResponse.size() - 1), PeerAction::Reset,
      CallOutcome::Cut, "" },
    { "chunked without the last chunk",
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n",
      PeerAction::ShutDownSend, CallOutcome::Cut, "" },
    { "no length, ended by a close", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nyes",
      PeerAction::ShutDownSend, CallOutcome::Answered, "yes" },
    { "no length, ended by a reset", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nyes",
      PeerAction::Reset, CallOutcome::Cut, "" },
    { "no length, to another request, ended by a close",
      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nold", PeerAction::ShutDownSend, CallOutcome::Cut,
      "" },
    { "no length, to another request, ended by a reset",
      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nold", PeerAction::Reset, CallOutcome::Cut, "" },
    { "status 000", responseWithStatus("000"), PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "status 099", responseWithStatus("099"), PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "status 600", responseWithStatus("600"), PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "status 999", responseWithStatus("999"), PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "status 000, body not complete",
      "HTTP/1.1 000 X\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\n", PeerAction::KeepOpen,
      CallOutcome::Malformed, "" },
    { "status 101 that was not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "not HTTP at all", "SSH-2.0-x\r\n\r\n", PeerAction::KeepOpen, CallOutcome::Malformed, "" },
    { "nothing", "", PeerAction::ShutDownSend, CallOutcome::Cut, "" },
};

} // namespace

TEST_GROUP(NetHttpClient)
{
    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context loop;
    ByteBudget budget { 64 * 1024 * 1024 };
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::vector<RawPeer> peers;
    std::optional<CallResult> result;
    CallOptions options;

    void setup() override
    {
        client = std::make_unique<HttpClient>(loop, budget);
        acceptor = std::make_unique<tcp::acceptor>(
            loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        accept();
        options.idHeader = "Request-Id";
        options.requestId = "r1";
    }
    void teardown() override
    {
        client.reset();
    }

    void accept()
    {
        acceptor->async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            peers.emplace_back(std::move(socket));
            accept();
        });
    }
    core::Endpoint endpoint() const
    {
        return { "127.0.0.1", acceptor->local_endpoint().port() };
    }
    CallId call()
    {
        result.reset();
        return client->start(endpoint(), "pool", request, options,
                             [this](CallResult &&got) { result = std::move(got); });
    }
    bool waitFor(const std::function<bool()> &isDone)
    {
        return runUntil(loop, isDone);
    }
    bool hasRead(std::size_t peer, std::size_t requests)
    {
        return peers.size() > peer && peers[peer].received().size() >= requests * request.size();
    }
};

// Guards, among others, against a response whose status is none of HTTP's and that reaches the
// caller or keeps the call waiting.
TEST(NetHttpClient, AcceptsOnlyACompleteResponseThatMatchesTheRequest)
{
    for (const ResponseCase &testCase : responseCases) {
        const std::size_t peer = peers.size();
        options.maxReuseIdleTime = core::Duration();
        call();
        CHECK_TEXT(waitFor([&] { return hasRead(peer, 1); }), testCase.name);
        STRCMP_EQUAL(request.c_str(), peers[peer].received().c_str());
        if (!testCase.bytes.empty())
            peers[peer].send(testCase.bytes);
        if (testCase.action == PeerAction::ShutDownSend)
            peers[peer].shutDownSend();
        else if (testCase.action == PeerAction::Reset)
            peers[peer].reset();
        CHECK_TEXT(waitFor([&] { return result.has_value(); }), testCase.name);
        STRCMP_EQUAL_TEXT(toText(testCase.outcome), toText(result->outcome), testCase.name);
        if (testCase.outcome == CallOutcome::Answered)
            STRCMP_EQUAL_TEXT(testCase.body, result->response->body.c_str(), testCase.name);
    }
}

// Guards against a response that ends in the middle of its head and is taken as complete.
TEST(NetHttpClient, AResponseThatEndsInItsHeadIsCut)
{
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: r1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nRequest-Id: r1\r\n\r\n",
    };
    for (const std::string &head : heads) {
        for (const bool isFirst : { true, false }) {
            for (std::size_t size = 0; size < head.size(); ++size) {
                const std::size_t peer = peers.size();
                const std::string name = head.substr(0, size) + (isFirst ? " (first)" : " (later)");
                call();
                CHECK_TEXT(waitFor([&] { return hasRead(peer, 1); }), name.c_str());
                if (!isFirst) {
                    peers[peer].send(validResponse);
                    CHECK_TEXT(waitFor([&] { return result.has_value(); }), name.c_str());
                    call();
                    CHECK_TEXT(waitFor([&] { return hasRead(peer, 2); }), name.c_str());
                }
                if (size > 0)
                    peers[peer].send(head.substr(0, size));
                peers[peer].shutDownSend();
                CHECK_TEXT(waitFor([&] { return result.has_value(); }), name.c_str());
                STRCMP_EQUAL_TEXT("cut", toText(result->outcome), name.c_str());
            }
        }
    }
}

TEST(NetHttpClient, ReusesAConnectionWithoutSurplusBytes)
{
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    call();
    CHECK(waitFor([&] { return hasRead(0, 2); }));
    CHECK_EQUAL(1U, peers.size());
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->isReused);
}

// Guards against an earlier refusal, written once more, that is taken for the response to a request
// without an id.
TEST(NetHttpClient, ARequestWithoutAnIdUsesANewConnection)
{
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    options.requestId.clear();
    call();
    CHECK(waitFor([&] { return hasRead(1, 1); }));
    peers[0].send("HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    peers[1].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK_EQUAL(200U, result->response->status);
}

TEST(NetHttpClient, ClosesAnIdleConnectionOnALateDuplicateResponse)
{
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return client->idleCount() == 0; }));
    call();
    CHECK(waitFor([&] { return hasRead(1, 1); }));
}

// The client does not retry a request on a pooled connection that turns out closed:
// only its caller knows whether a retry is safe.
TEST(NetHttpClient, DoesNotRetryWhenAPooledConnectionBreaks)
{
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    call();
    CHECK(waitFor([&] { return hasRead(0, 2); }));
    peers[0].reset();
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Cut);
    CHECK(result->isReused);
    loop.poll();
    CHECK_EQUAL(1U, peers.size());
}

TEST(NetHttpClient, DoesNotPoolAConnectionAfterConnectionClose)
{
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\nContent-Length: "
                  "0\r\n\r\n");
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
    CHECK_EQUAL(0U, client->idleCount());
}

TEST(NetHttpClient, PoolsAConnectionUnlessItsStatedTimeoutIsTooShort)
{
    const struct
    {
        const char *keepAlive;
        std::size_t pooled;
    } cases[] = { { "timeout=5", 1 },   { "timeout=1", 0 },
                  { "timeout=0", 0 },   { "max=3, timeout=5", 1 },
                  { "timeout=abc", 1 }, { "timeout=-1", 1 },
                  { "timeout=", 1 },    { "timeout=99999999999999999999", 1 } };
    for (const auto &testCase : cases) {
        const std::size_t peer = peers.size();
        options.maxReuseIdleTime = core::Duration();
        call();
        CHECK(waitFor([&] { return hasRead(peer, 1); }));
        peers[peer].send(std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n"
                                     "Keep-Alive: ")
                         + testCase.keepAlive + "\r\n\r\n");
        CHECK(waitFor([&] { return result.has_value(); }));
        CHECK_EQUAL_TEXT(testCase.pooled, client->idleCount(), testCase.keepAlive);
        client->closeIdle("pool");
    }
}

TEST(NetHttpClient, ReportsARefusedConnection)
{
    const core::Endpoint nobody { "127.0.0.1", freePort(loop) };
    client->start(nobody, "nobody", request, options,
                  [this](CallResult &&got) { result = std::move(got); });
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::ConnectFailed);
}

// After a stall of the loop, the connect completion and the expired connect timeout are
// ready together. The request is then sent, so it must not be reported as ConnectFailed.
TEST(NetHttpClient, IgnoresTheConnectTimeoutOnceConnected)
{
    options.connectTimeout = core::Duration::millis(5);
    call();
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    CHECK(waitFor([&] { return hasRead(0, 1) || result.has_value(); }));
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    CHECK(!result.has_value());
    peers[0].send(validResponse);
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
}

// The call timeout must not cut off a large response over a slow link.
TEST(NetHttpClient, AppliesNoCallTimeoutOnceTheResponseHasStarted)
{
    options.timeout = core::Duration::seconds(2);
    options.readIdleTimeout = core::Duration::seconds(60);
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse.substr(0, validResponse.size() - 1));
    bool isTimeoutOver = false;
    boost::asio::steady_timer timer(loop, std::chrono::milliseconds(2200));
    timer.async_wait([&](const boost::system::error_code &) { isTimeoutOver = true; });
    CHECK(waitFor([&] { return isTimeoutOver; }));
    peers[0].send(validResponse.substr(validResponse.size() - 1));
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
}

TEST(NetHttpClient, TimesOutWhenTheResponseStalls)
{
    options.timeout = core::Duration::seconds(600);
    options.readIdleTimeout = core::Duration::millis(20);
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send(validResponse.substr(0, validResponse.size() - 1));
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::TimedOut);
}

TEST(NetHttpClient, TimesOutWhenTheResponseFallsBehindItsMinimumRate)
{
    constexpr int maxPieces = 100;
    options.readIdleTimeout = core::Duration::millis(200);
    options.minBytesPerSecond = 1'000'000;
    call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    peers[0].send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1000000\r\n\r\n");
    for (int piece = 0; piece < maxPieces && !result; ++piece) {
        boost::asio::steady_timer pause(loop, std::chrono::milliseconds(20));
        bool hasPassed = false;
        pause.async_wait([&](const boost::system::error_code &) { hasPassed = true; });
        CHECK(waitFor([&] { return hasPassed || result; }));
        if (!result)
            peers[0].send("x");
    }
    CHECK(result.has_value());
    CHECK(result->outcome == CallOutcome::TimedOut);
    CHECK(result->hasResponseStarted);
}

TEST(NetHttpClient, ClosesTheConnectionOfACancelledCall)
{
    const CallId id = call();
    CHECK(waitFor([&] { return hasRead(0, 1); }));
    client->cancel(id);
    CHECK(waitFor([&] { return peers[0].isEnded(); }));
    CHECK(!result.has_value());
}

// Guards against a request that reaches its target after it was cancelled: its last bytes wait in
// the socket, as over a slow or broken link, and a regular close still delivers them.
TEST(NetHttpClient, DiscardsTheUnsentBytesOfACancelledCall)
{
    const std::string body(32 * 1024, 'x');
    const std::string longRequest = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                    "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    tcp::acceptor slow(loop);
    slow.open(tcp::v4());
    slow.set_option(
        boost::asio::socket_base::receive_buffer_size(4096)); // accepted ones inherit it
    slow.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    slow.listen();
    tcp::socket target(loop); // reads nothing until the call is cancelled
    bool isAccepted = false;
    slow.async_accept(target, [&](const boost::system::error_code &) { isAccepted = true; });
    const CallId id =
        client->start({ "127.0.0.1", slow.local_endpoint().port() }, "slow", longRequest, options,
                      [this](CallResult &&got) { result = std::move(got); });
    CHECK(waitFor([&] { return isAccepted && target.available() > 0; }));
    loop.poll();
    client->cancel(id);
    std::string received;
    boost::system::error_code error;
    while (!error) {
        char buffer[4096];
        const std::size_t size = target.read_some(boost::asio::buffer(buffer), error);
        received.append(buffer, size);
    }
    CHECK(received.size() < longRequest.size());
}

// A response that arrives before a large request is fully written ends the call at
// once, and its connection is not reused.
TEST(NetHttpClient, AcceptsAnEarlyResponseAndDoesNotReuseItsConnection)
{
    const std::string body(16 * 1024 * 1024, 'x');
    const std::string longRequest = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                    "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    tcp::socket unresponsivePeer(loop); // accepts and reads nothing
    tcp::acceptor other(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    other.async_accept(unresponsivePeer, [&](const boost::system::error_code &) {
        boost::asio::write(unresponsivePeer, boost::asio::buffer(validResponse));
    });
    client->start({ "127.0.0.1", other.local_endpoint().port() }, "long", longRequest, options,
                  [this](CallResult &&got) { result = std::move(got); });
    CHECK(waitFor([&] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
    CHECK_EQUAL(0U, client->idleCount());
}
