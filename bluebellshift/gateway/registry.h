// The platform store's contents in the gateway's own types. An adapter translates between
// the store's objects and these types and makes no decisions.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/targetupdate.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/core/vmupdate.h"
#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

using core::CallId;
using core::Endpoint;
using core::Incarnation;
using core::LeavingTarget;
using core::RelayedReport;
using core::RelayedReports;
using core::RelayedSpending;
using Revision = core::RevisionNumber;
using core::SpendingReport;
using core::StoreEra;
using core::StoreRevision;
using core::TargetLimitReport;
using core::TargetUpdate;
using core::TargetUse;
using Target = core::TargetEntry;
using core::TeamAdmission;
using core::TeamSpending;
using core::VmEntry;
using core::VmReport;
using core::VmUpdate;

// The store's lists of entries. Each has its own watch.
enum class Registry {
    Traffic,     // the operator's configuration: one entry
    Targets,     // one entry for each target
    Evacuations, // one entry for each evacuated failure domain
    Vms,         // one entry for each gateway VM
    PeerKeys,    // the secret that gateway VMs authenticate each other with: one entry
};
inline constexpr std::size_t registryCount = 5;

const char *toText(Registry registry);

struct PeerKeyEntry
{
    std::string secretHex;
};

// An entry that exists but can't be parsed. It replaces the previous value.
struct UnreadableEntry
{
    std::string problem;
};

struct EvacuationEntry
{
};

using RegistryValue = std::variant<UnreadableEntry, TrafficConfigPointer, Target, EvacuationEntry,
                                   VmEntry, PeerKeyEntry>;

struct RegistryEntry
{
    std::string name;
    Revision revision; // of the entry's last change, in the era of its response
    bool isGone = false;
    RegistryValue value; // invalid if isGone
    // False if the name can't be read; `name` then holds its legible part, for log messages.
    bool isNamed = true;
};

// Why a call to the store failed.
enum class StoreFailure {
    HistoryGone, // the watch's revision is too old: list again
    Conflict,    // the write's precondition on the entry failed
    Missing,     // the entry does not exist
    Refused,     // the store rejected the call and changed nothing
    NoAnswer,    // no response: a write may have been applied or may be applied later
};

const char *toText(StoreFailure failure);

// What a failed call tells of the store.
enum class FailureSign {
    Ended,       // the connection ended, the store refused the call, or the response is unusable
    Throttled,   // it answered that the calls are too many
    Unreachable, // no connection was accepted, or no response arrived in time
};

const char *toText(FailureSign sign);

} // namespace bluebellshift::gateway
