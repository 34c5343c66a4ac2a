// What RegionWalk (regionwalk.h) simulates: regions, targets, routes and load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway::testing {

using core::Duration;

inline constexpr double warmTimeFactor = 0.3; // of the service time, with a warm object

struct WalkRoute
{
    double share = 1; // of the slot time that is offered
    Duration serviceTime = Duration::millis(1000);
    Duration objective = Duration::millis(800);
    Duration timeout = Duration::seconds(5);
    int priority = 2;
    int objects = 0; // that its requests name; 0: none
};

struct RegionShape
{
    std::size_t vmCount = 24;
    std::vector<int> targets; // in each region
    std::vector<WalkRoute> routes { WalkRoute() };
    double load = 1; // offered slot time, as a share of all slots, evenly from all regions
    std::uint64_t seed = 1;
    std::size_t warmObjects = 12; // that a target keeps
    int slots = 6;                // of a target
    int maxQueue = 18;            // of a target, which rejects what is beyond it
    // Targets stop working on requests whose connection was closed.
    bool dropsCancelled = false;
    // Share of the requests that take longer, and how much.
    double longShare = 0;
    double longFactor = 7;
    // Share of the targets whose machines are busy, which changes each busyTime, and how much
    // longer their work takes. With a share above 0 all targets report it.
    double busyShare = 0;
    double busyFactor = 2.5;
    Duration busyTime = Duration::millis(600);
};

} // namespace bluebellshift::gateway::testing
