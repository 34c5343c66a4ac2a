// How soon each VM serves by a configuration that the store has confirmed, while versions follow
// each other, links are slow and the VMs that read the store for others die.
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

// The users' bound on the time until a confirmed configuration is in force.
constexpr Duration applyBound = Duration::seconds(3);
constexpr std::size_t slowLink = 1'250'000; // bytes a second: 10 Mbit/s
constexpr std::size_t domains = 6;

// The versions that were confirmed, and when.
class Versions
{
public:
    void confirm(std::uint64_t version, Instant now) { confirmedAt_[version] = now; }
    // The oldest version that may be in force.
    std::uint64_t oldestAllowed(Instant now) const
    {
        std::uint64_t oldest = 1;
        for (const auto &[version, at] : confirmedAt_) {
            if (now - at > applyBound)
                oldest = version;
        }
        return oldest;
    }

private:
    std::map<std::uint64_t, Instant> confirmedAt_;
};

std::uint64_t versionOf(GatewayBench &vm)
{
    return vm.reducer().readings(vm.now()).configVersion;
}

// Confirms a version each `gap` for `time` and returns the longest run of checks, in steps of the
// walk, at which the VM served by a version that was not allowed any more.
std::size_t checksLate(GatewayBench &vm, Duration gap, Duration time)
{
    Versions versions;
    std::size_t late = 0;
    Duration untilNext;
    std::uint64_t version = 1;
    for (Duration passed; passed < time + applyBound * 2; passed = passed + FleetWalk::step) {
        if (passed < time && untilNext <= Duration()) {
            vm.putConfig(sampleConfig(++version));
            versions.confirm(version, vm.now());
            untilNext = gap;
        }
        untilNext = untilNext - FleetWalk::step;
        vm.advance(FleetWalk::step);
        late += versionOf(vm) < versions.oldestAllowed(vm.now()) ? 1 : 0;
    }
    return late;
}

struct StormCase
{
    std::size_t configBytes;
    Duration gap;
    Duration time;
};

// Each of the versions can be read alone within 0.6 s.
const StormCase storms[] = {
    { 40'000, Duration::millis(60), Duration::millis(1500) },
    { 150'000, Duration::millis(60), Duration::millis(1500) },
    { 150'000, Duration::millis(330), Duration::seconds(8) },
    { 400'000, Duration::millis(330), Duration::seconds(4) },
    { 700'000, Duration::millis(330), Duration::seconds(4) },
    { 700'000, Duration::millis(500), Duration::seconds(8) },
};

// The VMs that read the store for others: those that call it in a calm fleet.
std::set<std::size_t> readersOf(FleetWalk &walk)
{
    std::vector<int> before;
    for (std::size_t i = 0; i < walk.size(); ++i)
        before.push_back(walk.vm(i).storeCalls());
    walk.run(Duration::seconds(3));
    std::set<std::size_t> readers;
    for (std::size_t i = 0; i < walk.size(); ++i) {
        if (walk.vm(i).storeCalls() > before[i])
            readers.insert(i);
    }
    return readers;
}

} // namespace

TEST_GROUP(ConfigSpread) {};

// Guards against a VM that reads every version of a series and is late by the time that the
// superseded ones take on its link.
TEST(ConfigSpread, AVmThatWatchesReadsNoSupersededVersions)
{
    for (const StormCase &storm : storms) {
        GatewayBench vm;
        vm.setLink(slowLink, storm.configBytes);
        vm.begin(sampleConfig(1), sampleTargets(6));
        vm.advance(Duration::seconds(4));
        const std::size_t late = checksLate(vm, storm.gap, storm.time);
        CHECK_TEXT(late == 0,
                   fmt::format("{} bytes each {} ms: late at {} checks", storm.configBytes,
                               storm.gap.toMillis(), late)
                       .c_str());
    }
}

// Guards against VMs that follow readers which died, notice it too late, and then read all
// versions since the last one that they were told of.
TEST(ConfigSpread, TheFleetIsInTimeWhenItsReadersDieInASeriesOfVersions)
{
    for (const StormCase &storm : storms) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            FleetWalk walk({ 36, domains, seed });
            walk.run(Duration::seconds(6));
            const std::set<std::size_t> readers = readersOf(walk);
            for (std::size_t i = 0; i < walk.size(); ++i)
                walk.vm(i).setLink(slowLink, storm.configBytes);
            walk.run(Duration::millis(static_cast<std::int64_t>(seed * 170)));
            std::size_t survivor = 0; // the clock of a dead VM stands still
            while (readers.count(survivor) > 0)
                ++survivor;
            Versions versions;
            std::uint64_t version = 1;
            Duration untilNext;
            std::string late;
            for (Duration passed; passed < storm.time + applyBound * 2;
                 passed = passed + FleetWalk::step) {
                if (passed == FleetWalk::step * 5) {
                    for (const std::size_t reader : readers)
                        walk.kill(reader, seed % 2 == 0);
                }
                if (passed < storm.time && untilNext <= Duration()) {
                    ++version;
                    for (std::size_t i = 0; i < walk.size(); ++i) {
                        if (walk.isAlive(i))
                            walk.vm(i).putConfig(sampleConfig(version));
                    }
                    versions.confirm(version, walk.vm(survivor).now());
                    untilNext = storm.gap;
                }
                untilNext = untilNext - FleetWalk::step;
                walk.run(FleetWalk::step);
                for (std::size_t i = 0; i < walk.size() && late.empty(); ++i) {
                    GatewayBench &vm = walk.vm(i);
                    const std::uint64_t allowed = versions.oldestAllowed(vm.now());
                    if (walk.isAlive(i) && versionOf(vm) < allowed)
                        late = fmt::format("{} bytes each {} ms, seed {}: VM {} serves by {}, "
                                           "allowed {}, {} ms after the first version",
                                           storm.configBytes, storm.gap.toMillis(), seed, i,
                                           versionOf(vm), allowed, passed.toMillis());
                }
            }
            CHECK_TEXT(late.empty(), late.c_str());
        }
    }
}

// Random series, links, losses of the store and deaths. VMs that were cut off from the store are
// checked again once they have had it for long enough.
TEST(ConfigSpread, RandomSeriesAreInForceInTimeAndNeverReplacedByOlderOnes)
{
    constexpr Duration contact = Duration::seconds(4); // after a fault, until bounds hold again
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        FleetWalk walk({ 21 + random() % 30, 2 + random() % 6, seed });
        walk.run(Duration::seconds(6));
        const std::size_t configBytes = 10'000 + random() % 400'000;
        for (std::size_t i = 0; i < walk.size(); ++i)
            walk.vm(i).setLink(slowLink * (1 + random() % 10), configBytes);
        Versions versions;
        std::uint64_t version = 1;
        std::vector<std::uint64_t> seen(walk.size(), 0);
        std::vector<Instant> disturbedAt(walk.size(), Instant::never());
        std::vector<bool> isDown(walk.size(), false);
        std::string problem;
        for (int step = 0; step < 1000 && problem.empty(); ++step) {
            const Instant now = walk.vm(0).now();
            if (random() % 40 == 0) {
                ++version;
                for (std::size_t i = 0; i < walk.size(); ++i)
                    walk.vm(i).putConfig(sampleConfig(version));
                versions.confirm(version, now);
            }
            if (random() % 150 == 0) {
                const std::size_t vm = random() % walk.size();
                isDown[vm] = !isDown[vm];
                walk.vm(vm).setStoreDown(isDown[vm]);
            }
            if (random() % 400 == 0) {
                const std::size_t victim = 1 + random() % (walk.size() - 1);
                if (walk.isAlive(victim))
                    walk.kill(victim, random() % 2 == 0);
            }
            walk.run(FleetWalk::step);
            for (std::size_t i = 0; i < walk.size(); ++i) {
                if (!walk.isAlive(i))
                    continue;
                GatewayBench &vm = walk.vm(i);
                if (isDown[i])
                    disturbedAt[i] = vm.now();
                const bool isCalm =
                    disturbedAt[i] == Instant::never() || vm.now() - disturbedAt[i] >= contact;
                const std::uint64_t inForce = versionOf(vm);
                if (inForce < seen[i])
                    problem = fmt::format("seed {}: VM {} went back to {}", seed, i, inForce);
                if (isCalm && inForce < versions.oldestAllowed(vm.now()))
                    problem = fmt::format("seed {}: VM {} serves by {}, allowed {}", seed, i,
                                          inForce, versions.oldestAllowed(vm.now()));
                seen[i] = inForce;
            }
        }
        CHECK_TEXT(problem.empty(), problem.c_str());
    }
}
