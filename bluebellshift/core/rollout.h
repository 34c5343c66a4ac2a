// The object `rollout/current`: the bundle in force, how far the traffic has moved
// towards its splits, and whether it is moving.
//
//   absl::StatusOr<Rollout> rollout = decodeRollout(object.value);
//   absl::StatusOr<Rollout> next = beginRollout(*rollout, *inForce, *accepted, by, now);
//   write("rollout", "current", object.version, encodeRollout(*next));
//
// A new bundle's limits and routes are in force as soon as the object names it;
// only its splits are reached in steps. To withdraw a roll-out, begin one of the earlier
// bundle; it starts from the current traffic split.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/bundle.h"

namespace bluebellshift::core {

inline constexpr char rolloutName[] = "current";

// The part of the shift cap that one step uses. The rest covers the rounding of a
// fraction to whole requests.
inline constexpr double stepFractionOfCap = 0.95;

enum class RolloutState { Moving, Paused, Done };

// How far one service has moved from `start` to the split of the bundle.
struct ServiceShift
{
    ServiceId service;
    int step = 0;
    int steps = 0; // 0: nothing to move
    std::vector<RegionShare> start;
    std::vector<TeamSplit> teamStarts; // of each team with a split of its own, before or after

    bool isDone() const { return step >= steps; }
};

struct Rollout
{
    std::string bundle;       // the version in force
    std::string previous;     // the version before; empty for the first
    std::uint64_t serial = 0; // grows with each roll-out
    RolloutState state = RolloutState::Done;
    std::string reason;    // why it is paused
    bool isSettled = true; // no traffic had moved for a whole window when it began
    std::string changedBy; // an operator, or "vm/" and the VM of the last step
    WallTime beganAt;      // UTC
    WallTime changedAt;    // UTC
    std::vector<ServiceShift> services;
    // Regions that some VM considers failed or is ramping up. No step is taken while
    // there are any.
    std::vector<RegionId> unsettledRegions;

    const ServiceShift *findService(const ServiceId &id) const;
};

std::string encodeRollout(const Rollout &rollout);
// Returns InvalidArgument that names the field which is missing, unknown or wrong.
absl::StatusOr<Rollout> decodeRollout(std::string_view json);

// Returns the first roll-out of a fleet without one; no traffic has to move.
Rollout firstRollout(const Bundle &bundle, const std::string &by, WallTime now);
// Returns the roll-out that moves traffic from the current splits to `next`, or
// FailedPrecondition when `next` lacks a region that still carries traffic.
absl::StatusOr<Rollout> beginRollout(const Rollout &current, const Bundle &inForce,
                                     const Bundle &next, const std::string &by, WallTime now);
Rollout pauseRollout(const Rollout &current, const std::string &reason, const std::string &by,
                     WallTime now);
// Returns FailedPrecondition when the roll-out is not paused.
absl::StatusOr<Rollout> resumeRollout(const Rollout &current, const std::string &by, WallTime now);

// Returns the split in force for a team's part of a service. `service` is of
// the bundle in force; `shift` may be null, which means that its splits have been reached.
std::vector<RegionShare> splitInForce(const Service &service, const ServiceShift *shift,
                                      const TeamId &team);

// Returns the part of the traffic that differs between two splits, 0 to 1.
double splitDistance(const std::vector<RegionShare> &from, const std::vector<RegionShare> &to);

// Returns the time to wait between two movements of a service's traffic: its shift
// window, plus the time for which callers cache look-up answers. `previous`
// may be null.
Duration movementWait(const Service &service, const Bundle *previous, double clockDrift);
Duration longestMovementWait(const Bundle &bundle, const Bundle *previous, double clockDrift);

// Returns the number of steps for a distance under a cap.
int stepsFor(double distance, double capFraction);

} // namespace bluebellshift::core
