// What a roll-out from one bundle to another would do, in numbers and words.
//
//   absl::StatusOr<BundleDiff> diff = diffBundles(current, inForce, next);
//   for (const std::string &line : describe(*diff))
//       fmt::print("{}\n", line);
//
// prints for example
//
//   team "multan", service "rota": 67.5 requests a second from "sindh" to "punjab"
//   service "rota": 30.0% of the traffic moves in 4 steps; the last is taken after 3.2 min at the
//   earliest
//   region "punjab": 675.0 -> 900.0 requests a second of 990.0 (9.1% headroom left)
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/rollout.h"

namespace bluebellshift::core {

// Traffic of a team that moves between regions, at the full rate of the team.
struct TrafficMove
{
    ServiceId service;
    TeamId team;
    RegionId from;
    RegionId to;
    double requestsPerSecond = 0;
};

struct ServiceMove
{
    ServiceId service;
    double fraction = 0; // of the service's, or of one team's, traffic: the largest
    int steps = 0;
    Duration untilLastStep; // lower bound
};

struct RegionLoad
{
    RegionId region;
    double before = 0; // requests a second, with every team at its full rate
    double after = 0;
    double limit = 0; // sustainable requests a second
};

// A changed setting. It takes effect at once.
struct SettingChange
{
    std::string what;   // for example: team "multan" rate_per_second
    std::string before; // empty if it is new
    std::string after;  // empty if it is removed
};

struct BundleDiff
{
    std::vector<TrafficMove> moves;
    std::vector<ServiceMove> services; // those whose traffic moves
    std::vector<RegionLoad> regions;   // of the new bundle
    std::vector<SettingChange> settings;
    int steps = 0;          // of the service with the most
    Duration untilLastStep; // of the service that takes longest
};

// Compares the current traffic with the splits of `next`. Returns the error of
// beginRollout if `next` can't be rolled out.
absl::StatusOr<BundleDiff> diffBundles(const Rollout &current, const Bundle &inForce,
                                       const Bundle &next);

std::vector<std::string> describe(const BundleDiff &diff);

} // namespace bluebellshift::core
