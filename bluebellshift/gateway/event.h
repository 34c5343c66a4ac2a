// Events that drive the gateway's reducer.
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

// Sent at or soon after the time that nextWake() returned.
struct TimerFired
{
};

// A page of a registry's list.
struct RegistryListed
{
    Registry registry = Registry::Traffic;
    Revision at; // the store's revision of the page
    bool hasMore = false;
    std::vector<RegistryEntry> entries; // sorted by name
    std::size_t bytes = 0;              // of the response's body
    StoreEra era {};                    // as the response tells; 0: it does not
    CallId call {};                     // that it responds to; 0: not known
};

// A watch returned, possibly without changes.
struct RegistryChanged
{
    Registry registry = Registry::Traffic;
    Revision at; // revision to continue the watch from
    std::vector<RegistryEntry> entries;
    std::size_t bytes = 0; // of the response's body
    StoreEra era {};       // as the response tells; 0: it does not
    CallId call {};        // that it responds to; 0: not known
};

struct RegistryFailed
{
    Registry registry = Registry::Traffic;
    StoreFailure failure = StoreFailure::NoAnswer;
    StoreEra era {}; // as the response tells; 0: it does not, or there was none
    CallId call {};  // that failed; 0: not known
    FailureSign sign = FailureSign::Ended;
};

// A WriteVm, RemoveVm or CreatePeerKey succeeded or failed.
struct StoreWritten
{
    Registry registry = Registry::Vms;
    StoreEra era {}; // as in RegistryFailed
    VmId vm {};      // whose entry it was; empty: this VM's
};
struct StoreWriteFailed
{
    Registry registry = Registry::Vms;
    StoreFailure failure = StoreFailure::NoAnswer;
    StoreEra era {}; // as in RegistryFailed
    VmId vm {};      // as in StoreWritten
};

// A complete request of a caller. The shell keeps its bytes.
struct RequestArrived
{
    RequestId request;
    std::string callerRequestId; // as sent by the caller; empty: none
    std::string method;
    std::string host;
    std::string path; // without the query
    std::string key;  // API key; empty: none
    std::string affinityKey;
    Duration deadline; // from now; zero: the caller sent none
    std::size_t bodyBytes = 0;
};

// The caller closed its connection before it received a response.
struct CallerDisconnected
{
    RequestId request;
};

enum class AttemptOutcome {
    Answered,      // the target returned a complete response
    ConnectFailed, // no byte of the request left this VM
    Cut,           // the connection closed before the response was complete
    Malformed,     // the received bytes are not a response to this request
    TooLarge,      // there was no room for the response
    TimedOut,
};

const char *toText(AttemptOutcome outcome);

// The load that a target reports with a response.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // How long work takes on the target's machine at this moment; 100: as usual. Few targets tell.
    std::optional<int> workPercent;
};

struct AttemptEnded
{
    RequestId request;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed;
    int status = 0;          // Answered
    bool saysNotRun = false; // the target stated that it did not run the request
    bool isAuthentic =
        false;              // it carries the target's stamp and no content encoding added by others
    bool wasReused = false; // the connection had been used before
    Duration connectTime;   // one round trip; zero: no new connection was made
    std::optional<LoadReport> load;
    // The requests a second that the target takes from all VMs together; nothing: it named none.
    std::optional<double> limitPerSecond;
    bool saysLeaving = false; // the target is about to stop
    // The time for which the target, which rejected the request, wants none from this VM.
    std::optional<Duration> pause;
};

struct PeerReportReceived
{
    VmId from;
    Incarnation incarnation;
    VmReport report;
};

// Requests that another VM admitted for teams whose accounts this VM owns.
struct PeerSpendingReceived
{
    VmId from;
    Incarnation incarnation;
    SpendingReport spending;
};

// Reports of other VMs that a relay passes on.
struct PeerReportsRelayed
{
    VmId from;
    RelayedReports relayed;
};

// A spending report to this VM or to one that this VM is connected to.
struct PeerSpendingRelayed
{
    VmId from;
    RelayedSpending relayed;
};

// Changes of the targets registry, from a VM that reads the store for others.
struct PeerTargetUpdateReceived
{
    VmId from;
    TargetUpdate update;
};

// Changes of the registry of VMs, from a VM that reads the store for others.
struct PeerVmUpdateReceived
{
    VmId from;
    VmUpdate update;
};

struct PeerDisconnected
{
    VmId vm;
};

// The platform requests that this process terminates.
struct StopRequested
{
    Duration grace; // time until the process is killed
};

using EventBody =
    std::variant<TimerFired, RegistryListed, RegistryChanged, RegistryFailed, StoreWritten,
                 StoreWriteFailed, RequestArrived, CallerDisconnected, AttemptEnded,
                 PeerReportReceived, PeerSpendingReceived, PeerReportsRelayed, PeerSpendingRelayed,
                 PeerTargetUpdateReceived, PeerVmUpdateReceived, PeerDisconnected, StopRequested>;

struct Event
{
    Instant now;
    std::uint64_t random = 0; // independent for each event
    EventBody body;
};

} // namespace bluebellshift::gateway
