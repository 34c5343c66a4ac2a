// Responses of the store and updates of readers that arrive late or out of order. Load that this
// answers: targets and VMs that leave while links lose time and readers change.
#include "bluebellshift/gateway/storelink.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift;
using namespace bluebellshift::gateway;
using core::Instant;

namespace {

RegistryEntry put(const std::string &name, std::uint64_t revision)
{
    RegistryEntry entry;
    entry.name = name;
    entry.revision = Revision(revision);
    entry.value = Target();
    return entry;
}

RegistryEntry gone(const std::string &name, std::uint64_t revision)
{
    RegistryEntry entry = put(name, revision);
    entry.isGone = true;
    return entry;
}

RegistryEntry unnamed(const std::string &legiblePart, std::uint64_t revision)
{
    RegistryEntry entry = put(legiblePart, revision);
    entry.value = UnreadableEntry { "not valid JSON" };
    entry.isNamed = false;
    return entry;
}

} // namespace

TEST_GROUP(StoreLink)
{
    const Instant now = Instant::fromMicros(1'000'000);
    std::map<std::string, std::uint64_t> inUse; // revisions
    std::string requestedAfter;                 // by the last call for targets
    std::unique_ptr<StoreLink> link;

    void setup() override
    {
        StoreLinkHooks hooks;
        hooks.perform = [this](const Effect &effect) {
            const auto *call = std::get_if<ListRegistry>(&effect);
            if (call != nullptr && call->registry == Registry::Targets)
                requestedAfter = call->after;
        };
        hooks.onEntry = [this](Registry, const RegistryEntry &entry) {
            if (!entry.isNamed)
                return;
            if (entry.isGone)
                inUse.erase(entry.name);
            else
                inUse[entry.name] = entry.revision.number();
        };
        hooks.onListed = [](Registry) {};
        hooks.onListChanged = [](const RegistryChanged &, StoreRevision) {};
        hooks.onRestored = [] {};
        hooks.log = [](const core::LogRecord &) {};
        link = std::make_unique<StoreLink>(hooks);
        link->start(1, now);
    }
    void list(std::uint64_t at, std::vector<RegistryEntry> entries,
              Registry registry = Registry::Targets)
    {
        link->onListed({ registry, Revision(at), false, std::move(entries) }, now);
    }
    void change(std::uint64_t at, std::vector<RegistryEntry> entries)
    {
        link->onChanged({ Registry::Targets, Revision(at), std::move(entries) }, now);
    }
    void update(std::uint64_t after, std::uint64_t at, std::vector<RegistryEntry> entries)
    {
        link->onReportedChanges({ Registry::Targets, Revision(at), std::move(entries) },
                                { StoreEra(), Revision(after) }, false, now);
    }
    bool isInUse(const std::string &name) const
    {
        return inUse.count(name) != 0;
    }
};

TEST(StoreLink, ALateWatchResponseBringsNoEntryBack)
{
    list(5, { put("x", 5) });
    change(8, { gone("x", 8) });
    CHECK_FALSE(isInUse("x"));
    change(7, { put("x", 7) });
    CHECK_FALSE(isInUse("x"));
    change(9, { put("x", 9) }); // it registered again
    CHECK(isInUse("x"));
}

TEST(StoreLink, AnOlderUpdateOfAReaderBringsNoEntryBack)
{
    list(5, { put("x", 5) });
    change(8, { gone("x", 8) });
    update(6, 9, { put("x", 7), put("y", 9) });
    CHECK_FALSE(isInUse("x"));
    CHECK(isInUse("y"));
}

// The removal may arrive before the change that precedes it.
TEST(StoreLink, ARemovalOutlastsAnEarlierChangeThatArrivesLater)
{
    list(5, {});
    change(8, { gone("x", 8) });
    change(7, { put("x", 7) });
    CHECK_FALSE(isInUse("x"));
}

TEST(StoreLink, AnEntryThatAListLacksIsNotBroughtBackByAnOlderResponse)
{
    list(5, { put("x", 5) });
    list(8, {});
    CHECK_FALSE(isInUse("x"));
    change(7, { put("x", 7) });
    CHECK_FALSE(isInUse("x"));
}

// An entry that a newer list contains exists, whatever was received before: otherwise a target
// that was missing from one faulty list would never be used again.
TEST(StoreLink, ANewerListBringsAnEntryBack)
{
    list(5, { put("x", 5) });
    list(8, {});
    list(8, { put("x", 5) });
    CHECK_FALSE(isInUse("x"));
    list(9, { put("x", 5) });
    CHECK(isInUse("x"));
}

// Guards against a list that starts again for ever, or that ends there, because the last name of a
// page can't be read.
TEST(StoreLink, AListGoesOnAfterTheLastNameThatCanBeRead)
{
    link->onListed({ Registry::Targets, Revision(9), true, { put("a", 1), unnamed("b?", 2) } },
                   now);
    CHECK(requestedAfter == "a");
    CHECK_FALSE(link->isListed(Registry::Targets));
    list(9, { unnamed("b?", 2), put("c", 3) });
    CHECK(link->isListed(Registry::Targets));
    CHECK(isInUse("a") && isInUse("c"));
    CHECK_EQUAL(1U, link->unreadableCount());
}

TEST(StoreLink, AListThatCannotGoOnKeepsWhatIsKnown)
{
    list(5, { put("x", 5) });
    link->onListed({ Registry::Targets, Revision(9), true, { unnamed("?", 8) } }, now);
    CHECK(link->isListed(Registry::Targets));
    CHECK(isInUse("x"));
}

// Guards against a legible part that hides the entry that has it as its name.
TEST(StoreLink, AnUnreadableNameReplacesNoEntry)
{
    list(5, { put("x", 5), unnamed("x", 6) });
    list(7, { put("x", 5), unnamed("x", 6) });
    CHECK_EQUAL(5U, inUse["x"]);
    change(8, { put("x", 8) });
    CHECK_EQUAL(8U, inUse["x"]);
}

// Guards against a target that stays in use because its new object has no legible name.
TEST(StoreLink, AChangeWithoutALegibleNameLeadsToAList)
{
    list(5, { put("x", 5), put("y", 5) });
    requestedAfter = "none";
    change(7, { unnamed("?", 7) });
    link->onTimer(now + StoreLink::changeBatchTime);
    CHECK(requestedAfter.empty());
    list(7, { put("y", 5), unnamed("?", 7) });
    CHECK_FALSE(isInUse("x"));
    CHECK(isInUse("y"));
    requestedAfter = "none";
    change(7, { unnamed("?", 7) });
    link->onTimer(now + StoreLink::changeBatchTime);
    CHECK(requestedAfter == "none");
}

TEST(StoreLink, AnEntryWithoutALegibleRevisionReplacesTheKnownOneOnce)
{
    list(5, { put("x", 5) });
    RegistryEntry bad = put("x", 0);
    bad.value = UnreadableEntry { "not valid JSON" };
    change(7, { bad });
    CHECK_EQUAL(7U, inUse["x"]);
    change(8, { bad });
    CHECK_EQUAL(7U, inUse["x"]);
    CHECK_EQUAL(1U, link->unreadableCount());
    change(9, { put("x", 9) });
    CHECK_EQUAL(9U, inUse["x"]);
    CHECK_EQUAL(0U, link->unreadableCount());
}

TEST(StoreLink, RemovedEntriesTakeBoundedMemory)
{
    list(1, {});
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i < 3 * store::KnownEntries::maxGoneEntries; ++i) {
        const std::string name = "t" + std::to_string(i);
        change(++revision, { put(name, revision) });
        change(++revision, { gone(name, revision) });
        change(++revision, { put("again", revision) });
        change(++revision, { gone("again", revision) });
    }
    CHECK(link->goneCount(Registry::Targets) <= store::KnownEntries::maxGoneEntries);
    change(revision, { put("again", revision - 1) });
    CHECK_FALSE(isInUse("again"));
}

// Changes in random order, some of them twice: in the end each entry is as its last change left it.
TEST(StoreLink, ChangesInAnyOrderLeadToTheLastState)
{
    std::mt19937_64 random(20261206);
    for (int round = 0; round < 500; ++round) {
        setup();
        inUse.clear();
        list(1, {});
        std::vector<RegistryEntry> history;
        std::map<std::string, std::uint64_t> expected;
        for (std::uint64_t revision = 2; revision < 40; ++revision) {
            const std::string name(1, static_cast<char>('a' + random() % 5));
            const bool isGone = random() % 3 == 0;
            history.push_back(isGone ? gone(name, revision) : put(name, revision));
            if (isGone)
                expected.erase(name);
            else
                expected[name] = revision;
        }
        std::vector<RegistryEntry> received = history;
        received.insert(received.end(), history.begin(), history.begin() + 10);
        std::shuffle(received.begin(), received.end(), random);
        for (const RegistryEntry &entry : received)
            change(entry.revision.number(), { entry });
        CHECK(inUse == expected);
    }
}
