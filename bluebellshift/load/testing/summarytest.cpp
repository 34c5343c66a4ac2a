#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

#include "bluebellshift/load/idealbucket.h"
#include "bluebellshift/load/report.h"
#include "bluebellshift/load/runcheck.h"
#include "bluebellshift/load/summary.h"

using namespace bluebellshift::core;
using namespace bluebellshift::load;

namespace {

// Admits a request if every time window that ends with it stays within the limit.
class WindowModel
{
public:
    WindowModel(double ratePerSecond, double burst)
        : rate_(ratePerSecond)
        , burst_(burst)
    {
    }

    bool tryTake(Duration at)
    {
        admitted_.push_back(at);
        for (std::size_t i = 0; i < admitted_.size(); ++i) {
            const double allowed = burst_ + (at - admitted_[i]).toSeconds() * rate_;
            if (static_cast<double>(admitted_.size() - i) > allowed + 1e-9) {
                admitted_.pop_back();
                return false;
            }
        }
        return true;
    }

private:
    const double rate_;
    const double burst_;
    std::vector<Duration> admitted_;
};

ScheduleOptions teams(std::vector<TeamLoad> loads)
{
    ScheduleOptions options;
    options.teams = std::move(loads);
    return options;
}

TeamLoad team(const char *name, double limit, double burst)
{
    TeamLoad load;
    load.team = TeamId(name);
    load.limitPerSecond = limit;
    load.burst = burst;
    return load;
}

Arrival arrivalAt(int millis, std::uint32_t teamIndex)
{
    Arrival arrival;
    arrival.at = Duration::millis(millis);
    arrival.team = teamIndex;
    return arrival;
}

Outcome outcomeOf(OutcomeKind kind, int latencyMillis, const char *code = "")
{
    Outcome outcome;
    outcome.kind = kind;
    outcome.code = code;
    outcome.latency = Duration::millis(latencyMillis);
    outcome.attempts = 1;
    return outcome;
}

} // namespace

TEST_GROUP(Summary) {};

TEST(Summary, IdealBucketMatchesTheWindowModel)
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 30; ++round) {
        // The rate is a multiple of a quarter token per millisecond, so that both models
        // compute exactly.
        const double rate = 0.25 * static_cast<double>(1 + random() % 8) * 1000;
        const double burst = static_cast<double>(1 + random() % 10);
        IdealBucket bucket(rate, burst);
        WindowModel model(rate, burst);
        Duration at;
        for (int i = 0; i < 300; ++i) {
            at = at + Duration::millis(static_cast<std::int64_t>(random() % 3));
            CHECK_EQUAL(model.tryTake(at), bucket.tryTake(at));
        }
    }
}

TEST(Summary, RefusalsWithinTheRateAreCountedSeparately)
{
    // Team a has a burst of 2 and then 1 request per second; team b has no limit.
    const ScheduleOptions options = teams({ team("a", 1, 2), team("b", 0, 0) });
    const std::vector<Arrival> arrivals = { arrivalAt(0, 0), arrivalAt(1, 0), arrivalAt(2, 0),
                                            arrivalAt(3, 1), arrivalAt(4, 1), arrivalAt(1100, 0) };
    const std::vector<Outcome> outcomes = { outcomeOf(OutcomeKind::Answered, 10),
                                            outcomeOf(OutcomeKind::Refused, 1, "over-rate"),
                                            outcomeOf(OutcomeKind::Refused, 1, "over-rate"),
                                            outcomeOf(OutcomeKind::Answered, 30),
                                            outcomeOf(OutcomeKind::Failed, 500),
                                            outcomeOf(OutcomeKind::Refused, 1, "view-stale") };
    const Summary summary = summarize(options, arrivals, outcomes);
    const Tally &a = summary.teams.at("a");
    LONGS_EQUAL(4, a.offered);
    LONGS_EQUAL(3, a.withinRate);
    LONGS_EQUAL(3, a.refused);
    LONGS_EQUAL(2, a.refusedWithinRate);
    LONGS_EQUAL(2, a.shortfall());
    DOUBLES_EQUAL(1.0 / 3, a.servedFraction(), 1e-9);
    DOUBLES_EQUAL(0.5, summary.teams.at("b").servedFraction(), 1e-9);
    STRCMP_EQUAL("a", summary.worstTeam.c_str());
    LONGS_EQUAL(2, summary.refusals.at("over-rate"));
    LONGS_EQUAL(1, summary.refusalsWithinRate.at("over-rate"));
    LONGS_EQUAL(1100, summary.lastArrival.toMillis());
    LONGS_EQUAL(1, summary.drainTime.toMillis());
    LONGS_EQUAL(2, summary.all.latency.count());
}

TEST(Summary, HigherLatencyBreaksATieForTheWorstTeam)
{
    const ScheduleOptions options = teams({ team("a", 0, 0), team("b", 0, 0) });
    const Summary summary =
        summarize(options, { arrivalAt(0, 0), arrivalAt(0, 1) },
                  { outcomeOf(OutcomeKind::Answered, 10), outcomeOf(OutcomeKind::Answered, 20) });
    STRCMP_EQUAL("b", summary.worstTeam.c_str());
}

TEST(Summary, ClaimsAreCheckedAgainstTheTargetsCounts)
{
    const struct
    {
        const char *text;
        Run claim;
        bool isEveryClaimNotRun;
        bool hasTicket;
        int runs;
        int ranTwice;
        int falseNotRun;
        int falseRan;
        int unknown;
    } cases[] = {
        { "answered", Run::Ran, false, true, 1, 0, 0, 0, 0 },
        { "answered, ran twice", Run::Ran, false, true, 2, 1, 0, 0, 0 },
        { "answered, never ran", Run::Ran, false, true, 0, 0, 0, 1, 0 },
        { "not run", Run::NotRun, true, true, 0, 0, 0, 0, 0 },
        { "not run, but ran", Run::NotRun, true, true, 1, 0, 1, 0, 0 },
        { "not run after an unknown attempt", Run::NotRun, false, true, 1, 0, 1, 0, 0 },
        { "unknown, ran", Run::Unknown, false, true, 1, 0, 0, 0, 1 },
        { "unknown, not run", Run::Unknown, false, true, 0, 0, 0, 0, 1 },
        { "unknown, ran twice", Run::Unknown, false, true, 2, 1, 0, 0, 1 },
        { "without ticket, ran twice", Run::Ran, false, false, 2, 0, 0, 0, 0 },
        { "without ticket, not run", Run::NotRun, true, false, 1, 0, 1, 0, 0 },
        { "without ticket, only the last attempt not run", Run::NotRun, false, false, 1, 0, 0, 0,
          1 },
    };
    for (const auto &c : cases) {
        Outcome outcome;
        outcome.claim = c.claim;
        outcome.isEveryClaimNotRun = c.isEveryClaimNotRun;
        outcome.ticketId = c.hasTicket ? "t" : "";
        RunCounts counts;
        const auto runs = static_cast<std::uint32_t>(c.runs);
        if (c.runs > 0)
            counts.byCaller[callerIdOf(5, 0)] = runs;
        if (c.runs > 0 && c.hasTicket)
            counts.byTicket["t"] = runs;
        const RunCheck check = checkRuns(5, { Arrival() }, { outcome }, counts);
        LONGS_EQUAL_TEXT(c.ranTwice, check.ranTwice, c.text);
        LONGS_EQUAL_TEXT(c.falseNotRun, check.falseNotRun, c.text);
        LONGS_EQUAL_TEXT(c.falseRan, check.falseRan, c.text);
        LONGS_EQUAL_TEXT(c.unknown, check.unknown, c.text);
        CHECK_EQUAL_TEXT(c.ranTwice + c.falseNotRun + c.falseRan == 0, check.isClean(), c.text);
    }
}

TEST(Summary, RequestThatRanWithTwoTicketsIsDetected)
{
    Outcome outcome;
    outcome.claim = Run::Ran;
    outcome.ticketId = "second";
    RunCounts counts;
    counts.byCaller[callerIdOf(5, 0)] = 2;
    counts.byTicket = { { "first", 1 }, { "second", 1 } };
    const RunCheck check = checkRuns(5, { Arrival() }, { outcome }, counts);
    LONGS_EQUAL(1, check.ranTwice);
    LONGS_EQUAL(1, check.unknownTickets);
}

TEST(Summary, CountsFromBeforeTheRunAreSubtracted)
{
    const RunCounts before { { { "old", 2 }, { "both", 1 } }, { { "caller-0-0", 1 } } };
    const RunCounts after { { { "old", 2 }, { "both", 3 }, { "new", 1 } },
                            { { "caller-0-0", 1 } } };
    const RunCounts counts = countsSince(before, after);
    CHECK(
        (counts.byTicket == std::map<std::string, std::uint32_t> { { "both", 2 }, { "new", 1 } }));
    CHECK(counts.byCaller.empty());
}

TEST(Summary, TicketThatNoCallerUsedIsDetected)
{
    RunCounts counts;
    counts.byTicket["stray"] = 1;
    const RunCheck check = checkRuns(5, {}, {}, counts);
    LONGS_EQUAL(1, check.unknownTickets);
    CHECK_FALSE(check.isClean());
}

TEST(Summary, ResultsAreComparedFieldByField)
{
    const nlohmann::json a = { { "x", { { "p50", 2 }, { "zero", 0 }, { "name", "n" } } },
                               { "gone", 1 } };
    const nlohmann::json b = { { "x", { { "p50", 3 }, { "zero", 4 }, { "name", "m" } } } };
    const std::string text = compare(a, b);
    CHECK(text.find("/x/p50") != std::string::npos);
    CHECK(text.find("1.500") != std::string::npos);
    CHECK(text.find('-') != std::string::npos);
    LONGS_EQUAL(2, std::count(text.begin(), text.end(), '\n'));
}
