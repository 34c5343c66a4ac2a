#include <atomic>
#include <string>

#include "bluebellshift/http/httpserver.h"
#include "bluebellshift/http/testing/rawsocket.h"
#include "bluebellshift/standin/testing/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::http;
using bluebellshift::standin::RawConnection;
using testing::exchange;

namespace {

HttpResponse errorResponse(int status, const std::string &message)
{
    HttpResponse response;
    response.status = status;
    response.body = message;
    return response;
}

// Echoes the request's method, path, query and body.
HttpResponse echo(const HttpRequest &request)
{
    HttpResponse response;
    response.headers = { { "Set-Cookie", "a=1" }, { "Set-Cookie", "b=2" } };
    response.body = request.method + " " + request.path + "|" + request.query + "|" + request.body;
    return response;
}

std::string statusOf(const std::string &answer)
{
    return answer.size() < 12 ? std::string() : answer.substr(9, 3);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(HttpServer)
{
    bluebellshift::core::Endpoint endpoint { "127.0.0.1", testing::freePort() };
    HttpServerOptions options { endpoint, 100, 2048, 10, 100, 5 };
    HttpServer server { options, echo, errorResponse };

    void setup() override
    {
        CHECK(server.start().ok());
    }

    std::string send(const std::string &request)
    {
        return exchange(endpoint.port, request);
    }
};

TEST(HttpServer, RejectsRequestsThatViolateALimitOrTheProtocol)
{
    std::string manyHeaders = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 20; ++i)
        manyHeaders += "X-" + std::to_string(i) + ": y\r\n";
    const std::string longHeader =
        "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(3000, 'y') + "\r\n\r\n";
    const std::string longBody =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'y');
    const std::string longChunk =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n"
        + std::string(200, 'y') + "\r\n0\r\n\r\n";
    const struct
    {
        const char *name;
        std::string request;
        const char *status;
    } cases[] = {
        { "valid", "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", "200" },
        // libmicrohttpd closes the connection without a response if it is not HTTP at all.
        { "not HTTP", "nonsense\r\n\r\n", "" },
        { "no colon", "GET / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", "400" },
        { "no host", "GET / HTTP/1.1\r\n\r\n", "400" },
        { "both lengths",
          "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\n\r\n",
          "400" },
        { "bad length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", "400" },
        { "many headers", manyHeaders + "\r\n", "431" },
        { "long header", longHeader, "431" },
        { "long body", longBody, "413" },
        { "long chunked body", longChunk, "413" },
    };
    for (const auto &c : cases)
        STRCMP_EQUAL_TEXT(c.status, statusOf(send(c.request)).c_str(), c.name);
}

TEST(HttpServer, PassesPathQueryAndBodyUnaltered)
{
    const std::string body("a=b&c\0%41\xff\xfe", 11);
    const std::string answer =
        send("POST /p%20q/r?x=%41+1 HTTP/1.1\r\nHost: x\r\n"
             "Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 11\r\n\r\n"
             + body);
    CHECK_TEXT(contains(answer, "POST /p%20q/r|x=%41+1|" + body), answer.c_str());
}

TEST(HttpServer, SendsAllHeadersOfTheSameName)
{
    const std::string answer = send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(contains(answer, ": a=1"));
    CHECK(contains(answer, ": b=2"));
}

// Guards against a part of a request that is handled as the whole one because its connection ends.
TEST(HttpServer, HandlesNoPartOfARequestWhoseConnectionEnds)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string parts[] = {
        post,
        post + "Content-Length: 5\r\n\r\n",
        post + "Content-Length: 5\r\n\r\npart",
        post + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    };
    std::atomic<int> handled { 0 };
    HttpServerOptions countedOptions = options;
    countedOptions.listen.port = testing::freePort();
    HttpServer counted { countedOptions,
                         [&](const HttpRequest &request) {
                             ++handled;
                             return echo(request);
                         },
                         errorResponse };
    CHECK(counted.start().ok());
    for (const std::string &part : parts) {
        RawConnection closed(countedOptions.listen.port);
        closed.send(part);
        closed.shutDownSend();
        closed.waitForEnd();
        RawConnection reset(countedOptions.listen.port);
        reset.send(part);
        reset.reset();
        CHECK_EQUAL_TEXT(0, handled.load(), part.c_str());
    }
    STRCMP_EQUAL(
        "200",
        statusOf(testing::exchange(countedOptions.listen.port, post + "Content-Length: 0\r\n\r\n"))
            .c_str());
    CHECK_EQUAL(1, handled.load());
}
