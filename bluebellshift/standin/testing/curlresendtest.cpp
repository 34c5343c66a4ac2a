// libcurl resends a request automatically when a reused connection closes before
// the reply. These tests demonstrate this and guard against writes to the platform
// that are sent twice.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <curl/curl.h>
#include <thread>

#include "bluebellshift/platform/httpplatformclient.h"
#include "bluebellshift/standin/testing/rawsocket.h"

using namespace bluebellshift;
using namespace bluebellshift::core;
using namespace bluebellshift::standin;

namespace {

// Answers all requests but one. It reads that request to the end and closes the
// connection without a reply.
class ClosingServer
{
public:
    explicit ClosingServer(int closedRequest)
        : closedRequest_(closedRequest)
        , thread_([this] { run(); })
    {
    }
    ~ClosingServer()
    {
        isStopping_ = true;
        RawConnection wake(listener_.port());
        thread_.join();
    }

    std::uint16_t port() const { return listener_.port(); }
    int requests() const { return requests_; }
    int connections() const { return connections_; }

private:
    void run()
    {
        while (true) {
            RawConnection connection = listener_.accept();
            if (isStopping_)
                return;
            ++connections_;
            serve(connection);
        }
    }

    void serve(RawConnection &connection)
    {
        while (connection.waitForBytes()) {
            RawReply request; // also parses the headers of a request
            request.head = connection.readUntil("\r\n\r\n");
            connection.readBytes(
                std::strtoul(request.header("Content-Length").c_str(), nullptr, 10));
            if (++requests_ == closedRequest_)
                return connection.close();
            const std::string body = R"({"version":1,"kind":"k","name":"n","value":""})";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
        }
    }

    const int closedRequest_;
    std::atomic<int> requests_ { 0 };
    std::atomic<int> connections_ { 0 };
    std::atomic<bool> isStopping_ { false };
    RawListener listener_;
    std::thread thread_;
};

std::size_t discard(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

} // namespace

TEST_GROUP(CurlResend) {};

TEST(CurlResend, AReusedHandleSendsAPostTwiceAndReportsSuccess)
{
    ClosingServer server(2);
    CURL *curl = curl_easy_init();
    const std::string url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "body");
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &discard);
    LONGS_EQUAL(CURLE_OK, curl_easy_perform(curl));
    LONGS_EQUAL(CURLE_OK, curl_easy_perform(curl));
    LONGS_EQUAL_TEXT(3, server.requests(), "two requests were made");
    curl_easy_cleanup(curl);
}

TEST(CurlResend, AWriteToThePlatformIsSentOnce)
{
    for (const bool isDeletion : { false, true }) {
        for (int closed = 1; closed <= 4; ++closed) {
            ClosingServer server(closed);
            platform::HttpPlatformClient client({ "127.0.0.1", server.port() },
                                                platform::HttpPlatformOptions());
            for (int i = 1; i <= 4; ++i) {
                const PlatformOutcome outcome = isDeletion
                    ? client.remove("k", "n", Revision(1)).outcome
                    : client.write("k", "n", Revision(1), "body").outcome;
                CHECK((outcome == PlatformOutcome::Unknown) == (i == closed));
                LONGS_EQUAL(i, server.requests());
            }
            LONGS_EQUAL(4, server.connections());
        }
    }
}

TEST(CurlResend, AReadReusesItsConnectionAndMayBeRepeated)
{
    ClosingServer server(3);
    platform::HttpPlatformClient client({ "127.0.0.1", server.port() },
                                        platform::HttpPlatformOptions());
    for (int i = 0; i < 4; ++i)
        CHECK(client.read("k", "n").outcome == PlatformOutcome::Done);
    LONGS_EQUAL(5, server.requests());
    LONGS_EQUAL(2, server.connections());
}
