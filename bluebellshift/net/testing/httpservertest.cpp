#include "bluebellshift/net/httpserver.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "bluebellshift/net/testing/looptools.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::net;
using namespace bluebellshift::net::testing;

namespace {

struct DispatchedRequest
{
    ExchangeId id;
    Request request;
};

core::Answer makeResponse(const std::string &body, int status = 200)
{
    return { status, {}, body };
}

// Requests that are malformed, that parsers interpret differently or that exceed a
// limit, with the expected status. None is dispatched.
struct BadRequest
{
    const char *name;
    std::string bytes;
    const char *status;
};

const std::string head = "POST /a/b HTTP/1.1\r\nHost: h\r\n";

const BadRequest badRequests[] = {
    { "two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400" },
    { "length, then chunked",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
    { "chunked, then length",
      head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400" },
    { "coding that is not chunked", head + "Transfer-Encoding: gzip\r\n\r\nabc", "501" },
    { "chunked after another coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "501" },
    { "bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400" },
    { "chunk without a line end", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
      "400" },
    { "negative length", head + "Content-Length: -1\r\n\r\n", "400" },
    { "length that is not a number", head + "Content-Length: 3x\r\n\r\nabc", "400" },
    { "bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", "400" },
    { "space before the colon", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "400" },
    { "no host", "GET /a HTTP/1.1\r\n\r\n", "400" },
    { "two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400" },
    { "unsupported HTTP version", "GET /a HTTP/3.7\r\nHost: h\r\n\r\n", "400" },
    { "no path", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
    { "absolute form", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
    { "large headers", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
      "431" },
    { "large body", head + "Content-Length: 5000\r\n\r\n", "413" },
    { "large chunked body",
      head + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'x')
          + "\r\n0\r\n\r\n",
      "413" },
};

} // namespace

TEST_GROUP(NetHttpServer)
{
    boost::asio::io_context loop;
    ByteBudget budget { 64 * 1024 * 1024 };
    std::vector<DispatchedRequest> dispatched;
    std::vector<ExchangeId> aborted;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port = 0;

    void setup() override
    {
        ServerLimits limits;
        limits.maxHeaderBytes = 1024;
        limits.maxBodyBytes = 4096;
        server = std::make_unique<HttpServer>(
            loop, budget, [limits] { return limits; },
            ServerHooks { [this](ExchangeId id, Request &&request) {
                             dispatched.push_back({ id, std::move(request) });
                         },
                          [this](ExchangeId id) { aborted.push_back(id); },
                          {} });
        port = freePort(loop);
        CHECK(server->listen({ "127.0.0.1", port }).ok());
    }
    void teardown() override
    {
        server.reset();
    }

    bool waitFor(const std::function<bool()> &isDone)
    {
        return runUntil(loop, isDone);
    }
};

TEST(NetHttpServer, DispatchesARequestUnchanged)
{
    RawPeer caller = RawPeer::connect(loop, port);
    caller.send("POST /a%2Fb/../c?x=%20 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nTransfer-Encoding: "
                "chunked\r\n\r\n3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n");
    CHECK(waitFor([&] { return dispatched.size() == 1; }));
    const Request &request = dispatched[0].request;
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/a%2Fb/../c?x=%20", request.target.c_str());
    STRCMP_EQUAL("abcde", request.body.c_str());
    STRCMP_EQUAL("1", findHeader(request.headers, "x-a")->c_str());
    server->respond(dispatched[0].id, makeResponse("yes"), false);
    CHECK(waitFor([&] { return caller.received().find("yes") != std::string::npos; }));
}

TEST(NetHttpServer, RejectsAmbiguousAndOversizedRequests)
{
    for (const BadRequest &badRequest : badRequests) {
        RawPeer caller = RawPeer::connect(loop, port);
        caller.send(badRequest.bytes);
        CHECK_TEXT(waitFor([&] { return caller.isEnded(); }), badRequest.name);
        STRCMP_EQUAL_TEXT(badRequest.status, caller.received().substr(9, 3).c_str(),
                          badRequest.name);
        CHECK_EQUAL_TEXT(0U, dispatched.size(), badRequest.name);
    }
}

TEST(NetHttpServer, RespondsInTheOrderOfTheRequests)
{
    RawPeer caller = RawPeer::connect(loop, port);
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(get + get + get);
    CHECK(waitFor([&] { return dispatched.size() == 3; }));
    server->respond(dispatched[2].id, makeResponse("third"), false);
    server->respond(dispatched[0].id, makeResponse("first"), false);
    server->respond(dispatched[1].id, makeResponse("second"), false);
    CHECK(waitFor([&] { return caller.received().find("third") != std::string::npos; }));
    const std::string &all = caller.received();
    CHECK(all.find("first") < all.find("second"));
    CHECK(all.find("second") < all.find("third"));
}

// A pipelined request that is not idempotent must not be dispatched before the response
// to the earlier one was sent without closing the connection.
TEST(NetHttpServer, DispatchesANonIdempotentRequestOnlyWhenItIsFirst)
{
    RawPeer caller = RawPeer::connect(loop, port);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(waitFor([&] { return dispatched.size() >= 1; }));
    loop.poll();
    CHECK_EQUAL(1U, dispatched.size());
    server->respond(dispatched[0].id, makeResponse("one"), false);
    CHECK(waitFor([&] { return dispatched.size() == 3; }));
    STRCMP_EQUAL("/b", dispatched[1].request.target.c_str());
}

TEST(NetHttpServer, AbortsRequestsBehindAResponseThatClosesTheConnection)
{
    RawPeer caller = RawPeer::connect(loop, port);
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(get + get);
    CHECK(waitFor([&] { return dispatched.size() == 2; }));
    server->respond(dispatched[0].id, makeResponse("one"), true);
    CHECK(waitFor([&] { return caller.isEnded(); }));
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK_EQUAL(1U, aborted.size());
    CHECK_EQUAL(dispatched[1].id, aborted[0]);
}

// Guards against a second read started by a synchronous response while requests of the
// same read are still being parsed, which would corrupt the buffer.
TEST(NetHttpServer, SeparatesPipelinedRequestsThatAreAnsweredSynchronously)
{
    server.reset();
    std::unique_ptr<HttpServer> echo;
    echo = std::make_unique<HttpServer>(
        loop, budget, [] { return ServerLimits(); },
        ServerHooks { [&echo](ExchangeId id, Request &&request) {
                         echo->respond(id, makeResponse('<' + request.body + '>'), false);
                     },
                      [](ExchangeId) {},
                      {} });
    const std::uint16_t echoPort = freePort(loop);
    CHECK(echo->listen({ "127.0.0.1", echoPort }).ok());
    RawPeer caller = RawPeer::connect(loop, echoPort);
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        const std::string body(static_cast<std::size_t>(1 + i * 7 % 400),
                               static_cast<char>('a' + i % 26));
        bytes += "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }
    caller.send(bytes);
    const auto count = [&] {
        return std::count(caller.received().begin(), caller.received().end(), '>');
    };
    CHECK(waitFor([&] { return count() == 300; }));
}

TEST(NetHttpServer, ReportsACallerThatDisconnectedBeforeItsResponse)
{
    RawPeer caller = RawPeer::connect(loop, port);
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(get + get);
    CHECK(waitFor([&] { return dispatched.size() == 2; }));
    caller.close();
    CHECK(waitFor([&] { return aborted.size() == 2; }));
    server->respond(dispatched[0].id, makeResponse("too late"), false);
    CHECK_EQUAL(0U, server->pendingCount());
}

// Guards against requests that stay pending for a caller that has left, where so many are pending
// that the connection is not read and the close is not seen.
TEST(NetHttpServer, AbortsPipelinedRequestsOfACallerThatClosedWhileReadingWasPaused)
{
    RawPeer caller = RawPeer::connect(loop, port);
    std::string requests;
    for (int i = 0; i < 60; ++i)
        requests += "GET /" + std::to_string(i)
            + " HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n";
    caller.send(requests);
    CHECK(waitFor([&] { return dispatched.size() > 32; }));
    caller.close();
    CHECK(waitFor([&] { return aborted.size() == dispatched.size(); }));
}

// Guards against work for requests that were aborted by the response to one before them.
TEST(NetHttpServer, DispatchesNoRequestBehindOneWhoseResponseClosesTheConnection)
{
    server.reset();
    std::vector<std::string> seen;
    std::unique_ptr<HttpServer> closing;
    ExchangeId first = 0;
    closing = std::make_unique<HttpServer>(
        loop, budget, [] { return ServerLimits(); },
        ServerHooks { [&](ExchangeId id, Request &&request) {
                         seen.push_back(request.target);
                         if (request.target == "/first")
                             first = id;
                         else
                             closing->respond(id, makeResponse("bye"), true);
                     },
                      [](ExchangeId) {},
                      {} });
    const std::uint16_t closingPort = freePort(loop);
    CHECK(closing->listen({ "127.0.0.1", closingPort }).ok());
    RawPeer caller = RawPeer::connect(loop, closingPort);
    caller.send("POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                "GET /third HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(waitFor([&] { return first != 0; }));
    loop.poll();
    closing->respond(first, makeResponse("one"), false);
    CHECK(waitFor([&] { return caller.isEnded(); }));
    CHECK(std::find(seen.begin(), seen.end(), "/third") == seen.end());
}

// A planned stop must not cut what has been accepted: part of a request, a request that waits
// for its response, and a response that the caller has not read.
TEST(NetHttpServer, IsBusyUntilTheLastResponseIsWritten)
{
    CHECK_FALSE(server->isBusy());
    RawPeer caller = RawPeer::connect(loop, port);
    caller.send("GET /a HTTP/1.1\r\n");
    CHECK(waitFor([&] { return server->isBusy(); }));
    caller.send("Host: h\r\n\r\n");
    CHECK(waitFor([&] { return dispatched.size() == 1; }));
    CHECK(server->isBusy());
    boost::asio::ip::tcp::socket slow(loop); // reads nothing until later
    slow.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(slow, boost::asio::buffer("GET /b HTTP/1.1\r\nHost: h\r\n\r\n", 28));
    CHECK(waitFor([&] { return dispatched.size() == 2; }));
    server->respond(dispatched[0].id, makeResponse("yes"), false);
    const std::size_t bodyBytes = 16 * 1024 * 1024;
    server->respond(dispatched[1].id, makeResponse(std::string(bodyBytes, 'x')), false);
    CHECK(waitFor([&] { return caller.received().find("yes") != std::string::npos; }));
    CHECK_EQUAL(0U, server->pendingCount());
    CHECK(server->isBusy());
    std::size_t received = 0;
    std::vector<char> buffer(1 << 20);
    while (received < bodyBytes) {
        loop.poll();
        received += slow.read_some(boost::asio::buffer(buffer));
    }
    CHECK(waitFor([&] { return !server->isBusy(); }));
}

TEST(NetHttpServer, ClosesIdleConnectionsWhenDraining)
{
    RawPeer idle = RawPeer::connect(loop, port);
    RawPeer busy = RawPeer::connect(loop, port);
    busy.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(waitFor([&] { return dispatched.size() == 1; }));
    server->beginDrain();
    CHECK(waitFor([&] { return idle.isEnded(); }));
    CHECK(!busy.isEnded());
    server->respond(dispatched[0].id, makeResponse("last"), false);
    CHECK(waitFor([&] { return busy.isEnded(); }));
    CHECK(busy.received().find("last") != std::string::npos);
}

// Guards against a response without a status of HTTP that reaches a caller.
TEST(NetHttpServer, AStatusThatIsNoneOfHttpIsWrittenAs502)
{
    for (const int status : { 0, 99, 101, 600, 999 }) {
        const std::string bytes = serializeResponse(makeResponse("x", status), false, false);
        STRNCMP_EQUAL("HTTP/1.1 502 ", bytes.c_str(), 13);
    }
}

// Guards against a part of a request that is dispatched as the whole one because the caller's
// connection ends, also where the response before it is being written and meets the end first.
TEST(NetHttpServer, DispatchesNoPartOfARequestWhoseConnectionEnds)
{
    enum class Ending { Close, Reset, ShutDownSend };
    const std::string parts[] = {
        "GET /part HTTP/1.1\r\nHost: h\r\n",
        "POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n",
        "POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\npart",
        "POST /part HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "POST /part HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
    };
    const std::string whole = "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string longText(16 * 1024 * 1024, 'x'); // more than both sockets hold
    for (const std::string &part : parts) {
        for (const Ending ending : { Ending::Close, Ending::Reset, Ending::ShutDownSend }) {
            for (const bool isWriting : { true, false }) {
                dispatched.clear();
                boost::asio::ip::tcp::socket caller(loop); // reads nothing
                caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
                if (isWriting) {
                    boost::asio::write(caller, boost::asio::buffer(whole));
                    CHECK(waitFor([&] { return dispatched.size() == 1; }));
                    server->respond(dispatched[0].id, makeResponse(longText), false);
                    CHECK(waitFor([&] { return caller.available() > 0; }));
                }
                boost::asio::write(caller, boost::asio::buffer(part));
                if (!isWriting)
                    CHECK_TEXT(waitFor([&] { return server->isBusy(); }), part.c_str());
                if (ending == Ending::ShutDownSend)
                    caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
                if (ending == Ending::Reset)
                    caller.set_option(boost::asio::socket_base::linger(true, 0));
                if (ending != Ending::ShutDownSend)
                    caller.close();
                CHECK_TEXT(waitFor([&] { return server->connectionCount() == 0; }), part.c_str());
                CHECK_EQUAL_TEXT(isWriting ? 1U : 0U, dispatched.size(), part.c_str());
                CHECK_EQUAL(0U, server->pendingCount());
            }
        }
    }
}
