// A step is due when this VM has itself seen the earlier one in force everywhere
// and has then waited for the answers that callers kept, and for one window.
// Nothing but the object's version is compared between VMs: each counts the wait
// on its own clock, from an instant that is certainly late enough. So
//  - two steps never take effect within one window, whatever any VM believes;
//  - a VM that restarts waits anew and takes no step early;
//  - a step is written over one version only, so it is neither repeated nor
//    skipped, whoever else writes and whichever reply is lost.
//
// With t(k) the write of step k, d(k) the instant by which every VM steers by it
// and every kept answer from before has run out: t(k+1) >= d(k) + window. Between
// t(k) and d(k) the fleet is at a mix of steps k-1 and k; between d(k) and t(k+1)
// exactly at k. A window therefore holds one step's movement at most, and a step
// is at most stepOfCap of the cap. Smaller steps spaced closer give the same rate
// and finish no earlier.
//
// VMs try a write in an order that each computes alike, half a second apart, so
// that a step costs one write, not one for each VM.
#include "bluebellshift/core/rolloutcontroller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr Duration rankDelay = Duration::millis(500); // between the tries of two VMs

std::string progress(const Rollout &rollout)
{
    std::string text;
    for (const ServiceShift &shift : rollout.services)
        text += fmt::format("{}{} {}/{}", text.empty() ? "" : ", ", shift.service.text(),
                            shift.step, shift.steps);
    return text;
}

std::string joined(const std::vector<RegionId> &regions)
{
    std::string text;
    for (const RegionId &region : regions)
        text += (text.empty() ? "" : ", ") + region.text();
    return text;
}

// The largest part of a service's, or one of its teams', traffic in a region.
double largestFraction(const Service &service, const RegionId &region)
{
    double largest = fractionOf(service.split, region);
    for (const TeamSplit &own : service.teamSplits)
        largest = std::max(largest, fractionOf(own.split, region));
    return largest;
}

bool isStepsDone(const Rollout &rollout)
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
    restartWatches(rollout, version);
    rollout_ = rollout;
    version_ = version;
    observeAll(now);
    return {};
}

void RolloutController::onScheduleChanged(std::optional<ScheduledRollout> schedule,
                                          BundlePointer next)
{
    schedule_ = std::move(schedule);
    scheduledBundle_ = std::move(next);
}

// A watch goes on while what it watches stays; another service's step does not
// make this one wait again.
void RolloutController::restartWatches(const Rollout &rollout, Revision version)
{
    for (const ServiceShift &shift : rollout.services) {
        Watch &watch = watches_[shift.service];
        if (watch.serial == rollout.serial && watch.step == shift.step)
            continue;
        watch = Watch { rollout.serial, shift.step, version, Instant::never(), Instant::never() };
    }
    if (regionsWatch_.step < 0 || rollout.unsettledRegions != rollout_.unsettledRegions)
        regionsWatch_ = Watch { rollout.serial, 0, version, Instant::never(), Instant::never() };
}

void RolloutController::observeAll(Instant now)
{
    for (auto &item : watches_)
        observe(item.second, now);
    observe(regionsWatch_, now);
}

// A VM that is cut off may look lapsed while others still extend its lease, so
// what is not heard counts only a lease after a quorum holds the revision.
void RolloutController::observe(Watch &watch, Instant now) const
{
    if (watch.inForceSince != Instant::never())
        return;
    if (watch.heldSince == Instant::never() && hooks_.isHeldByQuorum(watch.firstSeen))
        watch.heldSince = now;
    const bool hasLapsed = watch.heldSince != Instant::never()
        && now - watch.heldSince >= withDrift(options_.freshnessLease);
    if (hasLapsed && hooks_.isInForceEverywhere(watch.firstSeen, now))
        watch.inForceSince = now;
}

Duration RolloutController::withDrift(Duration wait) const
{
    const double micros = static_cast<double>(wait.toMicros());
    return Duration::micros(
        static_cast<std::int64_t>(std::ceil(micros * (1 + 2 * options_.clockDrift))));
}

bool RolloutController::hasRunOut(const Watch &watch, Duration wait, Instant now) const
{
    return watch.inForceSince != Instant::never() && now - watch.inForceSince >= wait;
}

bool RolloutController::stepIsDue(const ServiceShift &shift, Instant now) const
{
    const Service *service = bundle_->findService(shift.service);
    const auto watch = watches_.find(shift.service);
    if (shift.isDone() || service == nullptr || watch == watches_.end())
        return false;
    if (shift.step == 0 && rollout_.isSettled)
        return true;
    const Duration wait = movementWait(*service, previous_.get(), options_.clockDrift);
    return hasRunOut(watch->second, wait, now) && hasRunOut(regionsWatch_, wait, now);
}

bool RolloutController::isAllDone(Instant now) const
{
    if (!isStepsDone(rollout_) || !rollout_.unsettledRegions.empty())
        return false;
    const Duration wait = longestMovementWait(*bundle_, previous_.get(), options_.clockDrift);
    for (const ServiceShift &shift : rollout_.services) {
        if (!hasRunOut(watches_.at(shift.service), wait, now))
            return false;
    }
    return hasRunOut(regionsWatch_, wait, now);
}

// Time for every VM to ramp up from nothing. A VM that is not done by then, or
// lost the region again, asks anew.
Duration RolloutController::settleTime() const
{
    const Duration wait = longestMovementWait(*bundle_, previous_.get(), options_.clockDrift);
    int steps = 1;
    for (const RegionId &region : rollout_.unsettledRegions) {
        int most = 0;
        for (const Service &service : bundle_->services) {
            const double fraction = largestFraction(service, region);
            most = std::max(most, stepsFor(fraction, service.shiftCapFraction));
        }
        steps += most;
    }
    return wait * steps;
}

std::optional<Rollout> RolloutController::dueChange(Instant now, WallTime wallTime) const
{
    if (std::optional<Rollout> next = dueSchedule(wallTime))
        return next;
    if (std::optional<Rollout> next = dueRegions(now))
        return next;
    if (rollout_.state != RolloutState::Moving)
        return std::nullopt;
    if (!isStepsDone(rollout_)) {
        if (const std::optional<std::string> why = hooks_.unhealthyReason(now))
            return pauseRollout(rollout_, *why, {}, {});
    }
    return dueStep(now);
}

// A VM whose wall clock runs ahead begins early; the schedule trusts the clocks.
// While the roll-out is paused the schedule waits for an operator, too.
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

// Lists the regions that are down or ramp up here. No traffic moves by this
// alone, so it is due at any time; from then on the roll-out is not settled.
std::optional<Rollout> RolloutController::dueRegions(Instant now) const
{
    Rollout next = rollout_;
    for (const RegionId &region : hooks_.unsettledRegions()) {
        const auto &listed = next.unsettledRegions;
        if (std::find(listed.begin(), listed.end(), region) == listed.end())
            next.unsettledRegions.push_back(region);
    }
    const bool isAdded = next.unsettledRegions.size() > rollout_.unsettledRegions.size();
    if (!isAdded && (next.unsettledRegions.empty() || !hasRunOut(regionsWatch_, settleTime(), now)))
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
    observeAll(now);
    if (writing_ || reading_ || !hooks_.mayAct(now))
        return {};
    if (mustRead_) {
        reading_ = hooks_.newCall();
        return { ReadObject { *reading_, kind::rollout, rolloutName } };
    }
    if (writtenOver_ == version_)
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
    writtenOver_ = version_;
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
        return {}; // the view will bring what is stored instead
    case PlatformOutcome::Unknown:
        mustRead_ = true;
        return {};
    case PlatformOutcome::Unreachable:
        writtenOver_ = Revision();
        return {};
    }
    return {};
}

// Settles a write whose reply was lost. If it has not taken effect it may still
// do so later: the next write expects the same version, so one of them fails.
Effects RolloutController::onRead(const PlatformReplied &reply)
{
    if (reply.outcome == PlatformOutcome::Unknown || reply.outcome == PlatformOutcome::Unreachable)
        return {};
    mustRead_ = false;
    if (reply.outcome != PlatformOutcome::Done)
        return {};
    if (reply.object.version == writtenOver_) {
        writtenOver_ = Revision();
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
        fields.push_back({ "unsettled", joined(next.unsettledRegions) });
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
