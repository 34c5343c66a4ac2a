#include <map>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/trafficsteering.h"

using namespace bluebellshift::core;

TEST_GROUP(TrafficSteering)
{
    std::map<RegionId, RegionHealth> health;
    std::shared_ptr<Bundle> bundle = std::make_shared<Bundle>();
    Rollout rollout;
    std::unique_ptr<TrafficSteering> steering;
    Instant now = Instant::fromMicros(1'000'000);
    const ServiceId rota { "rota" };

    void setup() override
    {
        bundle->version = "1";
        for (const char *name : { "kpk", "punjab", "sindh" })
            bundle->regions.push_back({ RegionId(name), 100, 1.0 / 3, {} });
        Service service;
        service.id = rota;
        service.split = { { RegionId("kpk"), 0.2 },
                          { RegionId("punjab"), 0.5 },
                          { RegionId("sindh"), 0.3 } };
        service.teamSplits = { { TeamId("multan"), { { RegionId("punjab"), 1 } } } };
        service.shiftCapFraction = 0.1;
        service.shiftWindow = Duration::seconds(60);
        service.cacheTime = Duration::seconds(5);
        bundle->services.push_back(service);
        rollout = firstRollout(*bundle, "operator", {});
        TrafficSteeringHooks hooks;
        hooks.regionHealth = [this](const RegionId &region) { return health[region]; };
        CoreOptions options;
        options.clockDrift = 0;
        steering = std::make_unique<TrafficSteering>(options, hooks);
        install();
    }

    Effects install()
    {
        return steering->onViewChanged(bundle, nullptr, rollout, {}, {}, now);
    }

    void tick(Duration elapsed)
    {
        now = now + elapsed;
        steering->onTimer(now);
    }

    // The fraction of many requests that have each region first in their order.
    std::map<std::string, double> firstRegionFractions(const TeamId &team = TeamId())
    {
        constexpr int requests = 1000;
        std::map<std::string, double> result;
        for (int i = 0; i < requests; ++i) {
            const auto order = steering->regionOrder(rota, 12345 + i, now, team);
            if (!order.empty())
                result[order.front().text()] += 1.0 / requests;
        }
        return result;
    }
};

TEST(TrafficSteering, RequestsFollowTheSplitClosely)
{
    auto choices = firstRegionFractions();
    DOUBLES_EQUAL(0.2, choices["kpk"], 0.004);
    DOUBLES_EQUAL(0.5, choices["punjab"], 0.004);
    DOUBLES_EQUAL(0.3, choices["sindh"], 0.004);
    DOUBLES_EQUAL(1, firstRegionFractions(TeamId("multan"))["punjab"], 1e-9);
    LONGS_EQUAL(3, steering->regionOrder(rota, 1, now).size());
    LONGS_EQUAL(0, steering->regionOrder(ServiceId("none"), 1, now).size());
}

TEST(TrafficSteering, FailedRegionIsLeftAtOnceAndRampsUpInSteps)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    auto choices = firstRegionFractions();
    DOUBLES_EQUAL(2.0 / 7, choices["kpk"], 0.004);
    DOUBLES_EQUAL(0, choices["sindh"], 1e-9);
    health[RegionId("sindh")].isUp = true;
    tick(Duration::seconds(100));
    DOUBLES_EQUAL(0, firstRegionFractions()["sindh"],
                  1e-9); // the ramp starts only once the roll-out lists the region
    CHECK(steering->regionOrder(rota, 1, now).back() == RegionId("sindh"));

    rollout.unsettledRegions = { RegionId("sindh") };
    install();
    double before = 0;
    int steps = 0;
    while (before < 0.299) {
        tick(Duration::seconds(65));
        const double share = firstRegionFractions()["sindh"];
        CHECK(share <= before + 0.1);
        CHECK(share > before);
        before = share;
        tick(Duration::seconds(64)); // no further step before the window ends
        DOUBLES_EQUAL(share, firstRegionFractions()["sindh"], 0.004);
        ++steps;
    }
    LONGS_EQUAL(4, steps);
    LONGS_EQUAL(0, steering->unsettledRegions().size());
}

TEST(TrafficSteering, RampIsLimitedByWarmth)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    health[RegionId("sindh")] = { true, 0.4 };
    rollout.unsettledRegions = { RegionId("sindh") };
    install();
    for (int i = 0; i < 10; ++i)
        tick(Duration::seconds(65));
    CHECK(steering->admitted(RegionId("sindh")) > 0.1);
    CHECK(steering->admitted(RegionId("sindh")) <= 0.4);
    health[RegionId("sindh")].warmth = 1;
    for (int i = 0; i < 10; ++i)
        tick(Duration::seconds(65));
    DOUBLES_EQUAL(1, steering->admitted(RegionId("sindh")), 1e-9);
}

TEST(TrafficSteering, RampWaitsOneWindowAfterARolloutStep)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    health[RegionId("sindh")].isUp = true;
    rollout.unsettledRegions = { RegionId("sindh") };
    rollout.services[0].steps = 2;
    rollout.services[0].step = 1;
    install();
    tick(Duration::seconds(64));
    CHECK(steering->admitted(RegionId("sindh")) < 0.001);
    tick(Duration::seconds(1));
    CHECK(steering->admitted(RegionId("sindh")) > 0.1);
}

TEST(TrafficSteering, NoRegionIsReturnedWhileAllAreDown)
{
    for (const char *name : { "kpk", "punjab", "sindh" })
        health[RegionId(name)].isUp = false;
    tick(Duration::seconds(1));
    LONGS_EQUAL(0, steering->regionOrder(rota, 1, now).size());
    health.clear(); // all return together, so no traffic moves between them
    tick(Duration::seconds(1));
    DOUBLES_EQUAL(0.5, firstRegionFractions()["punjab"], 0.004);
    LONGS_EQUAL(0, steering->unsettledRegions().size());
}

TEST(TrafficSteering, MissingBundleChangesNothing)
{
    rollout.bundle = "2";
    rollout.services[0].start = { { RegionId("kpk"), 1 } };
    rollout.services[0].steps = 2;
    CHECK(install().empty());
    DOUBLES_EQUAL(0.5, firstRegionFractions()["punjab"], 0.004);
}

TEST(TrafficSteering, PublishesOnlyChangesThatCallersSee)
{
    std::vector<Vm> vms(2);
    vms[0].id = VmId("vm-1");
    vms[1].id = VmId("vm-2");
    for (Vm &vm : vms)
        vm.region = RegionId("punjab");
    const auto published = [&](const std::vector<VmId> &serving) {
        for (const Effect &effect :
             steering->onViewChanged(bundle, nullptr, rollout, vms, serving, now)) {
            if (std::get_if<PublishSnapshot>(&effect) != nullptr)
                return true;
        }
        return false;
    };
    CHECK(published({ vms[0].id, vms[1].id }));
    rollout.services[0].step = 0;
    CHECK(!published({ vms[0].id, vms[1].id }));
    CHECK(published({ vms[0].id }));
    vms[0].isLeaving = true;
    CHECK(published({ vms[0].id }));
}

TEST(TrafficSteering, LimitsKeepAnySecondWithinTheCapacity)
{
    bundle->links = { { RegionId("kpk"), RegionId("sindh"), 280e6 } };
    bundle->teams = { { TeamId("multan"), 10, 20 } };
    for (const AccountLimit &limit : accountLimits(*bundle)) {
        const double maxInOneSecond = limit.burst + limit.ratePerSecond;
        if (limit.account == regionAccount(RegionId("kpk")))
            DOUBLES_EQUAL(100, maxInOneSecond, 1e-9);
        if (limit.account == linkAccount(RegionId("kpk"), RegionId("sindh")))
            DOUBLES_EQUAL(280e6, maxInOneSecond, 1e-3);
        if (limit.account == teamAccount(TeamId("multan")))
            DOUBLES_EQUAL(30, maxInOneSecond, 1e-9);
    }
    LONGS_EQUAL(5, accountLimits(*bundle).size());
}
