// Watches that the store cuts off, calls that it refuses as too many, and a registry that fails
// alone, against outages in which entries lapse. Load that this answers: front ends of the store
// restart one after the other while targets leave without a word.
#include "bluebellshift/gateway/testing/storefleet.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration step = Duration::millis(100);
constexpr int lapsedCount = 3;
// In which the owners of lapsed entries write them again after an outage.
constexpr Duration reregistrationTime = Duration::millis(1900);

enum class Trouble { CutWatches, Throttled, CutAndThrottled, FailingRegistry, Count };

constexpr Duration drainBoundOf(std::size_t vmCount)
{
    return Duration::millis(vmCount < 60 ? 2500 : 3000);
}

std::size_t targetsKnownTo(StoreFleet &fleet, std::size_t vm)
{
    GatewayBench &bench = fleet.walk().vm(vm);
    return bench.reducer().readings(bench.now()).targets;
}

std::size_t mostTargetsKnown(StoreFleet &fleet)
{
    std::size_t most = 0;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm)
        most = std::max(most, targetsKnownTo(fleet, vm));
    return most;
}

std::size_t fewestTargetsKnown(StoreFleet &fleet)
{
    std::size_t fewest = StoreFleet::targetCount;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm)
        fewest = std::min(fewest, targetsKnownTo(fleet, vm));
    return fewest;
}

bool hasReportedOutage(StoreFleet &fleet)
{
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        const auto &logs = fleet.walk().vm(vm).logs();
        const bool hasNoticed = std::any_of(logs.begin(), logs.end(), [&](const auto &line) {
            return line.event.number == core::log::storeRegained.number
                && std::any_of(line.fields.begin(), line.fields.end(), [](const auto &field) {
                       return field.name == std::string("outage") && field.value == "yes";
                   });
        });
        if (hasNoticed)
            return true;
    }
    return false;
}

// Plays a series of troubles, in which a target leaves, and returns what is wrong.
std::string playSeries(std::size_t vmCount, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto trouble = static_cast<Trouble>(seed % static_cast<std::uint64_t>(Trouble::Count));
    StoreFleet fleet(vmCount, seed);
    fleet.run(Duration::seconds(8));
    const Target left = StoreFleet::target(static_cast<int>(random() % StoreFleet::targetCount));
    if (trouble == Trouble::FailingRegistry)
        fleet.store().setCutOff(Registry::Traffic);
    const std::uint64_t count = 3 + random() % 10;
    const auto leavesAfter = static_cast<std::int64_t>(random() % (count * 1200));
    const Instant leavesAt = fleet.now() + Duration::millis(leavesAfter);
    const Instant end = leavesAt + drainBoundOf(vmCount) + Duration::seconds(4);
    Instant nextTrouble = fleet.now();
    Instant throttledUntil;
    Instant leftAt = Instant::never(); // once the store serves the removal
    std::uint64_t troubles = 0;
    while (fleet.now() < end) {
        if (trouble != Trouble::FailingRegistry && fleet.now() >= nextTrouble && troubles < count) {
            ++troubles;
            nextTrouble =
                fleet.now() + Duration::millis(static_cast<std::int64_t>(600 + random() % 1700));
            if (trouble != Trouble::Throttled)
                fleet.store().cutWatches(fleet.now());
            if (trouble != Trouble::CutWatches) {
                const auto time = Duration::millis(static_cast<std::int64_t>(50 + random() % 400));
                throttledUntil = fleet.now() + time;
                fleet.store().setAway(fleet.now(), time, StoreModel::Fault::Throttled);
            }
        }
        if (leftAt == Instant::never() && fleet.now() >= std::max(leavesAt, throttledUntil)) {
            fleet.removeTarget(left);
            leftAt = fleet.now();
        }
        fleet.run(step);
        if (leftAt != Instant::never() && fleet.now() > leftAt + drainBoundOf(vmCount)
            && fleet.targetsUsed(random() % vmCount, 40).count(left.id) > 0)
            return fmt::format("{} VMs, seed {}: {} is used {} ms after it left", vmCount, seed,
                               left.id.text(), (fleet.now() - leftAt).toMillis());
    }
    if (mostTargetsKnown(fleet) != StoreFleet::targetCount - 1)
        return fmt::format("{} VMs, seed {}: not all VMs know that it left", vmCount, seed);
    if (hasReportedOutage(fleet))
        return fmt::format("{} VMs, seed {}: an outage is reported", vmCount, seed);
    return "";
}

// Plays outages in the first of which entries lapse, and returns what is wrong.
std::string playOutages(std::size_t vmCount, StoreModel::Fault fault, int awayMillis, int outages)
{
    StoreFleet fleet(vmCount, static_cast<std::uint64_t>(awayMillis));
    fleet.run(Duration::seconds(8));
    for (int outage = 0; outage < outages; ++outage) {
        if (outage > 0)
            fleet.run(Duration::millis(900));
        fleet.store().setAway(fleet.now(), Duration::millis(awayMillis), fault);
        fleet.run(Duration::millis(awayMillis));
        for (int i = 0; i < lapsedCount && outage == 0; ++i)
            fleet.removeTarget(StoreFleet::target(i));
    }
    const std::string name = fmt::format("{} VMs, fault {}, away {} times {} ms", vmCount,
                                         static_cast<int>(fault), outages, awayMillis);
    fleet.run(reregistrationTime);
    if (fewestTargetsKnown(fleet) != StoreFleet::targetCount)
        return name + ": a VM gives targets up";
    // A refusing store's return is noticed within 0.8 s (StoreLink::maxRetryDelay); that of a
    // silent one as watches end, by which the VMs are in touch again.
    fleet.run(fault == StoreModel::Fault::Refused
                  ? Duration::millis(1800)
                  : StoreFleet::contact + drainBoundOf(vmCount) - reregistrationTime);
    if (mostTargetsKnown(fleet) != StoreFleet::targetCount - lapsedCount)
        return name + ": a VM keeps targets that did not return";
    return "";
}

} // namespace

TEST_GROUP(CutWatches) {};

// Guards against requests to a target that has left, for as long as the store cuts off watches or
// refuses calls: each end of these counted as the end of an outage in which its entry lapsed.
TEST(CutWatches, ATargetThatLeftGetsNoRequest)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
        STRCMP_EQUAL("", playSeries(12, seed).c_str());
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        STRCMP_EQUAL("", playSeries(60, seed).c_str());
}

// Guards against followers that give up targets which run: only the VMs that read the store had
// noticed its outage.
TEST(CutWatches, FollowersKeepTargetsWhoseEntriesLapseInAnOutage)
{
    for (const auto fault : { StoreModel::Fault::Refused, StoreModel::Fault::Silent }) {
        for (const int awayMillis : { 1000, 3000, 10'000 })
            STRCMP_EQUAL("", playOutages(60, fault, awayMillis, 1).c_str());
    }
}

// Guards against giving up targets that run: their entries lapsed while the store was away.
TEST(CutWatches, TargetsWhoseEntriesLapseInAnOutageAreKept)
{
    for (const auto fault : { StoreModel::Fault::Refused, StoreModel::Fault::Silent }) {
        for (const int awayMillis : { 1000, 3000, 10'000 }) {
            for (const int outages : { 1, 2 })
                STRCMP_EQUAL("", playOutages(12, fault, awayMillis, outages).c_str());
        }
    }
}
