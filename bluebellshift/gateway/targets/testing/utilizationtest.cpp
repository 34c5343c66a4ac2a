#include "bluebellshift/gateway/targets/utilization.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::targets;

TEST_GROUP(Utilization)
{
    Instant now_ = Instant::fromMicros(1);
    Utilization utilization_;

    void report(int running, int waiting, int count)
    {
        for (int i = 0; i < count; ++i)
            utilization_.onReport({ running, waiting, 4, std::nullopt }, now_);
    }
};

TEST(Utilization, IsNotKnownWithoutRecentReports)
{
    CHECK(!utilization_.estimate(now_));
    report(2, 0, 4);
    CHECK(utilization_.estimate(now_).has_value());
    now_ = now_ + Utilization::memory * 3;
    CHECK(!utilization_.estimate(now_));
}

// Guards against a decision that outlives the load that caused it.
TEST(Utilization, FollowsTheReportsWithinSomeSeconds)
{
    report(4, 12, 50);
    DOUBLES_EQUAL(1, *utilization_.estimate(now_), 1e-9);
    for (int i = 0; i < 30; ++i) {
        now_ = now_ + Duration::millis(100);
        report(1, 0, 1);
    }
    DOUBLES_EQUAL(0.25, *utilization_.estimate(now_), 0.25);
    report(1, 0, 200);
    DOUBLES_EQUAL(0.25, *utilization_.estimate(now_), 0.02);
}

TEST(Utilization, IgnoresReportsWithoutSlots)
{
    for (int i = 0; i < 5; ++i)
        utilization_.onReport({ 3, 1, 0, std::nullopt }, now_);
    CHECK(!utilization_.estimate(now_));
}
