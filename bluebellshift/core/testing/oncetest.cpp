#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/once.h"

using namespace bluebellshift::core;

TEST_GROUP(Once)
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

    OnceVerdict begin(std::uint64_t number, std::uint64_t request, std::uint64_t content = 5)
    {
        const Ticket ticket { TicketNumber(number), expiry_ };
        return once_.begin(ticket, content, RequestId(request), now_);
    }

    OnceTable once_ { options() };
    Instant now_ = Instant::fromMicros(0);
    Instant expiry_ = now_ + Duration::seconds(20);
};

TEST(Once, ARetryGetsWhatTheFirstOneLedTo)
{
    const TicketNumber number(1);
    CHECK(begin(1, 1) == OnceVerdict::Begin);
    CHECK(begin(1, 2) == OnceVerdict::Join);
    CHECK(begin(1, 3, 6) == OnceVerdict::OtherContent);
    CHECK(once_.finish(number, answer(10)) == std::vector { RequestId(2) });
    CHECK(begin(1, 4) == OnceVerdict::Replay);
    CHECK_EQUAL(10U, once_.answer(number)->body.size());

    CHECK(begin(2, 5) == OnceVerdict::Begin);
    once_.fail(TicketNumber(2));
    CHECK(begin(2, 6) == OnceVerdict::Unknown);

    CHECK(begin(3, 7) == OnceVerdict::Begin);
    once_.abandon(TicketNumber(3));
    CHECK(begin(3, 8) == OnceVerdict::Begin);
    once_.retire(TicketNumber(3));
    CHECK(begin(3, 9) == OnceVerdict::Refused);
}

TEST(Once, ExpiryNeverTurnsARunIntoNotRun)
{
    CHECK(begin(1, 1) == OnceVerdict::Begin);
    once_.finish(TicketNumber(1), answer(1));
    now_ = expiry_;
    CHECK(begin(1, 2) == OnceVerdict::Replay);
    CHECK(begin(2, 3) == OnceVerdict::Expired); // its record would still be here
    now_ = expiry_ + OnceTable::recordKeptFor;
    once_.expire(now_);
    CHECK_EQUAL(0U, once_.recordCount());
    CHECK(begin(1, 4) == OnceVerdict::Unknown);
    CHECK(begin(2, 5) == OnceVerdict::Unknown); // can't be told from the first any more

    expiry_ = expiry_ + Duration::seconds(5);
    CHECK(begin(3, 6) == OnceVerdict::Expired); // expired after the last one forgotten
}

TEST(Once, ARunInProgressIsNeverForgotten)
{
    CHECK(begin(1, 1) == OnceVerdict::Begin);
    now_ = expiry_ + Duration::seconds(3600);
    once_.expire(now_);
    CHECK(begin(1, 2) == OnceVerdict::Join);
}

TEST(Once, AFullTableRefusesNewWork)
{
    CHECK(begin(1, 1) == OnceVerdict::Begin);
    CHECK(once_.reserveAnswer(TicketNumber(1)));
    CHECK(begin(2, 2) == OnceVerdict::Begin);
    CHECK(once_.reserveAnswer(TicketNumber(2)));
    CHECK(begin(3, 3) == OnceVerdict::Begin);
    CHECK(!once_.reserveAnswer(TicketNumber(3)));
    CHECK(begin(4, 4) == OnceVerdict::Full);
    CHECK(once_.state({ TicketNumber(4), expiry_ }) == OnceState::Refused);
    CHECK(begin(5, 5) == OnceVerdict::Full);
    CHECK(begin(6, 6) == OnceVerdict::Full); // no room even to keep that
    CHECK(once_.state({ TicketNumber(6), expiry_ }) == OnceState::NeverBegun);
    CHECK(once_.bytesUsed() <= options().maxRecordBytes * 9 / 8);

    once_.finish(TicketNumber(1), answer(100));
    CHECK(!once_.reserveAnswer(TicketNumber(3))); // the refused ones count too
    once_.finish(TicketNumber(2), answer(100));
    CHECK(once_.reserveAnswer(TicketNumber(3)));
    CHECK(begin(1, 5) == OnceVerdict::Replay);
    CHECK(begin(4, 4) == OnceVerdict::Refused);
    once_.releaseAnswer(TicketNumber(3));
    CHECK(once_.reserveAnswer(TicketNumber(3)));
}

TEST(Once, WaitersAreBoundedAndMayLeave)
{
    CHECK(begin(1, 1) == OnceVerdict::Begin);
    for (std::size_t i = 0; i < OnceTable::waitersMost; ++i)
        CHECK(begin(1, 10 + i) == OnceVerdict::Join);
    CHECK(begin(1, 99) == OnceVerdict::TooManyWaiting);
    once_.leave(TicketNumber(1), RequestId(10));
    CHECK(once_.promote(TicketNumber(1)) == RequestId(11));
    CHECK_EQUAL(OnceTable::waitersMost - 2, once_.fail(TicketNumber(1)).size());
}
