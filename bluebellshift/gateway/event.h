// Everything that can happen to a gateway, as data.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

using core::RequestId;

// Time has passed: sent at or soon after the instant that nextWake() names.
struct TimerFired
{
};

// One page of a registry's list.
struct RegistryListed
{
    Registry registry = Registry::Traffic;
    Revision at; // the store's revision
    bool hasMore = false;
    std::vector<RegistryEntry> entries; // in the order of their names
};

// A watch returned, perhaps with nothing new.
struct RegistryChanged
{
    Registry registry = Registry::Traffic;
    Revision at; // to continue from
    std::vector<RegistryEntry> entries;
};

struct RegistryFailed
{
    Registry registry = Registry::Traffic;
    StoreFailure failure = StoreFailure::NoAnswer;
};

// A WriteVm, RemoveVm or CreatePeerKey ended.
struct StoreWritten
{
    Registry registry = Registry::Vms;
};
struct StoreWriteFailed
{
    Registry registry = Registry::Vms;
    StoreFailure failure = StoreFailure::NoAnswer;
};

// A whole request of a caller; its bytes stay with the shell.
struct RequestArrived
{
    RequestId request;
    std::string callerRequestId; // as the caller names it; empty: it named none
    std::string method;
    std::string host;
    std::string path; // without the query
    std::string key;  // empty: none shown
    std::string affinityKey;
    Duration deadline; // from now; zero: the caller named none
    std::size_t bodyBytes = 0;
};

// The caller closed its connection before its answer.
struct CallerGone
{
    RequestId request;
};

enum class AttemptOutcome {
    Answered,      // a whole answer of the target
    ConnectFailed, // not one byte left this VM
    Cut,           // the connection ended before an answer was whole
    Malformed,     // what came is no answer to this request
    TimedOut,
};

const char *toText(AttemptOutcome outcome);

// What a target tells of its load with an answer.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

struct AttemptEnded
{
    RequestId request;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed;
    int status = 0;           // Answered
    bool saysNotRun = false;  // the target states that it did not run the request
    bool isAuthentic = false; // it carries the target's mark and no encoding of another
    bool wasReused = false;   // the connection had carried a request before
    Duration connectTime;     // there and back, if a connection was made; else zero
    std::optional<LoadReport> load;
};

struct PeerSaid
{
    VmId from;
    Incarnation incarnation;
    VmReport report;
};

// What another VM has admitted of teams whose account this VM keeps.
struct PeerSpent
{
    VmId from;
    Incarnation incarnation;
    SpendingReport spending;
};

// A VM that reads the store for others has read changes of the targets' registry.
struct PeerTold
{
    VmId from;
    TargetUpdate news;
};

struct PeerLost
{
    VmId vm;
};

// The platform asks this process to end.
struct StopAsked
{
    Duration grace; // until it is killed
};

using EventBody = std::variant<TimerFired, RegistryListed, RegistryChanged, RegistryFailed,
                               StoreWritten, StoreWriteFailed, RequestArrived, CallerGone,
                               AttemptEnded, PeerSaid, PeerSpent, PeerTold, PeerLost, StopAsked>;

struct Event
{
    Instant now;
    std::uint64_t random = 0; // fresh for each event
    EventBody body;
};

} // namespace bluebellshift::gateway
