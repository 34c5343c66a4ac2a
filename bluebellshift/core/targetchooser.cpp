// Each usable target gets a score, and the target with the lowest score is tried
// first:
//
//   (own in flight + hint + 1) / slots * slowness / ramp
//
// `hint` is the number of busy slots in the last load report that this VM does
// not use, with a weight that decays from 1 to 0 over reportDecayTime. `slowness`
// is the ratio of the target's latency, including that of requests still in
// flight, to the typical latency of its service. It is measured by this VM, so a
// report that hides a slow target does no harm. It decays without new
// measurements, so that a recovered target is tried again. `ramp` grows from
// rampStart to 1 while a target is cold.
//
// If only a slow target has a free slot, it is not used at once: when many other
// targets are about to finish a request, a short wait costs less than the extra
// latency of the slow one. A request waits for as long as that extra latency, at
// most maxWaitForFasterTarget. The total cost is at most twice that of the better
// alternative.
//
// Picking the less loaded of two random targets by own counts was rejected: if a
// VM sends few requests, the count of a slow target stays low between them and
// the target is chosen again.
//
// An ejection must leave at least half of the service's targets in the region. If
// targets leave later and only ejected ones remain, the ejected ones are used.
//
// Cost: O(maxCandidates log maxCandidates) for one ranking. The scan starts at a
// random position of the list.
#include "bluebellshift/core/targetchooser.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr double latencySmoothing = 0.3; // weight of a new measurement
constexpr double typicalLatencySmoothing = 0.05;
constexpr double maxSlowness = 32;
constexpr double slownessFadeSeconds = 10;
constexpr Duration probeTimeout = Duration::seconds(2);
constexpr Duration stateRetention = Duration::seconds(60);
constexpr int maxDoublings = 8;

Duration exponentialBackoff(Duration first, int times, Duration maximum)
{
    const Duration length = first * (std::int64_t { 1 } << std::min(times, maxDoublings));
    return std::min(length, maximum);
}

bool isFailure(const AttemptEnded &ended)
{
    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    switch (ended.outcome) {
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::Cut:
    case AttemptOutcome::TimedOut:
        return true;
    case AttemptOutcome::Answered:
        return ended.answer && ended.answer->status >= badGateway
            && ended.answer->status <= gatewayTimeout;
    default:
        return false;
    }
}

LogRecord targetLogRecord(const LogEvent &event, const TargetId &target, const char *reason)
{
    return { event, { { "target", target.text() }, { "reason", reason } } };
}

} // namespace

const char *toText(Exclusion reason)
{
    switch (reason) {
    case Exclusion::None:
        return "usable";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::AlreadyTried:
        return "tried";
    case Exclusion::Ejected:
        return "ejected";
    case Exclusion::Shedding:
        return "shedding";
    case Exclusion::Warming:
        return "warming";
    case Exclusion::Slow:
        return "slow";
    case Exclusion::NoSlot:
        return "no-slot";
    }
    return "usable";
}

TargetChooser::TargetChooser(BudgetHooks budget)
    : budget_(std::move(budget))
{
}

void TargetChooser::update(const std::vector<Target> &targets, Instant now)
{
    if (targets.empty())
        return;
    const bool isFirstList = listedServices_.insert(targets.front().service).second;
    for (const Target &target : targets) {
        const auto [found, isNew] = states_.try_emplace(target.id);
        State &state = found->second;
        state.service = target.service;
        state.region = target.region;
        state.listedAt = now;
        if (isNew && !isFirstList)
            state.coldSince = now;
    }
}

Ranking TargetChooser::rank(const std::vector<Target> &targets, const RegionId &region,
                            const std::vector<TargetId> &tried, std::uint64_t random,
                            Duration waited, Instant now) const
{
    Ranking ranking;
    const bool mayUseEjected = allEjected(targets, region, now);
    std::size_t usableCount = 0;
    for (std::size_t i = 0; i < targets.size() && usableCount < maxCandidates; ++i) {
        const Target &target = targets[(random + i) % targets.size()];
        if (target.region != region)
            continue;
        TargetEvaluation considered { &target, findExclusion(target, tried, mayUseEjected, now),
                                      0 };
        if (considered.exclusion == Exclusion::None) {
            considered.score = score(target, now);
            ++usableCount;
        }
        ranking.considered.push_back(considered);
    }
    excludeSlowTargets(ranking.considered, waited, now);

    std::vector<TargetEvaluation> usable;
    for (const TargetEvaluation &considered : ranking.considered) {
        if (considered.exclusion == Exclusion::None)
            usable.push_back(considered);
    }
    std::stable_sort(
        usable.begin(), usable.end(),
        [](const TargetEvaluation &a, const TargetEvaluation &b) { return a.score < b.score; });
    for (const TargetEvaluation &considered : usable)
        ranking.usable.push_back(considered.target);
    return ranking;
}

void TargetChooser::excludeSlowTargets(std::vector<TargetEvaluation> &considered, Duration waited,
                                       Instant now) const
{
    const auto isSlow = [&](const TargetEvaluation &entry) {
        return isWorthWaiting(*entry.target, waited, now);
    };
    const bool hasFaster =
        std::any_of(considered.begin(), considered.end(), [&](const TargetEvaluation &entry) {
            return (entry.exclusion == Exclusion::None || entry.exclusion == Exclusion::NoSlot)
                && !isSlow(entry);
        });
    for (TargetEvaluation &entry : considered) {
        if (hasFaster && entry.exclusion == Exclusion::None && isSlow(entry))
            entry.exclusion = Exclusion::Slow;
    }
}

bool TargetChooser::isWorthWaiting(const Target &target, Duration waited, Instant now) const
{
    const State *state = find(target.id);
    if (state == nullptr || maxWaitForFasterTarget <= waited)
        return false;
    const double ratio = slowness(*state, now);
    return ratio >= slownessThreshold
        && waited.toSeconds() < (ratio - 1) * typicalLatencySeconds(*state);
}

Exclusion TargetChooser::findExclusion(const Target &target, const std::vector<TargetId> &tried,
                                       bool mayUseEjected, Instant now) const
{
    const State *state = find(target.id);
    if (target.isLeaving || (state != nullptr && state->hasReportedLeaving))
        return Exclusion::Leaving;
    if (std::find(tried.begin(), tried.end(), target.id) != tried.end())
        return Exclusion::AlreadyTried;
    if (state != nullptr) {
        if (now < state->ejectedUntil && !mayUseEjected)
            return Exclusion::Ejected;
        if (now < state->shedUntil)
            return Exclusion::Shedding;
        const double allowed = std::max(1.0, std::floor(target.slots * rampFactor(*state, now)));
        if (static_cast<double>(state->sendTimes.size()) >= allowed && rampFactor(*state, now) < 1)
            return Exclusion::Warming;
    }
    if (budget_.available(slotAccount(target.id), now) < 1)
        return Exclusion::NoSlot;
    return Exclusion::None;
}

double TargetChooser::score(const Target &target, Instant now) const
{
    const double slots = std::max(1, target.slots);
    const State *state = find(target.id);
    if (state == nullptr)
        return 1 / slots;
    const double reportAge = (now - state->reportAt).toSeconds();
    const double weight = std::max(0.0, 1 - reportAge / reportDecayTime.toSeconds());
    const double busy =
        static_cast<double>(state->sendTimes.size()) + state->reportedBusyElsewhere * weight;
    return (busy + 1) / slots * slowness(*state, now) / rampFactor(*state, now);
}

double TargetChooser::typicalLatencySeconds(const State &state) const
{
    const auto typical = typicalLatencySeconds_.find({ state.service, state.region });
    return typical == typicalLatencySeconds_.end() ? 0 : typical->second;
}

double TargetChooser::slowness(const State &state, Instant now) const
{
    const double typical = typicalLatencySeconds(state);
    if (typical <= 0)
        return 1;
    const double age = (now - state.latencyAt).toSeconds();
    const double fade = std::exp(-age / slownessFadeSeconds);
    double ratio = 1;
    if (state.smoothedLatencySeconds > 0)
        ratio += (state.smoothedLatencySeconds / typical - 1) * fade;
    if (!state.sendTimes.empty()) {
        const double oldest = (now - state.sendTimes.front()).toSeconds();
        ratio = std::max(ratio, oldest / typical);
    }
    return std::clamp(ratio, 1.0, maxSlowness);
}

double TargetChooser::rampFactor(const State &state, Instant now) const
{
    const double age = (now - state.coldSince).toSeconds();
    return std::clamp(rampStart + age / rampTime.toSeconds(), rampStart, 1.0);
}

bool TargetChooser::allEjected(const std::vector<Target> &targets, const RegionId &region,
                               Instant now) const
{
    for (const Target &target : targets) {
        if (target.region != region || target.isLeaving)
            continue;
        const State *state = find(target.id);
        if (state == nullptr || (!state->hasReportedLeaving && state->ejectedUntil <= now))
            return false;
    }
    return true;
}

bool TargetChooser::mayEject(const State &state, const std::vector<Target> &targets,
                             Instant now) const
{
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const Target &target : targets) {
        const State *other = find(target.id);
        if (target.region != state.region || target.isLeaving || other == nullptr
            || other->hasReportedLeaving)
            continue;
        ++present;
        if (now < other->ejectedUntil)
            ++ejected;
    }
    return 2 * (ejected + 1) <= present;
}

void TargetChooser::onSent(const TargetId &target, Instant now)
{
    states_[target].sendTimes.push_back(now);
}

void TargetChooser::onEnded(const TargetId &target, Instant sentAt, const AttemptEnded &ended,
                            const std::vector<Target> &targets, Instant now,
                            std::vector<LogRecord> &logRecords)
{
    const auto found = states_.find(target);
    if (found == states_.end())
        return;
    State &state = found->second;
    const auto sent = std::find(state.sendTimes.begin(), state.sendTimes.end(), sentAt);
    if (sent != state.sendTimes.end())
        state.sendTimes.erase(sent);
    if (ended.outcome == AttemptOutcome::NeverSent)
        return; // carries no information about the target

    const bool hasReport = ended.outcome == AttemptOutcome::Answered
        || ended.outcome == AttemptOutcome::Shed || ended.outcome == AttemptOutcome::TooLarge;
    if (hasReport) {
        recordLoadReport(state, ended.reportedBusySlots, now);
        recordLeaving(target, state, ended.targetLeaving, logRecords);
    }
    if (ended.outcome == AttemptOutcome::Shed) {
        state.shedUntil =
            now + exponentialBackoff(baseShedBackoff, state.consecutiveSheds, maxShedBackoff);
        ++state.consecutiveSheds;
    } else if (isFailure(ended)) {
        recordFailure(target, state, targets, now, logRecords);
    } else if (ended.outcome == AttemptOutcome::Answered) {
        recordSuccess(target, state, now - sentAt, now, logRecords);
    }
}

void TargetChooser::recordFailure(const TargetId &target, State &state,
                                  const std::vector<Target> &targets, Instant now,
                                  std::vector<LogRecord> &logRecords)
{
    ++state.consecutiveFailures;
    if (state.consecutiveFailures < failuresToEject || now < state.ejectedUntil)
        return;
    if (!mayEject(state, targets, now))
        return;
    state.ejectedUntil =
        now + exponentialBackoff(baseEjectionTime, state.ejections, maxEjectionTime);
    state.coldSince = state.ejectedUntil;
    ++state.ejections;
    logRecords.push_back(targetLogRecord(log::targetEjected, target, "consecutive failures"));
}

void TargetChooser::recordSuccess(const TargetId &target, State &state, Duration took, Instant now,
                                  std::vector<LogRecord> &logRecords)
{
    state.consecutiveFailures = 0;
    state.consecutiveSheds = 0;
    const double seconds = took.toSeconds();
    state.smoothedLatencySeconds = state.smoothedLatencySeconds <= 0 ? seconds
                                                                     : state.smoothedLatencySeconds
            + latencySmoothing * (seconds - state.smoothedLatencySeconds);
    state.latencyAt = now;
    double &typical = typicalLatencySeconds_[{ state.service, state.region }];
    typical = typical <= 0 ? seconds : typical + typicalLatencySmoothing * (seconds - typical);
    if (state.ejections > 0 && state.ejectedUntil <= now) {
        state.ejections = 0;
        logRecords.push_back(targetLogRecord(log::targetReturned, target, "answered a request"));
    }
}

void TargetChooser::recordLoadReport(State &state, int busySlots, Instant now)
{
    if (busySlots < 0)
        return;
    state.reportedBusyElsewhere = std::max(0, busySlots - static_cast<int>(state.sendTimes.size()));
    state.reportAt = now;
}

void TargetChooser::recordLeaving(const TargetId &target, State &state, bool isLeaving,
                                  std::vector<LogRecord> &logRecords)
{
    if (isLeaving && !state.hasReportedLeaving)
        logRecords.push_back(targetLogRecord(log::targetLeaving, target, "the target said so"));
    state.hasReportedLeaving = isLeaving;
}

void TargetChooser::onProbeEnded(const ProbeEnded &probe, Instant now,
                                 std::vector<LogRecord> &logRecords)
{
    const auto found = states_.find(probe.target);
    if (found == states_.end())
        return;
    State &state = found->second;
    state.probedAt = Instant::never();
    state.probeEndedAt = now; // a failed probe also waits for the next interval
    if (!probe.isHealthy && !probe.isLeaving)
        return;
    recordLoadReport(state, probe.reportedBusySlots, now);
    recordLeaving(probe.target, state, probe.isLeaving, logRecords);
    if (now < state.ejectedUntil) {
        // Only requests decide on health: a successful probe ends the ejection
        // early, but the next failed request ejects the target again.
        state.ejectedUntil = now;
        state.coldSince = now;
        state.consecutiveFailures = failuresToEject - 1;
        logRecords.push_back(
            targetLogRecord(log::targetReturned, probe.target, "answered a probe"));
    }
}

std::vector<const Target *> TargetChooser::startDueProbes(const std::vector<Target> &targets,
                                                          Instant now)
{
    // Spreads the probes over the rounds so that each target is probed within
    // targetProbeInterval.
    const auto calls =
        static_cast<std::size_t>(targetProbeInterval.toMicros() / probeRoundInterval.toMicros());
    const std::size_t maxProbes = targets.size() / calls + 1;
    std::vector<const Target *> due;
    for (const Target &target : targets) {
        const auto found = states_.find(target.id);
        if (target.isLeaving || found == states_.end() || due.size() >= maxProbes)
            continue;
        State &state = found->second;
        if (now < state.probedAt + probeTimeout || now < state.probeEndedAt + targetProbeInterval)
            continue;
        const bool isUsed = !state.sendTimes.empty() || now < state.ejectedUntil
            || budget_.available(slotAccount(target.id), now) >= 1;
        if (!isUsed)
            continue;
        state.probedAt = now;
        due.push_back(&target);
    }
    return due;
}

void TargetChooser::prune(Instant now)
{
    for (auto state = states_.begin(); state != states_.end();) {
        const bool isForgotten =
            state->second.sendTimes.empty() && state->second.listedAt + stateRetention < now;
        state = isForgotten ? states_.erase(state) : std::next(state);
    }
}

int TargetChooser::inFlight(const TargetId &target) const
{
    const State *state = find(target);
    return state == nullptr ? 0 : static_cast<int>(state->sendTimes.size());
}

bool TargetChooser::isEjected(const TargetId &target, Instant now) const
{
    const State *state = find(target);
    return state != nullptr && now < state->ejectedUntil;
}

const TargetChooser::State *TargetChooser::find(const TargetId &target) const
{
    const auto found = states_.find(target);
    return found == states_.end() ? nullptr : &found->second;
}

} // namespace bluebellshift::core
