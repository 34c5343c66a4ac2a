// Where objects are placed. Pattern that this answers: traffic between failure domains is
// expensive, and a service has enough targets in each domain to keep all objects warm there.
#include "bluebellshift/gateway/targets/placement.h"

#include <map>
#include <set>

#include "bluebellshift/gateway/hashing.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::targets;
using bluebellshift::core::Duration;
using bluebellshift::core::Instant;
using bluebellshift::core::ServiceId;

namespace {

const ServiceId service("s");

std::uint64_t objectHash(int object)
{
    return mixHashes(hashText("object"), static_cast<std::uint64_t>(object)) | 1;
}

// Requests for `objects` distinct objects, until the estimate of their number has settled.
void requestAll(Placement &placement, int objects)
{
    Instant now = Instant::fromMicros(1);
    for (int round = 0; round < 6; ++round) {
        for (int object = 0; object < objects; ++object)
            placement.recordRequest(service, objectHash(object), now);
        now = now + ObjectCount::generation;
    }
}

// Targets of one region with `perDomain[i]` targets in domain i + 1, as seen for an object.
std::vector<PlacedTarget> targetsOf(const std::vector<int> &perDomain, std::uint64_t object)
{
    std::vector<PlacedTarget> targets;
    std::uint64_t target = 0;
    for (std::size_t domain = 0; domain < perDomain.size(); ++domain) {
        for (int i = 0; i < perDomain[domain]; ++i) {
            PlacedTarget placed;
            placed.rank = mixHashes(++target, object);
            placed.domain = domain + 1;
            placed.isLocal = true;
            targets.push_back(placed);
        }
    }
    return targets;
}

// Number of targets in each domain where the object is expected to be warm.
std::map<std::uint64_t, int> preferredByDomain(const std::vector<PlacedTarget> &targets)
{
    std::map<std::uint64_t, int> preferred;
    for (const PlacedTarget &target : targets)
        preferred[target.domain] += target.warmth > 0 ? 1 : 0;
    return preferred;
}

} // namespace

TEST_GROUP(Placement) {};

// Guards against objects whose preferred targets all lie in the other domain, which sent half
// of a region's requests over the expensive link.
TEST(Placement, EachDomainWithRoomHasAPreferredTargetForEachObject)
{
    Placement placement(true);
    requestAll(placement, 170);
    for (int object = 0; object < 170; ++object) {
        std::vector<PlacedTarget> targets = targetsOf({ 41, 41 }, objectHash(object));
        placement.estimateWarmth(service, true, targets);
        for (const auto &[domain, preferred] : preferredByDomain(targets))
            CHECK(preferred >= 1);
    }
}

// Guards against more copies of an object than the region's targets have room for.
TEST(Placement, ARegionKeepsAsManyCopiesWithDomainsAsWithout)
{
    Placement byDomain(true);
    Placement byRegion(false);
    requestAll(byDomain, 170);
    requestAll(byRegion, 170);
    int copiesByDomain = 0;
    int copiesByRegion = 0;
    for (int object = 0; object < 170; ++object) {
        std::vector<PlacedTarget> targets = targetsOf({ 41, 41 }, objectHash(object));
        byDomain.estimateWarmth(service, true, targets);
        for (const auto &[domain, preferred] : preferredByDomain(targets))
            copiesByDomain += preferred;
        targets = targetsOf({ 41, 41 }, objectHash(object));
        byRegion.estimateWarmth(service, false, targets);
        for (const auto &[domain, preferred] : preferredByDomain(targets))
            copiesByRegion += preferred;
    }
    CHECK(copiesByDomain <= copiesByRegion + 170); // rounding adds at most one an object
}

// Guards against a small region that drives objects out of its caches by a copy in each domain.
TEST(Placement, ARegionWithoutRoomSharesOneCopyBetweenItsDomains)
{
    Placement placement(true);
    requestAll(placement, 170);
    for (int object = 0; object < 170; ++object) {
        std::vector<PlacedTarget> targets = targetsOf({ 8, 8 }, objectHash(object));
        placement.estimateWarmth(service, true, targets);
        int preferred = 0;
        for (const auto &[domain, count] : preferredByDomain(targets))
            preferred += count;
        LONGS_EQUAL(1, preferred);
    }
}

// Guards against objects that move when their domain has not changed: each move is a cold start.
TEST(Placement, ALostTargetMovesOnlyItsOwnObjects)
{
    Placement placement(true);
    requestAll(placement, 170);
    for (int object = 0; object < 170; ++object) {
        std::vector<PlacedTarget> before = targetsOf({ 41, 41 }, objectHash(object));
        std::vector<PlacedTarget> after(before.begin() + 1, before.end());
        placement.estimateWarmth(service, true, before);
        placement.estimateWarmth(service, true, after);
        if (before.front().warmth > 0)
            continue;
        for (std::size_t i = 0; i < after.size(); ++i)
            DOUBLES_EQUAL(before[i + 1].warmth, after[i].warmth, 0);
    }
}

// Guards against requests that have nowhere to go when a whole domain is lost or evacuated.
TEST(Placement, WithoutADomainTheOthersServeAllObjects)
{
    Placement placement(true);
    requestAll(placement, 170);
    for (int object = 0; object < 170; ++object) {
        std::vector<PlacedTarget> targets = targetsOf({ 0, 41 }, objectHash(object));
        placement.estimateWarmth(service, true, targets);
        CHECK(preferredByDomain(targets).at(2) >= 1);
    }
}

// Guards against responses of several kilobytes that cross domains as cheaply as small ones.
TEST(Placement, TheUsualResponseCountsInTheCostOfAnotherDomain)
{
    Placement placement(true);
    for (int i = 0; i < 100; ++i) {
        placement.recordResponse("large", 5000);
        placement.recordResponse("small", 100);
    }
    CHECK(placement.crossDomainMillis("large", 0) > 4 * placement.crossDomainMillis("small", 0));
    CHECK(placement.crossDomainMillis("unknown", 2000) > placement.crossDomainMillis("unknown", 0));
}

// Guards against requests with time to spare that cross domains for a few milliseconds, and
// against urgent ones that give up time that they need.
TEST(Placement, ALocalSlotIsWorthAPartOfTheSlackThatGrowsWithTheBytes)
{
    Placement placement(true);
    placement.recordResponse("large", 5000);
    placement.recordResponse("small", 100);
    const Duration slack = Duration::millis(2000);
    const double large = placement.localSlotMillis("large", 0, slack);
    CHECK(large > placement.localSlotMillis("small", 0, slack));
    CHECK(large < 2000 * Placement::localSlackFraction);
    CHECK(large > 10 * placement.localSlotMillis("large", 0, Duration::millis(100)));
    DOUBLES_EQUAL(0, placement.localSlotMillis("large", 0, Duration::millis(-50)), 0);
}

// Guards against copies in each domain of objects whose requests are late while the object is cold.
TEST(Placement, OnlyRequestsThatMeetTheirObjectiveWithAColdObjectAreByDomain)
{
    const struct
    {
        int coldMillis;
        int objectiveMillis;
        bool isByDomain;
    } cases[] = {
        { 2600, 3000, true },  { 1040, 800, false }, { 400, 250, false },
        { 1360, 1000, false }, { 900, 1000, true },  { 910, 1000, false },
    };
    for (const auto &one : cases) {
        const Duration cold = Duration::millis(one.coldMillis);
        const Duration objective = Duration::millis(one.objectiveMillis);
        CHECK_EQUAL(one.isByDomain, Placement(true).isByDomain(cold, objective));
        CHECK(!Placement(false).isByDomain(cold, objective));
    }
}

// Guards against a deployment without the feature that is served in another way.
TEST(Placement, ByRegionTheResponseDoesNotCount)
{
    Placement placement(false);
    placement.recordResponse("large", 5000);
    DOUBLES_EQUAL(Placement::crossDomainMillisPerKilobyte, placement.crossDomainMillis("large", 0),
                  1e-9);
}
