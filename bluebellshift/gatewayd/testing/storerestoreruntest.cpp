// Guards against a fleet that ignores what is written to the store after the store has returned
// from an older copy: VMs serve by a superseded configuration, and a target that has left gets
// requests.
#include <chrono>
#include <cstdlib>
#include <string>

#include "bluebellshift/gatewayd/testing/fleetrun.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gatewayd::testing;
using platform::testing::StoreStandin;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seed = 1;
constexpr int maxCallsPerSecond = 2400;        // reads_per_s + writes_per_s of all VMs
constexpr milliseconds warmupInterval { 500 }; // at which starting targets change their entries

} // namespace

TEST_GROUP(StoreRestoreRun) {};

// The targets start, so that the revisions that the copy lacks are many; then versions and a
// target's leaving are all that is written.
TEST(StoreRestoreRun, VersionsAndLeavingAfterAReturnFromAnOlderCopyAreInForce)
{
    FleetRunOptions options;
    options.seed = seed;
    FleetRun run(options);
    CHECK(run.start());
    const StoreStandin::Copy copy = run.store().copy();
    double warmup = 5;
    run.every(warmupInterval, [&] {
        warmup -= 0.5;
        for (const auto &target : run.targets())
            target->setWarmup(warmup);
        return warmup > 0;
    });
    run.every(milliseconds(300), [&] {
        run.publish();
        return true;
    });
    run.runFor(milliseconds(5200));
    run.drill(copy, milliseconds(300), milliseconds(1500));
    run.runFor(milliseconds(5000));
    run.targets()[0]->drain();
    run.runFor(milliseconds(1000));
    run.targets()[0]->leave();
    run.runFor(milliseconds(4000));
    run.stopChanges();
    run.runFor(configApplyTime);
    const FleetRun::Result result = run.finish();
    std::string faults;
    if (!result.isConverged())
        faults += "not all VMs have the newest version in force\n";
    if (!result.cases.empty())
        faults += "rules are broken\n";
    if (result.mostCallsPerSecond > maxCallsPerSecond)
        faults += "too many calls to the store\n";
    if (!result.ownEnds.empty())
        faults += "a process ended by itself\n";
    CHECK_TEXT(faults.empty(), (faults + result.text()).c_str());
    UT_PRINT(result.text().c_str());
}
