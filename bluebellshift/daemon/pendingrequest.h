// A caller's request while the daemon processes it: the data that the reducer
// does not need, and a queue that passes the reducer's effects to the thread
// that serves the request.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"

namespace bluebellshift::daemon {

// The request that is forwarded to a target or relayed to the ticket's home VM.
struct CallerRequest
{
    std::string method;
    std::string pathAndQuery;          // without the prefix "/s/{service}"
    std::vector<core::Header> headers; // end-to-end headers, without the caller's key
    std::string body;
    core::ServiceId service;
    core::KeyDigest keyDigest;
    std::string ticket;
};

using Instruction =
    std::variant<core::ForwardRequest, core::RelayToHome, core::AnswerCaller, core::RefuseCaller,
                 core::IssueTicket, core::ChangeEnded, core::ObjectsReturned, core::StatusReturned>;

class PendingRequest
{
public:
    PendingRequest(core::RequestId id, CallerRequest request);

    core::RequestId id() const { return id_; }
    const CallerRequest &request() const { return request_; }

    void push(Instruction instruction);
    // Returns the next instruction, or nullopt if none arrives within `maxWait`.
    std::optional<Instruction> wait(core::Duration maxWait);

    // Cancels the forwarding; isForwardCancelled() stays true from then on.
    void cancelForward() { forwardCancelled_ = true; }
    bool isForwardCancelled() const { return forwardCancelled_; }

    // The home VM that the request was relayed to; empty if it was not relayed.
    void setRelayedTo(const core::VmId &home);
    core::VmId relayedTo();

private:
    const core::RequestId id_;
    const CallerRequest request_;
    core::VmId relayedTo_;
    std::atomic<bool> forwardCancelled_ { false };
    std::mutex mutex_;
    std::condition_variable pushed_;
    std::deque<Instruction> instructions_;
};

using PendingRequestPointer = std::shared_ptr<PendingRequest>;

// All requests in progress, by id. Thread-safe.
class PendingRequests
{
public:
    // Adds a request and assigns it a new id.
    PendingRequestPointer add(CallerRequest request);
    // Returns null if no such request is in progress.
    PendingRequestPointer find(core::RequestId id);
    void remove(core::RequestId id);

private:
    std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    std::map<core::RequestId, PendingRequestPointer> requests_;
};

} // namespace bluebellshift::daemon
