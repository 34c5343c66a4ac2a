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
    TeamId team;
    std::int64_t milliRequestsPerSecond = 0;
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
};

} // namespace bluebellshift::core
