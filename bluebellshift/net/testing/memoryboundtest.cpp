// Bounds on memory. Pattern that this answers: several targets send bytes without end, and
// callers upload the largest bodies at once, while normal requests go on.
#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/httpserver.h"

#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "bluebellshift/net/testing/looptools.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::net;
using namespace bluebellshift::net::testing;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t budgetBytes = 8 * 1024 * 1024;
constexpr std::size_t readBytes = 4096; // that a connection may add before it is checked

const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n";
const std::string validResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nyes";
const std::string statusLine = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const std::string kilobyte(1024, 'x');

// What a target sends first and then repeats until its connection is closed.
struct EndlessCase
{
    const char *name;
    std::string start;
    std::string repeated;
    CallOutcome outcome;
};

const EndlessCase endlessCases[] = {
    { "one header", statusLine + "X: ", kilobyte, CallOutcome::Malformed },
    { "many headers", statusLine, "X: 1\r\n", CallOutcome::Malformed },
    { "no status line", "", kilobyte, CallOutcome::Malformed },
    { "body of a huge length", statusLine + "Content-Length: 99999999999\r\n\r\n", kilobyte,
      CallOutcome::TooLarge },
    { "body of a length above the bound", statusLine + "Content-Length: 2500000\r\n\r\n", kilobyte,
      CallOutcome::TooLarge },
    { "body of a huge length in one segment with the head",
      statusLine + "Content-Length: 99999999999\r\n\r\n" + kilobyte, kilobyte,
      CallOutcome::TooLarge },
    { "chunks", statusLine + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n",
      CallOutcome::TooLarge },
    { "one chunk", statusLine + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", kilobyte,
      CallOutcome::TooLarge },
    { "chunk extension", statusLine + "Transfer-Encoding: chunked\r\n\r\n3;", kilobyte,
      CallOutcome::TooLarge },
    { "trailers", statusLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n",
      CallOutcome::TooLarge },
    { "no length", statusLine + "\r\n", kilobyte, CallOutcome::TooLarge },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", CallOutcome::Malformed },
    { "responses to others", "", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n",
      CallOutcome::Malformed },
};

// Accepts connections and sends the bytes of a case on each until it is closed.
class EndlessTarget
{
public:
    EndlessTarget(boost::asio::io_context &loop, const EndlessCase &bytes)
        : bytes_(bytes)
        , acceptor_(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }
    core::Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    using SocketPointer = std::shared_ptr<tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            send(std::make_shared<tcp::socket>(std::move(socket)), &bytes_.start);
            accept();
        });
    }
    void send(const SocketPointer &socket, const std::string *bytes)
    {
        boost::asio::async_write(
            *socket, boost::asio::buffer(*bytes),
            [this, socket](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    send(socket, &bytes_.repeated);
            });
    }

    const EndlessCase &bytes_;
    tcp::acceptor acceptor_;
};

// Answers each request at once.
class NormalTarget
{
public:
    explicit NormalTarget(boost::asio::io_context &loop)
        : server_(loop, budget_, [] { return ServerLimits(); },
                  { [this](ExchangeId id, Request &&) {
                       server_.respond(id, { 200, { { "Request-Id", "r1" } }, "yes" }, false);
                   },
                    [](ExchangeId) {},
                    {} })
        , endpoint_ { "127.0.0.1", freePort(loop) }
    {
        CHECK(server_.listen(endpoint_).ok());
    }
    const core::Endpoint &endpoint() const { return endpoint_; }

private:
    ByteBudget budget_ { budgetBytes };
    HttpServer server_;
    core::Endpoint endpoint_;
};

} // namespace

TEST_GROUP(NetMemoryBound)
{
    boost::asio::io_context loop;
    ByteBudget budget { budgetBytes };

    CallOptions callOptions()
    {
        CallOptions options;
        options.idHeader = "Request-Id";
        options.requestId = "r1";
        options.timeout = core::Duration::seconds(600);
        return options;
    }
};

TEST(NetMemoryBound, AnEndlessResponseEndsItsCallAtAStatedSize)
{
    HttpClient client(loop, budget);
    for (const EndlessCase &testCase : endlessCases) {
        EndlessTarget target(loop, testCase);
        std::optional<CallResult> result;
        std::size_t mostHeld = 0;
        client.start(target.endpoint(), testCase.name, request, callOptions(),
                     [&](CallResult &&got) { result = std::move(got); });
        CHECK_TEXT(runUntil(loop,
                            [&] {
                                mostHeld = std::max(mostHeld, budget.used());
                                return result.has_value();
                            }),
                   testCase.name);
        STRCMP_EQUAL_TEXT(toText(testCase.outcome), toText(result->outcome), testCase.name);
        CHECK_TEXT(mostHeld <= budget.largestHolding(), testCase.name);
        CHECK_EQUAL_TEXT(0U, budget.used(), testCase.name);
    }
}

TEST(NetMemoryBound, ATrickleOfBytesEndsWithTheCallsTimeout)
{
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket peer(loop);
    boost::asio::steady_timer timer(loop);
    std::function<void()> trickle = [&] {
        timer.expires_after(std::chrono::milliseconds(5));
        timer.async_wait([&](const boost::system::error_code &) {
            boost::system::error_code error;
            peer.write_some(boost::asio::buffer("x", 1), error);
            if (!error)
                trickle();
        });
    };
    acceptor.async_accept(peer, [&](const boost::system::error_code &) {
        boost::asio::write(peer, boost::asio::buffer(statusLine + "Content-Length: 9999\r\n\r\n"));
        trickle();
    });
    HttpClient client(loop, budget);
    CallOptions options = callOptions();
    options.timeout = core::Duration::millis(100);
    std::optional<CallResult> result;
    client.start({ "127.0.0.1", acceptor.local_endpoint().port() }, "trickle", request, options,
                 [&](CallResult &&got) { result = std::move(got); });
    CHECK(runUntil(loop, [&] { return result.has_value(); }));
    STRCMP_EQUAL(toText(CallOutcome::TimedOut), toText(result->outcome));
}

TEST(NetMemoryBound, NormalCallsGoOnBesideTenEndlessResponses)
{
    HttpClient client(loop, budget);
    const EndlessCase &chunks = endlessCases[6];
    EndlessTarget endless(loop, chunks);
    NormalTarget normal(loop);
    int endlessEnded = 0;
    std::function<void()> startEndless = [&] {
        client.start(endless.endpoint(), "endless", request, callOptions(), [&](CallResult &&got) {
            CHECK(got.outcome == CallOutcome::TooLarge);
            if (++endlessEnded < 40)
                startEndless();
        });
    };
    for (int i = 0; i < 10; ++i)
        startEndless();
    int answered = 0;
    std::function<void()> startNormal = [&] {
        client.start(normal.endpoint(), "normal", request, callOptions(), [&](CallResult &&got) {
            CHECK(got.outcome == CallOutcome::Answered);
            if (++answered < 200)
                startNormal();
        });
    };
    startNormal();
    std::size_t mostHeld = 0;
    CHECK(runUntil(loop, [&] {
        mostHeld = std::max(mostHeld, budget.used());
        return endlessEnded >= 40 && answered >= 200;
    }));
    CHECK(mostHeld <= budgetBytes);
}

TEST(NetMemoryBound, UploadsWithoutRoomAreRefusedBeforeTheirBodyIsRead)
{
    std::vector<ExchangeId> dispatched;
    HttpServer server(
        loop, budget, [] { return ServerLimits(); },
        { [&](ExchangeId id, Request &&) { dispatched.push_back(id); }, [](ExchangeId) {}, {} });
    const std::uint16_t port = freePort(loop);
    CHECK(server.listen({ "127.0.0.1", port }).ok());
    const std::size_t bodyBytes = budget.largestHolding() / 2; // held twice
    std::vector<RawPeer> uploads;
    for (int i = 0; i < 20; ++i) {
        uploads.push_back(RawPeer::connect(loop, port));
        uploads.back().send("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: "
                            + std::to_string(bodyBytes) + "\r\n\r\n");
    }
    const std::size_t fitting = 3; // within three quarters of the budget
    const auto refused = [&] {
        std::size_t count = 0;
        for (const RawPeer &upload : uploads) {
            const std::string &received = upload.received();
            count += received.find(" 503 ") != std::string::npos
                    && received.find("Retry-After: 1") != std::string::npos
                ? 1
                : 0;
        }
        return count;
    };
    CHECK(runUntil(loop, [&] { return refused() == uploads.size() - fitting; }));
    CHECK(budget.used() <= budgetBytes);
    RawPeer small = RawPeer::connect(loop, port);
    small.send("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(runUntil(loop, [&] { return dispatched.size() == 1; }));
    for (RawPeer &upload : uploads) // the rest of those that fit is awaited
        upload.close();
    CHECK(runUntil(loop, [&] { return server.connectionCount() == 1; }));
    server.respond(dispatched[0], { 200, {}, "" }, false);
    CHECK(runUntil(loop, [&] { return budget.used() == 0; }));
}

TEST(NetMemoryBound, AChunkedUploadIsRefusedWhenTheRoomIsUsedUp)
{
    int dispatched = 0;
    HttpServer server(loop, budget, [] { return ServerLimits(); },
                      { [&](ExchangeId, Request &&) { ++dispatched; }, [](ExchangeId) {}, {} });
    const std::uint16_t port = freePort(loop);
    CHECK(server.listen({ "127.0.0.1", port }).ok());
    RawPeer upload = RawPeer::connect(loop, port);
    upload.send("POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::size_t sent = 0;
    while (upload.received().empty() && sent < 2 * budgetBytes) {
        upload.send(chunk);
        sent += chunk.size();
        for (int i = 0; i < 200; ++i)
            loop.poll();
    }
    CHECK(runUntil(loop, [&] { return upload.received().find(" 503 ") != std::string::npos; }));
    CHECK_EQUAL(0, dispatched);
    CHECK(budget.used() <= readBytes);
}

// The budget against the plain rule, for random holdings.
TEST(NetMemoryBound, TheBudgetFollowsItsRule)
{
    std::mt19937 random(7);
    constexpr std::size_t limit = 1'000'000;
    ByteBudget small(limit);
    std::vector<std::unique_ptr<ByteHolding>> holdings;
    for (int i = 0; i < 8; ++i)
        holdings.push_back(std::make_unique<ByteHolding>(small));
    for (int step = 0; step < 5000; ++step) {
        ByteHolding &holding = *holdings[random() % holdings.size()];
        const std::size_t size = random() % 400'000;
        const std::size_t others = small.used() - holding.bytes();
        const bool isLarge = size > ByteBudget::smallHolding;
        const bool fits = size <= holding.bytes()
            || (others + size <= (isLarge ? limit * 3 / 4 : limit)
                && (!isLarge || size <= limit / 4));
        CHECK_EQUAL(fits, holding.resize(size));
        CHECK_EQUAL(others + holding.bytes(), small.used());
        CHECK(!fits || holding.bytes() == size);
    }
}
