// Faults of the fleet, alone, in pairs and in a random walk. Guards against spending
// above an account's limit, shares that exist twice or get lost, and VMs that serve
// with a stale view.
#include <functional>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "bluebellshift/core/testing/fleetmodel.h"
#include "bluebellshift/core/testing/fleetworld.h"

using namespace bluebellshift::core;

namespace {

const AccountId large("team/large");
const AccountId wide("team/wide"); // with a hub in each region
const AccountId small("team/small");
const AccountId slots("slots/rota-1");

std::vector<AccountLimit> testLimits()
{
    return { { large, 100, 60 }, { wide, 100, 300 }, { small, 5, 10 }, { slots, 0, 3 } };
}

FleetWorldOptions worldOptions(std::uint64_t seed)
{
    FleetWorldOptions options;
    options.vms = makeVms(1);
    options.storeRegion = RegionId("punjab");
    options.limits = testLimits();
    options.seed = seed;
    return options;
}

// Every VM tries to spend several times the rate of every account.
class Scenario
{
public:
    explicit Scenario(std::uint64_t seed)
        : world(worldOptions(seed))
        , model(testLimits())
    {
        world.onStep = [this] { check(); };
        for (std::size_t i = 0; i < world.size(); ++i)
            scheduleSpending(i);
    }

    void scheduleSpending(std::size_t vm)
    {
        auto delay = static_cast<std::int64_t>(world.random()() % 30);
        world.after(Duration::millis(delay), [this, vm] {
            if (world.isRunning(vm))
                isSpending ? spendAll(vm) : withdrawDemand(vm);
            scheduleSpending(vm);
        });
    }

    void spendAll(std::size_t vm)
    {
        for (const AccountId &account : { large, wide, small }) {
            world.want(vm, account, 3);
            for (int i = 0; i < 4 && world.take(vm, account, 1); ++i) {
                model.spend(account, 1, world.now());
                ++spent;
            }
        }
        if (world.random()() % 4 == 0 && world.take(vm, slots, 1))
            useSlot(vm);
    }

    void withdrawDemand(std::size_t vm)
    {
        for (const AccountId &account : { large, wide, small })
            world.want(vm, account, 0);
    }

    // Simulates a request that ends after 20 ms, or when its VM ends.
    void useSlot(std::size_t vm)
    {
        Incarnation incarnation = world.incarnation(vm);
        ++slotsInUse;
        world.after(Duration::millis(20), [this, vm, incarnation] {
            --slotsInUse;
            if (world.isUp(vm) && world.incarnation(vm) == incarnation)
                world.releaseTokens(vm, slots, 1);
        });
    }

    void check()
    {
        for (const AccountLimit &limit : testLimits())
            maxShares = std::max(maxShares, FleetModel::spendableShares(world, limit.account));
        CHECK_TEXT(maxShares <= wholeShare, "more than the whole can be spent");
        CHECK_TEXT(model.overspent() < 1e-6, "spent over burst + rate * t");
        CHECK_TEXT(slotsInUse <= 3, "more slots in use than the target has");
    }

    std::int64_t heldShares(const AccountId &account)
    {
        return FleetModel::spendableShares(world, account);
    }

    FleetWorld world;
    FleetModel model;
    bool isSpending = true;
    std::int64_t spent = 0;
    int slotsInUse = 0;
    std::int64_t maxShares = 0;
};

// One fault of the brief's section "What fails": how it begins and how it ends.
struct Fault
{
    const char *name;
    std::function<void(Scenario &)> begin;
    std::function<void(Scenario &)> end;
};

bool isIn(const FleetWorld &world, std::size_t vm, const char *region)
{
    return world.vm(vm).region == RegionId(region);
}

void cutRegion(Scenario &scenario, const char *region)
{
    FleetWorld &world = scenario.world;
    world.isCut = [&world, region](std::size_t a, std::size_t b) {
        return isIn(world, a, region) != isIn(world, b, region);
    };
    world.isPlatformCut = [&world, region](std::size_t vm) { return isIn(world, vm, region); };
}

void restoreLinks(Scenario &scenario)
{
    scenario.world.isCut = nullptr;
    scenario.world.isPlatformCut = nullptr;
}

void startIfDown(Scenario &scenario, std::size_t vm)
{
    if (!scenario.world.isUp(vm))
        scenario.world.start(vm);
}

void killRegion(Scenario &scenario, const char *region)
{
    for (std::size_t i = 0; i < scenario.world.size(); ++i) {
        if (isIn(scenario.world, i, region))
            scenario.world.kill(i);
    }
}

void startAllDown(Scenario &scenario)
{
    for (std::size_t i = 0; i < scenario.world.size(); ++i)
        startIfDown(scenario, i);
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> table {
        { "process dies", [](Scenario &s) { s.world.kill(1); },
          [](Scenario &s) { startIfDown(s, 1); } },
        { "process restarts at once",
          [](Scenario &s) {
              s.world.kill(3);
              s.world.start(3);
          },
          [](Scenario &s) {} },
        { "paused past its lease", [](Scenario &s) { s.world.pause(2); },
          [](Scenario &s) {
              s.world.resume(2);
              if (s.world.isRunning(2))
                  s.spendAll(2);
          } },
        { "region cut off", [](Scenario &s) { cutRegion(s, "kpk"); }, restoreLinks },
        { "region of the store cut off", [](Scenario &s) { cutRegion(s, "punjab"); },
          restoreLinks },
        { "region fails", [](Scenario &s) { killRegion(s, "sindh"); }, startAllDown },
        { "platform lost to one VM",
          [](Scenario &s) { s.world.isPlatformCut = [](std::size_t vm) { return vm == 4; }; },
          restoreLinks },
        { "platform down", [](Scenario &s) { s.world.isPlatformDown = true; },
          [](Scenario &s) { s.world.isPlatformDown = false; } },
        { "platform slow", [](Scenario &s) { s.world.platformDelay = Duration::millis(1500); },
          [](Scenario &s) { s.world.platformDelay = Duration(); } },
        { "replies lost after the write", [](Scenario &s) { s.world.lostReply = 0.6; },
          [](Scenario &s) { s.world.lostReply = 0; } },
        { "another writer changes the members", [](Scenario &s) { s.world.rewriteMembers(); },
          [](Scenario &s) { s.world.rewriteMembers(); } },
        { "messages lost", [](Scenario &s) { s.world.drop = 0.3; },
          [](Scenario &s) { s.world.drop = 0; } },
        { "every process restarts",
          [](Scenario &s) {
              for (std::size_t i = 0; i < s.world.size(); ++i)
                  s.world.kill(i);
          },
          startAllDown },
    };
    return table;
}

constexpr Duration startUpTime = Duration::seconds(7);
// After this no share is in transit: hubs rebalance while the smoothed demand decays.
constexpr Duration quietTime = Duration::seconds(10);

} // namespace

TEST_GROUP(Fleet) {};

TEST(Fleet, StartsAndHoldsAllShares)
{
    Scenario scenario(1);
    scenario.world.startAll();
    scenario.world.run(startUpTime);
    scenario.isSpending = false;
    scenario.world.run(quietTime);
    for (std::size_t i = 0; i < scenario.world.size(); ++i)
        CHECK(scenario.world.fleet(i).mayServe(scenario.world.localNow(i)));
    for (const AccountLimit &limit : testLimits())
        LONGS_EQUAL(wholeShare, scenario.heldShares(limit.account));
    CHECK(scenario.spent > 0);
}

TEST(Fleet, EveryFaultKeepsTheLimitsAndRecovers)
{
    for (const Fault &fault : faults()) {
        Scenario scenario(7);
        scenario.world.startAll();
        scenario.world.run(startUpTime);
        fault.begin(scenario);
        scenario.world.run(Duration::seconds(12));
        fault.end(scenario);
        scenario.world.run(Duration::seconds(25));
        scenario.isSpending = false;
        scenario.world.run(quietTime);
        for (const AccountLimit &limit : testLimits()) {
            if (wholeShare != scenario.heldShares(limit.account))
                UT_PRINT(fault.name);
            LONGS_EQUAL(wholeShare, scenario.heldShares(limit.account));
        }
    }
}

TEST(Fleet, EveryPairOfFaultsKeepsTheLimits)
{
    const std::vector<Fault> &table = faults();
    for (std::size_t i = 0; i < table.size(); ++i) {
        for (std::size_t j = i; j < table.size(); ++j) {
            Scenario scenario(i * 100 + j);
            scenario.world.startAll();
            scenario.world.run(startUpTime);
            table[i].begin(scenario);
            scenario.world.run(Duration::seconds(4));
            table[j].begin(scenario);
            scenario.world.run(Duration::seconds(5));
            table[i].end(scenario);
            scenario.world.run(Duration::seconds(4));
            table[j].end(scenario);
            scenario.world.run(Duration::seconds(8));
        }
    }
}

// The withdrawal of a key is a new revision; a VM that lacks it must refuse requests.
TEST(Fleet, EveryFaultLeavesNoStaleViewInForce)
{
    for (const Fault &fault : faults()) {
        Scenario scenario(11);
        scenario.world.startAll();
        scenario.world.run(startUpTime);
        fault.begin(scenario);
        scenario.world.run(Duration::seconds(6));
        if (scenario.world.isPlatformDown)
            continue; // the platform accepts no change
        scenario.world.touchPlatform();
        Revision withdrawn = scenario.world.revision();
        scenario.world.run(Duration::seconds(3));
        for (std::size_t i = 0; i < scenario.world.size(); ++i) {
            if (!scenario.world.isUp(i))
                continue;
            Fleet &fleet = scenario.world.fleet(i);
            bool isStale = fleet.freshness().revision() < withdrawn;
            CHECK_TEXT(!isStale || !fleet.mayServe(scenario.world.localNow(i)), fault.name);
        }
    }
}

TEST(Fleet, LongPlatformOutageStopsNoVm)
{
    Scenario scenario(12);
    scenario.isSpending = false;
    scenario.world.startAll();
    scenario.world.run(startUpTime);
    scenario.world.isPlatformDown = true;
    int stale = 0;
    for (int second = 0; second < 600; ++second) {
        scenario.world.run(Duration::seconds(1));
        for (std::size_t i = 0; i < scenario.world.size(); ++i)
            stale += scenario.world.fleet(i).mayServe(scenario.world.localNow(i)) ? 0 : 1;
    }
    LONGS_EQUAL(0, stale);
}

// Tries each VM in turn, because some are hubs of some accounts.
TEST(Fleet, LeavingVmHandsOverItsShares)
{
    const std::size_t size = Scenario(13).world.size();
    for (std::size_t vm = 0; vm < size; ++vm) {
        Scenario scenario(13);
        scenario.isSpending = false;
        scenario.world.startAll();
        scenario.world.run(startUpTime);
        scenario.world.leave(vm);
        scenario.world.run(Duration::seconds(1));
        for (const AccountLimit &limit : testLimits()) {
            LONGS_EQUAL(0, scenario.world.fleet(vm).ledger().share(limit.account));
            LONGS_EQUAL(wholeShare, scenario.heldShares(limit.account));
        }
    }
}

TEST(Fleet, RandomWalkKeepsTheLimitsAndRecovers)
{
    for (std::uint64_t seed = 1; seed <= 14; ++seed) {
        Scenario scenario(seed);
        scenario.world.startAll();
        for (int step = 0; step < 40; ++step) {
            const Fault &fault = faults()[scenario.world.random()() % faults().size()];
            scenario.world.random()() % 2 == 0 ? fault.begin(scenario) : fault.end(scenario);
            auto millis = static_cast<std::int64_t>(scenario.world.random()() % 3000);
            scenario.world.run(Duration::millis(millis));
        }
        for (const Fault &fault : faults())
            fault.end(scenario);
        startAllDown(scenario);
        scenario.world.run(Duration::seconds(25));
        scenario.isSpending = false;
        scenario.world.run(quietTime);
        for (const AccountLimit &limit : testLimits())
            LONGS_EQUAL(wholeShare, scenario.heldShares(limit.account));
    }
}
