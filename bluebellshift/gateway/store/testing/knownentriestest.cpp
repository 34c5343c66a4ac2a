// Revisions that go back and are given out again when the store returns from an older copy.
#include "bluebellshift/gateway/store/knownentries.h"

#include <type_traits>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::store;
using bluebellshift::core::newerOf;

namespace {

template<typename T, typename = void> struct HasLess : std::false_type
{
};
template<typename T>
struct HasLess<T, std::void_t<decltype(std::declval<T>() < std::declval<T>())>> : std::true_type
{
};
static_assert(!HasLess<Revision>::value, "numbers of two eras must not be compared");
static_assert(!HasLess<StoreRevision>::value, "isNewerThan() says what is meant");

StoreRevision at(std::uint64_t era, std::uint64_t number)
{
    return { StoreEra(era), Revision(number) };
}

RegistryEntry entry(const std::string &name, std::uint64_t revision, bool isGone = false)
{
    return { name, Revision(revision), isGone, Target() };
}

} // namespace

TEST_GROUP(KnownEntries)
{
    KnownEntries known;

    KnownEntries::Verdict apply(RegistryEntry one, StoreRevision response,
                                KnownEntries::Source source = KnownEntries::Source::Watch)
    {
        return known.apply(one, response, source).verdict;
    }
};

TEST(KnownEntries, ALaterEraIsNewerWhateverTheNumbers)
{
    CHECK(at(2, 5).isNewerThan(at(1, 900)));
    CHECK_FALSE(at(1, 900).isNewerThan(at(2, 5)));
    CHECK(at(2, 6).isNewerThan(at(2, 5)));
    CHECK_FALSE(at(2, 5).isNewerThan(at(2, 5)));
    CHECK(newerOf(at(1, 900), at(2, 5)) == at(2, 5));
    CHECK(at(1, 0).isNewerThan(StoreRevision()));
}

TEST(KnownEntries, AnEntryOfALaterEraReplacesOneWithAHigherNumber)
{
    CHECK(KnownEntries::Verdict::Changed == apply(entry("x", 140), at(1, 140)));
    CHECK(KnownEntries::Verdict::Changed == apply(entry("x", 90), at(2, 95)));
    CHECK(KnownEntries::Verdict::Outdated == apply(entry("x", 150), at(1, 150)));
    CHECK(KnownEntries::Verdict::Unchanged == apply(entry("x", 90), at(2, 95)));
    CHECK(KnownEntries::Verdict::Outdated == apply(entry("x", 80), at(2, 96)));
}

TEST(KnownEntries, ARemovalOfAnEarlierEraDoesNotHideAnEntryOfALaterOne)
{
    apply(entry("x", 140), at(1, 140));
    CHECK(KnownEntries::Verdict::Changed == apply(entry("x", 145, true), at(1, 145)));
    CHECK(KnownEntries::Verdict::Outdated == apply(entry("x", 140), at(1, 141)));
    CHECK(KnownEntries::Verdict::Changed == apply(entry("x", 90), at(2, 95)));
}

TEST(KnownEntries, TheFirstListOfALaterEraEndsWhatItLacks)
{
    apply(entry("x", 140), at(1, 140));
    apply(entry("y", 80), at(1, 140));
    known.beginList();
    apply(entry("y", 80), at(2, 95), KnownEntries::Source::List);
    const auto unlisted = known.takeUnlisted(at(2, 95));
    CHECK_EQUAL(1, unlisted.size());
    STRCMP_EQUAL("x", unlisted[0].c_str());
    CHECK(known.contains("y"));
    CHECK_EQUAL(1, known.goneCount());
}

TEST(KnownEntries, AStaleListEndsNothingNewer)
{
    apply(entry("x", 140), at(2, 140));
    known.beginList();
    CHECK(known.takeUnlisted(at(2, 139)).empty());
    CHECK(known.takeUnlisted(at(1, 900)).empty());
    CHECK(known.contains("x"));
}

TEST(KnownEntries, OutdatedEntriesTellWhatIsKnown)
{
    apply(entry("x", 140), at(2, 140));
    RegistryEntry older = entry("x", 139);
    CHECK(known.apply(older, at(2, 150), KnownEntries::Source::Watch).known == at(2, 140));
}
