// Advances a roll-out step by step, with one conditional write for each step.
//
//   RolloutController controller(options, hooks);
//   Effects effects = controller.onViewChanged(bundle, previous, rollout, version, now);
//   effects = controller.onTimer(now, wallTime);
//   effects = controller.onPlatformReplied(reply);
//
// Every VM runs a controller. The controllers coordinate only through the object
// `rollout/current`.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/schedule.h"

namespace bluebellshift::core {

struct RolloutControllerHooks
{
    // Returns whether every VM that may steer has installed this revision: each
    // live VM has acknowledged it, and the lease of each other VM has expired.
    std::function<bool(Revision, Instant now)> isInForceEverywhere;
    // Returns whether a quorum has installed this revision, so that no VM without
    // it can have its lease extended. One lease is awaited after that, since an
    // unreachable VM may steer until then. Default: true.
    std::function<bool(Revision)> isHeldByQuorum;
    // Returns whether this VM may write now; if not, others do. Default: true.
    std::function<bool(Instant now)> mayAct;
    // Returns why no more traffic should be moved, or nullopt if the fleet is
    // healthy. The roll-out is then paused until an operator resumes it.
    std::function<std::optional<std::string>(Instant now)> unhealthyReason;
    // Returns the regions that are down or ramping up at this VM
    // (TrafficSteering::unsettledRegions).
    std::function<std::vector<RegionId>()> unsettledRegions;
    // Returns the position of this VM in the order in which VMs try a write; 0 is
    // first.
    std::function<int(Revision)> rank;
    std::function<CallId()> newCall;
};

class RolloutController
{
public:
    RolloutController(const CoreOptions &options, RolloutControllerHooks hooks);

    // Installs the roll-out of a view. `version` is the version of the object
    // `rollout/current`. Does nothing if `inForce` is not the bundle that the
    // roll-out names.
    Effects onViewChanged(BundlePointer inForce, BundlePointer previous, const Rollout &rollout,
                          Revision version, Instant now);

    // Installs the scheduled roll-out, or nothing. `next` is its bundle; null
    // while this VM does not have it.
    void onScheduleChanged(std::optional<ScheduledRollout> schedule, BundlePointer next);

    // Takes the next step if it is due, or begins the scheduled roll-out. Call
    // about once a second.
    Effects onTimer(Instant now, WallTime wallTime);

    // Ignores replies to calls that are not its own.
    Effects onPlatformReplied(const PlatformReplied &reply);

private:
    // Tracks since when one change of the object is in force everywhere, as
    // observed by this VM.
    struct Propagation
    {
        std::uint64_t serial = 0;
        int step = -1;
        Revision introducedBy;                   // the object version that contains the change
        Instant quorumSince = Instant::never();  // installed by a quorum
        Instant inForceSince = Instant::never(); // installed by all VMs
    };

    void resetPropagations(const Rollout &rollout, Revision version);
    void updatePropagations(Instant now);
    void updatePropagation(Propagation &propagation, Instant now) const;
    Duration withDrift(Duration wait) const;
    bool hasBeenInForceFor(const Propagation &propagation, Duration wait, Instant now) const;
    bool stepIsDue(const ServiceShift &shift, Instant now) const;
    bool isAllDone(Instant now) const;
    Duration settleTime() const;
    std::optional<Rollout> dueChange(Instant now, WallTime wallTime) const;
    std::optional<Rollout> dueSchedule(WallTime wallTime) const;
    std::optional<Rollout> dueUnsettledRegions(Instant now) const;
    std::optional<Rollout> dueStep(Instant now) const;
    Effects write(Rollout next, Instant now, WallTime wallTime);
    Effects onWritten(const PlatformReplied &reply);
    Effects onRead(const PlatformReplied &reply);
    Effects logChange(const Rollout &next) const;

    CoreOptions options_;
    RolloutControllerHooks hooks_;
    BundlePointer bundle_;
    BundlePointer previous_;
    Rollout rollout_;
    std::optional<ScheduledRollout> schedule_;
    BundlePointer scheduledBundle_;
    Revision version_;
    std::map<ServiceId, Propagation> propagations_;
    Propagation regionsPropagation_;      // of the list of unsettled regions
    Instant dueSince_ = Instant::never(); // when the next change became due
    std::optional<CallId> writing_;
    std::optional<CallId> reading_;
    bool needsRead_ = false;   // a write's reply was lost
    Rollout written_;          // the content of the last write
    Revision replacedVersion_; // the version that the last write expected; not replaced twice
};

} // namespace bluebellshift::core
