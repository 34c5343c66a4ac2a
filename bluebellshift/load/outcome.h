// How one scheduled request ended, as its caller saw it.
#pragma once

#include <string>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

enum class End {
    Pending,     // not sent, or no end known
    Answered,    // the whole answer to this request
    TargetError, // an answer of the target with an error status
    Refused,     // by a VM, with a code
    Failed,      // no connection, a time-out, or an answer cut short
    Wrong,       // the answer to another request, or a damaged one
};

struct Outcome
{
    End end = End::Pending;
    std::string code;                     // Refused
    core::Run claim = core::Run::Unknown; // what the caller was told last
    bool isEveryClaimNotRun = true;       // of all attempts
    bool hasSeenKey = false;              // the target received the caller's key
    int attempts = 0;                     // without requests for tickets
    core::Duration startDelay;            // from the scheduled instant to the first byte
    core::Duration latency;               // from the scheduled instant to the end
    std::string ticketId;                 // as targets see it; empty without a ticket
};

} // namespace bluebellshift::load
