// The calls of a VM while the store returns from an older copy, and calls that tell nothing new.
#include <map>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/gateway/storelink.h"

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using core::Instant;

namespace {

constexpr StoreEra firstEra(1);
constexpr StoreEra secondEra(2);

RegistryEntry put(const std::string &name, std::uint64_t revision)
{
    return { name, Revision(revision), false, Target() };
}

} // namespace

TEST_GROUP(StoreEra)
{
    Instant now = Instant::fromMicros(1'000'000'000);
    std::map<Registry, CallId> lists;
    std::map<Registry, CallId> watches;
    std::map<Registry, std::uint64_t> watchedFrom;
    std::map<Registry, Duration> waits; // for which the store may hold a watch
    std::map<Registry, bool> mayBeStale;
    int calls = 0;
    std::map<std::string, std::uint64_t> targets; // in use, with their revisions
    std::map<std::string, bool> wasRestoring;     // when the entry was passed on
    std::vector<RegistryChanged> sent;
    int restorations = 0;
    std::unique_ptr<StoreLink> link;

    void setup() override
    {
        StoreLinkHooks hooks;
        hooks.perform = [this](const Effect &effect) {
            ++calls;
            if (const auto *list = std::get_if<ListRegistry>(&effect)) {
                lists[list->registry] = list->call;
                mayBeStale[list->registry] = list->mayBeStale;
            } else if (const auto *watch = std::get_if<WatchRegistry>(&effect)) {
                watches[watch->registry] = watch->call;
                watchedFrom[watch->registry] = watch->after.number();
                waits[watch->registry] = watch->wait;
            }
        };
        hooks.onEntry = [this](Registry registry, const RegistryEntry &entry) {
            if (registry != Registry::Targets)
                return;
            wasRestoring[entry.name] = link->isRestoring(registry);
            if (entry.isGone)
                targets.erase(entry.name);
            else
                targets[entry.name] = entry.revision.number();
        };
        hooks.onListed = [](Registry) {};
        hooks.onListChanged = [this](const RegistryChanged &changed, StoreRevision) {
            sent.push_back(changed);
        };
        hooks.onRestored = [this] { ++restorations; };
        hooks.log = [](const core::LogRecord &) {};
        link = std::make_unique<StoreLink>(hooks);
        link->start(1, now);
    }
    void list(Registry registry, std::uint64_t at, std::vector<RegistryEntry> entries, StoreEra era)
    {
        link->onListed(
            { registry, Revision(at), false, std::move(entries), 0, era, lists[registry] }, now);
    }
    bool change(Registry registry, std::uint64_t at, std::vector<RegistryEntry> entries,
                StoreEra era)
    {
        return link->onChanged(
            { registry, Revision(at), std::move(entries), 0, era, watches[registry] }, now);
    }
    void fail(Registry registry, StoreFailure failure, CallId call, StoreEra era = StoreEra())
    {
        link->onFailed({ registry, failure, era, call }, now);
    }
    // Lists all registries in the first era; the VM then watches.
    void listAll(std::uint64_t at, std::vector<RegistryEntry> entries)
    {
        for (const Registry registry :
             { Registry::Traffic, Registry::Evacuations, Registry::Vms, Registry::PeerKeys })
            list(registry, at, {}, firstEra);
        list(Registry::Targets, at, std::move(entries), firstEra);
        link->setMode(StoreMode::Watches, now);
        link->onTimer(now);
    }
    void advance(Duration time)
    {
        now = now + time;
        link->onTimer(now);
    }
};

TEST(StoreEra, AResponseOfALaterEraListsAllRegistriesWithinTheSpread)
{
    listAll(140, { put("x", 140) });
    lists.clear();
    CHECK_FALSE(change(Registry::Evacuations, 96, {}, secondEra));
    CHECK_EQUAL(1, restorations);
    CHECK(targets.count("x") == 1); // until its registry is listed
    CHECK(link->isRestoring(Registry::Targets));
    advance(StoreLink::restoreSpread);
    CHECK_EQUAL(registryCount, lists.size());
}

// The fault of the incident: entries with lower revisions than the known ones were ignored.
TEST(StoreEra, WhatARestoredStoreHoldsReplacesWhatIsKnown)
{
    listAll(140, { put("x", 140), put("y", 80) });
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    list(Registry::Targets, 96, { put("y", 80), put("z", 95) }, secondEra);
    CHECK_EQUAL(2, targets.size());
    CHECK(targets.count("y") == 1 && targets.count("z") == 1);
    CHECK(wasRestoring["x"] && wasRestoring["z"]);
    CHECK_FALSE(link->isRestoring(Registry::Targets));
    CHECK_EQUAL(96, watchedFrom[Registry::Targets]);
    CHECK(change(Registry::Targets, 97, { put("y", 97) }, secondEra));
    CHECK_EQUAL(97, targets["y"]);
    CHECK_FALSE(wasRestoring["y"]);
}

TEST(StoreEra, ResponsesToCallsOfTheEarlierEraAreDropped)
{
    listAll(140, { put("x", 140) });
    const CallId earlier = watches[Registry::Targets];
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    // The counter has passed the watched revision: the events lack what lies between.
    link->onChanged({ Registry::Targets, Revision(150), { put("w", 150) }, 0, secondEra, earlier },
                    now);
    CHECK(targets.count("w") == 0);
    list(Registry::Targets, 141, { put("v", 141) }, firstEra);
    CHECK(targets.count("v") == 0);
    CHECK(targets.count("x") == 1);
    CHECK(link->isRestoring(Registry::Targets));
}

TEST(StoreEra, AnEarlierEraOrNoneChangesNothing)
{
    listAll(140, { put("x", 140) });
    link->onEraTold(StoreEra(), now);
    link->onEraTold(firstEra, now);
    CHECK_EQUAL(0, restorations);
    CHECK(change(Registry::Targets, 141, { put("y", 141) }, StoreEra())); // of the known era
    CHECK(targets.count("y") == 1);
}

TEST(StoreEra, AStoreThatBeginsToTellItsEraIsListedAgain)
{
    list(Registry::Targets, 140, { put("x", 140) }, StoreEra());
    CHECK(link->isListed(Registry::Targets));
    list(Registry::Evacuations, 140, {}, secondEra);
    CHECK_EQUAL(1, restorations);
    CHECK(link->isRestoring(Registry::Targets));
}

TEST(StoreEra, AnotherEraDuringTheListsBeginsThemAgain)
{
    listAll(140, { put("x", 140), put("y", 139) });
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    link->onEraTold(StoreEra(3), now);
    list(Registry::Targets, 90, {}, secondEra); // of an abandoned call
    CHECK_EQUAL(2, targets.size());
    advance(StoreLink::restoreSpread);
    list(Registry::Targets, 70, { put("x", 60) }, StoreEra(3));
    CHECK_EQUAL(1, targets.size());
    CHECK_EQUAL(60, targets["x"]);
}

TEST(StoreEra, ACompleteUpdateOfAReaderReplacesAllWithoutTheStore)
{
    listAll(140, { put("x", 140) });
    link->setMode(StoreMode::Follows, now);
    RegistryChanged update { Registry::Targets, Revision(96), { put("y", 80) }, 0, secondEra };
    link->onEraTold(secondEra, now);
    link->onReportedChanges(update, { secondEra, Revision(140) }, true, now);
    CHECK(targets.count("x") == 0 && targets.count("y") == 1);
    const int before = calls;
    update = { Registry::Targets, Revision(99), { put("z", 99) }, 0, firstEra };
    link->onReportedChanges(update, { firstEra, Revision(98) }, false, now);
    CHECK(targets.count("z") == 0);
    lists.clear();
    advance(Duration::seconds(2));
    CHECK(lists.count(Registry::Targets) == 0);
    CHECK(calls > before); // the configuration comes from the store alone
}

TEST(StoreEra, AReaderSendsAllTargetsAfterARestoration)
{
    listAll(140, { put("x", 140), put("y", 80) });
    sent.clear();
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    list(Registry::Targets, 96, { put("y", 80), put("z", 95) }, secondEra);
    CHECK_EQUAL(1, sent.size());
    CHECK(Registry::Targets == sent[0].registry);
    CHECK_EQUAL(3, sent[0].entries.size()); // y, z, and the removal of x
}

// A list of the new era whose second page failed was repeated, and its update named an entry that
// had been removed meanwhile as one that exists.
TEST(StoreEra, AListThatIsRepeatedIsSentAsItEnded)
{
    listAll(140, { put("a", 5), put("b", 6) });
    sent.clear();
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    link->onListed({ Registry::Targets,
                     Revision(50),
                     true,
                     { put("a", 5), put("b", 6) },
                     0,
                     secondEra,
                     lists[Registry::Targets] },
                   now);
    fail(Registry::Targets, StoreFailure::Refused, lists[Registry::Targets], secondEra);
    advance(StoreLink::maxRetryDelay);
    list(Registry::Targets, 51, { put("a", 5), put("c", 7) }, secondEra);
    CHECK_EQUAL(1, sent.size());
    std::map<std::string, bool> exists;
    for (const RegistryEntry &entry : sent[0].entries) {
        CHECK(exists.count(entry.name) == 0);
        exists[entry.name] = !entry.isGone;
    }
    CHECK(exists["a"] && exists["c"]);
    CHECK_FALSE(exists["b"]);
}

// A stale read may return the state before the restore with the new era.
TEST(StoreEra, ListsOfVmsAreCurrentForAWhileAfterARestore)
{
    listAll(140, {});
    advance(StoreLink::pollInterval);
    CHECK(mayBeStale[Registry::Vms]);
    list(Registry::Vms, 140, {}, firstEra);
    link->onEraTold(secondEra, now);
    advance(StoreLink::restoreSpread);
    list(Registry::Vms, 90, {}, secondEra);
    advance(StoreLink::pollInterval);
    CHECK_FALSE(mayBeStale[Registry::Vms]);
    list(Registry::Vms, 91, {}, secondEra);
    advance(StoreLink::maxStaleness);
    CHECK(mayBeStale[Registry::Vms]);
}

// A store whose history is too short for any watch: list, watch, 410, list without a pause.
TEST(StoreEra, AHistoryThatIsAlwaysTooShortIsReadWithGrowingWaits)
{
    listAll(140, { put("x", 140) });
    calls = 0;
    for (Duration passed; passed < Duration::seconds(30); passed = passed + Duration::millis(5)) {
        const auto pendingWatches = std::exchange(watches, {});
        for (const auto &[registry, call] : pendingWatches)
            fail(registry, StoreFailure::HistoryGone, call, firstEra);
        const auto pendingLists = lists;
        for (const auto &[registry, call] : pendingLists)
            link->onListed({ registry, Revision(140), false, {}, 0, firstEra, call }, now);
        lists.clear();
        advance(Duration::millis(5));
    }
    // Of each of three watched registries a list and a watch a wait, of 0.75 s on average; lists of
    // VMs and keys each pollInterval.
    const auto waits =
        Duration::seconds(30).toMicros() / (StoreLink::maxUnproductiveDelay / 2).toMicros();
    CHECK(calls <= 3 * 2 * (waits + 6) + 2 * 8);
}

TEST(StoreEra, WatchesThatEndEmptyAtOnceAreRepeatedWithGrowingWaits)
{
    listAll(140, { put("x", 140) });
    calls = 0;
    for (Duration passed; passed < Duration::seconds(10); passed = passed + Duration::millis(5)) {
        const auto pending = std::exchange(watches, {});
        for (const auto &[registry, call] : pending)
            link->onChanged({ registry, Revision(140), {}, 0, firstEra, call }, now);
        advance(Duration::millis(5));
    }
    const auto waits =
        Duration::seconds(10).toMicros() / (StoreLink::maxUnproductiveDelay / 2).toMicros();
    CHECK(calls <= 3 * (waits + 6) + 2 * 4);
}

// The registry that fails, beside others that succeed, was called every 60 ms.
TEST(StoreEra, ARegistryThatFailsAloneIsRepeatedWithGrowingWaits)
{
    listAll(140, {});
    calls = 0;
    for (Duration passed; passed < Duration::seconds(10); passed = passed + Duration::millis(5)) {
        const auto pending = std::exchange(watches, {});
        for (const auto &[registry, call] : pending) {
            if (registry == Registry::Traffic)
                fail(registry, StoreFailure::Refused, call, firstEra);
            else
                link->onChanged({ registry, Revision(140), {}, 0, firstEra, call }, now);
        }
        advance(Duration::millis(5));
    }
    const auto waits = Duration::seconds(10).toMicros() / (StoreLink::maxRetryDelay / 2).toMicros();
    CHECK(calls <= (waits + 6) + 2 * (20 + 6) + 2 * 4);
}

// A watch that the store holds for its whole wait would hide that the store has returned.
TEST(StoreEra, TheCallAfterAFailureIsNotHeldByTheStore)
{
    listAll(140, {});
    CHECK(waits[Registry::Evacuations] == StoreLink::watchWait);
    fail(Registry::Evacuations, StoreFailure::NoAnswer, watches[Registry::Evacuations]);
    advance(StoreLink::maxRetryDelay);
    CHECK(waits[Registry::Evacuations] == Duration());
    CHECK(change(Registry::Evacuations, 140, {}, firstEra));
    CHECK(waits[Registry::Evacuations] == StoreLink::watchWait);
}

// A store that refuses some registries and holds the watches of the others was lost and regained
// without a pause: each return made all registries due at once.
TEST(StoreEra, RegistriesThatFailBesideHeldWatchesAreRepeatedWithGrowingWaits)
{
    listAll(140, {});
    calls = 0;
    for (Duration passed; passed < Duration::seconds(10); passed = passed + Duration::millis(4)) {
        const auto pending = std::exchange(watches, {});
        for (const auto &[registry, call] : pending) {
            if (registry != Registry::Evacuations)
                fail(registry, StoreFailure::Refused, call, firstEra);
            else if (waits[registry] == Duration())
                link->onChanged({ registry, Revision(140), {}, 0, firstEra, call }, now);
            else
                watches[registry] = call; // held
        }
        const auto pendingLists = std::exchange(lists, {});
        for (const auto &[registry, call] : pendingLists) {
            if (registry == Registry::Traffic || registry == Registry::Targets)
                fail(registry, StoreFailure::Refused, call, firstEra);
            else
                link->onListed({ registry, Revision(140), false, {}, 0, firstEra, call }, now);
        }
        advance(Duration::millis(4));
    }
    // Each wait of the two may come with a probe, the watch after it, and lists of VMs and keys.
    const auto waitsInAll =
        2 * Duration::seconds(10).toMicros() / (StoreLink::maxRetryDelay / 2).toMicros();
    CHECK(calls <= 3 * waitsInAll + 20);
}

TEST(StoreEra, ARevisionReportedDuringACallIsReadAtTheNextReport)
{
    listAll(140, {});
    link->setMode(StoreMode::Follows, now);
    link->onReportedRevision(Registry::Evacuations, { firstEra, Revision(141) }, now);
    advance(StoreLink::changeBatchTime);
    const CallId call = watches[Registry::Evacuations];
    link->onReportedRevision(Registry::Evacuations, { firstEra, Revision(150) }, now);
    change(Registry::Evacuations, 145, {}, firstEra);
    CHECK(link->misses(Registry::Evacuations));
    link->onReportedRevision(Registry::Evacuations, { firstEra, Revision(150) }, now);
    advance(StoreLink::changeBatchTime);
    CHECK(watches[Registry::Evacuations] != call);
}
