// The home's memory of the requests that run on its tickets.
//
//   AtMostOnceTable once(options);
//   switch (once.begin(ticket, content, request, now)) {
//   case AtMostOnceVerdict::Begin: ... // this request runs; others with the ticket join
//   case AtMostOnceVerdict::Replay: return AnswerCaller { request, once.answer(ticket.number) };
//   ...
//   }
//   once.reserveAnswer(ticket.number); // just before the request leaves
//   ...
//   once.finish(ticket.number, answer); // or fail(), retire(), abandon()
//
// A ticket's states:
//
//   fresh ── begin ──> in progress ── finish ──> done, with its answer
//     ^                   │  │└────── fail ─────> unknown, it may have run
//     └──── abandon ──────┘  └────── retire ────> refused, it never ran nor will
//
// A caller that was told "not run" may act on it, for instance by asking for a
// new ticket. An older copy of its request may still be under way, so a refused
// ticket is never usable again.
//
// A record stays until its ticket has expired and `recordRetention` has passed.
// The table never drops a record to make room; it refuses new work instead.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/ticket.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

enum class AtMostOnceVerdict {
    Begin,           // never begun until now; the caller of begin() runs it
    Join,            // in progress; the request waits for the same outcome
    TooManyWaiting,  // in progress, and maxWaiters requests wait already
    Replay,          // done; answer() has the answer
    Unknown,         // it may have run
    Expired,         // past its expiry and certainly never begun
    ContentMismatch, // the ticket was used for another request
    Refused,         // a caller was told that it did not run
    Full,            // no room for new work; state() tells whether it could be retired
};

// Whether a ticket's request has run, over the ticket's whole history here.
enum class AtMostOnceState { NeverBegun, InProgress, Done, Unknown, Refused };

class AtMostOnceTable
{
public:
    // Refused tickets of a full table may use this much of bytesMost beyond it.
    static constexpr std::size_t refusedDivisor = 8;
    static constexpr std::size_t maxWaiters = 16;                      // for each ticket
    static constexpr std::size_t recordOverhead = 256;                 // bytes, beside the answer
    static constexpr Duration recordRetention = Duration::seconds(10); // after expiry

    explicit AtMostOnceTable(const CoreOptions &options);

    // Decides what to do with a request that shows a verified ticket. `content`
    // is a digest of what the request asks for; a retry must have the same.
    AtMostOnceVerdict begin(const Ticket &ticket, std::uint64_t content, RequestId request,
                            Instant now);

    // Makes room for the largest answer. False: the table is full, the request
    // may not be sent.
    bool reserveAnswer(TicketNumber number);

    // The request was not sent after all.
    void releaseAnswer(TicketNumber number);

    // The run ended with a whole answer. Returns the requests that joined.
    std::vector<RequestId> finish(TicketNumber number, AnswerPointer answer);

    // The run ended, or was given up, and may have had its effect.
    std::vector<RequestId> fail(TicketNumber number);

    // The run provably had no effect and its callers are told so.
    std::vector<RequestId> retire(TicketNumber number);

    // The run provably had no effect and nobody is told so; the ticket is fresh.
    std::vector<RequestId> abandon(TicketNumber number);

    // A joined request stops waiting.
    void removeWaiter(TicketNumber number, RequestId request);

    // The oldest joined request, which takes the place of the one that began;
    // RequestId() when none joined.
    RequestId promoteWaiter(TicketNumber number);

    AnswerPointer answer(TicketNumber number) const;
    AtMostOnceState state(const Ticket &ticket) const;

    // Drops records that are past their time.
    void expire(Instant now);

    std::size_t bytesUsed() const { return bytesUsed_; }
    std::size_t recordCount() const { return records_.size(); }

private:
    struct Record
    {
        AtMostOnceState state = AtMostOnceState::InProgress;
        Instant expiry;
        std::uint64_t content = 0;
        std::size_t bytes = recordOverhead;
        AnswerPointer answer;
        std::vector<RequestId> waiting;
    };

    void insert(const Ticket &ticket, std::uint64_t content, AtMostOnceState state);
    AtMostOnceVerdict beginKnown(Record &record, std::uint64_t content, RequestId request);
    std::vector<RequestId> settle(TicketNumber number, AtMostOnceState state, AnswerPointer answer);
    void resize(Record &record, std::size_t bytes);

    std::size_t bytesMost_;
    std::size_t answerBytesMost_;
    std::size_t bytesUsed_ = 0;
    std::unordered_map<TicketNumber, Record> records_;
    std::set<std::pair<Instant, TicketNumber>> byExpiry_;
    Instant forgottenUntil_ = Instant::never(); // the latest expiry of a dropped record
};

} // namespace bluebellshift::core
