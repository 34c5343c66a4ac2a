// Checks how fast the regions in which each region's requests run may change while load and room
// change without any fault. Pattern that this answers: a region with many callers and few targets.
#include "bluebellshift/gateway/testing/regionwalk.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

// The users' bound: the share of a region's requests that may change their region from one window
// to the next.
constexpr double maxShift = 0.15;

WalkRoute routeOf(std::int64_t serviceMillis)
{
    WalkRoute route;
    route.serviceTime = Duration::millis(serviceMillis);
    return route;
}

void checkShift(const RegionWalk &walk)
{
    std::string where;
    const double largest = walk.largestShift(&where);
    CHECK_TEXT(largest <= maxShift, where.c_str());
}

} // namespace

TEST_GROUP(RegionShiftWalk) {};

// Guards against requests that leave a small region within seconds of the first one, when its
// targets are full.
TEST(RegionShiftWalk, ASmallRegionFillsGradually)
{
    for (const double load : { 0.5, 0.8, 1.1, 1.5 }) {
        RegionWalk walk({ 27, { 6, 26, 30 }, { routeOf(1000) }, load, 1 });
        walk.run(Duration::seconds(10));
        checkShift(walk);
    }
}

// Guards against a region whose requests return to it all at once when the load ends.
TEST(RegionShiftWalk, RequestsReturnGraduallyAsTheLoadEnds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk({ 27, { 6, 26, 30 }, { routeOf(1000) }, 1.4, seed });
        walk.run(Duration::seconds(12));
        for (std::size_t region = 0; region < walk.regionCount(); ++region)
            walk.setDemand(region, 0.15);
        walk.run(Duration::seconds(4));
        for (std::size_t region = 0; region < walk.regionCount(); ++region)
            walk.setDemand(region, 0);
        walk.run(Duration::seconds(4));
        checkShift(walk);
    }
}

// Guards against a burst in one region that overflows into the others at once.
TEST(RegionShiftWalk, ABurstMovesToOtherRegionsGradually)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk({ 27, { 14, 26, 22 }, { routeOf(700) }, 0.6, seed });
        walk.run(Duration::seconds(6));
        walk.setDemand(0, 2.5);
        walk.run(Duration::seconds(6));
        walk.setDemand(0, 1);
        walk.run(Duration::seconds(6));
        checkShift(walk);
    }
}

// Random fleets, loads and rooms, with bursts, callers that move between failure domains, and an
// end of the load.
TEST(RegionShiftWalk, RandomLoadsStayWithinTheBound)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        std::mt19937_64 random(seed);
        const auto between = [&](double least, double most) {
            return std::uniform_real_distribution<double>(least, most)(random);
        };
        RegionShape shape;
        shape.seed = seed;
        const std::size_t regions = 2 + random() % 2;
        shape.vmCount = regions * domainsPerRegion * (1 + random() % 5);
        for (std::size_t region = 0; region < regions; ++region)
            shape.targets.push_back(static_cast<int>(between(4, 30)));
        shape.routes = { routeOf(static_cast<std::int64_t>(between(300, 2000))) };
        shape.load = between(0.4, 1.5);
        RegionWalk walk(shape);
        walk.run(Duration::millis(static_cast<std::int64_t>(between(1000, 5000))));
        for (int change = 0; change < 4; ++change) {
            walk.setDemand(random() % regions, between(0.3, 2.5));
            walk.setDomainWeight(random() % (regions * domainsPerRegion), between(0.1, 5));
            walk.run(Duration::millis(static_cast<std::int64_t>(between(500, 4000))));
        }
        for (std::size_t region = 0; region < regions; ++region)
            walk.setDemand(region, 0);
        walk.run(Duration::seconds(4));
        checkShift(walk);
    }
}
