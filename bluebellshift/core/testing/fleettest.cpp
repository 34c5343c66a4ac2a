// Failures of the fleet, alone and in pairs, and a random walk over all of them.
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

// Every VM tries to spend several times the rate, in every account.
class Scene
{
public:
    explicit Scene(std::uint64_t seed)
        : world(worldOptions(seed))
        , model(testLimits())
    {
        world.onStep = [this] { check(); };
        for (std::size_t i = 0; i < world.size(); ++i)
            spendSoon(i);
    }

    void spendSoon(std::size_t vm)
    {
        auto delay = static_cast<std::int64_t>(world.random()() % 30);
        world.after(Duration::millis(delay), [this, vm] {
            if (world.isRunning(vm))
                isSpending ? spendAll(vm) : stopWanting(vm);
            spendSoon(vm);
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

    void stopWanting(std::size_t vm)
    {
        for (const AccountId &account : { large, wide, small })
            world.want(vm, account, 0);
    }

    // A request that ends after 20 ms, or with its VM.
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
            mostShares = std::max(mostShares, FleetModel::spendableShares(world, limit.account));
        CHECK_TEXT(mostShares <= wholeShare, "more than the whole can be spent");
        CHECK_TEXT(model.overspent() < 1e-6, "spent over burst + rate * t");
        CHECK_TEXT(slotsInUse <= 3, "more slots in use than the target has");
    }

    std::int64_t held(const AccountId &account)
    {
        return FleetModel::spendableShares(world, account);
    }

    FleetWorld world;
    FleetModel model;
    bool isSpending = true;
    std::int64_t spent = 0;
    int slotsInUse = 0;
    std::int64_t mostShares = 0;
};

// One fault of the brief's "What fails": how it begins and how it ends.
struct Fault
{
    const char *name;
    std::function<void(Scene &)> begin;
    std::function<void(Scene &)> end;
};

bool isIn(const FleetWorld &world, std::size_t vm, const char *region)
{
    return world.vm(vm).region == RegionId(region);
}

void cutRegion(Scene &scene, const char *region)
{
    FleetWorld &world = scene.world;
    world.isCut = [&world, region](std::size_t a, std::size_t b) {
        return isIn(world, a, region) != isIn(world, b, region);
    };
    world.isPlatformCut = [&world, region](std::size_t vm) { return isIn(world, vm, region); };
}

void heal(Scene &scene)
{
    scene.world.isCut = nullptr;
    scene.world.isPlatformCut = nullptr;
}

void restart(Scene &scene, std::size_t vm)
{
    if (!scene.world.isUp(vm))
        scene.world.start(vm);
}

void killRegion(Scene &scene, const char *region)
{
    for (std::size_t i = 0; i < scene.world.size(); ++i) {
        if (isIn(scene.world, i, region))
            scene.world.kill(i);
    }
}

void restartAll(Scene &scene)
{
    for (std::size_t i = 0; i < scene.world.size(); ++i)
        restart(scene, i);
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> table {
        { "process dies", [](Scene &s) { s.world.kill(1); }, [](Scene &s) { restart(s, 1); } },
        { "process restarts at once",
          [](Scene &s) {
              s.world.kill(3);
              s.world.start(3);
          },
          [](Scene &s) {} },
        { "paused past its lease", [](Scene &s) { s.world.pause(2); },
          [](Scene &s) {
              s.world.resume(2);
              if (s.world.isRunning(2))
                  s.spendAll(2);
          } },
        { "region cut off", [](Scene &s) { cutRegion(s, "kpk"); }, heal },
        { "region of the store cut off", [](Scene &s) { cutRegion(s, "punjab"); }, heal },
        { "region fails", [](Scene &s) { killRegion(s, "sindh"); }, restartAll },
        { "platform lost to one VM",
          [](Scene &s) { s.world.isPlatformCut = [](std::size_t vm) { return vm == 4; }; }, heal },
        { "platform down", [](Scene &s) { s.world.isPlatformDown = true; },
          [](Scene &s) { s.world.isPlatformDown = false; } },
        { "platform slow", [](Scene &s) { s.world.platformDelay = Duration::millis(1500); },
          [](Scene &s) { s.world.platformDelay = Duration(); } },
        { "replies lost after the write", [](Scene &s) { s.world.lostReply = 0.6; },
          [](Scene &s) { s.world.lostReply = 0; } },
        { "another writer changes the members", [](Scene &s) { s.world.rewriteMembers(); },
          [](Scene &s) { s.world.rewriteMembers(); } },
        { "messages lost", [](Scene &s) { s.world.drop = 0.3; },
          [](Scene &s) { s.world.drop = 0; } },
        { "every process restarts",
          [](Scene &s) {
              for (std::size_t i = 0; i < s.world.size(); ++i)
                  s.world.kill(i);
          },
          restartAll },
    };
    return table;
}

constexpr Duration startUp = Duration::seconds(7);
// Until no share is under way: the hubs even out as the smoothed demand decays.
constexpr Duration quiet = Duration::seconds(10);

} // namespace

TEST_GROUP(Fleet) {};

TEST(Fleet, StartsAndHoldsTheWhole)
{
    Scene scene(1);
    scene.world.startAll();
    scene.world.run(startUp);
    scene.isSpending = false;
    scene.world.run(quiet);
    for (std::size_t i = 0; i < scene.world.size(); ++i)
        CHECK(scene.world.fleet(i).mayServe(scene.world.localNow(i)));
    for (const AccountLimit &limit : testLimits())
        LONGS_EQUAL(wholeShare, scene.held(limit.account));
    CHECK(scene.spent > 0);
}

TEST(Fleet, EveryFaultKeepsTheLimitsAndHeals)
{
    for (const Fault &fault : faults()) {
        Scene scene(7);
        scene.world.startAll();
        scene.world.run(startUp);
        fault.begin(scene);
        scene.world.run(Duration::seconds(12));
        fault.end(scene);
        scene.world.run(Duration::seconds(25));
        scene.isSpending = false;
        scene.world.run(quiet);
        for (const AccountLimit &limit : testLimits()) {
            if (wholeShare != scene.held(limit.account))
                UT_PRINT(fault.name);
            LONGS_EQUAL(wholeShare, scene.held(limit.account));
        }
    }
}

TEST(Fleet, EveryPairOfFaultsKeepsTheLimits)
{
    const std::vector<Fault> &table = faults();
    for (std::size_t i = 0; i < table.size(); ++i) {
        for (std::size_t j = i; j < table.size(); ++j) {
            Scene scene(i * 100 + j);
            scene.world.startAll();
            scene.world.run(startUp);
            table[i].begin(scene);
            scene.world.run(Duration::seconds(4));
            table[j].begin(scene);
            scene.world.run(Duration::seconds(5));
            table[i].end(scene);
            scene.world.run(Duration::seconds(4));
            table[j].end(scene);
            scene.world.run(Duration::seconds(8));
        }
    }
}

// A withdrawal of a key is a new revision: whoever has not seen it must refuse.
TEST(Fleet, EveryFaultLeavesNoStaleViewInForce)
{
    for (const Fault &fault : faults()) {
        Scene scene(11);
        scene.world.startAll();
        scene.world.run(startUp);
        fault.begin(scene);
        scene.world.run(Duration::seconds(6));
        if (scene.world.isPlatformDown)
            continue; // nothing can be accepted
        scene.world.touchPlatform();
        Revision withdrawn = scene.world.revision();
        scene.world.run(Duration::seconds(3));
        for (std::size_t i = 0; i < scene.world.size(); ++i) {
            if (!scene.world.isUp(i))
                continue;
            Fleet &fleet = scene.world.fleet(i);
            bool isStale = fleet.freshness().revision() < withdrawn;
            CHECK_TEXT(!isStale || !fleet.mayServe(scene.world.localNow(i)), fault.name);
        }
    }
}

TEST(Fleet, LongOutageStopsNobody)
{
    Scene scene(12);
    scene.isSpending = false;
    scene.world.startAll();
    scene.world.run(startUp);
    scene.world.isPlatformDown = true;
    int stale = 0;
    for (int second = 0; second < 600; ++second) {
        scene.world.run(Duration::seconds(1));
        for (std::size_t i = 0; i < scene.world.size(); ++i)
            stale += scene.world.fleet(i).mayServe(scene.world.localNow(i)) ? 0 : 1;
    }
    LONGS_EQUAL(0, stale);
}

// Each VM in turn, since some are hubs of some accounts.
TEST(Fleet, LeavingVmGivesItsSharesAway)
{
    const std::size_t size = Scene(13).world.size();
    for (std::size_t vm = 0; vm < size; ++vm) {
        Scene scene(13);
        scene.isSpending = false;
        scene.world.startAll();
        scene.world.run(startUp);
        scene.world.leave(vm);
        scene.world.run(Duration::seconds(1));
        for (const AccountLimit &limit : testLimits()) {
            LONGS_EQUAL(0, scene.world.fleet(vm).ledger().share(limit.account));
            LONGS_EQUAL(wholeShare, scene.held(limit.account));
        }
    }
}

TEST(Fleet, RandomWalkKeepsTheLimitsAndHeals)
{
    for (std::uint64_t seed = 1; seed <= 14; ++seed) {
        Scene scene(seed);
        scene.world.startAll();
        for (int step = 0; step < 40; ++step) {
            const Fault &fault = faults()[scene.world.random()() % faults().size()];
            scene.world.random()() % 2 == 0 ? fault.begin(scene) : fault.end(scene);
            auto millis = static_cast<std::int64_t>(scene.world.random()() % 3000);
            scene.world.run(Duration::millis(millis));
        }
        for (const Fault &fault : faults())
            fault.end(scene);
        restartAll(scene);
        scene.world.run(Duration::seconds(25));
        scene.isSpending = false;
        scene.world.run(quiet);
        for (const AccountLimit &limit : testLimits())
            LONGS_EQUAL(wholeShare, scene.held(limit.account));
    }
}
