// The state that a VM reports to the others several times a second. It holds absolute
// values, not changes, so that the next report makes up for a lost one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// What a VM has admitted of a team, told to the VM that keeps the team's account.
// Totals only grow, so that a lost or repeated message does no harm.
struct TeamSpending
{
    std::uint32_t team = 0;             // a hash of its id, to keep messages small
    std::uint64_t arrived = 0;          // requests, since the VM's start
    std::uint64_t admitted = 0;         // of them
    std::uint32_t admittedInWindow = 0; // of them, within the users' quota window
};

struct SpendingReport
{
    std::vector<TeamSpending> teams;
};

// What the VM that keeps a team's account lets all VMs admit of it.
struct TeamAdmission
{
    std::uint32_t team = 0;     // a hash of its id
    std::uint32_t permille = 0; // of the requests that arrive
    std::uint32_t requests = 0; // that one VM may admit until it hears more
};

// How many requests of the VM are at a target now.
struct TargetUse
{
    std::uint32_t target = 0; // a hash of its id, to keep reports small
    int inFlight = 0;
};

struct VmReport
{
    std::uint64_t sequence = 0; // grows with each report of one incarnation
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t configVersion = 0; // 0: none yet
    std::vector<TargetUse> uses;
    bool readsStore = false;          // it watches the platform's store for others as well
    std::uint32_t storeAgeMillis = 0; // since the store last confirmed all it watches
    std::vector<std::uint64_t> registryRevisions; // of the last change of each watched registry
    bool isYoung = false;                  // it started less than the users' quota window ago
    std::vector<TeamAdmission> admissions; // of the teams whose account it keeps
};

} // namespace bluebellshift::core
