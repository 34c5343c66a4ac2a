// Decides which region's targets a request goes to.
//
//   Steer steer(options, hooks);
//   Effects effects = steer.onViewChanged(bundle, previous, rollout, vms, serving, now);
//   for (const RegionId &region : steer.regionOrder(service, random, now, team))
//       if (tryRegion(region))
//           break;
//
// A VM may only ask while the view is fresh: a VM that lags behind the others'
// step for longer than the lease must not steer, on open routes neither.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/lookup.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/roster.h"

namespace bluebellshift::core {

// A region's targets as this VM measures them.
struct RegionHealth
{
    bool isUp = true;  // at least one target takes work
    double warmth = 1; // 0 to 1: how much of its usual speed it has
};

struct TrafficSteeringHooks
{
    std::function<RegionHealth(const RegionId &)> regionHealth; // default: up and warm
};

class TrafficSteering
{
public:
    TrafficSteering(const CoreOptions &options, TrafficSteeringHooks hooks);

    // Installs a view. `serving` are the VMs that may be named to callers.
    // Publishes a snapshot when what callers are told has changed. Keeps what it
    // has when `inForce` is not the bundle that the roll-out names.
    Effects onViewChanged(BundlePointer inForce, BundlePointer previous, const Rollout &rollout,
                          const std::vector<Vm> &vms, const std::vector<VmId> &serving,
                          Instant now);

    // Looks at the regions' health; call about once a second.
    Effects onTimer(Instant now);

    // Returns the regions for one request, the one to try first at the front.
    // Empty when the service is unknown or no region of its split is up. A region
    // that returns stands last until its ramp has begun.
    std::vector<RegionId> regionOrder(const ServiceId &service, std::uint64_t random, Instant now,
                                      const TeamId &team = TeamId());

    // Returns the regions that are down here or not fully admitted again. Shift
    // lists them in the roll-out.
    std::vector<RegionId> unsettledRegions() const;

    // Returns the weight of each region for a request; a request goes first to
    // a region with the probability of its weight over their sum.
    std::vector<RegionShare> weights(const Service &service, const TeamId &team) const;

    // Returns the fraction of a region's share that is sent to it, 0 to 1.
    double admitted(const RegionId &region) const;

private:
    struct RegionRamp
    {
        double admitted = 1;
        bool isUp = true;
    };

    double nextPosition(const ServiceId &service, const TeamId &team, std::uint64_t random);
    void noteMovement(const BundlePointer &inForce, const Rollout &rollout, Instant now);
    void growAdmitted(const RegionId &region, RegionRamp &ramp, double warmth, Instant now,
                      Effects &effects);
    double leastOfThoseUp() const;
    void scaleAdmitted();
    double nextAdmitted(const RegionId &region, double admittedNow) const;
    double admittedAfter(const std::vector<RegionShare> &weights, const RegionId &region,
                         double step) const;
    Duration movementWait() const;

    CoreOptions options_;
    TrafficSteeringHooks hooks_;
    BundlePointer bundle_;
    BundlePointer previous_;
    Rollout rollout_;
    std::vector<WeightedVm> named_; // the VMs of the newest snapshot
    SnapshotBuilder builder_;
    std::map<RegionId, RegionRamp> ramps_;
    Instant lastMoved_ = Instant::never(); // this VM's traffic, by a step or a ramp
    std::map<std::pair<ServiceId, TeamId>, double> positions_; // in the sequence of requests
};

} // namespace bluebellshift::core
