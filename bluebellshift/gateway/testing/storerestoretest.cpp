// What a fleet does when its store loses the latest seconds: it is away for a moment and returns
// from an older copy, with its revisions set back. The operator and the targets write again what
// they wrote; all else is the VMs' to write again.
#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "bluebellshift/gateway/testing/storefleet.h"

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration settling = Duration::seconds(6);
constexpr Duration rewriteTime = Duration::millis(1500); // of targets, after the store's return
constexpr std::size_t smallFleet = 12;
constexpr std::size_t fleetWithReaders = 30;
constexpr std::size_t largeFleet = 100;
constexpr int probes = 10; // requests at once, most of the slots of a region

// The first VM that serves by an older version, as text; empty: none.
std::string firstBehind(StoreFleet &fleet, std::uint64_t version)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.walk().isAlive(i) && fleet.versionOf(i) < version)
            return fmt::format("VM {} serves by {}, not {}", i, fleet.versionOf(i), version);
    }
    return "";
}

// Runs the fleet and returns which VM sent a request to the target, as text; empty: none did.
std::string firstUse(StoreFleet &fleet, const TargetId &target, Duration time)
{
    std::string first;
    for (Duration passed; passed < time; passed = passed + Duration::millis(100)) {
        fleet.run(Duration::millis(100));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.walk().isAlive(i) || fleet.targetsUsed(i, probes).count(target) == 0)
                continue;
            if (first.empty())
                first = fmt::format("VM {} uses {} after {} ms", i, target.text(),
                                    (passed + Duration::millis(100)).toMillis());
        }
    }
    return first;
}

// Whether the VM, which is to use the target again, does not, as text.
std::string notUsed(StoreFleet &fleet, std::size_t vm, const TargetId &target)
{
    return fleet.targetsUsed(vm, probes).count(target) > 0
        ? std::string()
        : fmt::format("VM {} does not use {}", vm, target.text());
}

// Whether each VM has its entry and the store and all VMs hold one secret, as text.
std::string lostProperty(StoreFleet &fleet, const std::string &secret)
{
    if (fleet.storedSecret() != secret)
        return fmt::format("the store holds the secret '{}', not '{}'", fleet.storedSecret(),
                           secret);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.walk().isAlive(i))
            continue;
        if (!fleet.isRegistered(i))
            return fmt::format("the entry of VM {} is missing", i);
        if (fleet.walk().vm(i).secretHex() != secret)
            return fmt::format("VM {} holds another secret", i);
    }
    return "";
}

// Five versions and 30 changes of targets.
void writeMuch(StoreFleet &fleet)
{
    for (int i = 0; i < 30; ++i) {
        Target target = StoreFleet::target(i % StoreFleet::targetCount);
        target.slots = 3 + i % 2;
        fleet.putTarget(target);
        if (i % 6 == 0)
            fleet.putConfig(2 + static_cast<std::uint64_t>(i) / 6);
        fleet.run(Duration::millis(40));
    }
}

// The store loses five versions, 30 changes of targets and what the VMs wrote meanwhile.
void loseMuchAndWriteAgain(std::size_t vmCount)
{
    StoreFleet fleet(vmCount, 1);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    writeMuch(fleet);
    fleet.run(Duration::seconds(1));
    STRCMP_EQUAL("", firstBehind(fleet, 6).c_str());
    fleet.store().resetHighestRates();
    fleet.restore(copy);
    fleet.putConfig(6);
    fleet.run(Duration::millis(100));
    fleet.putConfig(7);
    const Target left = StoreFleet::target(1);
    fleet.removeTarget(left);
    fleet.run(StoreFleet::contact);
    const std::string behind = firstBehind(fleet, 7);
    const std::string used = firstUse(fleet, left.id, Duration::seconds(4));
    fleet.run(Duration::seconds(22));
    const std::string rates = fleet.rateProblem();
    const std::string problems = behind + "; " + used + "; " + rates;
    STRCMP_EQUAL("; ; ", problems.c_str());
    STRCMP_EQUAL("", firstBehind(fleet, 7).c_str());
}

} // namespace

TEST_GROUP(StoreRestore) {};

// Guards against a VM that ignores what a restored store tells until its counter has passed the
// old one, and asks for a watch that the store can't give without a pause (points 1 and 2).
TEST(StoreRestore, AVmServesByWhatIsWrittenAfterARestore)
{
    loseMuchAndWriteAgain(1);
}

// Guards against the same in a fleet whose calls together pass the rates that the store serves.
TEST(StoreRestore, ASmallFleetServesByWhatIsWrittenAfterARestore)
{
    loseMuchAndWriteAgain(smallFleet);
}

// Guards against readers whose reports of a restored store are ignored by those that follow.
TEST(StoreRestore, ALargeFleetServesByWhatIsWrittenAfterARestore)
{
    loseMuchAndWriteAgain(largeFleet);
}

// Guards against a response of the old era that arrives late and brings back what the restored
// store does not have (points 1 and 4).
TEST(StoreRestore, ALateResponseOfTheOldEraIsDropped)
{
    StoreFleet fleet(1, 1);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    const Target joined = StoreFleet::target(StoreFleet::targetCount);
    fleet.store().delayNext(fleet.walk().vm(0).storeClient(), Registry::Targets,
                            Duration::millis(900));
    fleet.putTarget(joined);
    fleet.restore(copy, Duration::millis(100));
    fleet.setEvacuated(FailureDomainId("domain-5"), true); // told in the new era
    fleet.run(StoreFleet::contact);
    CHECK_EQUAL(0U, fleet.linesAbout(0, core::log::targetJoined, joined.id));
    CHECK_EQUAL(2U, fleet.walk().vm(0).reducer().readings(fleet.now()).storeEra);
    // Written now, it is used like any other.
    fleet.putTarget(joined);
    fleet.run(fleet.applyBound());
    CHECK_EQUAL(1U, fleet.linesAbout(0, core::log::targetJoined, joined.id));
}

// Guards against a moment without targets or a configuration, a lower version, and a version that
// is put in force twice, while the lists of a restored store come page by page (point 2).
TEST(StoreRestore, WhatIsKnownIsReplacedEntryByEntry)
{
    StoreFleet fleet(smallFleet, 2, /*pageSize=*/5);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    writeMuch(fleet);
    fleet.run(Duration::seconds(1));
    std::vector<std::size_t> lines;
    const auto configLines = [&](std::size_t vm) {
        const auto &logs = fleet.walk().vm(vm).logs();
        return static_cast<std::size_t>(
            std::count_if(logs.begin(), logs.end(), [](const core::LogRecord &line) {
                return line.event.number == core::log::configInForce.number;
            }));
    };
    for (std::size_t i = 0; i < fleet.size(); ++i)
        lines.push_back(configLines(i));
    fleet.store().restore(copy, fleet.now(), StoreFleet::awayTime, StoreModel::Fault::Refused);
    std::string problem;
    for (int step = 0; step < 400 && problem.empty(); ++step) {
        fleet.run(FleetWalk::step);
        if (step == 60)
            fleet.putConfig(6); // as before
        for (std::size_t i = 0; i < fleet.size() && problem.empty(); ++i) {
            const auto readings = fleet.walk().vm(i).reducer().readings(fleet.now());
            if (readings.targets < StoreFleet::targetCount)
                problem = fmt::format("VM {} knows {} targets", i, readings.targets);
            if (readings.configVersion != 6)
                problem = fmt::format("VM {} serves by {}", i, readings.configVersion);
            if (step % 10 == 0 && fleet.targetsUsed(i, 1).empty())
                problem = fmt::format("VM {} refuses a request in step {}", i, step);
            if (configLines(i) != lines[i])
                problem = fmt::format("VM {} put a version in force again", i);
        }
    }
    STRCMP_EQUAL("", problem.c_str());
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK_EQUAL(2U, fleet.walk().vm(i).reducer().readings(fleet.now()).storeEra);
}

// Guards against a fleet whose entries and secret the restored store lacks for ever, or that gets
// a second secret, or writes all at once (point 3).
TEST(StoreRestore, EntriesAndTheSecretInUseAreWrittenAgain)
{
    for (const std::size_t vmCount : { smallFleet, largeFleet }) {
        StoreFleet fleet(vmCount, 3);
        const StoreModel::Copy copy = fleet.store().copy(); // the VMs' calls are under way
        StoreModel::Copy withoutVms = copy;
        withoutVms.entries[static_cast<std::size_t>(Registry::Vms)].clear();
        withoutVms.entries[static_cast<std::size_t>(Registry::PeerKeys)].clear();
        fleet.run(settling);
        const std::string secret = fleet.storedSecret();
        CHECK(!secret.empty());
        STRCMP_EQUAL("", lostProperty(fleet, secret).c_str());
        fleet.store().resetHighestRates();
        fleet.restore(withoutVms);
        fleet.run(StoreFleet::contact + fleet.applyBound());
        STRCMP_EQUAL("", lostProperty(fleet, secret).c_str());
        STRCMP_EQUAL("", fleet.rateProblem().c_str());
    }
}

// Guards against an entry that was acknowledged, or written without an answer, right before the
// restore, which its VM takes for written (points 3 and 4).
TEST(StoreRestore, AnEntryWrittenRightBeforeTheRestoreIsWrittenAgain)
{
    for (const Duration before : { Duration(), Duration::millis(20), Duration::millis(60) }) {
        for (const auto fault : { StoreModel::Fault::Refused, StoreModel::Fault::Silent }) {
            StoreFleet fleet(smallFleet, 4);
            fleet.run(settling);
            const std::string secret = fleet.storedSecret();
            const StoreModel::Copy copy = fleet.store().copy();
            fleet.walk().kill(5, true);
            fleet.walk().restart(5);
            fleet.run(before);
            fleet.restore(copy, StoreFleet::awayTime, fault);
            fleet.run(StoreFleet::contact + fleet.applyBound());
            STRCMP_EQUAL("", lostProperty(fleet, secret).c_str());
        }
    }
}

// Guards against an entry that is lost before its VM has listed the VMs, so that no list shows the
// loss to it (points 3 and 6).
TEST(StoreRestore, AnEntryThatIsLostBeforeTheFirstListIsWrittenAgain)
{
    StoreFleet fleet(smallFleet, 4);
    fleet.run(settling);
    const std::string secret = fleet.storedSecret();
    const StoreModel::Copy copy = fleet.store().copy();
    fleet.walk().kill(5, true);
    fleet.store().delayNewClients(Registry::Vms, Duration::millis(900));
    fleet.walk().restart(5);
    fleet.run(Duration::millis(60));
    CHECK(fleet.isRegistered(5));
    fleet.restore(copy, StoreFleet::awayTime, StoreModel::Fault::Silent);
    fleet.run(StoreFleet::contact + fleet.applyBound());
    STRCMP_EQUAL("", lostProperty(fleet, secret).c_str());
}

// Guards against a target that left coming back into use because the copy still has it (point 4).
TEST(StoreRestore, ATargetThatLeftIsNotUsedAgain)
{
    for (const std::size_t vmCount : { smallFleet, largeFleet }) {
        StoreFleet fleet(vmCount, 5);
        fleet.run(settling);
        const StoreModel::Copy copy = fleet.store().copy();
        const Target left = StoreFleet::target(2);
        fleet.removeTarget(left);
        fleet.run(fleet.applyBound());
        fleet.restore(copy);
        const std::string used = firstUse(fleet, left.id, Duration::millis(4500));
        fleet.removeTarget(left); // the store notices that it sends no heartbeats
        STRCMP_EQUAL("", used.c_str());
        STRCMP_EQUAL("", firstUse(fleet, left.id, Duration::seconds(3)).c_str());
    }
}

// Guards against the same where the store is away again before it has noticed the missing
// heartbeats, and counts them anew from its return.
TEST(StoreRestore, ATargetThatLeftIsNotUsedAfterAnotherOutage)
{
    for (const int awaySeconds : { 3, 6, 8 }) {
        StoreFleet fleet(smallFleet, 5);
        fleet.run(settling);
        const StoreModel::Copy copy = fleet.store().copy();
        const Target left = StoreFleet::target(2);
        fleet.removeTarget(left);
        fleet.run(fleet.applyBound());
        fleet.restore(copy);
        fleet.run(Duration::seconds(2));
        const Duration away = Duration::seconds(awaySeconds);
        fleet.store().setAway(fleet.now(), away, StoreModel::Fault::Refused);
        fleet.run(away);
        STRCMP_EQUAL("", firstUse(fleet, left.id, Duration::millis(4500)).c_str());
    }
}

// Guards against a draining target that gets requests because the copy calls it ready (point 4).
TEST(StoreRestore, ATargetThatDrainsIsNotUsedAgain)
{
    StoreFleet fleet(smallFleet, 6);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    Target draining = StoreFleet::target(2);
    draining.isDraining = true;
    fleet.putTarget(draining);
    fleet.run(fleet.applyBound());
    fleet.restore(copy);
    const std::string used = firstUse(fleet, draining.id, rewriteTime);
    fleet.putTarget(draining);
    STRCMP_EQUAL("", used.c_str());
    STRCMP_EQUAL("", firstUse(fleet, draining.id, Duration::seconds(6)).c_str());
}

// Guards against dropping a target that joined and answers because the copy lacks it (point 4).
TEST(StoreRestore, ATargetThatJoinedIsKept)
{
    StoreFleet fleet(smallFleet, 7);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    const Target joined = StoreFleet::target(StoreFleet::targetCount);
    fleet.putTarget(joined);
    fleet.run(fleet.applyBound());
    fleet.restore(copy);
    fleet.run(rewriteTime);
    fleet.putTarget(joined);
    fleet.run(StoreFleet::contact);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK_EQUAL(1U, fleet.linesAbout(i, core::log::targetJoined, joined.id));
        CHECK_EQUAL(0U, fleet.linesAbout(i, core::log::targetGone, joined.id));
    }
}

// Guards against an evacuation, written again or taken back again after the restore, that is
// ignored for its low revision (point 4).
TEST(StoreRestore, EvacuationsWrittenAgainAreInForceInTime)
{
    const FailureDomainId evacuated("domain-1"); // it has targets 1 and 7 only
    const FailureDomainId returned("domain-4");  // it has targets 4 and 10 only
    StoreFleet fleet(smallFleet, 8);
    fleet.setEvacuated(returned, true);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    writeMuch(fleet);
    fleet.setEvacuated(evacuated, true);
    fleet.setEvacuated(returned, false);
    fleet.run(Duration::seconds(2));
    fleet.restore(copy);
    fleet.run(Duration::seconds(1));
    fleet.setEvacuated(evacuated, true);
    fleet.setEvacuated(returned, false);
    fleet.run(StoreFleet::evacuationBound);
    STRCMP_EQUAL("", firstUse(fleet, TargetId("t1"), Duration::seconds(1)).c_str());
    STRCMP_EQUAL("", firstUse(fleet, TargetId("t7"), Duration::seconds(1)).c_str());
    fleet.run(Duration::seconds(4)); // the domain's targets count as cold for a while
    CHECK(!firstUse(fleet, TargetId("t4"), Duration::seconds(1)).empty());
}

// Guards against a VM without the store that takes what others report of the restored store for
// older than what it knows (point 5).
TEST(StoreRestore, AVmThatIsCutOffFromTheStoreFollowsTheOthers)
{
    for (const auto fault : { StoreModel::Fault::Refused, StoreModel::Fault::Silent }) {
        StoreFleet fleet(fleetWithReaders, 9);
        fleet.run(settling);
        const StoreModel::Copy copy = fleet.store().copy();
        writeMuch(fleet);
        fleet.run(Duration::seconds(1));
        std::vector<int> before;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            before.push_back(fleet.walk().vm(i).storeCalls());
        fleet.run(Duration::seconds(3));
        std::size_t cut = 0; // the first that doesn't read
        while (fleet.walk().vm(cut).storeCalls() > before[cut])
            ++cut;
        fleet.setStorePath(cut, fault);
        fleet.restore(copy);
        fleet.run(Duration::seconds(1));
        const Target left = StoreFleet::target(3);
        fleet.setEvacuated(FailureDomainId("domain-1"), true);
        fleet.removeTarget(left);
        fleet.run(StoreFleet::contact + StoreFleet::evacuationBound);
        CHECK_EQUAL(2U, fleet.walk().vm(cut).reducer().readings(fleet.now()).storeEra);
        std::string used;
        for (int i = 0; i < 20; ++i) {
            fleet.run(Duration::millis(100));
            for (const TargetId &one : fleet.targetsUsed(cut, 3 * probes)) {
                if (one == left.id || one == TargetId("t1") || one == TargetId("t7"))
                    used = one.text();
            }
        }
        STRCMP_EQUAL("", used.c_str());
    }
}

// Guards against a VM of the new era that goes back to what readers without the store still report
// of the old one (point 5).
TEST(StoreRestore, AVmDoesNotGoBackToReportsOfAnOlderEra)
{
    StoreFleet fleet(fleetWithReaders, 10);
    fleet.run(settling);
    const StoreModel::Copy copy = fleet.store().copy();
    writeMuch(fleet);
    fleet.setEvacuated(FailureDomainId("domain-1"), true);
    fleet.run(Duration::seconds(2));
    std::vector<int> before;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        before.push_back(fleet.walk().vm(i).storeCalls());
    fleet.run(Duration::seconds(3)); // nothing changes: only readers call the store
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.walk().vm(i).storeCalls() > before[i])
            readers.push_back(i);
    }
    CHECK(readers.size() >= 2);
    for (std::size_t i = 0; i < readers.size() / 2; ++i)
        fleet.setStorePath(readers[i], StoreModel::Fault::Silent);
    fleet.restore(copy);
    fleet.run(Duration::seconds(1));
    fleet.setEvacuated(FailureDomainId("domain-1"), false); // the operator takes it back instead
    fleet.putConfig(7);
    fleet.run(StoreFleet::contact + StoreFleet::evacuationBound + Duration::seconds(4));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto readings = fleet.walk().vm(i).reducer().readings(fleet.now());
        CHECK_EQUAL(2U, readings.storeEra);
        const auto cutEnd = readers.begin() + static_cast<std::ptrdiff_t>(readers.size() / 2);
        if (std::find(readers.begin(), cutEnd, i) != cutEnd)
            continue;
        CHECK_EQUAL(7U, readings.configVersion);
        if (fleet.walk().entry(i).region == RegionId("region-0")) // where domain-1 is
            STRCMP_EQUAL("", notUsed(fleet, i, TargetId("t1")).c_str());
    }
}

namespace {

struct Drill
{
    const char *name;
    std::function<void(StoreFleet &, const StoreModel::Copy &)> run;
};

const Drill drills[] = {
    { "two within seconds",
      [](StoreFleet &fleet, const StoreModel::Copy &copy) {
          fleet.restore(copy);
          fleet.run(Duration::millis(700));
          const StoreModel::Copy second = fleet.store().copy();
          fleet.run(Duration::millis(900));
          fleet.restore(second);
      } },
    { "while history is discarded",
      [](StoreFleet &fleet, const StoreModel::Copy &copy) {
          fleet.store().limitHistory(0);
          fleet.restore(copy);
          fleet.run(Duration::seconds(2));
          fleet.store().limitHistory(std::nullopt);
      } },
    { "while half of the VMs are refused",
      [](StoreFleet &fleet, const StoreModel::Copy &copy) {
          for (std::size_t i = 0; i < fleet.size(); i += 2)
              fleet.setStorePath(i, StoreModel::Fault::Refused);
          fleet.restore(copy);
          fleet.run(Duration::seconds(3));
          for (std::size_t i = 0; i < fleet.size(); i += 2)
              fleet.setStorePath(i, StoreModel::Fault::None);
      } },
    { "right before all VMs are killed",
      [](StoreFleet &fleet, const StoreModel::Copy &copy) {
          fleet.restore(copy);
          for (std::size_t i = 0; i < fleet.size(); ++i)
              fleet.walk().kill(i, false);
          fleet.run(Duration::millis(500));
          for (std::size_t i = 0; i < fleet.size(); ++i)
              fleet.walk().restart(i);
      } },
    { "right after all VMs were killed, while they start",
      [](StoreFleet &fleet, const StoreModel::Copy &copy) {
          for (std::size_t i = 0; i < fleet.size(); ++i)
              fleet.walk().kill(i, false);
          for (std::size_t i = 0; i < fleet.size(); ++i)
              fleet.walk().restart(i);
          fleet.run(Duration::millis(60));
          fleet.restore(copy);
      } },
};

} // namespace

// Guards against drills whose effects meet: of the second one, of lists that a discarded history
// asks for, of VMs that hear of it from others, and of VMs that start (point 6).
TEST(StoreRestore, DrillsThatMeetOtherFaultsEndInTime)
{
    std::string problems;
    for (const Drill &drill : drills) {
        for (const std::size_t vmCount : { smallFleet, fleetWithReaders }) {
            StoreFleet fleet(vmCount, 11);
            fleet.run(settling);
            const std::string secret = fleet.storedSecret();
            const StoreModel::Copy copy = fleet.store().copy();
            writeMuch(fleet);
            fleet.run(Duration::seconds(1));
            drill.run(fleet, copy);
            fleet.putConfig(6);
            fleet.run(Duration::millis(100));
            fleet.putConfig(7);
            fleet.run(StoreFleet::contact + fleet.applyBound());
            std::string problem = firstBehind(fleet, 7);
            const std::string lost = lostProperty(fleet, secret);
            const std::string rates = fleet.rateProblem();
            if (!problem.empty() || !lost.empty() || !rates.empty())
                problems += fmt::format("{}, {} VMs: {}; {}; {}\n", drill.name, vmCount, problem,
                                        lost, rates);
        }
    }
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a second secret and lost entries when the store is restored to a state before
// the fleet's start, while it starts (point 6).
TEST(StoreRestore, ADrillDuringTheStartOfTheFleetEndsWithOneSecret)
{
    std::string problems;
    for (const std::size_t vmCount : { smallFleet, largeFleet }) {
        for (const std::int64_t millis : { 20, 40, 60, 100, 200, 400, 800, 1600, 3000 }) {
            StoreModel::Copy copy = StoreFleet(1, 12).store().copy();
            copy.entries[static_cast<std::size_t>(Registry::Vms)].clear();
            copy.entries[static_cast<std::size_t>(Registry::PeerKeys)].clear();
            StoreFleet fleet(vmCount, 12);
            fleet.run(Duration::millis(millis));
            fleet.restore(copy);
            fleet.run(StoreFleet::contact + fleet.applyBound());
            const std::string secret = fleet.storedSecret();
            std::string problem = secret.empty() ? "no secret" : lostProperty(fleet, secret);
            problem += fleet.rateProblem();
            if (!problem.empty())
                problems += fmt::format("{} VMs, {} ms: {}\n", vmCount, millis, problem);
        }
    }
    STRCMP_EQUAL("", problems.c_str());
}

// Guards against a loop of lists and watches where the store has no history for any watch.
TEST(StoreRestore, AStoreWithoutHistoryIsReadAtAMeasuredRate)
{
    for (const std::size_t vmCount : { std::size_t { 1 }, smallFleet, largeFleet }) {
        StoreFleet fleet(vmCount, 13);
        fleet.run(settling);
        fleet.store().resetHighestRates();
        fleet.store().setWatchesGone(true);
        fleet.run(Duration::seconds(10));
        fleet.putConfig(2);
        fleet.run(fleet.applyBound());
        STRCMP_EQUAL("", (firstBehind(fleet, 2) + fleet.rateProblem()).c_str());
    }
}

// Guards against calls without a growing wait while the store refuses or is silent for long.
TEST(StoreRestore, AStoreThatStaysAwayIsCalledAtAMeasuredRate)
{
    for (const auto fault : { StoreModel::Fault::Refused, StoreModel::Fault::Silent }) {
        StoreFleet fleet(smallFleet, 14);
        fleet.run(settling);
        const StoreModel::Copy copy = fleet.store().copy();
        fleet.store().resetHighestRates();
        fleet.restore(copy, Duration::seconds(10), fault);
        fleet.putConfig(2);
        fleet.run(StoreFleet::contact);
        STRCMP_EQUAL("", (firstBehind(fleet, 2) + fleet.rateProblem()).c_str());
    }
}
