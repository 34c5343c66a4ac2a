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
    std::unique_ptr<TrafficSteering> steer;
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
        steer = std::make_unique<TrafficSteering>(options, hooks);
        install();
    }

    Effects install()
    {
        return steer->onViewChanged(bundle, nullptr, rollout, {}, {}, now);
    }

    void tick(Duration later)
    {
        now = now + later;
        steer->onTimer(now);
    }

    // The fraction of each region among the first choices of many requests.
    std::map<std::string, double> firstChoices(const TeamId &team = TeamId())
    {
        constexpr int requests = 1000;
        std::map<std::string, double> result;
        for (int i = 0; i < requests; ++i) {
            const auto order = steer->regionOrder(rota, 12345 + i, now, team);
            if (!order.empty())
                result[order.front().text()] += 1.0 / requests;
        }
        return result;
    }
};

TEST(TrafficSteering, RequestsFollowTheSplitClosely)
{
    auto choices = firstChoices();
    DOUBLES_EQUAL(0.2, choices["kpk"], 0.004);
    DOUBLES_EQUAL(0.5, choices["punjab"], 0.004);
    DOUBLES_EQUAL(0.3, choices["sindh"], 0.004);
    DOUBLES_EQUAL(1, firstChoices(TeamId("multan"))["punjab"], 1e-9);
    LONGS_EQUAL(3, steer->regionOrder(rota, 1, now).size());
    LONGS_EQUAL(0, steer->regionOrder(ServiceId("none"), 1, now).size());
}

TEST(TrafficSteering, AFailedRegionIsLeftAtOnceAndComesBackInSteps)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    auto choices = firstChoices();
    DOUBLES_EQUAL(2.0 / 7, choices["kpk"], 0.004);
    DOUBLES_EQUAL(0, choices["sindh"], 1e-9);
    health[RegionId("sindh")].isUp = true;
    tick(Duration::seconds(100));
    DOUBLES_EQUAL(0, firstChoices()["sindh"], 1e-9); // not listed: no leave to ramp
    CHECK(steer->regionOrder(rota, 1, now).back() == RegionId("sindh"));

    rollout.unsettledRegions = { RegionId("sindh") };
    install();
    double before = 0;
    int steps = 0;
    while (before < 0.299) {
        tick(Duration::seconds(65));
        const double share = firstChoices()["sindh"];
        CHECK(share <= before + 0.1);
        CHECK(share > before);
        before = share;
        tick(Duration::seconds(64)); // not before the window is over
        DOUBLES_EQUAL(share, firstChoices()["sindh"], 0.004);
        ++steps;
    }
    LONGS_EQUAL(4, steps);
    LONGS_EQUAL(0, steer->unsettledRegions().size());
}

TEST(TrafficSteering, ARampWaitsForWarmth)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    health[RegionId("sindh")] = { true, 0.4 };
    rollout.unsettledRegions = { RegionId("sindh") };
    install();
    for (int i = 0; i < 10; ++i)
        tick(Duration::seconds(65));
    CHECK(steer->admitted(RegionId("sindh")) > 0.1);
    CHECK(steer->admitted(RegionId("sindh")) <= 0.4);
    health[RegionId("sindh")].warmth = 1;
    for (int i = 0; i < 10; ++i)
        tick(Duration::seconds(65));
    DOUBLES_EQUAL(1, steer->admitted(RegionId("sindh")), 1e-9);
}

TEST(TrafficSteering, ARampWaitsAWindowAfterAStep)
{
    health[RegionId("sindh")].isUp = false;
    tick(Duration::seconds(1));
    health[RegionId("sindh")].isUp = true;
    rollout.unsettledRegions = { RegionId("sindh") };
    rollout.services[0].steps = 2;
    rollout.services[0].step = 1;
    install();
    tick(Duration::seconds(64));
    CHECK(steer->admitted(RegionId("sindh")) < 0.001);
    tick(Duration::seconds(1));
    CHECK(steer->admitted(RegionId("sindh")) > 0.1);
}

TEST(TrafficSteering, WithAllRegionsDownThereIsNowhereToGo)
{
    for (const char *name : { "kpk", "punjab", "sindh" })
        health[RegionId(name)].isUp = false;
    tick(Duration::seconds(1));
    LONGS_EQUAL(0, steer->regionOrder(rota, 1, now).size());
    health.clear(); // all come back together: nothing moves between them
    tick(Duration::seconds(1));
    DOUBLES_EQUAL(0.5, firstChoices()["punjab"], 0.004);
    LONGS_EQUAL(0, steer->unsettledRegions().size());
}

TEST(TrafficSteering, ABundleThatIsNotThereYetChangesNothing)
{
    rollout.bundle = "2";
    rollout.services[0].start = { { RegionId("kpk"), 1 } };
    rollout.services[0].steps = 2;
    CHECK(install().empty());
    DOUBLES_EQUAL(0.5, firstChoices()["punjab"], 0.004);
}

TEST(TrafficSteering, PublishesOnlyWhatCallersCanTell)
{
    std::vector<Vm> vms(2);
    vms[0].id = VmId("vm-1");
    vms[1].id = VmId("vm-2");
    for (Vm &vm : vms)
        vm.region = RegionId("punjab");
    const auto published = [&](const std::vector<VmId> &serving) {
        for (const Effect &effect :
             steer->onViewChanged(bundle, nullptr, rollout, vms, serving, now)) {
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
        const double mostInASecond = limit.burst + limit.ratePerSecond;
        if (limit.account == regionAccount(RegionId("kpk")))
            DOUBLES_EQUAL(100, mostInASecond, 1e-9);
        if (limit.account == linkAccount(RegionId("kpk"), RegionId("sindh")))
            DOUBLES_EQUAL(280e6, mostInASecond, 1e-3);
        if (limit.account == teamAccount(TeamId("multan")))
            DOUBLES_EQUAL(30, mostInASecond, 1e-9);
    }
    LONGS_EQUAL(5, accountLimits(*bundle).size());
}
