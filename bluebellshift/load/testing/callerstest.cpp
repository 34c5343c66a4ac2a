// Tests callers against a scripted VM and against stand-ins for targets.
#include <CppUTest/TestHarness.h>

#include <deque>
#include <mutex>

#include "bluebellshift/load/callers.h"
#include "bluebellshift/load/runcheck.h"
#include "bluebellshift/load/runsource.h"
#include "bluebellshift/load/summary.h"
#include "bluebellshift/load/verdict.h"
#include "bluebellshift/standin/targetserver.h"

using namespace bluebellshift;
using namespace bluebellshift::core;
using namespace bluebellshift::load;
using namespace bluebellshift::standin;

namespace {

HttpReply textReply(int status, const std::string &body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = body;
    return reply;
}

HttpReply refusal(const char *code, const char *run)
{
    return textReply(503, std::string(R"({"code":")") + code + R"(","run":")" + run + R"("})");
}

HttpReply noReply()
{
    HttpReply reply;
    reply.delivery = Delivery::None;
    return reply;
}

std::string answerTo(const HttpRequest &request, const std::string &caller)
{
    return R"({"caller":")" + caller + R"(","hash":")" + hashOf(request.body) + R"("})";
}

// A fake VM that issues tickets and replies to requests from its script. After the end
// of the script it answers every request correctly.
class ScriptedVm
{
public:
    explicit ScriptedVm(std::deque<HttpReply> script)
        : script_(std::move(script))
        , server_({ "127.0.0.1", 0 }, HttpServerOptions(),
                  [this](const HttpRequest &request) { return serve(request); })
    {
        CHECK(server_.start().ok());
    }

    Endpoint endpoint() const { return { "127.0.0.1", server_.port() }; }
    std::vector<std::string> ticketsSeen;
    int ticketsIssued = 0;
    int lookups = 0;

private:
    HttpReply serve(const HttpRequest &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/v1/lookup") {
            ++lookups;
            return textReply(200,
                             R"({"vms":[{"address":"127.0.0.1","port":)"
                                 + std::to_string(server_.port()) + R"(}],"cache_ms":60000})");
        }
        if (request.path == "/v1/tickets")
            return textReply(200, R"({"ticket":"T)" + std::to_string(ticketsIssued++) + R"("})");
        ticketsSeen.push_back(request.header("Bluebellshift-Ticket"));
        if (script_.empty())
            return textReply(200, answerTo(request, request.header(callerIdHeader)));
        const HttpReply reply = script_.front();
        script_.pop_front();
        return reply;
    }

    std::mutex mutex_;
    std::deque<HttpReply> script_;
    HttpServer server_;
};

ScheduleOptions scheduleOf(double nonIdempotentFraction)
{
    ScheduleOptions options;
    options.teams.resize(1);
    options.teams[0].team = TeamId("multan");
    options.teams[0].key = "secret";
    options.teams[0].ratePerSecond = 1000;
    options.services.resize(1);
    options.services[0].service = ServiceId("rota");
    options.services[0].path = options.services[0].nonIdempotentPath = "/turns";
    options.nonIdempotentFraction = nonIdempotentFraction;
    return options;
}

CallerOptions callersOf(std::vector<Endpoint> vms)
{
    CallerOptions options;
    options.directory.vms = std::move(vms);
    options.retryDelay = Duration::millis(1);
    options.threads = 1;
    return options;
}

} // namespace

TEST_GROUP(Callers) {};

TEST(Callers, RequestIsRetriedOnlyIfThatIsSafe)
{
    const struct
    {
        const char *text;
        bool isNonIdempotent;
        HttpReply first;
        OutcomeKind kind;
        int attempts;
        Run claim;
        int tickets;
    } cases[] = {
        { "an empty answer", true, textReply(200, ""), OutcomeKind::Wrong, 1, Run::Unknown, 1 },
        { "no reply, with a ticket", true, noReply(), OutcomeKind::Answered, 2, Run::Ran, 1 },
        { "in progress", true, refusal("ticket-in-progress", "unknown"), OutcomeKind::Answered, 2,
          Run::Ran, 1 },
        { "home VM unreachable", true, refusal("home-unreachable", "unknown"),
          OutcomeKind::Answered, 2, Run::Ran, 1 },
        { "outcome unknown", true, refusal("outcome-unknown", "unknown"), OutcomeKind::Refused, 1,
          Run::Unknown, 1 },
        { "over the rate", true, refusal("over-rate", "not-run"), OutcomeKind::Refused, 1,
          Run::NotRun, 1 },
        { "leaving, with a ticket", true, refusal("leaving", "not-run"), OutcomeKind::Answered, 2,
          Run::Ran, 2 },
        { "ticket spent", true, refusal("ticket-expired", "not-run"), OutcomeKind::Answered, 2,
          Run::Ran, 2 },
        { "leaving", false, refusal("leaving", "not-run"), OutcomeKind::Answered, 2, Run::Ran, 0 },
        { "leaving, perhaps run", false, refusal("leaving", "unknown"), OutcomeKind::Refused, 1,
          Run::Unknown, 0 },
        { "another's answer", false, textReply(200, R"({"caller":"other","hash":"0"})"),
          OutcomeKind::Wrong, 1, Run::Unknown, 0 },
        { "an error of the target", false, textReply(503, R"({"error":"no free slot"})"),
          OutcomeKind::TargetError, 1, Run::Unknown, 0 },
        { "key seen", false, textReply(200, R"({"caller":"other","headers":["AUTHORIZATION"]})"),
          OutcomeKind::Wrong, 1, Run::Unknown, 0 },
    };
    for (const auto &c : cases) {
        ScriptedVm vm({ c.first });
        ScheduleOptions schedule = scheduleOf(c.isNonIdempotent ? 1 : 0);
        schedule.maxRequests = 1;
        const std::vector<Outcome> outcomes =
            runCallers(callersOf({ vm.endpoint() }), schedule, makeSchedule(schedule));
        const Outcome &outcome = outcomes.at(0);
        LONGS_EQUAL_TEXT(static_cast<int>(c.kind), static_cast<int>(outcome.kind), c.text);
        LONGS_EQUAL_TEXT(c.attempts, outcome.attempts, c.text);
        LONGS_EQUAL_TEXT(static_cast<int>(c.claim), static_cast<int>(outcome.claim), c.text);
        CHECK_EQUAL_TEXT(std::string(c.text) == "key seen", outcome.isKeyLeaked, c.text);
        LONGS_EQUAL_TEXT(c.tickets, vm.ticketsIssued, c.text);
        const std::string last = c.tickets == 0 ? "" : "T" + std::to_string(c.tickets - 1);
        STRCMP_EQUAL_TEXT(last.c_str(), vm.ticketsSeen.back().c_str(), c.text);
        STRCMP_EQUAL_TEXT(c.isNonIdempotent ? "T0" : "", vm.ticketsSeen.front().c_str(), c.text);
    }
}

TEST(Callers, RefusedConnectionIsRetriedAtAnotherVm)
{
    Endpoint closed;
    {
        ScriptedVm stoppedVm({});
        closed = stoppedVm.endpoint();
    }
    ScriptedVm vm({});
    ScheduleOptions schedule = scheduleOf(0.5);
    schedule.maxRequests = 50;
    const std::vector<Arrival> arrivals = makeSchedule(schedule);
    const Summary summary = summarize(
        schedule, arrivals, runCallers(callersOf({ closed, vm.endpoint() }), schedule, arrivals));
    LONGS_EQUAL(50, summary.all.answered);
    CHECK(summary.all.attempts > 50);
}

TEST(Callers, LookupRepliesAreCached)
{
    ScriptedVm vm({});
    ScheduleOptions schedule = scheduleOf(0);
    schedule.maxRequests = 50;
    CallerOptions callers = callersOf({ vm.endpoint() });
    callers.directory.usesLookup = true;
    const std::vector<Arrival> arrivals = makeSchedule(schedule);
    const Summary summary = summarize(schedule, arrivals, runCallers(callers, schedule, arrivals));
    LONGS_EQUAL(50, summary.all.answered);
    LONGS_EQUAL(1, vm.lookups);
}

TEST(Callers, MalformedLookupReplyYieldsNoVms)
{
    const char *const bodies[] = {
        "", "[]", "{}", R"({"vms":7})", R"({"vms":[{}]})", R"({"vms":[{"address":"a","port":"b"}]})"
    };
    Duration cacheTime = Duration::seconds(1);
    for (const char *body : bodies)
        CHECK_TEXT(parseLookup(body, cacheTime).empty(), body);
    const auto vms = parseLookup(
        R"({"vms":[{"id":"x","address":"10.0.0.1","port":80,"weight":0.5}],"cache_ms":250})",
        cacheTime);
    LONGS_EQUAL(80, vms.at(0).endpoint.port);
    DOUBLES_EQUAL(0.5, vms.at(0).weight, 0);
    LONGS_EQUAL(250, cacheTime.toMillis());
}

TEST(Callers, OutcomesOfDirectRequestsMatchTheTargetsCounts)
{
    TargetServerOptions options;
    options.first = { "127.0.0.1", 0 };
    options.count = 2;
    options.slots = 1000;
    TargetServer targets(options);
    CHECK(targets.start().ok());
    TargetFaults faults;
    faults.isTruncatingAnswer = true;
    faults.everyNthRequest = 10;
    targets.target(0).setFaults(faults);
    ScheduleOptions schedule = scheduleOf(0.3);
    schedule.maxRequests = 400;
    CallerOptions callers =
        callersOf({ { "127.0.0.1", targets.port(0) }, { "127.0.0.1", targets.port(1) } });
    callers.isDirect = true;
    callers.threads = 2;
    callers.run = 77;
    const std::vector<Arrival> arrivals = makeSchedule(schedule);
    const std::vector<Outcome> outcomes = runCallers(callers, schedule, arrivals);
    const Summary summary = summarize(schedule, arrivals, outcomes);
    const std::uint64_t cut = targets.target(0).counts().requests / 10;
    CHECK(cut > 0);
    LONGS_EQUAL(cut, summary.all.failed);
    LONGS_EQUAL(400 - cut, summary.all.answered);
    const RunCounts counts = *fetchRunCounts({ { "127.0.0.1", targets.port(1) } });
    const RunCheck check = checkRuns(callers.run, arrivals, outcomes, counts);
    CHECK(check.isClean());
    LONGS_EQUAL(400 - cut, check.claimedRan);
    LONGS_EQUAL(cut, check.unknown);
}
