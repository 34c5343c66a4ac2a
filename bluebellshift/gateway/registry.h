// What the platform's store holds for the gateway, in the gateway's own types. An
// adapter translates the store's objects to and from these and decides nothing.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/targetupdate.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

using core::Endpoint;
using core::Incarnation;
using core::Revision;
using core::SpendingReport;
using core::TargetUpdate;
using core::TargetUse;
using Target = core::TargetEntry;
using core::TeamAdmission;
using core::TeamSpending;
using core::VmReport;

// The lists that the store keeps, each with its own watch.
enum class Registry {
    Traffic,     // the operator's configuration: one entry
    Targets,     // one entry a target
    Evacuations, // one entry for each failure domain that is being emptied
    Vms,         // one entry for each VM of ours
    PeerKeys,    // the secret that our VMs prove themselves with: one entry
};
inline constexpr std::size_t registryCount = 5;

const char *toText(Registry registry);

// A VM of ours.
struct VmEntry
{
    VmId id;
    Incarnation incarnation;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint callers; // where callers connect
    Endpoint peers;   // where other VMs connect
};

struct PeerKeyEntry
{
    std::string secretHex;
};

// An entry that exists but can't be used. It takes the place of what was there.
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
    Revision revision; // of the entry's last change
    bool isGone = false;
    RegistryValue value; // not to be read when isGone
};

// How a call to the store failed.
enum class StoreFailure {
    HistoryGone, // the watch's revision is too old: list anew
    Conflict,    // the entry was not as the write expected
    Missing,     // there is no such entry
    Refused,     // the store turned the call away and did nothing
    NoAnswer,    // a write may have been done, or be done later
};

const char *toText(StoreFailure failure);

} // namespace bluebellshift::gateway
