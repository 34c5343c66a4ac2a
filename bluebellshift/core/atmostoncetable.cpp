// A hash table of records and an index by expiry.
//
// "Certainly never begun" must hold for the whole history of a ticket, yet
// records can't be kept forever. The table therefore stores the latest expiry of
// the records that it has dropped. A ticket that expires after that instant and
// has no record was never begun; for an earlier one without a record, the outcome
// is unknown. This instant replaces a list of dropped tickets.
//
// A refused ticket stays refused although it never ran: a copy of the request may
// wait in a paused VM or a socket while its caller receives "not run" through
// another VM. If the ticket were usable, that copy would run afterwards and make
// the refusal false.
//
// Room for the largest answer is reserved before a request is sent, because an
// answer that can't be stored would turn the outcome of a retry into "unknown".
// It is not reserved on arrival, since requests that only wait for a slot would
// fill the table.
//
// Cost: O(log records) for begin and expire, O(1) otherwise.
#include "bluebellshift/core/atmostoncetable.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

std::size_t sizeOf(const Answer &answer)
{
    std::size_t bytes = answer.body.size();
    for (const Header &header : answer.headers)
        bytes += sizeof(Header) + header.name.size() + header.value.size();
    return bytes;
}

} // namespace

AtMostOnceTable::AtMostOnceTable(const CoreOptions &options)
    : maxBytes_(options.maxRecordBytes)
    , maxAnswerBytes_(options.maxAnswerBytes)
{
}

AtMostOnceVerdict AtMostOnceTable::begin(const Ticket &ticket, std::uint64_t content,
                                         RequestId request, Instant now)
{
    const auto known = records_.find(ticket.number);
    if (known != records_.end())
        return beginExisting(known->second, content, request);
    if (ticket.expiry <= now) {
        const bool mayHaveRecord = ticket.expiry <= latestDroppedExpiry_;
        return mayHaveRecord ? AtMostOnceVerdict::Unknown : AtMostOnceVerdict::Expired;
    }
    const std::size_t requiredBytes = bytesUsed_ + recordOverhead;
    if (requiredBytes <= maxBytes_) {
        insert(ticket, content, AtMostOnceState::InProgress);
        return AtMostOnceVerdict::Begin;
    }
    if (requiredBytes <= maxBytes_ + maxBytes_ / refusedDivisor)
        insert(ticket, content, AtMostOnceState::Refused);
    return AtMostOnceVerdict::Full;
}

void AtMostOnceTable::insert(const Ticket &ticket, std::uint64_t content, AtMostOnceState state)
{
    Record record;
    record.state = state;
    record.expiry = ticket.expiry;
    record.content = content;
    bytesUsed_ += record.bytes;
    records_.emplace(ticket.number, std::move(record));
    byExpiry_.emplace(ticket.expiry, ticket.number);
}

AtMostOnceVerdict AtMostOnceTable::beginExisting(Record &record, std::uint64_t content,
                                                 RequestId request)
{
    if (record.content != content)
        return AtMostOnceVerdict::ContentMismatch;
    if (record.state == AtMostOnceState::Done)
        return AtMostOnceVerdict::Replay;
    if (record.state == AtMostOnceState::Unknown)
        return AtMostOnceVerdict::Unknown;
    if (record.state == AtMostOnceState::Refused)
        return AtMostOnceVerdict::Refused;
    if (record.waiting.size() >= maxWaiters)
        return AtMostOnceVerdict::TooManyWaiting;
    record.waiting.push_back(request);
    return AtMostOnceVerdict::Join;
}

bool AtMostOnceTable::reserveAnswer(TicketNumber number)
{
    const auto known = records_.find(number);
    if (known == records_.end())
        return false;
    const std::size_t requiredBytes = recordOverhead + maxAnswerBytes_;
    Record &record = known->second;
    if (record.bytes >= requiredBytes)
        return true;
    if (bytesUsed_ - record.bytes + requiredBytes > maxBytes_)
        return false;
    resize(record, requiredBytes);
    return true;
}

void AtMostOnceTable::releaseAnswer(TicketNumber number)
{
    const auto known = records_.find(number);
    if (known != records_.end() && known->second.state == AtMostOnceState::InProgress)
        resize(known->second, recordOverhead);
}

std::vector<RequestId> AtMostOnceTable::finish(TicketNumber number, AnswerPointer answer)
{
    return endRun(number, AtMostOnceState::Done, std::move(answer));
}

std::vector<RequestId> AtMostOnceTable::fail(TicketNumber number)
{
    return endRun(number, AtMostOnceState::Unknown, nullptr);
}

std::vector<RequestId> AtMostOnceTable::retire(TicketNumber number)
{
    return endRun(number, AtMostOnceState::Refused, nullptr);
}

std::vector<RequestId> AtMostOnceTable::endRun(TicketNumber number, AtMostOnceState state,
                                               AnswerPointer answer)
{
    const auto known = records_.find(number);
    if (known == records_.end())
        return {};
    Record &record = known->second;
    record.state = state;
    record.answer = std::move(answer);
    resize(record, recordOverhead + (record.answer ? sizeOf(*record.answer) : 0));
    return std::exchange(record.waiting, {});
}

std::vector<RequestId> AtMostOnceTable::abandon(TicketNumber number)
{
    const auto known = records_.find(number);
    if (known == records_.end())
        return {};
    std::vector<RequestId> waiting = std::move(known->second.waiting);
    bytesUsed_ -= known->second.bytes;
    byExpiry_.erase({ known->second.expiry, number });
    records_.erase(known);
    return waiting;
}

void AtMostOnceTable::removeWaiter(TicketNumber number, RequestId request)
{
    const auto known = records_.find(number);
    if (known == records_.end())
        return;
    std::vector<RequestId> &waiting = known->second.waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), request), waiting.end());
}

RequestId AtMostOnceTable::promoteWaiter(TicketNumber number)
{
    const auto known = records_.find(number);
    if (known == records_.end() || known->second.waiting.empty())
        return RequestId();
    const RequestId oldest = known->second.waiting.front();
    removeWaiter(number, oldest);
    return oldest;
}

AnswerPointer AtMostOnceTable::answer(TicketNumber number) const
{
    const auto known = records_.find(number);
    return known == records_.end() ? nullptr : known->second.answer;
}

AtMostOnceState AtMostOnceTable::state(const Ticket &ticket) const
{
    const auto known = records_.find(ticket.number);
    if (known != records_.end())
        return known->second.state;
    return ticket.expiry <= latestDroppedExpiry_ ? AtMostOnceState::Unknown
                                                 : AtMostOnceState::NeverBegun;
}

void AtMostOnceTable::expire(Instant now)
{
    auto next = byExpiry_.begin();
    while (next != byExpiry_.end() && next->first + recordRetention <= now) {
        const auto known = records_.find(next->second);
        if (known->second.state == AtMostOnceState::InProgress) {
            ++next; // its outcome is pending
            continue;
        }
        latestDroppedExpiry_ = std::max(latestDroppedExpiry_, next->first);
        bytesUsed_ -= known->second.bytes;
        records_.erase(known);
        next = byExpiry_.erase(next);
    }
}

void AtMostOnceTable::resize(Record &record, std::size_t bytes)
{
    bytesUsed_ = bytesUsed_ - record.bytes + bytes;
    record.bytes = bytes;
}

} // namespace bluebellshift::core
