// This VM's entry while the store loses it, refuses it, or loses its response.
#include "bluebellshift/gateway/store/ownentry.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::gateway;
using namespace bluebellshift::gateway::store;
using bluebellshift::core::Instant;

TEST_GROUP(OwnEntry)
{
    OwnEntry entry;
    Instant now = Instant::fromMicros(1'000'000);

    void setup() override
    {
        entry.start(5, now);
    }
    OwnEntry::Write wait()
    {
        CHECK(entry.nextWake() != Instant::never());
        now = std::max(now, entry.nextWake());
        return entry.takeDue(now).value();
    }
};

TEST(OwnEntry, IsCreatedAtTheStartAndThenLeftAlone)
{
    CHECK(OwnEntry::Write::Create == wait());
    CHECK_FALSE(entry.takeDue(now).has_value());
    entry.onWritten();
    CHECK(entry.isWritten());
    CHECK(entry.nextWake() == Instant::never());
}

TEST(OwnEntry, AnEntryOfAnEarlierRunIsReplaced)
{
    wait();
    entry.onWriteFailed(StoreFailure::Conflict, now);
    CHECK(OwnEntry::Write::Replace == wait());
    entry.onWriteFailed(StoreFailure::Missing, now);
    CHECK(OwnEntry::Write::Create == wait());
}

TEST(OwnEntry, WritesThatFailAreRepeatedAfterWaitsThatGrow)
{
    Duration last;
    for (int i = 0; i < 4; ++i) {
        wait();
        const auto failure = i % 2 == 0 ? StoreFailure::Conflict : StoreFailure::Missing;
        entry.onWriteFailed(failure, now);
        CHECK(entry.nextWake() - now > last);
        last = entry.nextWake() - now;
    }
}

TEST(OwnEntry, OneThatARestoredStoreLacksIsWrittenAgainWithinTheSpread)
{
    wait();
    entry.onWritten();
    entry.onLost(OwnEntry::Loss::Missing, OwnEntry::rewriteSpread, now);
    CHECK_FALSE(entry.isWritten());
    CHECK(entry.nextWake() <= now + OwnEntry::rewriteSpread);
    CHECK(OwnEntry::Write::Create == wait());
    entry.onWritten();
    CHECK(entry.isWritten());
}

TEST(OwnEntry, OneThatIsLostWhileItIsWrittenIsWrittenOnceMore)
{
    wait();
    entry.onLost(OwnEntry::Loss::Missing, Duration(), now);
    entry.onWritten();
    CHECK_FALSE(entry.isWritten());
    CHECK(OwnEntry::Write::Create == wait());
}

TEST(OwnEntry, NothingIsWrittenAfterAStop)
{
    wait();
    entry.stop();
    entry.onWriteFailed(StoreFailure::NoAnswer, now);
    entry.onLost(OwnEntry::Loss::Missing, Duration(), now);
    CHECK(entry.nextWake() == Instant::never());
}

// Guards against a VM that counts on the others to know it although it has just created its entry.
TEST(OwnEntry, IsKnownToTheOthersOnceTheyHaveListedIt)
{
    CHECK_FALSE(entry.isKnown(now));
    wait();
    const Instant createdAt = now;
    CHECK_FALSE(entry.isKnown(createdAt + OwnEntry::introductionTime)); // no response yet
    entry.onWritten();
    CHECK_FALSE(entry.isKnown(createdAt + OwnEntry::introductionTime - Duration::micros(1)));
    CHECK(entry.isKnown(createdAt + OwnEntry::introductionTime));
    entry.onLost(OwnEntry::Loss::Missing, Duration(), now);
    wait();
    entry.onWritten();
    CHECK_FALSE(entry.isKnown(now));
}

TEST(OwnEntry, IsKnownAtOnceIfTheStoreHasTheEntryOfAnEarlierRun)
{
    wait();
    entry.onWriteFailed(StoreFailure::Conflict, now);
    CHECK(entry.isKnown(now));
    wait();
    entry.onWriteFailed(StoreFailure::Missing, now);
    CHECK_FALSE(entry.isKnown(now));
}

// The conflict may be with what this run has created.
TEST(OwnEntry, AConflictAfterALostResponseProvesNoEarlierRun)
{
    wait();
    const Instant createdAt = now;
    entry.onWriteFailed(StoreFailure::NoAnswer, now);
    wait();
    entry.onWriteFailed(StoreFailure::Conflict, now);
    wait();
    entry.onWritten();
    CHECK_FALSE(entry.isKnown(now));
    CHECK(entry.isKnown(createdAt + Duration::seconds(60)));
}
