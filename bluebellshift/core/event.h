// The input events of a daemon's reducer, as data.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// A timer that the reducer set has expired.
struct TimerFired
{
};

// A watch or a read of all objects returned.
struct PlatformChanged
{
    Revision after; // the revision passed to the call; 0: all objects
    Revision revision;
    Instant asOf;            // the store had no newer revision at this instant
    bool isComplete = false; // `objects` contains all objects, not only changed ones
    std::vector<Object> objects;
};

// A watch or a read of all objects failed.
struct PlatformFailed
{
    Instant begunAt;
};

// A single read or write returned.
struct PlatformReplied
{
    CallId call;
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    Object object; // Done: the stored object
};

struct PeerMessageReceived
{
    VmId from;
    Incarnation incarnation; // of the sender
    Message message;
};

struct PeerLost
{
    VmId vm;
};

// A caller's request arrived. The shell keeps its headers and body.
struct RequestArrived
{
    RequestId request;
    ServiceId service;
    std::string method;
    std::string path; // without the service's prefix and the query
    bool hasKey = false;
    KeyDigest keyDigest;
    std::string ticket;              // empty: none sent
    std::string idempotencyKey;      // empty: none sent
    Duration timeLeft;               // until the caller's deadline; zero: none given
    std::uint32_t clientAddress = 0; // IPv4, host byte order
    std::size_t bodyBytes = 0;
    std::uint64_t contentDigest = 0; // xxHash of the query and the body
    VmId relayedBy;                  // empty: received directly from the caller
    std::uint64_t relayCorrelation = 0;
};

// A caller requests a ticket for one request that must not be repeated.
struct TicketRequested
{
    RequestId request;
    ServiceId service;
    bool hasKey = false;
    KeyDigest keyDigest;
};

// The caller closed its connection, or the relaying VM reported that it did.
struct CallerGone
{
    RequestId request;
};

// A request could not be relayed to its home VM; no byte of it left this VM.
struct RelayFailed
{
    RequestId request;
};

// The outcome of one attempt at a target.
enum class AttemptOutcome {
    Answered,      // a complete answer
    NeverSent,     // no byte of the request left this VM
    ConnectFailed, // the same; the target did not accept the connection
    Shed,          // the target reported that it did not run the request
    Cut,           // the answer was truncated
    TooLarge,      // the answer exceeded the size limit
    TimedOut,
    Cancelled,
};

struct AttemptEnded
{
    RequestId request;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::NeverSent;
    AnswerPointer answer;       // Answered and Shed
    int reportedBusySlots = -1; // from the target's load report; -1: none
    bool answerBegun = true;    // Cut: at least one byte of the answer arrived
    bool targetLeaving = false; // the target reported it in its answer
};

// A probe of a target's health returned.
struct ProbeEnded
{
    TargetId target;
    bool isHealthy = false;
    bool isLeaving = false;
    int reportedBusySlots = -1;
};

// An operator requests a change; the operator is already authenticated and authorised
// by role.
struct ChangeRequested
{
    RequestId request;
    OperatorId by;
    std::string kind;
    std::string name;
    Revision expected;   // 0: the object must not exist yet
    std::string value;   // JSON
    std::string summary; // for the audit trail; holds no secret
    WallTime at;
};

// An operator requests objects of the view: one by name, or all of a kind.
struct ObjectsRequested
{
    RequestId request;
    std::string kind;
    std::string name; // empty: all of the kind
};

// An operator requests the status of this VM and its peers.
struct StatusRequested
{
    RequestId request;
};

struct ShutdownRequested
{
};

using EventBody =
    std::variant<TimerFired, PlatformChanged, PlatformFailed, PlatformReplied, PeerMessageReceived,
                 PeerLost, RequestArrived, TicketRequested, CallerGone, RelayFailed, AttemptEnded,
                 ProbeEnded, ChangeRequested, ObjectsRequested, StatusRequested, ShutdownRequested>;

struct Event
{
    Instant now;
    WallTime wallTime;
    std::uint64_t random = 0; // a new value for each event
    EventBody body;
};

} // namespace bluebellshift::core
