// What VMs of a large fleet learn of each other through relays, while relays die, are silent
// or are reached one way only. Pattern that this answers: hundreds of small VMs, of which each
// could not hold a connection to every other.
#include "bluebellshift/gateway/overlay.h"
#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::testing;

namespace {

constexpr Duration settling = Duration::seconds(4);
constexpr Duration lookupBound = Duration::seconds(4); // for a dead VM to leave look-ups
constexpr std::size_t domains = 9;

// Returns the first VM that takes fewer or more VMs for live than `expected`, or size().
std::size_t firstThatDisagrees(FleetWalk &walk, std::size_t expected)
{
    for (std::size_t i = 0; i < walk.size(); ++i) {
        if (walk.isAlive(i) && walk.liveVms(i) != expected)
            return i;
    }
    return walk.size();
}

// Runs the fleet for `time` and returns the VMs that call the store meanwhile.
std::set<std::size_t> callersOf(FleetWalk &walk, Duration time)
{
    std::vector<int> before;
    for (std::size_t i = 0; i < walk.size(); ++i)
        before.push_back(walk.vm(i).storeCalls());
    walk.run(time);
    std::set<std::size_t> callers;
    for (std::size_t i = 0; i < walk.size(); ++i) {
        if (walk.isAlive(i) && walk.vm(i).storeCalls() > before[i])
            callers.insert(i);
    }
    return callers;
}

} // namespace

TEST_GROUP(Dissemination) {};

TEST(Dissemination, EveryVmKnowsEveryLiveVmOverFewConnections)
{
    for (const std::size_t vmCount :
         { std::size_t { 12 }, std::size_t { 45 }, std::size_t { 120 } }) {
        FleetWalk walk({ vmCount, domains, 1 });
        walk.run(settling);
        CHECK_EQUAL(vmCount, firstThatDisagrees(walk, vmCount));
        const std::vector<std::size_t> relays = walk.relays();
        const std::size_t expectedRelays =
            vmCount < Overlay::minVmsForRelays ? 0 : domains * Overlay::minRelaysPerDomain;
        CHECK_EQUAL(expectedRelays, relays.size());
        for (std::size_t i = 0; i < vmCount; ++i) {
            const bool isRelay = std::find(relays.begin(), relays.end(), i) != relays.end();
            const std::size_t most = vmCount < Overlay::minVmsForRelays ? vmCount - 1
                : isRelay                                               ? expectedRelays - 1
                          : Overlay::minRelaysPerDomain;
            CHECK(walk.vm(i).peers().size() <= most);
        }
    }
}

TEST(Dissemination, TheMessagesOfAVmThatIsNoRelayDoNotGrowWithTheFleet)
{
    constexpr std::size_t messagesPerSecond = 10; // sent and received
    for (const std::size_t vmCount : { std::size_t { 45 }, std::size_t { 180 } }) {
        FleetWalk walk({ vmCount, domains, 2 });
        walk.run(settling);
        walk.resetCounts();
        walk.run(Duration::seconds(4));
        const std::vector<std::size_t> relays = walk.relays();
        for (std::size_t i = 0; i < vmCount; ++i) {
            if (std::find(relays.begin(), relays.end(), i) == relays.end())
                CHECK(walk.messagesSent(i) + walk.messagesReceived(i) <= 4 * messagesPerSecond);
        }
    }
}

TEST(Dissemination, ADeadVmLeavesLookUpsEverywhere)
{
    for (const bool isNoticed : { true, false }) {
        FleetWalk walk({ 60, domains, 3 });
        walk.run(settling);
        const std::vector<std::size_t> relays = walk.relays();
        std::size_t leaf = 0;
        while (std::find(relays.begin(), relays.end(), leaf) != relays.end())
            ++leaf;
        for (const std::size_t victim : { leaf, relays.front(), relays.back() }) {
            walk.kill(victim, isNoticed);
            walk.run(lookupBound);
            for (std::size_t i = 0; i < walk.size(); ++i)
                CHECK(!walk.isAlive(i) || !walk.names(i, victim));
        }
        walk.run(settling);
        CHECK_EQUAL(walk.size(), firstThatDisagrees(walk, walk.size() - 3));
    }
}

// Guards against look-ups that name dead VMs where most VMs died at once: the survivors hear few
// others, but the store answers them, so that it is not they who are cut off.
TEST(Dissemination, TheSurvivorsOfALossOfMostVmsNameNoDeadVm)
{
    for (const bool isNoticed : { true, false }) {
        for (const std::size_t killed : { std::size_t { 8 }, std::size_t { 11 } }) {
            FleetWalk walk({ 12, 6, 8 });
            walk.run(settling);
            for (std::size_t vm = 0; vm < killed; ++vm)
                walk.kill(vm, isNoticed);
            walk.run(lookupBound);
            for (std::size_t i = killed; i < walk.size(); ++i) {
                for (std::size_t dead = 0; dead < killed; ++dead)
                    CHECK(!walk.names(i, dead));
                CHECK(walk.names(i, i));
            }
        }
    }
}

// All relays of a domain at once: its VMs find the next ones.
TEST(Dissemination, ADomainThatLostItsRelaysIsHeardAgain)
{
    for (const bool isNoticed : { true, false }) {
        FleetWalk walk({ 60, domains, 4 });
        walk.run(settling);
        std::size_t killed = 0;
        for (const std::size_t relay : walk.relays()) {
            if (walk.entry(relay).failureDomain == FailureDomainId("domain-4")) {
                walk.kill(relay, isNoticed);
                ++killed;
            }
        }
        CHECK_EQUAL(Overlay::minRelaysPerDomain, killed);
        walk.run(Duration::seconds(8));
        CHECK_EQUAL(walk.size(), firstThatDisagrees(walk, walk.size() - killed));
    }
}

// A relay that receives and is not heard, or is heard and does not receive.
TEST(Dissemination, ARelayThatIsReachedOneWayOnlyHidesNobodyElse)
{
    for (const bool isHeard : { true, false }) {
        FleetWalk walk({ 60, domains, 5 });
        walk.run(settling);
        const std::size_t relay = walk.relays().front();
        walk.setPath([&](std::size_t from, std::size_t to) {
            return isHeard ? to != relay : from != relay;
        });
        walk.run(Duration::seconds(8));
        for (std::size_t i = 0; i < walk.size(); ++i) {
            for (std::size_t other = 0; other < walk.size(); ++other) {
                if (i != relay && other != relay)
                    CHECK(walk.names(i, other));
            }
        }
        walk.setPath([](std::size_t, std::size_t) { return true; });
        walk.run(Duration::seconds(8));
        CHECK_EQUAL(walk.size(), firstThatDisagrees(walk, walk.size()));
    }
}

// In a calm fleet only the readers call the store. Each VM's start costs a few calls.
TEST(Dissemination, OnlyReadersCallTheStoreOnceTheFleetRuns)
{
    constexpr int callsOfAStart = 11;
    constexpr std::size_t readers = 4;
    for (const std::size_t vmCount : { std::size_t { 45 }, std::size_t { 120 } }) {
        FleetWalk walk({ vmCount, domains, 7 });
        walk.run(settling);
        std::vector<int> before;
        std::size_t expensiveStarts = 0;
        for (std::size_t i = 0; i < vmCount; ++i) {
            before.push_back(walk.vm(i).storeCalls());
            expensiveStarts += before.back() > callsOfAStart ? 1 : 0;
        }
        CHECK(expensiveStarts <= readers);
        walk.run(Duration::seconds(15));
        std::size_t callers = 0;
        for (std::size_t i = 0; i < vmCount; ++i)
            callers += walk.vm(i).storeCalls() > before[i] ? 1 : 0;
        CHECK_EQUAL(readers, callers);
    }
}

// Guards against a fleet that turns to the store as a whole when some of its readers are lost,
// though what one reader knows is as new as what two know.
TEST(Dissemination, TheFleetFollowsTheOneReaderThatIsLeft)
{
    constexpr std::size_t readers = 4;
    FleetWalk walk({ 45, domains, 9 });
    walk.run(settling + settling);
    const std::set<std::size_t> before = callersOf(walk, Duration::seconds(3));
    CHECK_EQUAL(readers, before.size());
    std::size_t killed = 0;
    for (const std::size_t reader : before) {
        if (++killed < readers)
            walk.kill(reader, false);
    }
    // The reader that is left and those that take the place of the others, some for a moment.
    CHECK(callersOf(walk, Duration::seconds(8)).size() <= 2 * readers);
}

// Guards against followers that all ask the store for each change of a target, because the reader
// that is to send the changes has lost the store.
TEST(Dissemination, AnotherReaderSendsTheChangesOfOneThatLostTheStore)
{
    FleetWalk walk({ 45, domains, 10 });
    walk.run(settling + settling);
    const std::set<std::size_t> readers = callersOf(walk, Duration::seconds(3));
    std::vector<Target> targets = sampleTargets(2);
    for (const std::size_t lost : readers) {
        walk.vm(lost).setStoreDown(true);
        walk.run(Duration::seconds(4));
        targets[0].slots += 1;
        for (std::size_t i = 0; i < walk.size(); ++i)
            walk.vm(i).putTarget(targets[0]);
        for (const std::size_t caller : callersOf(walk, Duration::seconds(3)))
            CHECK_EQUAL(1U, readers.count(caller));
        walk.vm(lost).setStoreDown(false);
        walk.run(Duration::seconds(3));
    }
}

// A VM that is silent for a while is known again within two reports, and only once.
TEST(Dissemination, AVmThatWasSilentIsKnownAgain)
{
    for (const std::int64_t silence : { 1, 3, 10 }) {
        FleetWalk walk({ 40, domains, 6 });
        walk.run(settling);
        walk.setPath([](std::size_t from, std::size_t to) { return from != 7 && to != 7; });
        walk.run(Duration::seconds(silence));
        walk.setPath([](std::size_t, std::size_t) { return true; });
        walk.run(Duration::seconds(6));
        CHECK_EQUAL(walk.size(), firstThatDisagrees(walk, walk.size()));
    }
}

// Random deaths and cuts, against what is true.
TEST(Dissemination, WalksOverRandomFaultsEndInAgreement)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        std::mt19937_64 random(seed);
        FleetWalk walk({ 30 + random() % 40, 2 + random() % 8, seed });
        walk.run(settling);
        std::set<std::size_t> dead;
        for (int round = 0; round < 4; ++round) {
            const std::size_t victim = random() % walk.size();
            const std::size_t cut = random() % walk.size();
            if (walk.isAlive(victim))
                walk.kill(victim, random() % 2 == 0);
            dead.insert(victim);
            walk.setPath(
                [cut](std::size_t from, std::size_t to) { return from != cut && to != cut; });
            walk.run(Duration::millis(static_cast<std::int64_t>(random() % 4000)));
            walk.setPath([](std::size_t, std::size_t) { return true; });
            walk.run(Duration::millis(static_cast<std::int64_t>(random() % 2000)));
        }
        walk.run(Duration::seconds(9));
        CHECK_EQUAL(walk.size(), firstThatDisagrees(walk, walk.size() - dead.size()));
    }
}
