// Serves one request on the calling thread: carries out the reducer's
// instructions until one of them ends it.
#pragma once

#include <functional>
#include <variant>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/http/forwarder.h"

namespace bluebellshift::daemon {

using RequestOutcome = std::variant<core::AnswerCaller, core::RefuseCaller, core::GiveTicket,
                                    core::ChangeEnded, core::ObjectsTold, core::StatusTold>;

class RequestRunner
{
public:
    struct Hooks
    {
        std::function<void(core::EventBody)> post;
        // Returns false when there is no connection to the VM.
        std::function<bool(const core::VmId &, core::Message)> sendPeer;
    };

    RequestRunner(core::Incarnation incarnation, http::Forwarder &forwarder, base::Clock clock,
                  Hooks hooks);

    // Blocks until the request has ended. `isCallerGone` is asked often; when it
    // turns true the reducer is told once, and still ends the request.
    RequestOutcome run(PendingRequest &pending, const std::function<bool()> &isCallerGone);

private:
    void forward(PendingRequest &pending, const core::ForwardRequest &instruction,
                 const std::function<bool()> &isCallerGone);
    void relay(const PendingRequest &pending, const core::RelayToHome &instruction);

    const core::Incarnation incarnation_;
    http::Forwarder &forwarder_;
    const base::Clock clock_;
    const Hooks hooks_;
};

// The name by which a target may tell the requests of one ticket apart. It is
// no secret: the ticket can't be made from it.
std::string ticketIdOf(const std::string &ticket);

} // namespace bluebellshift::daemon
