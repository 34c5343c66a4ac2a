// The actions that the reducer requests from the shell, as data. Safety never depends on
// the order of two effects: each is idempotent or carries the data that identifies it as
// outdated.
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

// Sends TimerFired at or soon after an instant. Only the earliest timer counts; the
// reducer sets the next one at each TimerFired.
struct SetTimer
{
    Instant at;
};

struct SendPeer
{
    VmId to;
    Message message;
};

// Reads the objects changed after a revision, and waits for a change if there is none.
// Ends in PlatformChanged or PlatformFailed; at most one is under way.
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

// Writes the object if its version is `expected`; 0: if it does not exist.
struct WriteObject
{
    CallId call;
    std::string kind;
    std::string name;
    Revision expected;
    std::string value;
};

// Sends the request to a target. The shell compares `validUntil` with the clock
// immediately before it sends the first byte.
struct ForwardRequest
{
    RequestId request;
    int attempt = 0;
    TargetId target;
    Endpoint endpoint;
    Instant validUntil; // end of the freshness lease; not sent later
    Instant deadline;
    bool mayReuseConnection = false; // never for a request that may not be repeated
};

struct CancelForward
{
    RequestId request;
};

// Relays the caller's request to the home VM of its ticket.
struct RelayToHome
{
    RequestId request;
    VmId home;
    TeamId team;
    Instant deadline;
};

// Finishes a request. Each request ends in exactly one AnswerCaller or RefuseCaller.
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
    Object object; // Done: the stored object; Conflict: the object stored instead
};

// Ends an ObjectsRequested.
struct ObjectsReturned
{
    RequestId request;
    std::vector<Object> objects;
};

// This VM's information about a peer.
struct PeerReport
{
    VmId vm;
    Revision viewRevision;
    bool isAlive = false;
    bool isReady = false;
    bool isLeaving = false;
    Duration age; // time since its last heartbeat
};

// Ends a StatusRequested.
struct StatusReturned
{
    RequestId request;
    VmId vm;
    Revision viewRevision;
    bool isFresh = false;
    bool isReady = false;
    std::string reason; // why the VM is not ready
    std::string bundle; // version of the bundle in force
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

// Sets the peers to connect to; closes the connections to all others.
struct SetPeers
{
    std::vector<Vm> peers;
};

// Sets whether the daemon is ready, for /readyz and look-ups.
struct SetReady
{
    bool isReady = false;
    std::string reason; // why the VM is not ready
    Instant validUntil; // end of the freshness lease; not ready from then on
};

struct WriteLog
{
    LogRecord record;
};

// The daemon has finished its requests, or their time is over, and may exit.
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
