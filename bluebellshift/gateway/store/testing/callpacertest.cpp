#include "bluebellshift/gateway/store/callpacer.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using bluebellshift::core::Duration;
using bluebellshift::gateway::store::CallPacer;

TEST_GROUP(CallPacer)
{
    CallPacer pacer { 7 };
};

TEST(CallPacer, WaitsGrowUpToTheMaximumAndHalfOfEachIsRandom)
{
    const Duration most = Duration::millis(1000);
    Duration full = CallPacer::minWait;
    for (int i = 0; i < 40; ++i) {
        full = std::min(most, full * 2);
        const Duration wait = pacer.nextWait(most);
        CHECK(full / 2 <= wait);
        CHECK(wait <= full);
    }
    CHECK(pacer.nextWait(most) != pacer.nextWait(most));
}

TEST(CallPacer, AResetBeginsWithTheShortestWaitAgain)
{
    for (int i = 0; i < 10; ++i)
        pacer.nextWait(Duration::seconds(4));
    pacer.reset();
    CHECK(pacer.nextWait(Duration::seconds(4)) <= CallPacer::minWait * 2);
}

TEST(CallPacer, SpreadsStayWithinTheirRange)
{
    for (int i = 0; i < 1000; ++i) {
        const Duration spread = pacer.spread(Duration::millis(3));
        CHECK(Duration() <= spread);
        CHECK(spread <= Duration::millis(3));
    }
    CHECK(Duration() == pacer.spread(Duration()));
}
