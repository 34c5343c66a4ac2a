// What a VM tells the others about itself, several times a second. It holds whole
// values, not changes: a lost report is made good by the next.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// How many requests of a team arrived at the VM, smoothed.
struct TeamDemand
{
    std::uint32_t team = 0; // a hash of its id, to keep reports small
    std::uint32_t milliRequestsPerSecond = 0;
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
    std::vector<TeamDemand> demands;
    std::vector<TargetUse> uses;
    bool hasDemands = true;           // false: `demands` is left out, the last ones still hold
    bool readsStore = false;          // it watches the platform's store for others as well
    std::uint32_t storeAgeMillis = 0; // since the store last confirmed all it watches
    std::vector<std::uint64_t> newsRevisions; // of the last change of each watched registry
};

} // namespace bluebellshift::core
