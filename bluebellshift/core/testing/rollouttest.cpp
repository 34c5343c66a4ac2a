#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/rollout.h"

using namespace bluebellshift::core;

namespace {

Bundle makeBundle(const char *version, double north, double cap = 0.1)
{
    Bundle bundle;
    bundle.version = version;
    bundle.regions = { { RegionId("north"), 100, 0.5, {} }, { RegionId("south"), 100, 0.5, {} } };
    Service service;
    service.id = ServiceId("rota");
    service.split = { { RegionId("north"), north }, { RegionId("south"), 1 - north } };
    service.shiftCapFraction = cap;
    bundle.services.push_back(service);
    return bundle;
}

double northFraction(const Bundle &bundle, const Rollout &rollout)
{
    const Service &service = bundle.services[0];
    return fractionOf(splitInForce(service, rollout.findService(service.id), TeamId()),
                      RegionId("north"));
}

const char validJson[] =
    R"({"bundle":"2","previous":"1","serial":3,"state":"moving","reason":"","is_settled":true,)"
    R"("changed_by":"amina","began_at_us":5,"changed_at_us":6,"unsettled_regions":["north"],)"
    R"("services":{"rota":{"step":1,"steps":2,"start":{"north":0.5,"south":0.5},)"
    R"("team_starts":{"multan":{"north":1}}}}})";

} // namespace

TEST_GROUP(Rollout) {};

TEST(Rollout, DecodesWhatItEncodes)
{
    const auto rollout = decodeRollout(validJson);
    CHECK_TEXT(rollout.ok(), rollout.status().ToString().c_str());
    CHECK(rollout->state == RolloutState::Moving);
    LONGS_EQUAL(3, rollout->serial);
    LONGS_EQUAL(2, rollout->services[0].steps);
    DOUBLES_EQUAL(1, rollout->services[0].teamStarts[0].split[0].fraction, 0);
    const std::string again = encodeRollout(*decodeRollout(encodeRollout(*rollout)));
    STRCMP_EQUAL(encodeRollout(*rollout).c_str(), again.c_str());
}

TEST(Rollout, RejectsMalformedRollouts)
{
    const struct
    {
        const char *from;
        const char *to;
        const char *message;
    } cases[] = {
        { "\"serial\":3,", "", "field \"serial\" is missing" },
        { "\"serial\":3", "\"serial\":-3", "field \"serial\" = -3 is of the wrong type" },
        { "\"serial\":3", "\"serial\":3,\"colour\":1", "unknown field \"colour\"" },
        { "\"moving\"", "\"running\"", "is none of moving, paused, done" },
        { "\"step\":1", "\"step\":3", "\"step\" = 3 is after \"steps\" = 2" },
        { "\"step\":1", "\"step\":1,\"pace\":1", "unknown field \"pace\"" },
        { "\"north\":0.5", "\"north\":0.6", "sums to 1.1, not 1" },
        { "\"north\":0.5", "\"north\":-1", "is no fraction" },
        { "[\"north\"]", "[1]", "which is no region" },
        { "{\"bundle\"", "{{", "not JSON" },
    };
    for (const auto &c : cases) {
        std::string text = validJson;
        text.replace(text.find(c.from), std::string(c.from).size(), c.to);
        const auto rollout = decodeRollout(text);
        CHECK_TEXT(!rollout.ok(), c.to);
        STRCMP_CONTAINS(c.message, std::string(rollout.status().message()).c_str());
    }
    CHECK(!decodeRollout("").ok());
    CHECK(!decodeRollout("[]").ok());
}

TEST(Rollout, NewRolloutStartsFromTheSplitInForce)
{
    const Bundle first = makeBundle("1", 0.8);
    const Bundle second = makeBundle("2", 0.2);
    Rollout rollout = *beginRollout(firstRollout(first, "a", {}), first, second, "a", {});
    LONGS_EQUAL(7, rollout.services[0].steps); // 0.6 in steps of at most 0.095
    DOUBLES_EQUAL(0.8, northFraction(second, rollout), 1e-9);
    rollout.services[0].step = 3;
    const double reached = northFraction(second, rollout);
    DOUBLES_EQUAL(0.8 - 0.6 * 3 / 7, reached, 1e-9);
    // Rolling back to the first bundle starts from the reached split.
    const Rollout back = *beginRollout(rollout, second, first, "a", {});
    DOUBLES_EQUAL(reached, northFraction(first, back), 1e-9);
    CHECK(!back.isSettled);
    LONGS_EQUAL(3, back.services[0].steps);
    STRCMP_EQUAL("2", back.previous.c_str());
}

TEST(Rollout, StricterCapOfBothBundlesApplies)
{
    const Bundle loose = makeBundle("1", 0.8, 1);
    const Bundle strict = makeBundle("2", 0.2, 0.1);
    LONGS_EQUAL(
        7,
        beginRollout(firstRollout(strict, "a", {}), strict, makeBundle("3", 0.8, 1), "a", {})
            ->services[0]
            .steps);
    LONGS_EQUAL(
        7, beginRollout(firstRollout(loose, "a", {}), loose, strict, "a", {})->services[0].steps);
}

TEST(Rollout, RegionThatCarriesTrafficCannotBeRemoved)
{
    const Bundle first = makeBundle("1", 0.8);
    Bundle second = makeBundle("2", 1);
    second.regions.pop_back();
    const auto refused = beginRollout(firstRollout(first, "a", {}), first, second, "a", {});
    STRCMP_CONTAINS("lacks region \"south\", which carries 20.0% of service \"rota\"",
                    std::string(refused.status().message()).c_str());
    const Bundle drained = makeBundle("1", 1);
    CHECK(beginRollout(firstRollout(drained, "a", {}), drained, second, "a", {}).ok());
}

TEST(Rollout, NoStepExceedsTheCap)
{
    for (const double cap : { 0.01, 0.07, 0.1, 0.25, 0.5, 1.0 }) {
        for (double distance = 0.01; distance <= 1; distance += 0.01) {
            const int steps = stepsFor(distance, cap);
            CHECK(distance / steps <= cap * stepFractionOfCap + 1e-9);
        }
        LONGS_EQUAL(0, stepsFor(0, cap));
    }
}
