// Where objects are placed. Pattern that this answers: callers of a region ask for a few hundred
// objects, a target keeps few of them warm, and a cold object takes three times as long.
#include "bluebellshift/gateway/targets/placement.h"

#include "bluebellshift/gateway/hashing.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::targets;
using bluebellshift::core::Instant;
using bluebellshift::core::ServiceId;

namespace {

constexpr int objectCount = 170;
const ServiceId service("s");

std::uint64_t objectHash(int object)
{
    return mixHashes(hashText("object"), static_cast<std::uint64_t>(object)) | 1;
}

constexpr std::size_t localCount = 8;
constexpr std::size_t allCount = 82;
// What the region's own targets, a tenth of all, can serve of its requests.
constexpr double localShare = 0.29;

// All targets as seen for an object, with equal weights.
std::vector<PlacedTarget> targetsOf(std::size_t count, std::uint64_t object)
{
    std::vector<PlacedTarget> targets;
    for (std::size_t i = 0; i < count; ++i) {
        PlacedTarget placed;
        placed.hash = mixHashes(hashText("target-" + std::to_string(i)), object);
        placed.slots = 4;
        targets.push_back(placed);
    }
    return targets;
}

// The same, where the first targets are in this VM's region and serve less than its requests.
std::vector<PlacedTarget> targetsOfSmallRegion(std::uint64_t object)
{
    std::vector<PlacedTarget> targets = targetsOf(allCount, object);
    for (std::size_t i = localCount; i < targets.size(); ++i)
        targets[i].region = 1 + i % 2;
    return targets;
}

// The use of a service in a region that serves all of its requests itself, or only a part of them.
ServiceUse useOf(std::uint64_t object, double utilization = 0.9)
{
    return { object, 1.0 / 3, { 1 }, utilization };
}

ServiceUse useInSmallRegion(std::uint64_t object)
{
    return { object, 1.0 / 3, { localShare, (1 - localShare) / 2, (1 - localShare) / 2 }, 0.9 };
}

std::size_t homeCount(const std::vector<PlacedTarget> &targets)
{
    return static_cast<std::size_t>(std::count_if(
        targets.begin(), targets.end(), [](const PlacedTarget &target) { return target.isHome; }));
}

} // namespace

TEST_GROUP(Placement)
{
    Placement placement;

    // Requests for all objects, until the estimate of their number has settled.
    void setup() override
    {
        Instant now = Instant::fromMicros(1);
        for (int round = 0; round < 6; ++round) {
            for (int object = 0; object < objectCount; ++object)
                placement.recordRequest(service, objectHash(object), now);
            now = now + ObjectCount::generation;
        }
    }
};

// Guards against objects without a preferred target, whose requests would all be cold, also where
// most targets can't be used.
TEST(Placement, EachObjectHasAPreferredTargetAmongTheUsableOnes)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> targets = targetsOfSmallRegion(objectHash(object));
        for (std::size_t i = 0; i < targets.size(); ++i)
            targets[i].isUsable = i % 20 == static_cast<std::size_t>(object) % 20;
        placement.place(service, useInSmallRegion(objectHash(object)), targets);
        CHECK(homeCount(targets) >= 1);
        for (const PlacedTarget &target : targets) {
            CHECK(target.isUsable || !target.isHome);
            CHECK_EQUAL(target.isHome, target.warmth > 0);
        }
    }
}

// Guards against a small region whose targets get all objects of its callers, which then drive each
// other out of the targets' caches.
TEST(Placement, ASmallRegionHasNoMoreHomesThanItsTargetsKeepWarm)
{
    for (const bool isLearned : { false, true }) {
        for (int i = 0; i < 100 && isLearned; ++i)
            placement.recordOutcome(service, false);
        std::size_t local = 0;
        for (int object = 0; object < objectCount; ++object) {
            std::vector<PlacedTarget> targets = targetsOfSmallRegion(objectHash(object));
            placement.place(service, useInSmallRegion(objectHash(object)), targets);
            CHECK(homeCount(targets) >= 1);
            for (std::size_t i = 0; i < localCount; ++i)
                local += targets[i].isHome ? 1 : 0;
        }
        CHECK(static_cast<double>(local) / localCount <= placement.warmObjectsPerTarget(service));
    }
}

// Guards against objects that move though their targets have not changed: each move is cold.
TEST(Placement, ALostTargetMovesOnlyItsOwnObjects)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> before = targetsOf(allCount, objectHash(object));
        std::vector<PlacedTarget> after(before.begin() + 1, before.end());
        placement.place(service, useOf(objectHash(object)), before);
        placement.place(service, useOf(objectHash(object)), after);
        if (before.front().warmth > 0)
            continue;
        for (std::size_t i = 0; i < after.size(); ++i)
            DOUBLES_EQUAL(before[i + 1].warmth, after[i].warmth, 0);
    }
}

// Guards against requests that spread over all targets while one is not usable for some seconds.
TEST(Placement, OneSubstituteTakesTheObjectsOfATargetThatIsNotUsable)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> before = targetsOf(allCount, objectHash(object));
        std::vector<PlacedTarget> after = before;
        placement.place(service, useOf(objectHash(object)), before);
        const auto first = static_cast<std::size_t>(
            std::find_if(before.begin(), before.end(),
                         [](const PlacedTarget &target) { return target.isHome; })
            - before.begin());
        after[first].isUsable = false;
        placement.place(service, useOf(objectHash(object)), after);
        std::size_t substitutes = 0;
        for (std::size_t i = 0; i < after.size(); ++i) {
            if (i == first)
                continue;
            CHECK(after[i].isHome || !before[i].isHome);
            substitutes += after[i].isHome && !before[i].isHome ? 1 : 0;
        }
        LONGS_EQUAL(1, substitutes);
    }
}

// Guards against a second copy of each object that an idle service has to load.
TEST(Placement, AnIdleServicePrefersOneTargetOfAnObject)
{
    std::vector<PlacedTarget> targets = targetsOf(allCount, objectHash(1));
    placement.place(service, useOf(objectHash(1), 0), targets);
    std::vector<double> warmth;
    for (const PlacedTarget &target : targets) {
        if (target.isHome)
            warmth.push_back(target.warmth);
    }
    LONGS_EQUAL(2, warmth.size());
    DOUBLES_EQUAL(Placement::idleWarmthDrop, std::abs(warmth[0] - warmth[1]), 1e-9);
}

// Guards against copies that the targets have no room for, and against room that stays unused.
TEST(Placement, TheNumberOfCopiesFollowsWhatTargetsKeepWarm)
{
    const auto copies = [this] {
        std::vector<PlacedTarget> targets = targetsOf(allCount, objectHash(1));
        placement.place(service, useOf(objectHash(1)), targets);
        return homeCount(targets);
    };
    const std::size_t atFirst = copies();
    for (int i = 0; i < 100; ++i)
        placement.recordOutcome(service, false);
    CHECK(copies() < atFirst);
    DOUBLES_EQUAL(Placement::minWarmObjects, placement.warmObjectsPerTarget(service), 1e-9);
    for (int i = 0; i < 2000; ++i)
        placement.recordOutcome(service, true);
    CHECK(copies() >= atFirst);
    DOUBLES_EQUAL(Placement::maxWarmObjects, placement.warmObjectsPerTarget(service), 1e-9);
}
