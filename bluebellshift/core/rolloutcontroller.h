// Takes the steps of a roll-out, one conditional write each.
//
//   Shift shift(options, hooks);
//   Effects effects = shift.onViewChanged(bundle, previous, rollout, version, now);
//   effects = shift.onTimer(now, wallTime);
//   effects = shift.onPlatformReplied(reply);
//
// Every VM runs one. They agree on nothing but the object `rollout/current`.
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
    // Whether every VM that may steer has installed this revision: each one alive
    // has said so, and the lease of each other has lapsed.
    std::function<bool(Revision, Instant now)> isInForceEverywhere;
    // Whether enough VMs have installed this revision that none without it can
    // have its lease extended by others. A lease is waited for after that, since a
    // VM which is not heard may steer until then. Default: always.
    std::function<bool(Revision)> isHeldByQuorum;
    // Whether this VM may act now; while it may not, others do. Default: always.
    std::function<bool(Instant now)> mayAct;
    // Why no more traffic should move for anybody; nothing when all is well. The
    // roll-out is then paused until an operator resumes it.
    std::function<std::optional<std::string>(Instant now)> unhealthyReason;
    // Regions that are down here or ramp up (Steer::unsettledRegions).
    std::function<std::vector<RegionId>()> unsettledRegions;
    // The position of this VM in the order in which VMs try a write; 0 is first.
    std::function<int(Revision)> rank;
    std::function<CallId()> newCall;
};

class RolloutController
{
public:
    RolloutController(const CoreOptions &options, RolloutControllerHooks hooks);

    // Installs the roll-out of a view. `version` is that of the object `rollout/current`.
    // Keeps what it has when `inForce` is not the bundle that the roll-out names.
    Effects onViewChanged(BundlePointer inForce, BundlePointer previous, const Rollout &rollout,
                          Revision version, Instant now);

    // Installs what is scheduled, or nothing. `next` is the bundle that it names;
    // null while this VM does not have it.
    void onScheduleChanged(std::optional<ScheduledRollout> schedule, BundlePointer next);

    // Takes the next step if it is due, or begins the scheduled roll-out; call
    // about once a second.
    Effects onTimer(Instant now, WallTime wallTime);

    // Ignores replies to calls that are not its own.
    Effects onPlatformReplied(const PlatformReplied &reply);

private:
    // What this VM knows of one change of the object: when it was in force everywhere.
    struct Watch
    {
        std::uint64_t serial = 0;
        int step = -1;
        Revision firstSeen;                      // the object's version that brought it
        Instant heldSince = Instant::never();    // by a quorum, as observed here
        Instant inForceSince = Instant::never(); // the same, by all
    };

    void restartWatches(const Rollout &rollout, Revision version);
    void observeAll(Instant now);
    void observe(Watch &watch, Instant now) const;
    Duration withDrift(Duration wait) const;
    bool hasRunOut(const Watch &watch, Duration wait, Instant now) const;
    bool stepIsDue(const ServiceShift &shift, Instant now) const;
    bool isAllDone(Instant now) const;
    Duration settleTime() const;
    std::optional<Rollout> dueChange(Instant now, WallTime wallTime) const;
    std::optional<Rollout> dueSchedule(WallTime wallTime) const;
    std::optional<Rollout> dueRegions(Instant now) const;
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
    std::map<ServiceId, Watch> watches_;
    Watch regionsWatch_;                  // of the list of unsettled regions
    Instant dueSince_ = Instant::never(); // since when the next change could be written
    std::optional<CallId> writing_;
    std::optional<CallId> reading_;
    bool mustRead_ = false; // a write's reply was lost
    Rollout written_;       // the content of the last write
    Revision writtenOver_;  // the version it expected; not written over twice
};

} // namespace bluebellshift::core
