// Guards against requests to a target that has left, while the store cuts off the watches of all
// VMs again and again: each cut counted as an outage in which the target's entry may have lapsed.
#include <chrono>
#include <string>

#include "bluebellshift/gatewayd/testing/fleetrun.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gatewayd::testing;
using std::chrono::milliseconds;

TEST_GROUP(CutWatchRun) {};

TEST(CutWatchRun, ATargetThatLeftGetsNoRequest)
{
    FleetRunOptions options;
    options.vms = 4;
    FleetRun run(options);
    CHECK(run.start());
    run.runFor(contactTime + milliseconds(1000));
    run.every(milliseconds(900), [&] {
        run.store().resetWatches();
        return true;
    });
    run.runFor(milliseconds(1100));
    run.targets()[0]->leave();
    run.runFor(milliseconds(1500));
    run.targets()[1]->leave();
    run.runFor(2 * drainTime);
    run.stopChanges();
    run.runFor(milliseconds(1000));
    const FleetRun::Result result = run.finish();
    const bool isKept = result.cases.empty() && result.ownEnds.empty() && result.requests > 0;
    CHECK_TEXT(isKept, result.text().c_str());
    UT_PRINT(result.text().c_str());
}
