// How a region's requests are divided over regions. Pattern that this answers: regions with uneven
// targets, and targets that are added to or taken from one region while traffic runs.
#include "bluebellshift/gateway/regions/regionplan.h"

#include <cmath>
#include <numeric>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::regions;

namespace {

// The users' bound: the share of a region's requests that may change their region from one window
// to the next.
constexpr double maxShift = 0.15;

const RegionValues slots { 40, 30, 30 };
const std::vector<std::optional<double>> noLoads(3);

double sum(const RegionValues &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

struct SharesCase
{
    const char *name;
    RegionValues slots;
    RegionValues demand;
    std::size_t own;
    RegionValues shares;
};

const SharesCase sharesCases[] = {
    { "room for all of its own", { 40, 30, 30 }, { 1, 1, 1 }, 0, { 1, 0, 0 } },
    { "the rest goes where slots are left", { 10, 40, 50 }, { 1, 1, 1 }, 0, { 0.3, 0.2, 0.5 } },
    { "no slots of its own", { 0, 60, 40 }, { 1, 1, 1 }, 0, { 0, 0.8, 0.2 } },
    { "no region has slots left", { 10, 10 }, { 3, 1 }, 1, { 0, 1 } },
    { "demand is not known", { 10, 10 }, { 0, 0 }, 0, { 1, 0 } },
    { "no slots at all", { 0, 0 }, { 1, 1 }, 0, { 0, 0 } },
    { "one region", { 10 }, { 1 }, 0, { 1 } },
};

} // namespace

TEST_GROUP(RegionPlan) {};

TEST(RegionPlan, DividesByTheSlotsThatEachRegionHasLeft)
{
    for (const SharesCase &one : sharesCases) {
        const RegionValues shares = RegionPlan::sharesFor(one.slots, one.demand, one.own);
        for (std::size_t i = 0; i < shares.size(); ++i)
            DOUBLES_EQUAL_TEXT(one.shares[i], shares[i], 1e-9, one.name);
    }
}

// Guards against regions that are planned beyond their slots while others have some left.
TEST(RegionPlan, FillsAllRegionsAlike)
{
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        RegionValues slots(3);
        RegionValues demand(3);
        for (std::size_t i = 0; i < slots.size(); ++i) {
            slots[i] = 1 + random() % 200;
            demand[i] = 1 + random() % 5;
        }
        RegionValues planned(3, 0); // in slots, if the demand fills all of them
        for (std::size_t from = 0; from < slots.size(); ++from) {
            const RegionValues shares = RegionPlan::sharesFor(slots, demand, from);
            DOUBLES_EQUAL(1, sum(shares), 1e-9);
            for (std::size_t to = 0; to < slots.size(); ++to)
                planned[to] += shares[to] * demand[from] / sum(demand) * sum(slots);
        }
        for (std::size_t i = 0; i < slots.size(); ++i)
            DOUBLES_EQUAL(slots[i], planned[i], 1e-6);
    }
}

// Guards against a plan that moves more requests than the users allow when targets come or go.
TEST(RegionPlan, MovesSlowlyUnlessAFaultIsNear)
{
    const RegionValues before { 1, 0, 0 };
    const RegionValues after { 0, 0.5, 0.5 };
    Instant now = Instant::fromMicros(1);
    RegionPlan plan;
    plan.update({ 0, 1, 0 }, slots, noLoads, false, now); // a list that is not complete yet
    plan.update(before, slots, noLoads, false, now);
    DOUBLES_EQUAL(1, plan.shares()[0], 1e-9);
    plan.onPlanned(0, now);
    std::vector<RegionValues> shares;
    for (int tick = 0; tick < 600; ++tick) { // of 100 ms
        now = now + Duration::millis(100);
        plan.update(after, slots, noLoads, false, now);
        shares.push_back(plan.shares());
    }
    DOUBLES_EQUAL(0, shares.back()[0], 1e-9);
    // Two adjoining windows of 2 s: shares at most 4 s apart.
    for (std::size_t i = 40; i < shares.size(); ++i)
        CHECK(shares[i - 40][0] - shares[i][0] <= maxShift);
    for (int tick = 0; tick < 100; ++tick) {
        now = now + Duration::millis(100);
        plan.update(before, slots, noLoads, true, now);
    }
    DOUBLES_EQUAL(1, plan.shares()[0], 1e-9);
}

// Guards against requests that stay in a full region while others have room, because the region has
// more callers than VMs, and against a bound that is broken by their leaving or their return.
TEST(RegionPlan, LeavesAFullRegionAndReturnsSlowly)
{
    const RegionValues wanted { 1, 0, 0 };
    Instant now = Instant::fromMicros(1);
    RegionPlan plan;
    plan.update(wanted, slots, noLoads, false, now);
    plan.onPlanned(0, now);
    std::vector<RegionValues> shares;
    for (int tick = 0; tick < 400; ++tick) { // of 100 ms
        now = now + Duration::millis(100);
        const bool isBurst = tick >= 50 && tick < 200;
        // The load of the first region follows its share; the others have room.
        const double load = (isBurst ? 1.2 : 0.7) * plan.shares()[0];
        plan.update(wanted, slots, { load, 0.3, std::nullopt }, false, now);
        shares.push_back(plan.shares());
        DOUBLES_EQUAL(1, sum(plan.shares()), 1e-9);
    }
    DOUBLES_EQUAL(RegionPlan::fullLoad / 1.2, shares[199][0], 0.03);
    DOUBLES_EQUAL(1, shares.back()[0], 1e-9);
    for (std::size_t i = 40; i < shares.size(); ++i)
        CHECK(std::abs(shares[i - 40][0] - shares[i][0]) <= maxShift);
}

// Guards against a region that is given up by one VM after the other while its targets stay full
// with the requests of others.
TEST(RegionPlan, KeepsMostOfTheShareOfAFullRegion)
{
    const RegionValues wanted { 0.6, 0.4, 0 };
    for (const bool isNearFault : { false, true }) {
        Instant now = Instant::fromMicros(1);
        RegionPlan plan;
        plan.update(wanted, slots, noLoads, false, now);
        plan.onPlanned(0, now);
        for (int tick = 0; tick < 600; ++tick) {
            now = now + Duration::millis(100);
            plan.update(wanted, slots, { 4, 0.2, 0.2 }, isNearFault, now);
        }
        DOUBLES_EQUAL(wanted[0] - RegionPlan::maxMoved, plan.shares()[0], 1e-9);
        DOUBLES_EQUAL(wanted[0], plan.homeShares()[0], 1e-9);
    }
}

// Guards against requests that are sent to and fro while all regions are full.
TEST(RegionPlan, StaysWhereAllRegionsAreFull)
{
    const RegionValues wanted { 0.5, 0.3, 0.2 };
    Instant now = Instant::fromMicros(1);
    RegionPlan plan;
    plan.update(wanted, slots, noLoads, false, now);
    plan.onPlanned(0, now);
    for (int tick = 0; tick < 100; ++tick) {
        now = now + Duration::millis(100);
        plan.update(wanted, slots, { 3, 1.5, 2 }, false, now);
    }
    for (std::size_t i = 0; i < wanted.size(); ++i)
        DOUBLES_EQUAL(wanted[i], plan.shares()[i], 1e-9);
}

// Guards against shares that vary with the few requests of each VM: any run of requests is dealt
// out in proportion, also while a region can't be used for some of them.
TEST(RegionPlan, DealsOutAnyRunOfRequestsInProportion)
{
    const RegionValues shares { 0.29, 0.25, 0.46 };
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        RegionPlan plan(seed);
        plan.update(shares, slots, noLoads, false, Instant::fromMicros(1));
        RegionValues sent(shares.size(), 0);
        for (int i = 1; i <= 500; ++i) {
            const std::size_t closed = random() % 12; // 0 to 2: one of the regions
            const auto region = plan.next([&](std::size_t one) { return one != closed; });
            CHECK(region.has_value());
            plan.onPlanned(*region, Instant::fromMicros(1 + 1000 * i));
            ++sent[*region];
            for (std::size_t one = 0; one < shares.size(); ++one)
                CHECK(std::abs(sent[one] - shares[one] * i) <= 4);
        }
    }
}
