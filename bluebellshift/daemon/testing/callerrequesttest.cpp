#include <string>

#include "bluebellshift/daemon/callerrequest.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using daemon::parseCallerRequest;

namespace {

constexpr char key[] = "a-key-of-multan";

http::HttpRequest requestTo(const std::string &path)
{
    http::HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers = { { "authorization", std::string("Bearer ") + key } };
    return request;
}

const std::string *findHeader(const std::vector<core::Header> &headers, const std::string &name)
{
    for (const core::Header &header : headers) {
        if (header.name == name)
            return &header.value;
    }
    return nullptr;
}

} // namespace

TEST_GROUP(CallerRequest) {};

TEST(CallerRequest, RejectsPathsThatATargetMightReadDifferently)
{
    const struct
    {
        const char *path;
        bool isAccepted;
    } cases[] = {
        { "/s/rota", true },
        { "/s/rota/", true },
        { "/s/rota/turns/3", true },
        { "/s/rota/turns/", true },
        { "/s/rota/name%20with%20space", true },
        { "/s/", false },
        { "/s/rota//turns", false },
        { "/s/rota/about/../turns/swap", false },
        { "/s/rota/./turns", false },
        { "/s/rota/about/%2e%2e/turns/swap", false },
        { "/s/rota/about%2fturns", false },
        { "/s/rota/%74urns/swap", false },
        { "/s/rota/about%5Cturns", false },
        { "/s/rota/about%00", false },
        { "/s/rota/about%", false },
        { "/s/rota/about%zz", false },
        { "/s/rota/a;b", false },
        { "/s/rota/a\\b", false },
    };
    for (const auto &c : cases)
        CHECK_EQUAL_TEXT(c.isAccepted, parseCallerRequest(requestTo(c.path)).ok(), c.path);
}

TEST(CallerRequest, NeverForwardsTheCallersKey)
{
    http::HttpRequest request = requestTo("/s/rota/turns");
    request.headers.push_back({ "X-Copy", std::string("my key is ") + key });
    request.headers.push_back({ "X-Other", "kept" });
    const auto parsed = parseCallerRequest(request);
    CHECK(parsed.ok());
    for (const core::Header &header : parsed->request.headers)
        CHECK(header.value.find(key) == std::string::npos);
    CHECK(findHeader(parsed->request.headers, "X-Other") != nullptr);

    request = requestTo("/s/rota/turns");
    request.query = std::string("key=") + key;
    CHECK_FALSE(parseCallerRequest(request).ok());
    request = requestTo("/s/rota/turns");
    request.body = std::string("{\"key\":\"") + key + "\"}";
    CHECK_FALSE(parseCallerRequest(request).ok());
}

TEST(CallerRequest, DropsHopByHopAndReservedHeaders)
{
    http::HttpRequest request = requestTo("/s/rota/turns");
    request.headers.push_back({ "Connection", "close, X-Private" });
    request.headers.push_back({ "X-Private", "1" });
    request.headers.push_back({ "Transfer-Encoding", "chunked" });
    request.headers.push_back({ "Bluebellshift-Ticket-Id", "forged" });
    request.headers.push_back({ "Accept", "*/*" });
    const auto parsed = parseCallerRequest(request);
    CHECK(parsed.ok());
    LONGS_EQUAL(1, parsed->request.headers.size());
    STRCMP_EQUAL("Accept", parsed->request.headers[0].name.c_str());
}

TEST(CallerRequest, ParsesDeadlines)
{
    const struct
    {
        const char *text;
        bool isAccepted;
    } cases[] = { { "1", true }, { "250", true }, { "0", false },         { "-5", false },
                  { "", false }, { "5s", false }, { "9999999999", false } };
    for (const auto &c : cases) {
        http::HttpRequest request = requestTo("/s/rota/turns");
        request.headers.push_back({ "Bluebellshift-Deadline-Ms", c.text });
        CHECK_EQUAL_TEXT(c.isAccepted, parseCallerRequest(request).ok(), c.text);
    }
}

TEST(CallerRequest, SplitsServicePathAndQuery)
{
    http::HttpRequest request = requestTo("/s/fund/pay/7");
    request.query = "note=a%20b";
    const auto parsed = parseCallerRequest(request);
    CHECK(parsed.ok());
    STRCMP_EQUAL("fund", parsed->event.service.text().c_str());
    STRCMP_EQUAL("/pay/7", parsed->event.path.c_str());
    STRCMP_EQUAL("/pay/7?note=a%20b", parsed->request.pathAndQuery.c_str());
    CHECK(parsed->event.hasKey);
    LONGS_EQUAL(64, parsed->event.keyDigest.text().size());
}
