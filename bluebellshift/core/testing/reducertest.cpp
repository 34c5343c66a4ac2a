// Invariants of whole reducers under the specified faults: withdrawn keys, leases,
// platform outages, stale replicas and restarts.
#include <string>

#include "bluebellshift/core/testing/reducerbench.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::core;
using testing::ReducerBench;
namespace standin = bluebellshift::standin;

namespace {

constexpr std::size_t vmCount = 12;
constexpr Duration maxWithdrawalDelay = Duration::seconds(3); // until every VM rejects the key
constexpr Duration offerInterval = Duration::millis(50);
constexpr Duration settleTime = Duration::seconds(5);

// Offers requests to every VM at a constant rate.
void offerRequestsFor(ReducerBench &bench, Duration time)
{
    const Instant end = bench.now() + time;
    while (bench.now() < end) {
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            bench.offer(vm, ReducerBench::key);
        bench.run(offerInterval);
    }
}

// Runs until all VMs are ready and hold shares.
void settle(ReducerBench &bench)
{
    bench.run(settleTime);
    offerRequestsFor(bench, Duration::seconds(2));
}

int totalForwarded(ReducerBench &bench)
{
    int sum = 0;
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        sum += bench.counts(vm).forwarded;
    return sum;
}

} // namespace

TEST_GROUP(Reducer) {};

TEST(Reducer, EveryVmBecomesReadyAndServes)
{
    ReducerBench bench(vmCount);
    settle(bench);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        CHECK_TRUE(bench.isReady(vm));
        CHECK_TRUE(bench.counts(vm).answered > 0);
    }
}

TEST(Reducer, WithdrawnKeyStopsWorkingOnEveryVmUnderEveryFault)
{
    const struct
    {
        const char *name;
        std::function<void(ReducerBench &)> before; // the withdrawal
        std::function<void(ReducerBench &)> after;
    } cases[] = {
        { "no fault", [](ReducerBench &) {}, [](ReducerBench &) {} },
        { "one VM cut from the platform", [](ReducerBench &b) { b.cutPlatform(4); },
          [](ReducerBench &) {} },
        { "one VM cut from all", [](ReducerBench &b) { b.cutPlatform(4), b.cutPeers(4); },
          [](ReducerBench &) {} },
        { "one VM cut from its peers", [](ReducerBench &b) { b.cutPeers(4); },
          [](ReducerBench &) {} },
        { "a region cut from the platform",
          [](ReducerBench &b) {
              for (std::size_t vm = 1; vm < vmCount; vm += 3)
                  b.cutPlatform(vm);
          },
          [](ReducerBench &) {} },
        { "all but one VM cut from the platform",
          [](ReducerBench &b) {
              for (std::size_t vm = 1; vm < vmCount; ++vm)
                  b.cutPlatform(vm);
          },
          [](ReducerBench &) {} },
        { "platform down soon after", [](ReducerBench &) {},
          [](ReducerBench &b) {
              b.run(Duration::millis(20));
              b.setPlatformDown(true);
          } },
        { "platform down before, up for the write alone",
          [](ReducerBench &b) {
              b.setPlatformDown(true);
              offerRequestsFor(b, Duration::seconds(4));
              b.setPlatformDown(false);
              b.run(Duration::seconds(12));
          },
          [](ReducerBench &) {} },
        { "one VM paused across it", [](ReducerBench &b) { b.pause(4, Duration::seconds(10)); },
          [](ReducerBench &) {} },
        { "one VM killed and replaced", [](ReducerBench &b) { b.kill(4); },
          [](ReducerBench &b) { b.start(4); } },
    };
    for (const auto &c : cases) {
        ReducerBench bench(vmCount);
        settle(bench);
        c.before(bench);
        bench.withdrawKeys("multan");
        const Instant withdrawnAt = bench.now();
        c.after(bench);
        offerRequestsFor(bench, Duration::seconds(12));
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            const Instant last = bench.counts(vm).lastForwardedAt;
            CHECK_TEXT(last <= withdrawnAt + maxWithdrawalDelay, c.name);
        }
    }
}

TEST(Reducer, PlatformOutageStopsNoVm)
{
    ReducerBench bench(vmCount);
    settle(bench);
    bench.setPlatformDown(true);
    offerRequestsFor(bench, Duration::seconds(5));
    bench.run(Duration::seconds(60));
    const int before = totalForwarded(bench);
    offerRequestsFor(bench, Duration::seconds(5));
    bench.run(Duration::seconds(1)); // for requests that still wait
    const int offered = static_cast<int>(vmCount) * 100;
    // VMs have to borrow shares again after the idle minute; fewer than 1% of the
    // requests may be refused.
    CHECK_TRUE((totalForwarded(bench) - before) * 100 > offered * 99);
}

TEST(Reducer, IsolatedVmStopsWithinItsLease)
{
    ReducerBench bench(vmCount);
    settle(bench);
    bench.cutPlatform(4);
    bench.cutPeers(4);
    const Instant cutAt = bench.now();
    offerRequestsFor(bench, Duration::seconds(6));
    CHECK_TRUE(bench.counts(4).lastForwardedAt <= cutAt + Duration::millis(2500));
    CHECK_FALSE(bench.isReady(4));
    bench.cutPlatform(4, false);
    bench.cutPeers(4, false);
    bench.run(Duration::seconds(15));
    CHECK_TRUE(bench.isReady(4));
}

TEST(Reducer, RegionCutFromThePlatformServesWithViewsFromPeers)
{
    ReducerBench bench(vmCount);
    settle(bench);
    for (std::size_t vm = 1; vm < vmCount; vm += 3)
        bench.cutPlatform(vm);
    bench.run(Duration::seconds(10));
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        CHECK_TRUE(bench.isReady(vm));
}

TEST(Reducer, AnAcceptedBundleIsInForceEverywhereWithinThreeSecondsAndNeverReverts)
{
    ReducerBench bench(vmCount);
    settle(bench);
    for (std::size_t vm = 1; vm < vmCount; vm += 3)
        bench.cutPlatform(vm);
    bench.rollOut("2");
    bench.run(Duration::seconds(3));
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        STRCMP_EQUAL("2", bench.bundleOf(vm).c_str());

    // VMs that restart while the platform is down get the view from peers.
    bench.setPlatformDown(true);
    bench.run(Duration::seconds(3));
    for (std::size_t vm : { 0, 4, 8 }) {
        bench.kill(vm);
        bench.start(vm);
    }
    bench.run(Duration::seconds(5));
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        STRCMP_EQUAL("2", bench.bundleOf(vm).c_str());
}

TEST(Reducer, StaleReplicaChangesNothing)
{
    ReducerBench bench(vmCount);
    settle(bench);
    bench.setReplicaStale(true); // reads keep seeing this state
    bench.rollOut("2");
    const standin::PlatformStore newest = bench.store();
    bench.run(Duration::seconds(2));
    STRCMP_EQUAL("1", bench.bundleOf(5).c_str());
    bench.setReplica(newest);
    bench.run(Duration::seconds(2));
    STRCMP_EQUAL("2", bench.bundleOf(5).c_str());
    bench.setReplica(bench.initialStore());
    bench.run(Duration::seconds(4));
    STRCMP_EQUAL("2", bench.bundleOf(5).c_str());
    // The older replica can't confirm the newer view, so the VM's lease has expired.
    CHECK_FALSE(bench.isReady(5));
}

TEST(Reducer, IsolatedVmServesNothingAfterARestart)
{
    ReducerBench bench(vmCount);
    settle(bench);
    bench.setPlatformDown(true);
    bench.kill(4);
    bench.start(4);
    bench.cutPeers(4);
    const int before = bench.counts(4).forwarded;
    offerRequestsFor(bench, Duration::seconds(5));
    LONGS_EQUAL(before, bench.counts(4).forwarded);
    CHECK_FALSE(bench.isReady(4));
}

TEST(Reducer, SameEventsGiveTheSameEffects)
{
    ReducerBench first(vmCount);
    settle(first);
    ReducerBench second(vmCount);
    settle(second);
    CHECK_TRUE(first.recordedEvents().size() > 100);
    LONGS_EQUAL(first.recordedEvents().size(), second.recordedEvents().size());
    CHECK_TRUE(first.recordedEffectCounts() == second.recordedEffectCounts());
}
