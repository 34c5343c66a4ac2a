// Checks what callers are served where targets can serve all requests with warm objects, but not
// with cold ones. Pattern that this answers: many VMs that each know little of a target's load,
// regions with uneven targets, and load that rises for some seconds.
#include "bluebellshift/gateway/testing/regionwalk.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

// The least share of requests in time: 1.2 times the users' floor.
constexpr double minInTime = 1.2 * 0.24;
// Of the share that was served in time before the load rose, what must be served so once it has
// fallen again.
constexpr double minOfBefore = 0.9;
// The users' bound: the share of a region's requests that may change their region from one window
// to the next.
constexpr double maxShift = 0.15;

// 98 VMs, 82 targets and 717 objects. Cold objects need 1.2 times the slots, warm ones 0.36.
RegionShape shapeOf(std::uint64_t seed)
{
    WalkRoute route;
    route.serviceTime = Duration::millis(410);
    route.objective = Duration::millis(400);
    route.timeout = Duration::millis(1000);
    route.objects = 239; // of each region's callers
    RegionShape shape;
    shape.vmCount = 98;
    shape.targets = { 8, 34, 40 };
    shape.routes = { route };
    shape.load = 1.2;
    shape.seed = seed;
    shape.warmObjects = 36;
    shape.slots = 4;
    shape.maxQueue = 12;
    shape.dropsCancelled = true;
    shape.longShare = 0.03;
    shape.busyShare = 0.15;
    return shape;
}

double inTimeDuring(RegionWalk &walk, Duration time)
{
    walk.resetOutcomes();
    walk.run(time);
    return walk.outcomes(0).inTimeShare();
}

} // namespace

TEST_GROUP(WarmServiceWalk) {};

// Guards against a service that is full of requests for cold objects, and stays so when its load
// has fallen again, although its targets have room for all objects.
TEST(WarmServiceWalk, RequestsFindTheirObjectsWarmAtAndAfterHighLoad)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk(shapeOf(seed));
        walk.run(Duration::seconds(2));
        const double before = inTimeDuring(walk, Duration::seconds(4));
        walk.setRouteDemand(0, 1.25);
        const double during = inTimeDuring(walk, Duration::seconds(4));
        walk.setRouteDemand(0, 1);
        const double after = inTimeDuring(walk, Duration::seconds(4));
        std::string where;
        const double shift = walk.largestShift(&where);
        const std::string seen =
            fmt::format("seed {}: {:.2f} in time before, {:.2f} during, {:.2f} after; ", seed,
                        before, during, after)
            + where;
        CHECK_TEXT(before >= minInTime, seen.c_str());
        CHECK_TEXT(during >= minInTime, seen.c_str());
        CHECK_TEXT(after >= std::max(minInTime, minOfBefore * before), seen.c_str());
        CHECK_TEXT(shift <= maxShift, seen.c_str());
    }
}
