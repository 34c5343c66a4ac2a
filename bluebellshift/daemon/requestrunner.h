// Serves one request on the calling thread: executes the reducer's instructions
// until one of them is terminal.
#pragma once

#include <functional>
#include <variant>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/http/forwarder.h"

namespace bluebellshift::daemon {

// The terminal instructions.
using RequestOutcome = std::variant<core::AnswerCaller, core::RefuseCaller, core::IssueTicket,
                                    core::ChangeEnded, core::ObjectsReturned, core::StatusReturned>;

class RequestRunner
{
public:
    struct Hooks
    {
        std::function<void(core::EventBody)> post;
        // Returns false if there is no connection to the VM.
        std::function<bool(const core::VmId &, core::Message)> sendPeer;
    };

    RequestRunner(core::Incarnation incarnation, http::Forwarder &forwarder, base::Clock clock,
                  Hooks hooks);

    // Blocks until the request has ended. `isCallerDisconnected` is polled; once it
    // returns true, CallerGone is posted, and the reducer still ends the request.
    RequestOutcome run(PendingRequest &pending, const std::function<bool()> &isCallerDisconnected);

private:
    void forward(PendingRequest &pending, const core::ForwardRequest &instruction,
                 const std::function<bool()> &isCallerDisconnected);
    void relay(const PendingRequest &pending, const core::RelayToHome &instruction);

    const core::Incarnation incarnation_;
    http::Forwarder &forwarder_;
    const base::Clock clock_;
    const Hooks hooks_;
};

// Returns the identifier by which a target can recognise the requests of one
// ticket. It is not secret: the ticket can't be derived from it.
std::string ticketIdOf(const std::string &ticket);

} // namespace bluebellshift::daemon
