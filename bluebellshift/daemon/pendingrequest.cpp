#include "bluebellshift/daemon/pendingrequest.h"

#include <chrono>

namespace bluebellshift::daemon {

PendingRequest::PendingRequest(core::RequestId id, CallerRequest request)
    : id_(id)
    , request_(std::move(request))
{
}

void PendingRequest::push(Instruction instruction)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        instructions_.push_back(std::move(instruction));
    }
    pushed_.notify_one();
}

std::optional<Instruction> PendingRequest::wait(core::Duration maxWait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    pushed_.wait_for(lock, std::chrono::microseconds(maxWait.toMicros()),
                     [this] { return !instructions_.empty(); });
    if (instructions_.empty())
        return std::nullopt;
    Instruction first = std::move(instructions_.front());
    instructions_.pop_front();
    return first;
}

void PendingRequest::setRelayedTo(const core::VmId &home)
{
    std::lock_guard<std::mutex> lock(mutex_);
    relayedTo_ = home;
}

core::VmId PendingRequest::relayedTo()
{
    std::lock_guard<std::mutex> lock(mutex_);
    return relayedTo_;
}

PendingRequestPointer PendingRequests::add(CallerRequest request)
{
    std::lock_guard<std::mutex> lock(mutex_);
    const core::RequestId id(++lastId_);
    auto pending = std::make_shared<PendingRequest>(id, std::move(request));
    requests_[id] = pending;
    return pending;
}

PendingRequestPointer PendingRequests::find(core::RequestId id)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second;
}

void PendingRequests::remove(core::RequestId id)
{
    std::lock_guard<std::mutex> lock(mutex_);
    requests_.erase(id);
}

} // namespace bluebellshift::daemon
