// How a response ends whose target resets or closes the connection while the request is still
// being written. Target and client share one thread, so that what has happened on the connection
// before the client's next step is the same in each run.
#include <cstring>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "bluebellshift/net/httpclient.h"
#include "bluebellshift/net/testing/looptools.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::net;
using namespace bluebellshift::net::testing;

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t longBody = 16 * 1024 * 1024; // more than both sockets hold
constexpr std::size_t shortBody = 4;
constexpr int maxSteps = 40;   // of the loop, before the target responds or after it
constexpr int stepsBefore = 5; // before a response whose connection ends later

const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const std::string unbounded = head + "\r\npart"; // its body ends with the connection
const std::string wholeResponse = head + "Content-Length: 4\r\n\r\npart";

std::string requestWithBody(std::size_t size)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: "
        + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
}

// How much of the request the target has read when it responds.
enum class Reads { Nothing, WhatArrives, All };

enum class Ending {
    Reset,
    Close,        // which the kernel makes a reset if bytes of the request are unread
    ShutDownSend, // the target goes on reading
    ShutDownSendThenReset,
    ShutDownSendThenClose,
};

struct EndingCase
{
    const char *name;
    std::string bytes;
    Ending ending;
    std::size_t bodySize;
    Reads reads;
    CallOutcome outcome;
    bool isLater = false; // the ending comes some steps after the response
};

const EndingCase resetCases[] = {
    { "no length, nothing read", unbounded, Ending::Reset, longBody, Reads::Nothing,
      CallOutcome::Cut },
    { "no length, being read", unbounded, Ending::Reset, longBody, Reads::WhatArrives,
      CallOutcome::Cut },
    { "no length, all read", unbounded, Ending::Reset, longBody, Reads::All, CallOutcome::Cut },
    { "no length, short request", unbounded, Ending::Reset, shortBody, Reads::All,
      CallOutcome::Cut },
    { "no length, short request not read", unbounded, Ending::Reset, shortBody, Reads::Nothing,
      CallOutcome::Cut },
    { "no length, before the body", head + "\r\n", Ending::Reset, longBody, Reads::WhatArrives,
      CallOutcome::Cut },
    { "no length, after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + unbounded,
      Ending::Reset, longBody, Reads::WhatArrives, CallOutcome::Cut },
    { "no length, closed with unread bytes", unbounded, Ending::Close, longBody, Reads::Nothing,
      CallOutcome::Cut },
    { "no length, short request, closed with unread bytes", unbounded, Ending::Close, shortBody,
      Reads::Nothing, CallOutcome::Cut },
    { "no length, reset later, nothing read", unbounded, Ending::Reset, longBody, Reads::Nothing,
      CallOutcome::Cut, true },
    { "no length, reset later, being read", unbounded, Ending::Reset, longBody, Reads::WhatArrives,
      CallOutcome::Cut, true },
    { "no length, short request, reset later", unbounded, Ending::Reset, shortBody, Reads::All,
      CallOutcome::Cut, true },
    { "in the head", head, Ending::Reset, longBody, Reads::WhatArrives, CallOutcome::Cut },
    { "nothing sent", "", Ending::Reset, longBody, Reads::WhatArrives, CallOutcome::Cut },
    { "interim response only", "HTTP/1.1 103 Early Hints\r\n\r\n", Ending::Reset, longBody,
      Reads::WhatArrives, CallOutcome::Cut },
    { "chunked without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      Ending::Reset, longBody, Reads::WhatArrives, CallOutcome::Cut },
    { "shorter than its length", head + "Content-Length: 5\r\n\r\npart", Ending::Reset, longBody,
      Reads::WhatArrives, CallOutcome::Cut },
};

// What is complete before the connection breaks stays complete.
const EndingCase completeCases[] = {
    { "no length, send side closed, nothing read", unbounded, Ending::ShutDownSend, longBody,
      Reads::Nothing, CallOutcome::Answered },
    { "no length, send side closed, being read", unbounded, Ending::ShutDownSend, longBody,
      Reads::WhatArrives, CallOutcome::Answered },
    { "no length, send side closed, all read", unbounded, Ending::ShutDownSend, longBody,
      Reads::All, CallOutcome::Answered },
    { "no length, send side closed, short request", unbounded, Ending::ShutDownSend, shortBody,
      Reads::All, CallOutcome::Answered },
    { "no length, send side closed, then closed, nothing read", unbounded,
      Ending::ShutDownSendThenClose, longBody, Reads::Nothing, CallOutcome::Answered },
    { "no length, send side closed, then closed, being read", unbounded,
      Ending::ShutDownSendThenClose, longBody, Reads::WhatArrives, CallOutcome::Answered },
    { "no length, closed, all read", unbounded, Ending::Close, longBody, Reads::All,
      CallOutcome::Answered },
    { "no length, send side closed, then reset, nothing read", unbounded,
      Ending::ShutDownSendThenReset, longBody, Reads::Nothing, CallOutcome::Answered },
    { "no length, send side closed, then reset, being read", unbounded,
      Ending::ShutDownSendThenReset, longBody, Reads::WhatArrives, CallOutcome::Answered },
    { "no length, send side closed later, nothing read", unbounded, Ending::ShutDownSend, longBody,
      Reads::Nothing, CallOutcome::Answered, true },
    { "no length, send side closed later, then reset, being read", unbounded,
      Ending::ShutDownSendThenReset, longBody, Reads::WhatArrives, CallOutcome::Answered, true },
    { "no length, send side closed later, then closed, being read", unbounded,
      Ending::ShutDownSendThenClose, longBody, Reads::WhatArrives, CallOutcome::Answered, true },
    { "with a length, reset", wholeResponse, Ending::Reset, longBody, Reads::WhatArrives,
      CallOutcome::Answered },
    { "with a length, closed with unread bytes", wholeResponse, Ending::Close, longBody,
      Reads::Nothing, CallOutcome::Answered },
    { "with the last chunk, reset",
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", Ending::Reset, longBody,
      Reads::WhatArrives, CallOutcome::Answered },
};

} // namespace

TEST_GROUP(NetResetResponse)
{
    boost::asio::io_context loop;
    ByteBudget budget { 256 * 1024 * 1024 };
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::optional<tcp::socket> target;
    std::size_t readBytes = 0; // of the request, by the target
    std::optional<CallResult> result;
    CallOptions options;

    void setup() override
    {
        client = std::make_unique<HttpClient>(loop, budget);
        acceptor = std::make_unique<tcp::acceptor>(
            loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        options.idHeader = "Request-Id";
        options.requestId = "r1";
        options.timeout = core::Duration::seconds(600); // no outcome here may be one of time
    }
    void teardown() override
    {
        client.reset();
    }

    void call(const std::string &request)
    {
        result.reset();
        client->start({ "127.0.0.1", acceptor->local_endpoint().port() }, "pool", request, options,
                      [this](CallResult &&got) { result = std::move(got); });
    }
    // Returns once the target has a part of the request, so that the client is connected.
    void acceptTarget()
    {
        target.reset();
        acceptor->async_accept(loop, [this](error_code error, tcp::socket socket) {
            if (!error)
                target = std::move(socket);
        });
        CHECK(runUntil(loop, [this] { return target && target->available() > 0; }));
        target->non_blocking(true);
        readBytes = 0;
    }
    void step()
    {
        if (loop.stopped())
            loop.restart();
        loop.poll_one();
    }
    // Reads all that has arrived.
    void drain()
    {
        static char buffer[256 * 1024];
        error_code error;
        while (!error)
            readBytes += target->read_some(boost::asio::buffer(buffer), error);
    }
    // Steps the loop `steps` times, or until the target has read `requestSize` bytes.
    void transfer(Reads reads, int steps, std::size_t requestSize)
    {
        if (reads == Reads::All) {
            CHECK(runUntil(loop, [&] {
                drain();
                return readBytes >= requestSize;
            }));
            return;
        }
        for (int i = 0; i < steps; ++i) {
            if (reads == Reads::WhatArrives)
                drain();
            step();
        }
        if (reads == Reads::WhatArrives)
            drain();
    }
    void send(const std::string &bytes)
    {
        target->non_blocking(false);
        boost::asio::write(*target, boost::asio::buffer(bytes));
        target->non_blocking(true);
    }
    void end(Ending ending)
    {
        if (ending != Ending::Reset && ending != Ending::Close)
            target->shutdown(tcp::socket::shutdown_send);
        if (ending == Ending::Reset || ending == Ending::ShutDownSendThenReset)
            target->set_option(boost::asio::socket_base::linger(true, 0));
        if (ending != Ending::ShutDownSend)
            target->close();
    }
    void check(const EndingCase &testCase, int steps, bool isReused)
    {
        const std::string name = std::string(testCase.name) + ", step " + std::to_string(steps);
        CHECK_TEXT(runUntil(loop, [this] { return result.has_value(); }), name.c_str());
        STRCMP_EQUAL_TEXT(toText(testCase.outcome), toText(result->outcome), name.c_str());
        CHECK_EQUAL_TEXT(isReused, result->isReused, name.c_str());
        if (testCase.outcome == CallOutcome::Answered)
            STRCMP_EQUAL_TEXT("part", result->response->body.c_str(), name.c_str());
    }
    // Plays a case for each number of steps: the end of the connection meets the client's reads
    // and writes in every order.
    void play(const EndingCase &testCase, bool isReused)
    {
        const std::string request = requestWithBody(testCase.bodySize);
        const std::string earlier = requestWithBody(0);
        for (int steps = 0; steps <= maxSteps; ++steps) {
            if (isReused) {
                call(earlier);
                acceptTarget();
                transfer(Reads::All, 0, earlier.size());
                send(wholeResponse);
                CHECK(runUntil(loop, [this] { return result.has_value(); }));
                readBytes = 0;
                call(request);
            } else {
                call(request);
                acceptTarget();
            }
            transfer(testCase.reads, testCase.isLater ? stepsBefore : steps, request.size());
            if (!testCase.bytes.empty())
                send(testCase.bytes);
            if (testCase.isLater)
                transfer(testCase.reads, steps, request.size());
            end(testCase.ending);
            check(testCase, steps, isReused);
        }
    }
};

// Guards against a part of a response without a length that reaches the caller as the whole one:
// the target resets the connection while the request is still being written.
TEST(NetResetResponse, AResponseThatIsResetIsCut)
{
    for (const EndingCase &testCase : resetCases)
        play(testCase, false);
}

TEST(NetResetResponse, AResponseThatIsResetOnAReusedConnectionIsCut)
{
    for (const EndingCase &testCase : resetCases)
        play(testCase, true);
}

// Guards against a complete response that is lost because the target then stops reading.
TEST(NetResetResponse, AResponseThatIsCompleteBeforeTheEndIsAnswered)
{
    for (const EndingCase &testCase : completeCases)
        play(testCase, false);
}

TEST(NetResetResponse, AResponseThatIsCompleteBeforeTheEndIsAnsweredOnAReusedConnection)
{
    for (const EndingCase &testCase : completeCases)
        play(testCase, true);
}
