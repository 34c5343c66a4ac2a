// Checks the answers of a fake target on the wire, without faults and with each.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

#include "bluebellshift/standin/httpserver.h"
#include "bluebellshift/standin/targetserver.h"
#include "bluebellshift/standin/testing/rawsocket.h"

using namespace bluebellshift;
using namespace bluebellshift::core;
using namespace bluebellshift::standin;
using Json = nlohmann::json;

namespace {

TargetServerOptions optionsOf(int count, int slots)
{
    TargetServerOptions options;
    options.first = { "127.0.0.1", 0 };
    options.count = count;
    options.slots = slots;
    options.idPrefix = "rota";
    options.region = RegionId("punjab");
    return options;
}

std::string requestText(const std::string &caller, const std::string &ticket,
                        const std::string &body)
{
    std::string text = "POST /turns/swap?a=1 HTTP/1.1\r\nHost: target\r\n";
    text += "X-Caller-Id: " + caller + "\r\n";
    if (!ticket.empty())
        text += std::string(ticketIdHeader) + ": " + ticket + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

RawReply roundTrip(std::uint16_t port, const std::string &caller, const std::string &ticket = "",
                   const std::string &body = "body")
{
    RawConnection connection(port);
    connection.send(requestText(caller, ticket, body));
    return connection.readReply();
}

Json get(std::uint16_t port, const std::string &path)
{
    RawConnection connection(port);
    connection.send("GET " + path + " HTTP/1.1\r\nHost: target\r\n\r\n");
    return Json::parse(connection.readReply().body, nullptr, false);
}

int put(std::uint16_t port, const std::string &path, const std::string &body)
{
    RawConnection connection(port);
    connection.send("PUT " + path + " HTTP/1.1\r\nHost: target\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection.readReply().status;
}

} // namespace

TEST_GROUP(TargetContract) {};

TEST(TargetContract, AnAnswerDescribesTheRequestReceived)
{
    TargetServer server(optionsOf(2, 3));
    CHECK(server.start().ok());
    std::string binary = "text";
    for (int i = 0; i < 256; ++i)
        binary += static_cast<char>(i);
    const std::string bodies[] = { "", "a=1&b=%41+c", binary, std::string(300'000, 'z') };
    for (const std::string &body : bodies) {
        const RawReply reply = roundTrip(server.port(1), "family-7", "", body);
        LONGS_EQUAL(200, reply.status);
        STRCMP_EQUAL("0/3", reply.header(loadReportHeader).c_str());
        const Json json = Json::parse(reply.body);
        STRCMP_EQUAL("rota-1", json["target"].get<std::string>().c_str());
        STRCMP_EQUAL("punjab", json["region"].get<std::string>().c_str());
        STRCMP_EQUAL("/turns/swap?a=1", json["url"].get<std::string>().c_str());
        STRCMP_EQUAL("family-7", json["caller"].get<std::string>().c_str());
        LONGS_EQUAL(body.size(), json["length"].get<std::size_t>());
        STRCMP_EQUAL(hashOf(body).c_str(), json["hash"].get<std::string>().c_str());
    }
    LONGS_EQUAL(0, server.target(0).counts().requests);
}

TEST(TargetContract, EachFaultIsVisibleOnTheWire)
{
    const struct
    {
        const char *text;
        const char *faults;
        int status; // 0: no byte
        bool isWhole;
        bool isOwn; // the body belongs to this request
        const char *notRun;
        int runs;
    } cases[] = {
        { "none", "{}", 200, true, true, "", 1 },
        { "shed", R"({"shed":true})", 503, true, false, "true", 0 },
        { "error", R"({"status":500})", 500, true, true, "", 1 },
        { "late", R"({"late_ms":5})", 200, true, true, "", 1 },
        { "slow", R"({"slow_factor":9})", 200, true, true, "", 1 },
        { "cold", R"({"cold_ms":1000})", 200, true, true, "", 1 },
        { "closed", R"({"close":true})", 0, false, false, "", 1 },
        { "cut", R"({"cut":true})", 200, false, false, "", 1 },
        { "crossed", R"({"crossed":true})", 200, true, false, "", 1 },
        { "oversized", R"({"oversize_bytes":2000000})", 200, true, true, "", 1 },
        { "every second", R"({"close":true,"every":2})", 200, true, true, "", 1 },
        { "leaving", R"({"leaving":true})", 200, true, true, "", 1 },
        { "unhealthy", R"({"unhealthy":true})", 200, true, true, "", 1 },
    };
    for (const auto &c : cases) {
        TargetServer server(optionsOf(1, 3));
        CHECK(server.start().ok());
        LONGS_EQUAL_TEXT(200, put(server.port(0), "/standin/faults", c.faults), c.text);
        const RawReply reply = roundTrip(server.port(0), "family-7", "ticket-1");
        LONGS_EQUAL_TEXT(c.status, reply.status, c.text);
        CHECK_EQUAL_TEXT(c.isWhole, reply.isWhole, c.text);
        const Json json = Json::parse(reply.body, nullptr, false);
        const bool isOwn = json.is_object() && json.value("caller", "") == "family-7";
        CHECK_EQUAL_TEXT(c.isOwn, isOwn, c.text);
        STRCMP_EQUAL_TEXT(c.notRun, reply.header(notRunHeader).c_str(), c.text);
        LONGS_EQUAL_TEXT(c.runs, get(server.port(0), "/standin/runs")["total"].get<int>(), c.text);
    }
}

TEST(TargetContract, FaultsAreValidatedAndSetForOneTargetOrAll)
{
    TargetServer server(optionsOf(2, 3));
    CHECK(server.start().ok());
    LONGS_EQUAL(200, put(server.port(0), "/standin/faults", R"({"leaving":true})"));
    CHECK(get(server.port(0), "/health")["leaving"].get<bool>());
    CHECK_FALSE(get(server.port(1), "/health")["leaving"].get<bool>());
    LONGS_EQUAL(200, put(server.port(0), "/standin/faults?all=1", R"({"unhealthy":true})"));
    CHECK_FALSE(get(server.port(0), "/health")["leaving"].get<bool>());
    CHECK_FALSE(get(server.port(1), "/health")["healthy"].get<bool>());
    LONGS_EQUAL(400, put(server.port(0), "/standin/faults", R"({"lost":true})"));
    LONGS_EQUAL(400, put(server.port(0), "/standin/faults", R"({"leaving":3})"));
    LONGS_EQUAL(400, put(server.port(0), "/standin/faults", "[]"));
}

TEST(TargetContract, RunsAreCountedByTicketOverAllTargets)
{
    TargetServer server(optionsOf(2, 3));
    CHECK(server.start().ok());
    roundTrip(server.port(0), "a", "ticket-1");
    roundTrip(server.port(1), "a", "ticket-1");
    roundTrip(server.port(1), "a", "ticket-2");
    roundTrip(server.port(1), "a");
    const Json all = get(server.port(0), "/standin/runs");
    LONGS_EQUAL(4, all["total"].get<int>());
    CHECK((all["tickets"] == Json { { "ticket-1", 2 }, { "ticket-2", 1 } }));
    const Json repeated = get(server.port(0), "/standin/runs?repeated=1");
    CHECK((repeated["tickets"] == Json { { "ticket-1", 2 } }));
}

TEST(TargetContract, RequestsBeyondTheSlotsAreShed)
{
    RunRecord runs;
    TargetSettings settings;
    settings.slots = 2;
    FakeTarget target(settings, runs, [] { return Instant(); });
    HttpRequest request;
    int depth = 0;
    int statuses[3] = {};
    std::string innermostReport;
    // Each request arrives while the one before it is still being served.
    request.waitWhileConnected = [&](Duration) {
        ++depth;
        if (depth < 3) {
            const int index = depth;
            const HttpReply reply = target.serve(request);
            statuses[index] = reply.status;
            if (reply.status == 503)
                innermostReport = reply.headers.back().value;
        }
        return true;
    };
    statuses[0] = target.serve(request).status;
    LONGS_EQUAL(200, statuses[0]);
    LONGS_EQUAL(200, statuses[1]);
    LONGS_EQUAL(503, statuses[2]);
    STRCMP_EQUAL("2/2", innermostReport.c_str());
    LONGS_EQUAL(2, runs.total());
    LONGS_EQUAL(1, target.counts().shed);
    LONGS_EQUAL(2, target.counts().maxBusy);
}

TEST(TargetContract, ServiceTimeFollowsTheFaults)
{
    const struct
    {
        const char *text;
        double slowFactor;
        int coldMillis;
        int ageMillis; // of the faults when the request arrives
        int lateMillis;
        int expectedMillis;
    } cases[] = {
        { "plain", 1, 0, 0, 0, 20 },      { "slow", 3, 0, 0, 0, 60 },
        { "late", 1, 0, 0, 7, 27 },       { "cold", 1, 1000, 999, 0, 80 },
        { "warm", 1, 1000, 1000, 0, 20 }, { "slow and cold", 2, 1000, 0, 0, 160 },
    };
    for (const auto &c : cases) {
        Instant now;
        RunRecord runs;
        TargetSettings settings;
        settings.serviceTime = Duration::millis(20);
        FakeTarget target(settings, runs, [&now] { return now; });
        TargetFaults faults;
        faults.slowFactor = c.slowFactor;
        faults.coldDuration = Duration::millis(c.coldMillis);
        faults.answerDelay = Duration::millis(c.lateMillis);
        target.setFaults(faults);
        now = now + Duration::millis(c.ageMillis);
        HttpRequest request;
        Duration waited;
        request.waitWhileConnected = [&waited](Duration duration) {
            waited = duration;
            return true;
        };
        target.serve(request);
        LONGS_EQUAL_TEXT(c.expectedMillis, waited.toMillis(), c.text);
    }
}

TEST(TargetContract, LoadReportsLagAndMislead)
{
    Instant now;
    RunRecord runs;
    FakeTarget target(TargetSettings(), runs, [&now] { return now; });
    TargetFaults faults;
    faults.reportLag = Duration::millis(100);
    target.setFaults(faults);
    HttpRequest probe;
    probe.path = "/health";
    const auto reported = [&] { return Json::parse(target.serve(probe).body)["busy_slots"]; };
    HttpRequest request;
    request.waitWhileConnected = [&](Duration) {
        LONGS_EQUAL_TEXT(0, reported().get<int>(), "lagging");
        now = now + Duration::millis(100);
        LONGS_EQUAL_TEXT(1, reported().get<int>(), "caught up");
        faults.isReportMisleading = true;
        target.setFaults(faults);
        LONGS_EQUAL_TEXT(0, reported().get<int>(), "misleading");
        return true;
    };
    LONGS_EQUAL(0, reported().get<int>());
    target.serve(request);
}

TEST(TargetContract, ADisconnectingCallerFreesTheSlot)
{
    TargetServerOptions options = optionsOf(1, 1);
    options.serviceTime = Duration::seconds(600);
    TargetServer server(options);
    CHECK(server.start().ok());
    for (int i = 0; i < 3; ++i) {
        RawConnection connection(server.port(0));
        connection.send(requestText("a", "", ""));
        while (get(server.port(0), "/health")["busy_slots"].get<int>() == 0)
            std::this_thread::yield();
        connection.close();
        while (get(server.port(0), "/health")["busy_slots"].get<int>() == 1)
            std::this_thread::yield();
    }
    LONGS_EQUAL(3, server.target(0).counts().cancelled);
    LONGS_EQUAL(0, server.target(0).counts().shed);
}

TEST(TargetContract, AnExtraAnswerFollowsTheRealOne)
{
    TargetServer server(optionsOf(1, 3));
    CHECK(server.start().ok());
    roundTrip(server.port(0), "family-1");
    LONGS_EQUAL(200, put(server.port(0), "/standin/faults", R"({"stray":true})"));
    RawConnection connection(server.port(0));
    connection.send(requestText("family-2", "", ""));
    const Json own = Json::parse(connection.readReply().body);
    STRCMP_EQUAL("family-2", own["caller"].get<std::string>().c_str());
    // A second answer arrives without a second request.
    const Json stray = Json::parse(connection.readReply().body);
    STRCMP_EQUAL("family-1", stray["caller"].get<std::string>().c_str());
}

TEST(TargetContract, AMisroutedAnswerEchoesTheOtherRequestsId)
{
    TargetServer server(optionsOf(1, 3));
    CHECK(server.start().ok());
    const auto ask = [&](const std::string &id) {
        RawConnection connection(server.port(0));
        connection.send(std::string("GET / HTTP/1.1\r\nHost: a\r\n") + requestIdHeader + ": " + id
                        + "\r\n\r\n");
        return connection.readReply().header(requestIdHeader);
    };
    STRCMP_EQUAL("1", ask("1").c_str());
    LONGS_EQUAL(200, put(server.port(0), "/standin/faults", R"({"crossed":true})"));
    STRCMP_EQUAL("1", ask("2").c_str());
}

TEST(TargetContract, RequestsWithAKeyAreCounted)
{
    TargetServer server(optionsOf(1, 3));
    CHECK(server.start().ok());
    RawConnection connection(server.port(0));
    connection.send("GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n\r\n");
    const Json json = Json::parse(connection.readReply().body);
    CHECK(json["headers"].dump().find("Authorization") != std::string::npos);
    LONGS_EQUAL(1, get(server.port(0), "/standin/counts")["with_key"].get<int>());
}

// Guards against a part of a request that a stand-in runs as the whole one because its connection
// ends.
TEST(TargetContract, HandlesNoPartOfARequestWhoseConnectionEnds)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string parts[] = {
        post,
        post + "Content-Length: 5\r\n\r\n",
        post + "Content-Length: 5\r\n\r\npart",
        post + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    };
    std::atomic<int> handled { 0 };
    HttpServer server({ "127.0.0.1", 0 }, HttpServerOptions(), [&](const HttpRequest &) {
        ++handled;
        return HttpReply();
    });
    CHECK(server.start().ok());
    for (const std::string &part : parts) {
        RawConnection closed(server.port());
        closed.send(part);
        closed.shutDownSend();
        closed.waitForEnd();
        RawConnection reset(server.port());
        reset.send(part);
        reset.reset();
        CHECK_EQUAL_TEXT(0, handled.load(), part.c_str());
    }
    RawConnection whole(server.port());
    whole.send(post + "Content-Length: 0\r\n\r\n");
    CHECK_EQUAL(200, whole.readReply().status);
    CHECK_EQUAL(1, handled.load());
}
