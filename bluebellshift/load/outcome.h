// The outcome of one scheduled request as its caller saw it.
#pragma once

#include <string>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

enum class OutcomeKind {
    Pending,     // not sent, or not completed
    Answered,    // the complete answer to this request
    TargetError, // an error status from the target
    Refused,     // refused by a VM with a code
    Failed,      // no connection, a timeout or a truncated answer
    Wrong,       // the answer to another request, or a corrupt one
};

struct Outcome
{
    OutcomeKind kind = OutcomeKind::Pending;
    std::string code;                     // of the refusal; set for Refused
    core::Run claim = core::Run::Unknown; // the last reply's statement whether the request ran
    bool isEveryClaimNotRun = true;       // all attempts were reported as not run
    bool isKeyLeaked = false;             // a target received the caller's key
    int attempts = 0;                     // excluding ticket requests
    core::Duration startDelay; // from the scheduled instant to the start of the first attempt
    core::Duration latency;    // from the scheduled instant to the end
    std::string ticketId;      // as targets count it; empty without a ticket
};

} // namespace bluebellshift::load
