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

// Send TimerFired at or soon after an instant. Only the earliest one set counts;
// the reducer sets the next at each TimerFired.
struct SetTimer
{
    Instant at;
};

struct SendPeer
{
    VmId to;
    Message message;
};

// Read what changed after a revision, waiting until something does. Ends in
// PlatformChanged or PlatformFailed; at most one is under way.
struct WatchObjects
{
    Revision after; // 0: all objects
    Duration wait;
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

struct IssueTicket
{
    RequestId request;
    std::string ticket;
    Duration validFor;
};

// Ends a ChangeRequested.
struct ChangeEnded
{
    RequestId request;
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    Object object; // Done: as stored; Conflict: what is stored instead
};

// Ends an ObjectsRequested.
struct ObjectsReturned
{
    RequestId request;
    std::vector<Object> objects;
};

// What one VM knows about another.
struct PeerReport
{
    VmId vm;
    Revision viewRevision;
    bool isAlive = false;
    bool isReady = false;
    bool isLeaving = false;
    Duration age; // since its last heartbeat
};

// Ends a StatusRequested.
struct StatusReturned
{
    RequestId request;
    VmId vm;
    Revision viewRevision;
    bool isFresh = false;
    bool isReady = false;
    std::string reason; // why not ready
    std::string bundle; // the version in force
    std::vector<PeerReport> peers;
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

// Whether the daemon serves, for /readyz and look-ups.
struct SetReady
{
    bool isReady = false;
    std::string reason; // why not
    Instant validUntil; // the end of the freshness lease: not ready after this
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

using Effect = std::variant<SetTimer, SendPeer, WatchObjects, ReadObject, WriteObject,
                            ForwardRequest, CancelForward, RelayToHome, AnswerCaller, RefuseCaller,
                            IssueTicket, ChangeEnded, ObjectsReturned, StatusReturned, ProbeTarget,
                            PublishSnapshot, SetPeers, SetReady, WriteLog, Exit>;

using Effects = std::vector<Effect>;

} // namespace bluebellshift::core
