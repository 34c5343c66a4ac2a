// Records of the at-most-once requests whose tickets this VM has issued.
//
//   AtMostOnceTable table(options);
//   switch (table.begin(ticket, content, request, now)) {
//   case AtMostOnceVerdict::Begin: ... // run it; others with the ticket join
//   case AtMostOnceVerdict::Replay: return AnswerCaller { request, table.answer(ticket.number) };
//   ...
//   }
//   table.reserveAnswer(ticket.number); // just before the request is sent
//   ...
//   table.finish(ticket.number, answer); // or fail(), retire(), abandon()
//
// The states of a ticket:
//
//   fresh ── begin ──> in progress ── finish ──> done, with its answer
//     ^                   │  │└────── fail ─────> unknown, it may have run
//     └──── abandon ──────┘  └────── retire ────> refused, never run and never will be
//
// A caller that has received "not run" may act on it, for instance by requesting
// a new ticket. An older copy of its request may still be in transit, so a
// refused ticket never becomes usable again.
//
// A record is kept until its ticket has expired and `recordRetention` has passed.
// The table never drops a record to make room; it refuses new requests instead.
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
    Begin,           // not begun before; the caller of begin() runs it
    Join,            // in progress; the request waits for its outcome
    TooManyWaiting,  // in progress, and maxWaiters requests wait already
    Replay,          // done; answer() has the answer
    Unknown,         // it may have run
    Expired,         // expired and certainly never begun
    ContentMismatch, // the ticket was used for another request
    Refused,         // a caller has received "not run"
    Full,            // no room; state() returns whether the ticket was marked as refused
};

// Whether the request of a ticket has run, over the whole history of the ticket
// at this VM.
enum class AtMostOnceState { NeverBegun, InProgress, Done, Unknown, Refused };

class AtMostOnceTable
{
public:
    // When the table is full, refused tickets may use this fraction of the size
    // limit beyond it.
    static constexpr std::size_t refusedDivisor = 8;
    static constexpr std::size_t maxWaiters = 16;                      // for each ticket
    static constexpr std::size_t recordOverhead = 256;                 // bytes, beside the answer
    static constexpr Duration recordRetention = Duration::seconds(10); // after expiry

    explicit AtMostOnceTable(const CoreOptions &options);

    // Returns how to handle a request with a verified ticket. `content` is a
    // digest of the request; a retry must have the same.
    AtMostOnceVerdict begin(const Ticket &ticket, std::uint64_t content, RequestId request,
                            Instant now);

    // Reserves room for the largest answer. Returns false if the table is full;
    // the request may then not be sent.
    bool reserveAnswer(TicketNumber number);

    // Releases the reservation of a request that was not sent.
    void releaseAnswer(TicketNumber number);

    // The run ended with a complete answer. Returns the requests that joined.
    std::vector<RequestId> finish(TicketNumber number, AnswerPointer answer);

    // The run ended or was abandoned, and may have had its effect.
    std::vector<RequestId> fail(TicketNumber number);

    // The run provably had no effect, and its callers are informed of it.
    std::vector<RequestId> retire(TicketNumber number);

    // The run provably had no effect, and nobody is informed; the ticket is fresh
    // again.
    std::vector<RequestId> abandon(TicketNumber number);

    // Removes a joined request.
    void removeWaiter(TicketNumber number, RequestId request);

    // Removes and returns the oldest joined request, which replaces the one that
    // began; RequestId() if none has joined.
    RequestId promoteWaiter(TicketNumber number);

    AnswerPointer answer(TicketNumber number) const;
    AtMostOnceState state(const Ticket &ticket) const;

    // Drops the records whose retention has ended.
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
    AtMostOnceVerdict beginExisting(Record &record, std::uint64_t content, RequestId request);
    std::vector<RequestId> endRun(TicketNumber number, AtMostOnceState state, AnswerPointer answer);
    void resize(Record &record, std::size_t bytes);

    std::size_t maxBytes_;
    std::size_t maxAnswerBytes_;
    std::size_t bytesUsed_ = 0;
    std::unordered_map<TicketNumber, Record> records_;
    std::set<std::pair<Instant, TicketNumber>> byExpiry_;
    Instant latestDroppedExpiry_ = Instant::never(); // of all dropped records
};

} // namespace bluebellshift::core
