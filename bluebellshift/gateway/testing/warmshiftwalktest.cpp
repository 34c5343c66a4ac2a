// Checks the bound on shifts between regions where targets keep objects warm.
// Pattern that this answers: a burst in one region, and its end.
#include "bluebellshift/gateway/testing/regionwalk.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

// The users' bound: the share of a region's requests that may change their region from one window
// to the next.
constexpr double maxShift = 0.15;

} // namespace

TEST_GROUP(WarmShiftWalk) {};

// Guards against objects that return to their region together when a burst ends.
TEST(WarmShiftWalk, RequestsForWarmObjectsReturnGradually)
{
    WalkRoute route;
    route.objects = 40;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk({ 27, { 10, 26, 26 }, { route }, 1.2, seed });
        walk.run(Duration::seconds(6));
        walk.setDemand(0, 3);
        walk.run(Duration::seconds(6));
        walk.setDemand(0, 0.5);
        walk.run(Duration::seconds(6));
        std::string where;
        const double largest = walk.largestShift(&where);
        CHECK_TEXT(largest <= maxShift, where.c_str());
    }
}
