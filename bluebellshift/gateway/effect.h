// Everything that the gateway's reducer can ask of the shell, as data.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway {

// Read a registry's entries whose names come after `after`. Ends in RegistryListed
// or RegistryFailed.
struct ListRegistry
{
    Registry registry = Registry::Traffic;
    std::string after;
    bool mayBeStale = false; // cheaper; the answer may be seconds old
    Duration timeout;
};

// Wait for changes after a revision. Ends in RegistryChanged or RegistryFailed.
struct WatchRegistry
{
    Registry registry = Registry::Traffic;
    Revision after;
    Duration wait;    // how long the store may hold the call
    Duration timeout; // how long the shell waits for its answer
};

// Create or replace a VM's entry. Ends in StoreWritten or StoreWriteFailed, with
// Conflict if an entry that is to be created exists, and Missing if one that is to be
// replaced does not.
struct WriteVm
{
    VmEntry entry;
    bool mustCreate = true;
    Duration timeout;
};

// Delete a VM's entry; if `revision` is not 0, only if it is still that. Ends likewise.
struct RemoveVm
{
    VmId vm;
    Revision revision;
    Duration timeout;
};

// Create the peers' key; fails with Conflict if there is one. Ends likewise.
struct CreatePeerKey
{
    std::string secretHex;
    Duration timeout;
};

// Send the request to a target. Ends in AttemptEnded unless it is cancelled.
struct SendAttempt
{
    RequestId request;
    int attempt = 0;
    TargetId target;
    Endpoint endpoint;
    TeamId team;       // empty: the route is open
    Duration deadline; // how long the target may work on it
    Duration connectTimeout;
    Duration reuseIdleMost; // zero: on a new connection
};

struct CancelAttempt
{
    RequestId request;
};

// Pass the target's answer, the last AttemptEnded of the request, to the caller.
// Ends the request.
struct PassAnswer
{
    RequestId request;
};

// Answer the caller in our own name. Ends the request.
struct RefuseRequest
{
    RequestId request;
    int status = 503;
    Duration retryAfter; // zero: no advice
    std::string reason;
};

// The request's caller has gone: forget its bytes. Ends the request.
struct DropRequest
{
    RequestId request;
};

struct SendReport
{
    std::vector<VmId> to;
    VmReport report;
};

struct SendSpending
{
    VmId to;
    SpendingReport spending;
};

struct SendTargetNews
{
    std::vector<VmId> to;
    TargetUpdate news;
};

// Connect to these VMs and to no others, proving ourselves with the secret.
struct SetPeers
{
    std::vector<VmEntry> peers;
    std::string secretHex;
};

// Close what is kept open to a target.
struct ForgetTarget
{
    TargetId target;
};

struct WriteLog
{
    core::LogRecord record;
};

// Each answer closes its connection from now on.
struct CloseConnections
{
};

// Everything has ended.
struct Exit
{
};

using Effect =
    std::variant<ListRegistry, WatchRegistry, WriteVm, RemoveVm, CreatePeerKey, SendAttempt,
                 CancelAttempt, PassAnswer, RefuseRequest, DropRequest, SendReport, SendSpending,
                 SendTargetNews, SetPeers, ForgetTarget, WriteLog, CloseConnections, Exit>;

using Effects = std::vector<Effect>;

} // namespace bluebellshift::gateway
