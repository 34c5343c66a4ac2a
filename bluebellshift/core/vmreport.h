// The state that a VM reports to the others several times a second. It contains absolute
// values, not changes, so that the next report replaces a lost one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// The requests of a team that a VM has admitted, reported to the VM that keeps the team's
// account. The totals never decrease, so that a lost or repeated message does no harm.
struct TeamSpending
{
    std::uint32_t team = 0;             // a hash of its id, to keep messages small
    std::uint64_t arrived = 0;          // requests since the VM's start
    std::uint64_t admitted = 0;         // requests since the VM's start
    std::uint32_t admittedInWindow = 0; // requests within the users' quota window
};

struct SpendingReport
{
    std::vector<TeamSpending> teams;
};

// The admission limits of a team, set for all VMs by the VM that keeps its account.
struct TeamAdmission
{
    std::uint32_t team = 0;     // a hash of its id
    std::uint32_t permille = 0; // of the requests that arrive
    std::uint32_t requests = 0; // that one VM may admit until the next report
};

// The number of the VM's requests in flight to a target.
struct TargetUse
{
    std::uint32_t target = 0; // a hash of its id, to keep reports small
    int inFlight = 0;
};

// What a target's response to the VM named as its limit: the requests a second that it takes
// from all VMs together.
struct TargetLimitReport
{
    std::uint32_t target = 0;          // a hash of its id
    bool isLimited = false;            // false: it names no limit any more
    std::uint32_t millisPerSecond = 0; // thousandths of a request a second
    std::uint32_t ageMillis = 0;       // since that response
};

// A target whose response to the VM said that it is about to stop.
struct LeavingTarget
{
    std::uint32_t target = 0;         // a hash of its id
    std::int64_t startUnixMillis = 0; // of the start that ends
    std::uint32_t ageMillis = 0;      // since that response
};

struct VmReport
{
    std::uint64_t sequence = 0; // increases with each report of one incarnation
    bool isUrgent = false;      // relays pass it on without waiting for others
    bool wantsReports = false;  // the relay that receives it is to send those of all VMs
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t configVersion = 0; // 0: none yet
    std::vector<TargetUse> uses;
    bool readsStore = false;          // it watches the platform's store on behalf of other VMs too
    std::uint32_t storeAgeMillis = 0; // time since the store last confirmed all watched data
    // Last change of each followed registry; 0: not known in storeEra.
    std::vector<std::uint64_t> registryRevisions;
    StoreEra storeEra;                     // the latest that the VM knows; 0: the store tells none
    bool isYoung = false;                  // its uptime is shorter than the users' quota window
    std::vector<TeamAdmission> admissions; // for the teams whose accounts it keeps
    // If it reads the store: the evacuated failure domains at the last change of that registry.
    std::vector<FailureDomainId> evacuated;
    std::vector<TargetLimitReport> targetLimits; // that its own responses named of late
    std::vector<LeavingTarget> leavingTargets;   // the same
    // Requests that may run in any region, sent within the latest window of ShareLimit to each
    // region, in the order of their names.
    std::vector<std::uint32_t> regionRequests;
    std::uint32_t failedRequests = 0;  // that ended without a response within that window
    bool hasNoticedFault = false;      // of a target, a VM or the store, of late
    std::uint32_t faultAgeMillis = 0;  // since its latest sign
    std::uint32_t arrivedRequests = 0; // that it admitted within the latest window of ShareLimit
};

// A report that another VM passes on.
struct RelayedReport
{
    VmId vm; // that made it
    Incarnation incarnation;
    std::uint32_t ageMillis = 0; // when it was passed on
    VmReport report;
};

struct RelayedReports
{
    std::vector<RelayedReport> reports;
};

// A spending report on its way to a VM that its sender is not connected to.
struct RelayedSpending
{
    VmId to;
    VmId from;
    Incarnation incarnation; // of the sender
    SpendingReport spending;
};

} // namespace bluebellshift::core
