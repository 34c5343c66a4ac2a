// Effects that the gateway's reducer requests from the shell.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/targets/targetobservation.h"

namespace bluebellshift::gateway {

// Lists a registry's entries whose names sort after `after`. Ends with RegistryListed or
// RegistryFailed.
struct ListRegistry
{
    Registry registry = Registry::Traffic;
    std::string after;
    bool mayBeStale = false; // allows a cheaper read that may be seconds old
    Duration timeout;
    CallId call {}; // returned with the result
};

// Waits for changes after a revision. Ends with RegistryChanged or RegistryFailed.
struct WatchRegistry
{
    Registry registry = Registry::Traffic;
    Revision after;
    Duration wait;    // how long the store may hold the request without changes
    Duration timeout; // how long the shell waits for the response
    CallId call {};   // returned with the result
};

// Creates or replaces a VM's entry. Ends with StoreWritten or StoreWriteFailed: Conflict if
// the entry to create exists, Missing if the entry to replace does not.
struct WriteVm
{
    VmEntry entry;
    bool mustCreate = true;
    Duration timeout;
};

// Deletes a VM's entry; if `revision` is not 0, only if the entry still has it. Ends with
// StoreWritten or StoreWriteFailed.
struct RemoveVm
{
    VmId vm;
    Revision revision;
    Duration timeout;
};

// Creates the key that VMs authenticate each other with. Ends with StoreWritten or
// StoreWriteFailed: Conflict if a key exists.
struct CreatePeerKey
{
    std::string secretHex;
    Duration timeout;
};

// Sends the request to a target. Ends with AttemptEnded unless it is cancelled.
struct SendAttempt
{
    RequestId request;
    int attempt = 0;
    TargetId target;
    Endpoint endpoint;
    TeamId team;       // empty: the route needs no key
    Duration deadline; // time that the target has to respond
    Duration connectTimeout;
    Duration reuseIdleMost; // maximum idle time of a reused connection; zero: use a new one
};

struct CancelAttempt
{
    RequestId request;
};

// Forwards the target's response, which the last AttemptEnded of the request reported, to
// the caller. Ends the request.
struct ForwardResponse
{
    RequestId request;
};

// Sends a response that the gateway generates. Ends the request.
struct RefuseRequest
{
    RequestId request;
    int status = 503;
    Duration retryAfter; // zero: no Retry-After
    std::string reason;
};

// Discards a request whose caller has disconnected. Ends the request.
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

struct SendRelayedReports
{
    std::vector<VmId> to;
    RelayedReports relayed;
};

// `via` passes it on unless it is the addressee.
struct SendRelayedSpending
{
    VmId via;
    RelayedSpending relayed;
};

struct SendTargetUpdate
{
    std::vector<VmId> to;
    TargetUpdate update;
};

struct SendVmUpdate
{
    std::vector<VmId> to;
    VmUpdate update;
};

// Replaces the set of VMs to stay connected to. The secret authenticates this VM to them.
struct SetPeers
{
    std::vector<VmEntry> peers;
    std::string secretHex;
};

// Closes the idle connections to a target.
struct ForgetTarget
{
    TargetId target;
};

// Adds to the metrics what was expected of a target and what its response showed.
struct ObserveTarget
{
    targets::TargetObservation observation;
};

struct WriteLog
{
    core::LogRecord record;
};

// Makes every following response close its connection.
struct CloseConnections
{
};

// All requests have ended: the process may exit.
struct Exit
{
};

using Effect = std::variant<ListRegistry, WatchRegistry, WriteVm, RemoveVm, CreatePeerKey,
                            SendAttempt, CancelAttempt, ForwardResponse, RefuseRequest, DropRequest,
                            SendReport, SendSpending, SendRelayedReports, SendRelayedSpending,
                            SendTargetUpdate, SendVmUpdate, SetPeers, ForgetTarget, ObserveTarget,
                            WriteLog, CloseConnections, Exit>;

using Effects = std::vector<Effect>;

} // namespace bluebellshift::gateway
