// Where objects are placed. Pattern that this answers: callers of a region ask for a few hundred
// objects, a target keeps few of them warm, and a cold object takes three times as long.
#include "bluebellshift/gateway/targets/placement.h"

#include "bluebellshift/gateway/hashing.h"

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

// Targets as seen for an object, the first `local` of them in the VM's region.
std::vector<PlacedTarget> targetsOf(int local, int elsewhere, std::uint64_t object)
{
    std::vector<PlacedTarget> targets;
    for (int i = 0; i < local + elsewhere; ++i) {
        PlacedTarget placed;
        placed.rank = mixHashes(static_cast<std::uint64_t>(i), object);
        placed.isLocal = i < local;
        targets.push_back(placed);
    }
    return targets;
}

int preferredCount(const std::vector<PlacedTarget> &targets, bool isLocal)
{
    int preferred = 0;
    for (const PlacedTarget &target : targets)
        preferred += target.isLocal == isLocal && target.warmth > 0 ? 1 : 0;
    return preferred;
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

// Guards against objects without a preferred target, whose requests would all be cold.
TEST(Placement, EachObjectHasPreferredTargetsHereAndElsewhere)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> targets = targetsOf(82, 86, objectHash(object));
        placement.estimateWarmth(service, targets);
        CHECK(preferredCount(targets, true) >= 1);
        CHECK(preferredCount(targets, false) >= 1);
    }
}

// Guards against a small region whose objects drive each other out of its targets' caches.
TEST(Placement, ARegionWithoutRoomKeepsOneCopyOfAnObject)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> targets = targetsOf(8, 0, objectHash(object));
        placement.estimateWarmth(service, targets);
        LONGS_EQUAL(1, preferredCount(targets, true));
    }
}

// Guards against objects that move though their targets have not changed: each move is cold.
TEST(Placement, ALostTargetMovesOnlyItsOwnObjects)
{
    for (int object = 0; object < objectCount; ++object) {
        std::vector<PlacedTarget> before = targetsOf(82, 0, objectHash(object));
        std::vector<PlacedTarget> after(before.begin() + 1, before.end());
        placement.estimateWarmth(service, before);
        placement.estimateWarmth(service, after);
        if (before.front().warmth > 0)
            continue;
        for (std::size_t i = 0; i < after.size(); ++i)
            DOUBLES_EQUAL(before[i + 1].warmth, after[i].warmth, 0);
    }
}

// Guards against copies that the targets have no room for, and against room that stays unused.
TEST(Placement, TheNumberOfCopiesFollowsWhatTargetsKeepWarm)
{
    const auto copies = [this] {
        std::vector<PlacedTarget> targets = targetsOf(82, 0, objectHash(1));
        placement.estimateWarmth(service, targets);
        return preferredCount(targets, true);
    };
    const int atFirst = copies();
    for (int i = 0; i < 100; ++i)
        placement.recordOutcome(service, false);
    CHECK(copies() < atFirst);
    DOUBLES_EQUAL(Placement::minWarmObjects, placement.warmObjectsPerTarget(service), 1e-9);
    for (int i = 0; i < 2000; ++i)
        placement.recordOutcome(service, true);
    CHECK(copies() >= atFirst);
    DOUBLES_EQUAL(Placement::maxWarmObjects, placement.warmObjectsPerTarget(service), 1e-9);
}
