// Guards against a target that has left and stays in use for as long as outages follow each other,
// and against one that is given up before its owner had time to write.
#include "bluebellshift/gateway/store/lapsedtargets.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using bluebellshift::gateway::store::LapsedTargets;

namespace {

constexpr Duration grace = Duration::millis(2200);
const TargetId id("t");

Instant at(std::int64_t millis)
{
    return Instant::fromMicros(1'000'000'000) + Duration::millis(millis);
}

} // namespace

TEST_GROUP(LapsedTargets) {};

TEST(LapsedTargets, IsGoneOnceConfirmedAfterItsTime)
{
    LapsedTargets lapsed;
    lapsed.add(id, at(0), grace, at(300));
    CHECK(at(2200) == lapsed.nextWake());
    CHECK_FALSE(lapsed.expire(at(2199)));
    CHECK(lapsed.expire(at(2210)));
    CHECK(Instant::never() == lapsed.nextWake());
    CHECK(lapsed.takeConfirmed(at(2209)).empty());
    CHECK_EQUAL(1U, lapsed.takeConfirmed(at(2210)).size());
    CHECK(lapsed.takeConfirmed(at(9000)).empty());
}

TEST(LapsedTargets, ASecondOutageCountsTheTimeAnew)
{
    LapsedTargets lapsed;
    lapsed.add(id, at(0), grace, at(300));
    lapsed.postpone(at(1000), at(4000), grace);
    CHECK_FALSE(lapsed.expire(at(6199)));
    CHECK(lapsed.expire(at(6200)));
    lapsed.postpone(at(6210), at(8000), grace); // before a confirmation
    CHECK(lapsed.takeConfirmed(at(8000)).empty());
    CHECK_FALSE(lapsed.expire(at(10'199)));
    CHECK(lapsed.expire(at(10'200)));
}

TEST(LapsedTargets, WrittenAgainStaysInUse)
{
    LapsedTargets lapsed;
    lapsed.add(id, at(0), grace, at(300));
    lapsed.clear(id);
    CHECK_FALSE(lapsed.expire(at(9000)));
}

// Each series of outages, however short its pauses, ends the time once the store has been there for
// maxGraces times the grace period.
TEST(LapsedTargets, NoSeriesOfOutagesPutsTheEndOffFurther)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 300; ++round) {
        LapsedTargets lapsed;
        std::int64_t now = 100;
        Duration presence;
        lapsed.add(id, at(0), grace, at(now));
        for (;;) {
            const auto present = static_cast<std::int64_t>(50 + random() % 2000);
            const auto away = static_cast<std::int64_t>(50 + random() % 3000);
            if (lapsed.expire(at(now + present)))
                break;
            presence = presence + Duration::millis(present);
            CHECK(presence <= grace * LapsedTargets::maxGraces + grace);
            lapsed.postpone(at(now + present), at(now + present + away), grace);
            now += present + away;
        }
    }
}
