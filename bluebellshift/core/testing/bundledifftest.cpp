#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/bundlediff.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/capacity.h"

using namespace bluebellshift::core;

namespace {

Bundle load(const char *path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto bundle = parseBundle(text.str());
    CHECK_TEXT(bundle.ok(), bundle.status().ToString().c_str());
    return *bundle;
}

std::string describeAsText(const BundleDiff &diff)
{
    std::string all;
    for (const std::string &line : describe(diff))
        all += line + "\n";
    return all;
}

} // namespace

TEST_GROUP(BundleDiff)
{
    Bundle first = load("deploy/association/bundle-1.toml");
    Bundle second = load("deploy/association/bundle-2.toml");
};

TEST(BundleDiff, ReportsMovedTrafficAndDuration)
{
    const auto diff = diffBundles(firstRollout(first, "", {}), first, second);
    CHECK(diff.ok());
    // multan sends 400 requests a second, 75% of them to rota; sindh loses its 30%.
    STRCMP_CONTAINS("team \"multan\", service \"rota\": 45.0 requests a second from \"sindh\" to "
                    "\"punjab\"",
                    describeAsText(*diff).c_str());
    STRCMP_CONTAINS("service \"rota\": 30.0% of the traffic moves in 4 steps; the last is taken "
                    "after 3.2 min",
                    describeAsText(*diff).c_str());
    STRCMP_CONTAINS("region \"punjab\": 675.0 -> 900.0 requests a second of 990.0 (9.1% headroom",
                    describeAsText(*diff).c_str());
    double moved = 0;
    for (const TrafficMove &move : diff->moves)
        moved += move.requestsPerSecond;
    DOUBLES_EQUAL(1500 * 0.3, moved, 1e-6);
    LONGS_EQUAL(4, diff->steps);
}

TEST(BundleDiff, SameBundleMovesNothing)
{
    const auto diff = diffBundles(firstRollout(first, "", {}), first, first);
    LONGS_EQUAL(0, diff->moves.size());
    LONGS_EQUAL(0, diff->settings.size());
    STRCMP_CONTAINS("no traffic moves", describeAsText(*diff).c_str());
}

TEST(BundleDiff, StartsFromTheSplitInForce)
{
    Rollout rollout = *beginRollout(firstRollout(first, "", {}), first, second, "", {});
    for (ServiceShift &shift : rollout.services)
        shift.step = 2; // half way
    const auto back = diffBundles(rollout, second, first);
    double moved = 0;
    for (const TrafficMove &move : back->moves)
        moved += move.requestsPerSecond;
    DOUBLES_EQUAL(1500 * 0.15, moved, 1e-6);
    // The roll-out is not settled, so the first step waits too.
    CHECK(back->untilLastStep == Duration::seconds(65) * 2);
}

TEST(BundleDiff, ListsEveryChangedSetting)
{
    second.teams[0].ratePerSecond = 500;
    second.services[0].shiftCapFraction = 0.2;
    second.services[0].routes.pop_back();
    second.regions[0].capacityPerSecond = 1200;
    const std::string all =
        describeAsText(*diffBundles(firstRollout(first, "", {}), first, second));
    for (const char *line :
         { "at once: team \"multan\" rate_per_second 400 -> 500",
           "at once: service \"rota\" shift_cap_percent 10 -> 20",
           "gone: service \"rota\" route \"/turns/swap\" = keyed, not repeatable",
           "at once: region \"punjab\" capacity_per_second 1100 -> 1200" })
        STRCMP_CONTAINS(line, all.c_str());
}
