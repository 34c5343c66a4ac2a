// Everything that the reducer can ask of the shell, as data. The order of two
// effects never matters for safety: each is idempotent or carries what it needs
// to be recognised as old.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

class SteeringSnapshot;

// Wake the reducer at or soon after an instant. The earliest one set counts.
struct SetTimer
{
    Instant at;
};

struct SendPeer
{
    VmId to;
    Message message;
};

struct ReadObject
{
    CallId call;
    std::string kind;
    std::string name;
};

// Write if the object's version is `expected`; 0: if it does not exist.
struct WriteObject
{
    CallId call;
    std::string kind;
    std::string name;
    Revision expected;
    std::string value;
};

// Send the request to a target. The shell checks `validUntil` against the clock
// as the last thing before the first byte leaves.
struct ForwardRequest
{
    RequestId request;
    int attempt = 0;
    TargetId target;
    Endpoint endpoint;
    Instant validUntil; // the freshness lease: not sent after this
    Instant deadline;
    bool mayReuseConnection = false; // never for a request that may not be repeated
};

struct CancelForward
{
    RequestId request;
};

// Pass the caller's request on to the home VM of its ticket.
struct RelayToHome
{
    RequestId request;
    VmId home;
    TeamId team;
    Instant deadline;
};

// Finishes a request; exactly one of AnswerCaller and RefuseCaller ends each.
struct AnswerCaller
{
    RequestId request;
    AnswerPointer answer;
};

struct RefuseCaller
{
    RequestId request;
    Refusal refusal;
};

struct GiveTicket
{
    RequestId request;
    std::string ticket;
    Duration validFor;
};

// Ends a ChangeAsked.
struct ChangeEnded
{
    RequestId request;
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    Object object; // Done: as stored; Conflict: what is stored instead
};

struct ProbeTarget
{
    TargetId target;
    Endpoint endpoint;
};

struct PublishSnapshot
{
    std::shared_ptr<const SteeringSnapshot> snapshot;
};

// Connect to these peers and to no others.
struct SetPeers
{
    std::vector<Vm> peers;
};

// Whether the daemon serves keyed requests, for /readyz.
struct SetReady
{
    bool isReady = false;
    std::string reason; // why not
};

struct WriteLog
{
    LogRecord record;
};

// The daemon has finished its requests and may exit.
struct Exit
{
    int requestsCut = 0;
};

using Effect =
    std::variant<SetTimer, SendPeer, ReadObject, WriteObject, ForwardRequest, CancelForward,
                 RelayToHome, AnswerCaller, RefuseCaller, GiveTicket, ChangeEnded, ProbeTarget,
                 PublishSnapshot, SetPeers, SetReady, WriteLog, Exit>;

using Effects = std::vector<Effect>;

} // namespace bluebellshift::core
