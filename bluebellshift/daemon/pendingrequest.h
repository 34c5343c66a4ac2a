// A caller's request while the daemon works on it: what the reducer does not
// need to see, and the mailbox through which the reducer's effects reach the
// thread that serves it.
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

// What is sent on to a target or a home VM.
struct CallerRequest
{
    std::string method;
    std::string pathAndQuery;          // without the service's part
    std::vector<core::Header> headers; // end-to-end ones, without the key
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
    // The next instruction, or nothing when none came in time.
    std::optional<Instruction> wait(core::Duration timeMost);

    // Ends the attempt under way, if any.
    void cancelForward() { forwardCancelled_ = true; }
    bool isForwardCancelled() const { return forwardCancelled_; }

    // The home VM that the request was relayed to; empty: none.
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

// All requests under way, by id. Thread-safe.
class PendingRequests
{
public:
    // Adds a request under a new id.
    PendingRequestPointer add(CallerRequest request);
    PendingRequestPointer find(core::RequestId id);
    void remove(core::RequestId id);

private:
    std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    std::map<core::RequestId, PendingRequestPointer> requests_;
};

} // namespace bluebellshift::daemon
