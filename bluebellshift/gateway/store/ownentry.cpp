#include "bluebellshift/gateway/store/ownentry.h"

#include <utility>

namespace bluebellshift::gateway::store {

void OwnEntry::start(std::uint64_t random, Instant now)
{
    pacer_ = CallPacer(random);
    dueAt_ = now;
}

std::optional<OwnEntry::Write> OwnEntry::takeDue(Instant now)
{
    if (isPending_ || isStopped_ || dueAt_ == Instant::never() || now < dueAt_)
        return std::nullopt;
    dueAt_ = Instant::never();
    isPending_ = true;
    isLostWhilePending_ = false;
    if (write_ == Write::Create)
        createdAt_ = now;
    return write_;
}

void OwnEntry::onWritten()
{
    if (!std::exchange(isPending_, false))
        return; // another VM's entry was removed
    if (isLostWhilePending_)
        return; // it may have been lost since: the write that is due decides
    isWritten_ = true;
    pacer_.reset();
}

void OwnEntry::onWriteFailed(StoreFailure failure, Instant now)
{
    isPending_ = false;
    if (isStopped_)
        return;
    if (write_ == Write::Create && failure == StoreFailure::NoAnswer)
        mayHaveCreated_ = true;
    if (failure == StoreFailure::Conflict && !mayHaveCreated_)
        createdAt_ = Instant::never();
    const Duration wait = pacer_.nextWait(maxRetryWait);
    if (failure == StoreFailure::Conflict || failure == StoreFailure::Missing) {
        write_ = failure == StoreFailure::Missing ? Write::Create : Write::Replace;
        dueAt_ = now + wait;
    } else {
        dueAt_ = now + minFailedWait + wait;
    }
}

bool OwnEntry::isKnown(Instant now) const
{
    if (createdAt_ == Instant::never())
        return write_ == Write::Replace;
    return isWritten_ && now - createdAt_ >= introductionTime;
}

void OwnEntry::onLost(Loss loss, Duration spread, Instant now)
{
    if (isStopped_)
        return;
    isWritten_ = false;
    isLostWhilePending_ = isPending_;
    write_ = loss == Loss::Missing ? Write::Create : Write::Replace;
    dueAt_ = now + pacer_.spread(spread);
}

} // namespace bluebellshift::gateway::store
