// Targets that left or drain while the store returns from a copy that does not have that.
#include "bluebellshift/gateway/store/restoredtargets.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::store;
using bluebellshift::core::Instant;

TEST_GROUP(RestoredTargets)
{
    RestoredTargets restored;
    Instant now = Instant::fromMicros(1'000'000'000);
    Target target;

    void setup() override
    {
        target.id = TargetId("t");
        target.startUnixMillis = 5;
    }
};

TEST(RestoredTargets, ATargetThatIsNotInUseIsHeldUntilItsEntryIsWritten)
{
    CHECK_FALSE(restored.admit(target, nullptr, now).has_value());
    restored.onWritten(target.id); // the caller uses that entry
    CHECK(restored.takeDue(now + Duration::seconds(60)).empty());
    CHECK(restored.nextWake() == Instant::never());
}

TEST(RestoredTargets, AnEntryThatOutlivesHeartbeatsBelongsToATargetThatRuns)
{
    CHECK_FALSE(restored.admit(target, nullptr, now).has_value());
    CHECK(restored.takeDue(now + RestoredTargets::maxStaleEntryTime - Duration::micros(1)).empty());
    CHECK(restored.nextWake() == now + RestoredTargets::maxStaleEntryTime);
    const auto due = restored.takeDue(now + RestoredTargets::maxStaleEntryTime);
    CHECK_EQUAL(1, due.size());
    CHECK(due[0].id == target.id);
    CHECK(restored.takeDue(now + Duration::seconds(60)).empty());
}

TEST(RestoredTargets, AnotherRestoreHoldsItForTheWholeTimeAgain)
{
    restored.admit(target, nullptr, now);
    const Instant later = now + RestoredTargets::maxStaleEntryTime / 2;
    CHECK_FALSE(restored.admit(target, nullptr, later).has_value());
    CHECK(restored.nextWake() == later + RestoredTargets::maxStaleEntryTime);
}

TEST(RestoredTargets, ATargetThatDrainsGoesOnDrainingUntilItStartsAnew)
{
    Target known = target;
    known.isDraining = true;
    CHECK(restored.admit(target, &known, now)->isDraining);
    target.startUnixMillis = 6;
    CHECK_FALSE(restored.admit(target, &known, now)->isDraining);
}

TEST(RestoredTargets, AnEntryOfAnEarlierRunChangesNothing)
{
    Target known = target;
    known.startUnixMillis = 6;
    known.endpoint = { "10.0.0.9", 9 };
    target.isDraining = true;
    const auto admitted = restored.admit(target, &known, now);
    CHECK_EQUAL(6, admitted->startUnixMillis);
    CHECK(admitted->endpoint == known.endpoint);
    CHECK_FALSE(admitted->isDraining);
}

TEST(RestoredTargets, ATargetThatIsInUseStaysInUse)
{
    CHECK(restored.admit(target, &target, now).has_value());
    CHECK(restored.nextWake() == Instant::never());
}
