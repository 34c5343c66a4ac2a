// How the demand of regions is estimated. Pattern that this answers: a region with many callers and
// few VMs, and load that moves between regions in waves.
#include "bluebellshift/gateway/regions/demandestimate.h"

#include <cmath>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::regions;

namespace {

const RegionValues vmShares { 0.6, 0.4 };
constexpr double perWindow = 400; // requests of all regions

} // namespace

TEST_GROUP(DemandEstimate)
{
    DemandEstimate demand_;
    Instant now_ = Instant::fromMicros(1);

    // A region's share of the requests during `time`.
    void run(double share, Duration time)
    {
        for (Duration passed; passed < time; passed = passed + Duration::millis(100)) {
            now_ = now_ + Duration::millis(100);
            demand_.update(vmShares, { perWindow * share, perWindow * (1 - share) }, now_);
            const RegionValues &shares = demand_.shares();
            DOUBLES_EQUAL(1, std::accumulate(shares.begin(), shares.end(), 0.0), 1e-9);
        }
    }
};

TEST(DemandEstimate, BeginsWithTheSharesOfTheVms)
{
    demand_.update(vmShares, {}, now_);
    DOUBLES_EQUAL(0.6, demand_.shares()[0], 1e-9);
}

// Guards against a region that is planned by its VMs although it has more callers.
TEST(DemandEstimate, FollowsTheRequestsOfSomeSeconds)
{
    run(0.3, Duration::seconds(12));
    DOUBLES_EQUAL(0.3, demand_.shares()[0], 0.1);
    run(0.3, Duration::seconds(60));
    DOUBLES_EQUAL(0.3, demand_.shares()[0], 0.05);
}

// Guards against objects that move with each wave of the load.
TEST(DemandEstimate, DoesNotFollowWaves)
{
    run(0.6, Duration::seconds(30));
    for (int second = 0; second < 72; ++second) {
        run(0.6 + 0.3 * std::sin(second * 2 * M_PI / 18), Duration::seconds(1));
        DOUBLES_EQUAL(0.6, demand_.shares()[0], 0.1);
    }
}

TEST(DemandEstimate, KeepsTheLatestSharesWithoutRequests)
{
    run(0.3, Duration::seconds(30));
    const double before = demand_.shares()[0];
    for (int i = 0; i < 50; ++i) {
        now_ = now_ + Duration::millis(100);
        demand_.update(vmShares, {}, now_);
    }
    DOUBLES_EQUAL(before, demand_.shares()[0], 0.1);
}

// Guards against a region that refuses requests and therefore counts as one with less demand: what
// a VM reports depends on arrivals only.
TEST(DemandEstimate, ReportsTheRequestsThatArrivedWithinTheWindow)
{
    LONGS_EQUAL(0, demand_.arrivedRequests(now_));
    for (int i = 0; i < 1000; ++i) { // 50 a second
        now_ = now_ + Duration::millis(20);
        demand_.onArrived(now_);
    }
    DOUBLES_EQUAL(100, demand_.arrivedRequests(now_), 2);
    LONGS_EQUAL(0, demand_.arrivedRequests(now_ + Duration::seconds(20)));
}
