// A step is due when this VM has itself observed that the previous one is in
// force everywhere, and has then waited for the look-up answers that callers have
// cached and for one window. VMs compare only the object's version: each measures
// the wait on its own clock, from an instant that is certainly late enough.
// Therefore
//  - two steps never take effect within one window, whatever the state of any VM;
//  - a VM that restarts waits again and takes no step early;
//  - a step is a write conditional on one version, so it is neither repeated nor
//    skipped, whoever else writes and whichever reply is lost.
//
// Let t(k) be the write of step k and d(k) the instant by which every VM steers
// by it and every answer cached before has expired: t(k+1) >= d(k) + window.
// Between t(k) and d(k) the fleet is in a mix of steps k-1 and k; between d(k)
// and t(k+1) it is exactly at k. A window therefore contains the traffic movement
// of at most one step, and a step is at most stepFractionOfCap of the cap. Smaller steps
// at shorter intervals give the same rate and finish no earlier.
//
// VMs try a write in an order that each computes identically, half a second
// apart, so that a step costs one write instead of one for each VM.
#include "bluebellshift/core/rolloutcontroller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr Duration rankDelay = Duration::millis(500); // between the write attempts of two VMs

std::string progress(const Rollout &rollout)
{
    std::string text;
    for (const ServiceShift &shift : rollout.services)
        text += fmt::format("{}{} {}/{}", text.empty() ? "" : ", ", shift.service.text(),
                            shift.step, shift.steps);
    return text;
}

std::string joinNames(const std::vector<RegionId> &regions)
{
    std::string text;
    for (const RegionId &region : regions)
        text += (text.empty() ? "" : ", ") + region.text();
    return text;
}

// Returns the largest fraction that a region has in the split of a service or of
// one of its teams.
double largestFraction(const Service &service, const RegionId &region)
{
    double largest = fractionOf(service.split, region);
    for (const TeamSplit &teamSplit : service.teamSplits)
        largest = std::max(largest, fractionOf(teamSplit.split, region));
    return largest;
}

bool areStepsDone(const Rollout &rollout)
{
    return std::all_of(rollout.services.begin(), rollout.services.end(),
                       [](const ServiceShift &shift) { return shift.isDone(); });
}

} // namespace

RolloutController::RolloutController(const CoreOptions &options, RolloutControllerHooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
{
    if (!hooks_.mayAct)
        hooks_.mayAct = [](Instant) { return true; };
    if (!hooks_.isHeldByQuorum)
        hooks_.isHeldByQuorum = [](Revision) { return true; };
}

Effects RolloutController::onViewChanged(BundlePointer inForce, BundlePointer previous,
                                         const Rollout &rollout, Revision version, Instant now)
{
    if (inForce->version != rollout.bundle)
        return {};
    bundle_ = std::move(inForce);
    previous_ = std::move(previous);
    if (version != version_)
        dueSince_ = Instant::never();
    resetPropagations(rollout, version);
    rollout_ = rollout;
    version_ = version;
    updatePropagations(now);
    return {};
}

void RolloutController::onScheduleChanged(std::optional<ScheduledRollout> schedule,
                                          BundlePointer next)
{
    schedule_ = std::move(schedule);
    scheduledBundle_ = std::move(next);
}

// Keeps the state of unchanged entries: a step of another service does not
// restart the wait of this one.
void RolloutController::resetPropagations(const Rollout &rollout, Revision version)
{
    for (const ServiceShift &shift : rollout.services) {
        Propagation &propagation = propagations_[shift.service];
        if (propagation.serial == rollout.serial && propagation.step == shift.step)
            continue;
        propagation =
            Propagation { rollout.serial, shift.step, version, Instant::never(), Instant::never() };
    }
    if (regionsPropagation_.step < 0 || rollout.unsettledRegions != rollout_.unsettledRegions)
        regionsPropagation_ =
            Propagation { rollout.serial, 0, version, Instant::never(), Instant::never() };
}

void RolloutController::updatePropagations(Instant now)
{
    for (auto &item : propagations_)
        updatePropagation(item.second, now);
    updatePropagation(regionsPropagation_, now);
}

// The lease of a partitioned VM may look expired while others still extend it. An
// unreachable VM therefore counts as expired only one lease after a quorum has
// installed the revision.
void RolloutController::updatePropagation(Propagation &propagation, Instant now) const
{
    if (propagation.inForceSince != Instant::never())
        return;
    if (propagation.quorumSince == Instant::never()
        && hooks_.isHeldByQuorum(propagation.introducedBy))
        propagation.quorumSince = now;
    const bool hasLapsed = propagation.quorumSince != Instant::never()
        && now - propagation.quorumSince >= withDrift(options_.freshnessLease);
    if (hasLapsed && hooks_.isInForceEverywhere(propagation.introducedBy, now))
        propagation.inForceSince = now;
}

Duration RolloutController::withDrift(Duration wait) const
{
    const double micros = static_cast<double>(wait.toMicros());
    return Duration::micros(
        static_cast<std::int64_t>(std::ceil(micros * (1 + 2 * options_.clockDrift))));
}

bool RolloutController::hasBeenInForceFor(const Propagation &propagation, Duration wait,
                                          Instant now) const
{
    return propagation.inForceSince != Instant::never() && now - propagation.inForceSince >= wait;
}

bool RolloutController::stepIsDue(const ServiceShift &shift, Instant now) const
{
    const Service *service = bundle_->findService(shift.service);
    const auto propagation = propagations_.find(shift.service);
    if (shift.isDone() || service == nullptr || propagation == propagations_.end())
        return false;
    if (shift.step == 0 && rollout_.isSettled)
        return true;
    const Duration wait = movementWait(*service, previous_.get(), options_.clockDrift);
    return hasBeenInForceFor(propagation->second, wait, now)
        && hasBeenInForceFor(regionsPropagation_, wait, now);
}

bool RolloutController::isAllDone(Instant now) const
{
    if (!areStepsDone(rollout_) || !rollout_.unsettledRegions.empty())
        return false;
    const Duration wait = longestMovementWait(*bundle_, previous_.get(), options_.clockDrift);
    for (const ServiceShift &shift : rollout_.services) {
        if (!hasBeenInForceFor(propagations_.at(shift.service), wait, now))
            return false;
    }
    return hasBeenInForceFor(regionsPropagation_, wait, now);
}

// Returns the time that every VM needs to ramp up from zero. A VM that has not
// finished by then, or has lost the region again, lists the region anew.
Duration RolloutController::settleTime() const
{
    const Duration wait = longestMovementWait(*bundle_, previous_.get(), options_.clockDrift);
    int steps = 1;
    for (const RegionId &region : rollout_.unsettledRegions) {
        int maxSteps = 0;
        for (const Service &service : bundle_->services) {
            const double fraction = largestFraction(service, region);
            maxSteps = std::max(maxSteps, stepsFor(fraction, service.shiftCapFraction));
        }
        steps += maxSteps;
    }
    return wait * steps;
}

std::optional<Rollout> RolloutController::dueChange(Instant now, WallTime wallTime) const
{
    if (std::optional<Rollout> next = dueSchedule(wallTime))
        return next;
    if (std::optional<Rollout> next = dueUnsettledRegions(now))
        return next;
    if (rollout_.state != RolloutState::Moving)
        return std::nullopt;
    if (!areStepsDone(rollout_)) {
        if (const std::optional<std::string> why = hooks_.unhealthyReason(now))
            return pauseRollout(rollout_, *why, {}, {});
    }
    return dueStep(now);
}

// A VM whose wall clock is ahead begins early; the schedule relies on the clocks.
// A paused roll-out also blocks the schedule until an operator acts.
std::optional<Rollout> RolloutController::dueSchedule(WallTime wallTime) const
{
    const bool isDue = schedule_ && rollout_.state != RolloutState::Paused
        && schedule_->afterSerial == rollout_.serial && schedule_->at <= wallTime
        && scheduledBundle_ != nullptr && scheduledBundle_->version == schedule_->bundle;
    if (!isDue)
        return std::nullopt;
    const std::string by = "schedule/" + schedule_->scheduledBy;
    absl::StatusOr<Rollout> next =
        beginRollout(rollout_, *bundle_, *scheduledBundle_, by, wallTime);
    return next.ok() ? std::optional<Rollout>(*std::move(next)) : std::nullopt;
}

// Adds the regions that are down or ramping up at this VM. This moves no traffic
// by itself, so it is always due; afterwards the roll-out is not settled.
std::optional<Rollout> RolloutController::dueUnsettledRegions(Instant now) const
{
    Rollout next = rollout_;
    for (const RegionId &region : hooks_.unsettledRegions()) {
        const auto &listed = next.unsettledRegions;
        if (std::find(listed.begin(), listed.end(), region) == listed.end())
            next.unsettledRegions.push_back(region);
    }
    const bool isAdded = next.unsettledRegions.size() > rollout_.unsettledRegions.size();
    if (!isAdded
        && (next.unsettledRegions.empty()
            || !hasBeenInForceFor(regionsPropagation_, settleTime(), now)))
        return std::nullopt;
    if (!isAdded)
        next.unsettledRegions.clear();
    next.isSettled = false;
    if (next.state == RolloutState::Done)
        next.state = RolloutState::Moving;
    return next;
}

std::optional<Rollout> RolloutController::dueStep(Instant now) const
{
    if (!rollout_.unsettledRegions.empty())
        return std::nullopt;
    Rollout next = rollout_;
    bool isDue = false;
    for (ServiceShift &shift : next.services) {
        if (!stepIsDue(shift, now))
            continue;
        ++shift.step;
        isDue = true;
    }
    if (isAllDone(now)) {
        next.state = RolloutState::Done;
        isDue = true;
    }
    if (!isDue)
        return std::nullopt;
    return next;
}

Effects RolloutController::onTimer(Instant now, WallTime wallTime)
{
    if (bundle_ == nullptr || version_ == Revision())
        return {};
    updatePropagations(now);
    if (writing_ || reading_ || !hooks_.mayAct(now))
        return {};
    if (needsRead_) {
        reading_ = hooks_.newCall();
        return { ReadObject { *reading_, kind::rollout, rolloutName } };
    }
    if (replacedVersion_ == version_)
        return {};
    std::optional<Rollout> next = dueChange(now, wallTime);
    if (!next) {
        dueSince_ = Instant::never();
        return {};
    }
    if (dueSince_ == Instant::never())
        dueSince_ = now;
    if (now - dueSince_ < rankDelay * hooks_.rank(version_))
        return {};
    return write(*std::move(next), now, wallTime);
}

Effects RolloutController::write(Rollout next, Instant now, WallTime wallTime)
{
    const bool isStep = next.serial == rollout_.serial;
    if (isStep)
        next.changedBy = "vm/" + options_.vm.text();
    next.changedAt = wallTime;
    written_ = std::move(next);
    replacedVersion_ = version_;
    writing_ = hooks_.newCall();
    return { WriteObject { *writing_, kind::rollout, rolloutName, version_,
                           encodeRollout(written_) } };
}

Effects RolloutController::onPlatformReplied(const PlatformReplied &reply)
{
    if (writing_ == reply.call) {
        writing_.reset();
        return onWritten(reply);
    }
    if (reading_ == reply.call) {
        reading_.reset();
        return onRead(reply);
    }
    return {};
}

Effects RolloutController::onWritten(const PlatformReplied &reply)
{
    switch (reply.outcome) {
    case PlatformOutcome::Done:
        return logChange(written_);
    case PlatformOutcome::Conflict:
    case PlatformOutcome::Missing:
        return {}; // the next view contains the stored object
    case PlatformOutcome::Unknown:
        needsRead_ = true;
        return {};
    case PlatformOutcome::Unreachable:
        replacedVersion_ = Revision();
        return {};
    }
    return {};
}

// Resolves a write whose reply was lost. A write that has not taken effect may
// still do so later; the next write expects the same version, so only one of them
// succeeds.
Effects RolloutController::onRead(const PlatformReplied &reply)
{
    if (reply.outcome == PlatformOutcome::Unknown || reply.outcome == PlatformOutcome::Unreachable)
        return {};
    needsRead_ = false;
    if (reply.outcome != PlatformOutcome::Done)
        return {};
    if (reply.object.version == replacedVersion_) {
        replacedVersion_ = Revision();
        return {};
    }
    if (reply.object.value == encodeRollout(written_))
        return logChange(written_);
    return {};
}

Effects RolloutController::logChange(const Rollout &next) const
{
    std::vector<LogField> fields { { "bundle", next.bundle }, { "steps", progress(next) } };
    if (!next.unsettledRegions.empty()) {
        fields.push_back({ "unsettled", joinNames(next.unsettledRegions) });
        return { WriteLog { { log::regionUnsettled, fields } } };
    }
    if (next.state == RolloutState::Paused) {
        fields.push_back({ "reason", next.reason });
        return { WriteLog { { log::shiftPaused, fields } } };
    }
    if (next.state == RolloutState::Done)
        return { WriteLog { { log::shiftFinished, fields } } };
    return { WriteLog { { log::shiftStepTaken, fields } } };
}

} // namespace bluebellshift::core
