// Checks what callers are served when a region loses its targets or fills with long requests, with
// warm objects, delays between regions, old reports and callers that return. Patterns that this
// answers: targets that come back after a fault; urgent requests behind long ones at the same
// targets.
#include "bluebellshift/gateway/testing/regionwalk.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

// Of the share that was served in time before a fault, what must be served so once all targets are
// back and have warmed up. The rest is for objects that are cold again.
constexpr double minOfCalm = 0.9;
constexpr Duration warmup = Duration::seconds(3); // of the sample service
// The least share of urgent requests in time: 1.2 times the users' floor.
constexpr double minUrgentInTime = 1.2 * 0.23;

} // namespace

TEST_GROUP(RegionServiceWalk) {};

// Guards against requests that are sent to full regions while the targets of their own are back.
TEST(RegionServiceWalk, RequestsReturnToARegionWhoseTargetsAreBack)
{
    WalkRoute route;
    route.objects = 40;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk({ 27, { 10, 26, 26 }, { route }, 1.6, seed });
        walk.run(Duration::seconds(4));
        walk.resetOutcomes();
        walk.run(Duration::seconds(4));
        const double calm = walk.outcomes(0).inTimeShare();
        walk.loseTargets(1, 0.9);
        walk.run(Duration::seconds(3));
        walk.returnTargets(1);
        walk.run(warmup);
        walk.resetOutcomes();
        walk.run(Duration::seconds(4));
        const double after = walk.outcomes(0).inTimeShare();
        CHECK_TEXT(
            after >= minOfCalm * calm,
            fmt::format("seed {}: {:.2f} in time, {:.2f} before", seed, after, calm).c_str());
    }
}

// Guards against urgent requests that find all slots taken by long ones.
TEST(RegionServiceWalk, UrgentRequestsFindRoomBesideLongOnes)
{
    WalkRoute history;
    history.share = 0.925;
    history.serviceTime = Duration::millis(2600);
    history.objective = Duration::seconds(3);
    history.timeout = Duration::seconds(4);
    history.objects = 14;
    WalkRoute check;
    check.share = 0.075;
    check.serviceTime = Duration::millis(400);
    check.objective = Duration::millis(250);
    check.timeout = Duration::millis(1200);
    check.priority = 0;
    check.objects = 7;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RegionWalk walk({ 27, { 6, 26, 30 }, { history, check }, 1.6, seed });
        walk.run(Duration::seconds(5));
        walk.setRouteDemand(0, 2.5);
        walk.run(Duration::seconds(6));
        walk.setRouteDemand(0, 1);
        walk.setRouteDemand(1, 1.8);
        walk.resetOutcomes();
        walk.run(Duration::seconds(4));
        const double inTime = walk.outcomes(1).inTimeShare();
        CHECK_TEXT(inTime >= minUrgentInTime,
                   fmt::format("seed {}: {:.2f} in time", seed, inTime).c_str());
    }
}
