#include <string>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/http/forwarder.h"
#include "bluebellshift/http/testing/rawsocket.h"
#include "bluebellshift/standin/testing/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using core::AttemptOutcome;
using http::Forwarder;
using http::testing::RawServer;
using standin::EarlyReplier;

namespace {

constexpr std::size_t maxAnswerBytes = 1000;

http::ForwardAttempt attemptTo(std::uint16_t port, const base::Clock &clock)
{
    http::ForwardAttempt attempt;
    attempt.endpoint = { "127.0.0.1", port };
    attempt.method = "POST";
    attempt.pathAndQuery = "/pay?x=1";
    attempt.body = "amount=5";
    attempt.deadline = clock.now() + core::Duration::seconds(5);
    attempt.validUntil = attempt.deadline;
    return attempt;
}

bool neverCancelled()
{
    return false;
}

} // namespace

TEST_GROUP(Forwarder)
{
    base::Clock clock = base::systemClock();
    Forwarder forwarder { { maxAnswerBytes, 4, core::Duration::millis(500) }, clock };
};

TEST(Forwarder, AcceptsOnlyCompleteResponses)
{
    const std::string large(maxAnswerBytes + 1, 'x');
    const struct
    {
        const char *name;
        std::string answer;
        AttemptOutcome outcome;
    } cases[] = {
        { "complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AttemptOutcome::Answered },
        { "complete in chunks",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
          AttemptOutcome::Answered },
        { "error status", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
          AttemptOutcome::Answered },
        { "no content", "HTTP/1.1 204 None\r\n\r\n", AttemptOutcome::Answered },
        { "truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", AttemptOutcome::Cut },
        { "truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
          AttemptOutcome::Cut },
        { "no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
          AttemptOutcome::Cut },
        { "delimited by the end of the connection", "HTTP/1.1 200 OK\r\n\r\nok",
          AttemptOutcome::Cut },
        { "status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", AttemptOutcome::Cut },
        { "status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", AttemptOutcome::Cut },
        { "status 600", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok", AttemptOutcome::Cut },
        { "status 999", "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", AttemptOutcome::Cut },
        { "no response", "", AttemptOutcome::Cut },
        { "interim response only", "HTTP/1.1 100 Continue\r\n\r\n", AttemptOutcome::Cut },
        { "too large",
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large,
          AttemptOutcome::TooLarge },
        { "shed", "HTTP/1.1 503 Busy\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n",
          AttemptOutcome::Shed },
        { "503 without Not-Run", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
          AttemptOutcome::Answered },
    };
    for (const auto &c : cases) {
        RawServer server([&c](const std::string &) { return c.answer; });
        const Forwarder::Result result =
            forwarder.send(attemptTo(server.port(), clock), neverCancelled);
        LONGS_EQUAL_TEXT(static_cast<int>(c.outcome), static_cast<int>(result.outcome), c.name);
        LONGS_EQUAL_TEXT(1, server.requestCount(), c.name);
        const bool hasFinalStatus =
            !c.answer.empty() && core::isFinalStatus(std::atoi(c.answer.c_str() + 9));
        CHECK_EQUAL_TEXT(hasFinalStatus, result.answerBegun, c.name);
    }
}

// Guards against a part of a response without a length that is taken as the whole one: the target
// resets the connection while the request is still being written.
TEST(Forwarder, AResponseThatIsResetDuringTheUploadIsCut)
{
    constexpr std::size_t longBody = 16 * 1024 * 1024; // more than both sockets hold
    constexpr std::size_t bytesBetweenTries = 256 * 1024;
    for (std::size_t i = 0; i < 20; ++i) {
        const std::chrono::milliseconds pause(i % 2 == 0 ? 0 : 5);
        EarlyReplier target("HTTP/1.1 200 OK\r\n\r\npart", EarlyReplier::Ending::Reset,
                            i * bytesBetweenTries, pause);
        http::ForwardAttempt attempt = attemptTo(target.port(), clock);
        attempt.body.assign(longBody, 'b');
        const Forwarder::Result result = forwarder.send(attempt, neverCancelled);
        LONGS_EQUAL(static_cast<int>(AttemptOutcome::Cut), static_cast<int>(result.outcome));
        CHECK(!result.answer);
    }
}

TEST(Forwarder, NeverSendsAfterTheLeaseExpired)
{
    RawServer server([](const std::string &) { return std::string(); });
    http::ForwardAttempt attempt = attemptTo(server.port(), clock);
    attempt.validUntil = clock.now() - core::Duration::millis(1);
    LONGS_EQUAL(static_cast<int>(AttemptOutcome::NeverSent),
                static_cast<int>(forwarder.send(attempt, neverCancelled).outcome));
}

TEST(Forwarder, ReportsARefusedConnectionAsConnectFailed)
{
    const http::ForwardAttempt attempt = attemptTo(http::testing::freePort(), clock);
    LONGS_EQUAL(static_cast<int>(AttemptOutcome::ConnectFailed),
                static_cast<int>(forwarder.send(attempt, neverCancelled).outcome));
}

TEST(Forwarder, StopsWhenCancelled)
{
    // The server sends only an interim response and closes, so either outcome is right.
    RawServer server([](const std::string &request) {
        return request.empty() ? std::string() : std::string("HTTP/1.1 100 Continue\r\n\r\n");
    });
    http::ForwardAttempt attempt = attemptTo(server.port(), clock);
    attempt.headers.push_back({ "Load", "none" });
    int asked = 0;
    const Forwarder::Result result = forwarder.send(attempt, [&asked] { return ++asked > 1; });
    CHECK(result.outcome == AttemptOutcome::Cancelled || result.outcome == AttemptOutcome::Cut);
}

TEST(Forwarder, SendsHeadersAndPathUnchanged)
{
    std::string seen;
    RawServer server([&seen](const std::string &request) {
        seen = request;
        return std::string("HTTP/1.1 200 OK\r\nLoad-Report: 2/3\r\nContent-Length: 0\r\n\r\n");
    });
    http::ForwardAttempt attempt = attemptTo(server.port(), clock);
    attempt.headers = { { "X-Empty", "" }, { "X-Full", "v" } };
    const Forwarder::Result result = forwarder.send(attempt, neverCancelled);
    LONGS_EQUAL(2, result.reportedBusySlots);
    CHECK(seen.find("POST /pay?x=1 HTTP/1.1\r\n") == 0);
    CHECK(seen.find("X-Empty:\r\n") != std::string::npos);
    CHECK(seen.find("X-Full: v\r\n") != std::string::npos);
    CHECK(seen.find("Expect") == std::string::npos);
}
