// Selects the region whose targets serve a request.
//
//   TrafficSteering steering(options, hooks);
//   Effects effects = steering.onViewChanged(bundle, previous, rollout, vms, serving, now);
//   for (const RegionId &region : steering.regionOrder(service, random, now, team))
//       if (tryRegion(region))
//           break;
//
// Use it only while the view is fresh: a VM that lags behind the step of the
// others for longer than the lease must not steer, even on open routes.
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

// The health of a region's targets as measured by this VM.
struct RegionHealth
{
    bool isUp = true;  // at least one target is usable
    double warmth = 1; // 0 to 1: fraction of its usual speed
};

struct TrafficSteeringHooks
{
    std::function<RegionHealth(const RegionId &)> regionHealth; // default: up and warm
};

class TrafficSteering
{
public:
    TrafficSteering(const CoreOptions &options, TrafficSteeringHooks hooks);

    // Installs a view. `serving` are the VMs that look-ups may return. Publishes
    // a snapshot if the look-up answers change. Does nothing if `inForce` is not
    // the bundle that the roll-out names.
    Effects onViewChanged(BundlePointer inForce, BundlePointer previous, const Rollout &rollout,
                          const std::vector<Vm> &vms, const std::vector<VmId> &serving,
                          Instant now);

    // Checks the health of the regions. Call about once a second.
    Effects onTimer(Instant now);

    // Returns the regions for one request in the order of preference. Empty if
    // the service is unknown or no region of its split is up. A recovered region
    // comes last until its ramp has begun.
    std::vector<RegionId> regionOrder(const ServiceId &service, std::uint64_t random, Instant now,
                                      const TeamId &team = TeamId());

    // Returns the regions that are down or not yet fully admitted at this VM.
    // RolloutController lists them in the roll-out.
    std::vector<RegionId> unsettledRegions() const;

    // Returns the weight of each region for a request. The probability that a
    // request tries a region first is its weight divided by the sum of the
    // weights.
    std::vector<RegionShare> weights(const Service &service, const TeamId &team) const;

    // Returns the fraction of its share, 0 to 1, that a region currently
    // receives.
    double admitted(const RegionId &region) const;

private:
    struct RegionRamp
    {
        double admitted = 1;
        bool isUp = true;
    };

    double nextPosition(const ServiceId &service, const TeamId &team, std::uint64_t random);
    void recordMovement(const BundlePointer &inForce, const Rollout &rollout, Instant now);
    void raiseAdmitted(const RegionId &region, RegionRamp &ramp, double warmth, Instant now,
                       Effects &effects);
    double initialAdmitted() const;
    void normalizeAdmitted();
    double nextAdmitted(const RegionId &region, double admittedNow) const;
    double admittedAfter(const std::vector<RegionShare> &weights, const RegionId &region,
                         double step) const;
    Duration movementWait() const;

    CoreOptions options_;
    TrafficSteeringHooks hooks_;
    BundlePointer bundle_;
    BundlePointer previous_;
    Rollout rollout_;
    std::vector<WeightedVm> publishedVms_; // in the newest snapshot
    SnapshotBuilder builder_;
    std::map<RegionId, RegionRamp> ramps_;
    Instant lastMovementAt_ = Instant::never(); // of traffic at this VM, by a step or a ramp
    std::map<std::pair<ServiceId, TeamId>, double> positions_; // in the sequence of requests
};

} // namespace bluebellshift::core
