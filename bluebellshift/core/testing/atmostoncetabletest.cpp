#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/atmostoncetable.h"

using namespace bluebellshift::core;

TEST_GROUP(AtMostOnceTable)
{
    static AnswerPointer answer(std::size_t bytes)
    {
        return std::make_shared<const Answer>(Answer { 200, {}, std::string(bytes, 'x') });
    }

    static CoreOptions options()
    {
        CoreOptions options;
        options.maxAnswerBytes = 1000;
        options.maxRecordBytes = 3000;
        return options;
    }

    AtMostOnceVerdict begin(std::uint64_t number, std::uint64_t request, std::uint64_t content = 5)
    {
        const Ticket ticket { TicketNumber(number), expiry_ };
        return table_.begin(ticket, content, RequestId(request), now_);
    }

    AtMostOnceTable table_ { options() };
    Instant now_ = Instant::fromMicros(0);
    Instant expiry_ = now_ + Duration::seconds(20);
};

TEST(AtMostOnceTable, RetryGetsTheOutcomeOfTheFirstRequest)
{
    const TicketNumber number(1);
    CHECK(begin(1, 1) == AtMostOnceVerdict::Begin);
    CHECK(begin(1, 2) == AtMostOnceVerdict::Join);
    CHECK(begin(1, 3, 6) == AtMostOnceVerdict::ContentMismatch);
    CHECK(table_.finish(number, answer(10)) == std::vector { RequestId(2) });
    CHECK(begin(1, 4) == AtMostOnceVerdict::Replay);
    CHECK_EQUAL(10U, table_.answer(number)->body.size());

    CHECK(begin(2, 5) == AtMostOnceVerdict::Begin);
    table_.fail(TicketNumber(2));
    CHECK(begin(2, 6) == AtMostOnceVerdict::Unknown);

    CHECK(begin(3, 7) == AtMostOnceVerdict::Begin);
    table_.abandon(TicketNumber(3));
    CHECK(begin(3, 8) == AtMostOnceVerdict::Begin);
    table_.retire(TicketNumber(3));
    CHECK(begin(3, 9) == AtMostOnceVerdict::Refused);
}

TEST(AtMostOnceTable, ExpiryNeverTurnsARunIntoNotRun)
{
    CHECK(begin(1, 1) == AtMostOnceVerdict::Begin);
    table_.finish(TicketNumber(1), answer(1));
    now_ = expiry_;
    CHECK(begin(1, 2) == AtMostOnceVerdict::Replay);
    CHECK(begin(2, 3) == AtMostOnceVerdict::Expired); // its record would still exist
    now_ = expiry_ + AtMostOnceTable::recordRetention;
    table_.expire(now_);
    CHECK_EQUAL(0U, table_.recordCount());
    CHECK(begin(1, 4) == AtMostOnceVerdict::Unknown);
    CHECK(begin(2, 5) == AtMostOnceVerdict::Unknown); // now looks the same as ticket 1

    expiry_ = expiry_ + Duration::seconds(5);
    CHECK(begin(3, 6) == AtMostOnceVerdict::Expired); // expires after the last dropped record
}

TEST(AtMostOnceTable, RunInProgressIsNeverDropped)
{
    CHECK(begin(1, 1) == AtMostOnceVerdict::Begin);
    now_ = expiry_ + Duration::seconds(3600);
    table_.expire(now_);
    CHECK(begin(1, 2) == AtMostOnceVerdict::Join);
}

TEST(AtMostOnceTable, FullTableRefusesNewTickets)
{
    CHECK(begin(1, 1) == AtMostOnceVerdict::Begin);
    CHECK(table_.reserveAnswer(TicketNumber(1)));
    CHECK(begin(2, 2) == AtMostOnceVerdict::Begin);
    CHECK(table_.reserveAnswer(TicketNumber(2)));
    CHECK(begin(3, 3) == AtMostOnceVerdict::Begin);
    CHECK(!table_.reserveAnswer(TicketNumber(3)));
    CHECK(begin(4, 4) == AtMostOnceVerdict::Full);
    CHECK(table_.state({ TicketNumber(4), expiry_ }) == AtMostOnceState::Refused);
    CHECK(begin(5, 5) == AtMostOnceVerdict::Full);
    CHECK(begin(6, 6) == AtMostOnceVerdict::Full); // no room even for a record of the refusal
    CHECK(table_.state({ TicketNumber(6), expiry_ }) == AtMostOnceState::NeverBegun);
    CHECK(table_.bytesUsed() <= options().maxRecordBytes * 9 / 8);

    table_.finish(TicketNumber(1), answer(100));
    CHECK(!table_.reserveAnswer(TicketNumber(3))); // records of refused tickets count too
    table_.finish(TicketNumber(2), answer(100));
    CHECK(table_.reserveAnswer(TicketNumber(3)));
    CHECK(begin(1, 5) == AtMostOnceVerdict::Replay);
    CHECK(begin(4, 4) == AtMostOnceVerdict::Refused);
    table_.releaseAnswer(TicketNumber(3));
    CHECK(table_.reserveAnswer(TicketNumber(3)));
}

TEST(AtMostOnceTable, WaitersAreBoundedAndMayLeave)
{
    CHECK(begin(1, 1) == AtMostOnceVerdict::Begin);
    for (std::size_t i = 0; i < AtMostOnceTable::maxWaiters; ++i)
        CHECK(begin(1, 10 + i) == AtMostOnceVerdict::Join);
    CHECK(begin(1, 99) == AtMostOnceVerdict::TooManyWaiting);
    table_.removeWaiter(TicketNumber(1), RequestId(10));
    CHECK(table_.promoteWaiter(TicketNumber(1)) == RequestId(11));
    CHECK_EQUAL(AtMostOnceTable::maxWaiters - 2, table_.fail(TicketNumber(1)).size());
}
