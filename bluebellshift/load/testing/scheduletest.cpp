#include <CppUTest/TestHarness.h>

#include <cmath>

#include "bluebellshift/load/schedule.h"

using namespace bluebellshift::core;
using namespace bluebellshift::load;

namespace {

ScheduleOptions twoTeams()
{
    ScheduleOptions options;
    options.teams.resize(2);
    options.teams[0].team = TeamId("a");
    options.teams[0].ratePerSecond = 500;
    options.teams[1].team = TeamId("b");
    options.teams[1].ratePerSecond = 100;
    options.services.resize(2);
    options.services[0].weight = 3;
    options.services[1].weight = 1;
    options.nonIdempotentFraction = 0.25;
    options.duration = Duration::seconds(100);
    return options;
}

template<typename Condition> double countOf(const std::vector<Arrival> &arrivals, Condition is)
{
    double count = 0;
    for (const Arrival &arrival : arrivals)
        count += is(arrival) ? 1 : 0;
    return count;
}

// Allows a deviation of five standard deviations of a Poisson count.
void checkPoisson(double expected, double count)
{
    DOUBLES_EQUAL(expected, count, 5 * std::sqrt(expected));
}

bool isSame(const Arrival &a, const Arrival &b)
{
    return a.at == b.at && a.service == b.service && a.isNonIdempotent == b.isNonIdempotent
        && a.vm == b.vm;
}

} // namespace

TEST_GROUP(Schedule) {};

TEST(Schedule, RatesAndProportionsMatchTheOptions)
{
    const std::vector<Arrival> arrivals = makeSchedule(twoTeams());
    checkPoisson(50'000, countOf(arrivals, [](const Arrival &a) { return a.team == 0; }));
    checkPoisson(10'000, countOf(arrivals, [](const Arrival &a) { return a.team == 1; }));
    checkPoisson(15'000, countOf(arrivals, [](const Arrival &a) { return a.service == 1; }));
    checkPoisson(15'000, countOf(arrivals, [](const Arrival &a) { return a.isNonIdempotent; }));
    for (std::size_t i = 1; i < arrivals.size(); ++i)
        CHECK(arrivals[i - 1].at <= arrivals[i].at);
    CHECK(arrivals.back().at < Duration::seconds(100));
}

TEST(Schedule, InterArrivalTimesAreExponential)
{
    ScheduleOptions options = twoTeams();
    options.teams.resize(1);
    const std::vector<Arrival> arrivals = makeSchedule(options);
    double longGaps = 0; // longer than the mean of 2 ms: e^-1 of them
    for (std::size_t i = 1; i < arrivals.size(); ++i)
        longGaps += arrivals[i].at - arrivals[i - 1].at > Duration::millis(2) ? 1 : 0;
    DOUBLES_EQUAL(std::exp(-1.0), longGaps / static_cast<double>(arrivals.size()), 0.02);
}

TEST(Schedule, TheSameSeedGivesTheSameArrivals)
{
    ScheduleOptions options = twoTeams();
    const std::vector<Arrival> first = makeSchedule(options);
    const std::vector<Arrival> second = makeSchedule(options);
    LONGS_EQUAL(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i)
        CHECK(isSame(first[i], second[i]));
    options.seed = 2;
    const std::vector<Arrival> other = makeSchedule(options);
    CHECK(other[0].at != first[0].at);
    options.maxRequests = 1000;
    LONGS_EQUAL(1000, makeSchedule(options).size());
}

TEST(Schedule, ChangingOneTeamDoesNotAffectOthers)
{
    ScheduleOptions options = twoTeams();
    const std::vector<Arrival> before = makeSchedule(options);
    options.changes = { { TeamId("b"), Duration::seconds(50), 0, 3 },
                        { TeamId("b"), Duration::seconds(20), 4, 7 } };
    const std::vector<Arrival> after = makeSchedule(options);
    const auto between = [&after](int from, int to, int vm) {
        return countOf(after, [=](const Arrival &a) {
            return a.team == 1 && a.vm == vm && a.at >= Duration::seconds(from)
                && a.at < Duration::seconds(to);
        });
    };
    checkPoisson(2'000, between(0, 20, anyVm));
    checkPoisson(12'000, between(20, 50, 7));
    LONGS_EQUAL(0, between(50, 100, 3));

    const auto firstTeam = [](const std::vector<Arrival> &all) {
        std::vector<Arrival> matching;
        for (const Arrival &arrival : all) {
            if (arrival.team == 0)
                matching.push_back(arrival);
        }
        return matching;
    };
    const std::vector<Arrival> a = firstTeam(before);
    const std::vector<Arrival> b = firstTeam(after);
    LONGS_EQUAL(a.size(), b.size());
    for (std::size_t i = 0; i < a.size(); ++i)
        CHECK(isSame(a[i], b[i]));
}
