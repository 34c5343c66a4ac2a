#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

#include "bluebellshift/load/httploop.h"
#include "bluebellshift/standin/testing/rawsocket.h"

using namespace bluebellshift::core;
using namespace bluebellshift::load;
using namespace bluebellshift::standin;

namespace {

const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const char unboundedReply[] = "HTTP/1.1 200 OK\r\n\r\npart"; // ends with the connection
constexpr std::size_t longBody = 16 * 1024 * 1024;           // more than both sockets hold
constexpr std::size_t bytesBetweenTries = 256 * 1024;

HttpResult runCall(HttpLoop &loop, std::uint16_t port, bool forbidsResend, std::string body = {})
{
    HttpCall call;
    call.body = std::move(body);
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    call.forbidsResend = forbidsResend;
    HttpResult last;
    loop.start(std::move(call), [&last](const HttpResult &result) { last = result; });
    loop.run();
    return last;
}

} // namespace

TEST_GROUP(HttpLoop) {};

TEST(HttpLoop, RequestIsNotUnsentIfOnlyTheResendFailedToConnect)
{
    auto listener = std::make_unique<RawListener>();
    const std::uint16_t port = listener->port();
    std::thread server([&listener] {
        RawConnection connection = listener->accept();
        connection.readUntil("\r\n\r\n");
        connection.send(reply);
        connection.readUntil("\r\n\r\n"); // the second request arrives
        listener.reset();                 // and the port is closed
    });
    HttpLoop loop;
    CHECK(runCall(loop, port, false).isComplete);
    const HttpResult second = runCall(loop, port, false);
    server.join();
    CHECK_FALSE(second.isComplete);
    CHECK_FALSE(second.isUnsent);
    CHECK_TRUE(runCall(loop, port, false).isUnsent);
}

TEST(HttpLoop, RequestThatForbidsResendUsesItsOwnConnection)
{
    RawListener listener;
    std::thread server([&listener] {
        for (int i = 0; i < 3; ++i) {
            RawConnection connection = listener.accept();
            connection.readUntil("\r\n\r\n");
            if (i < 2)
                connection.send(reply);
        }
    });
    HttpLoop loop;
    CHECK(runCall(loop, listener.port(), true).isComplete);
    CHECK(runCall(loop, listener.port(), true).isComplete);
    CHECK_FALSE(runCall(loop, listener.port(), true).isComplete);
    server.join();
    CHECK_FALSE(listener.hasConnection());
}

// Guards against a response that counts although its status is none of HTTP's.
TEST(HttpLoop, AResponseWithoutAFinalStatusIsNotComplete)
{
    for (const char *status : { "000", "099", "600", "999" }) {
        RawListener listener;
        std::thread server([&] {
            RawConnection connection = listener.accept();
            connection.readUntil("\r\n\r\n");
            connection.send(std::string("HTTP/1.1 ") + status
                            + " X\r\nContent-Length: 2\r\n\r\nok");
        });
        HttpLoop loop;
        const bool isComplete = runCall(loop, listener.port(), true).isComplete;
        server.join();
        CHECK_FALSE_TEXT(isComplete, status);
    }
}

// Guards against a part of a reply without a length that counts as the whole one: the server resets
// the connection while the request is still being written.
TEST(HttpLoop, AReplyThatIsResetDuringTheUploadIsNotComplete)
{
    for (std::size_t i = 0; i < 20; ++i) {
        const std::chrono::milliseconds pause(i % 2 == 0 ? 0 : 5);
        EarlyReplier server(unboundedReply, EarlyReplier::Ending::Reset, i * bytesBetweenTries,
                            pause);
        HttpLoop loop;
        CHECK_FALSE(runCall(loop, server.port(), true, std::string(longBody, 'b')).isComplete);
    }
}

TEST(HttpLoop, AReplyThatEndsWithACloseDuringTheUploadIsComplete)
{
    EarlyReplier server(unboundedReply, EarlyReplier::Ending::ShutDownSend, bytesBetweenTries);
    HttpLoop loop;
    const HttpResult result = runCall(loop, server.port(), true, std::string(longBody, 'b'));
    CHECK_TRUE(result.isComplete);
    STRCMP_EQUAL("part", result.body.c_str());
}

TEST(HttpLoop, TasksRunInOrderOfTime)
{
    HttpLoop loop;
    std::string order;
    const auto now = HttpLoop::Clock::now();
    loop.runAt(now + std::chrono::milliseconds(2), [&] { order += "b"; });
    loop.runAt(now, [&] {
        order += "a";
        loop.runAt(now + std::chrono::milliseconds(4), [&] { order += "c"; });
    });
    loop.run();
    STRCMP_EQUAL("abc", order.c_str());
}
