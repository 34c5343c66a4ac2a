// Each usable target gets a score, and the lowest is tried first:
//
//   (own in flight + hint + 1) / slots * slowness / ramp
//
// `hint` is what the last report showed beyond our own requests, times a weight
// that falls from 1 to 0 over reportDecayTime. `slowness` compares the time that
// a target takes, answered or still in flight, with what its service usually
// takes; it is measured here, so a report that hides a slow target does no harm.
// It fades while nothing new is measured, so that a recovered target is tried
// again. `ramp` grows from rampStart to 1 while a target is cold.
//
// A slow target that alone has a free slot is not taken at once: with many
// others about to finish, a short wait beats its extra time. The request waits
// for as long as that extra time, at most waitForFasterMost, which costs at most
// twice the better of the two ways.
//
// Two random choices with own counts were weighed: a slow target keeps its count
// low between the requests of a VM that sends it few, and is chosen again.
//
// An ejection must leave half of the service's targets in the region; when later
// departures leave only ejected ones, these are used.
//
// Cost: O(candidatesMost log candidatesMost) for one ranking, starting at a
// random place of the list.
#include "bluebellshift/core/targetchooser.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr double latencyWeight = 0.3; // of a new measurement
constexpr double typicalWeight = 0.05;
constexpr double slownessMost = 32;
constexpr double slownessFadeSeconds = 10;
constexpr Duration probeTimeout = Duration::seconds(2);
constexpr Duration forgetAfter = Duration::seconds(60);
constexpr int doublingsMost = 8;

Duration doubled(Duration first, int times, Duration most)
{
    const Duration length = first * (std::int64_t { 1 } << std::min(times, doublingsMost));
    return std::min(length, most);
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

LogRecord change(const LogEvent &event, const TargetId &target, const char *reason)
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
    for (std::size_t i = 0; i < targets.size() && usableCount < candidatesMost; ++i) {
        const Target &target = targets[(random + i) % targets.size()];
        if (target.region != region)
            continue;
        TargetEvaluation considered { &target, ruleOut(target, tried, mayUseEjected, now), 0 };
        if (considered.exclusion == Exclusion::None) {
            considered.score = score(target, now);
            ++usableCount;
        }
        ranking.considered.push_back(considered);
    }
    ruleOutSlow(ranking.considered, waited, now);

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

void TargetChooser::ruleOutSlow(std::vector<TargetEvaluation> &considered, Duration waited,
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
    if (state == nullptr || waitForFasterMost <= waited)
        return false;
    const double ratio = slowness(*state, now);
    return ratio >= slowFrom && waited.toSeconds() < (ratio - 1) * typicalLatency(*state);
}

Exclusion TargetChooser::ruleOut(const Target &target, const std::vector<TargetId> &tried,
                                 bool mayUseEjected, Instant now) const
{
    const State *state = find(target.id);
    if (target.isLeaving || (state != nullptr && state->saysLeaving))
        return Exclusion::Leaving;
    if (std::find(tried.begin(), tried.end(), target.id) != tried.end())
        return Exclusion::AlreadyTried;
    if (state != nullptr) {
        if (now < state->ejectedUntil && !mayUseEjected)
            return Exclusion::Ejected;
        if (now < state->shedUntil)
            return Exclusion::Shedding;
        const double allowed = std::max(1.0, std::floor(target.slots * ramp(*state, now)));
        if (static_cast<double>(state->sent.size()) >= allowed && ramp(*state, now) < 1)
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
    const double busy = static_cast<double>(state->sent.size()) + state->reportedOthers * weight;
    return (busy + 1) / slots * slowness(*state, now) / ramp(*state, now);
}

double TargetChooser::typicalLatency(const State &state) const
{
    const auto typical = typicalLatency_.find({ state.service, state.region });
    return typical == typicalLatency_.end() ? 0 : typical->second;
}

double TargetChooser::slowness(const State &state, Instant now) const
{
    const double typical = typicalLatency(state);
    if (typical <= 0)
        return 1;
    const double age = (now - state.latencyAt).toSeconds();
    const double fade = std::exp(-age / slownessFadeSeconds);
    double ratio = 1;
    if (state.latency > 0)
        ratio += (state.latency / typical - 1) * fade;
    if (!state.sent.empty()) {
        const double oldest = (now - state.sent.front()).toSeconds();
        ratio = std::max(ratio, oldest / typical);
    }
    return std::clamp(ratio, 1.0, slownessMost);
}

double TargetChooser::ramp(const State &state, Instant now) const
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
        if (state == nullptr || (!state->saysLeaving && state->ejectedUntil <= now))
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
            || other->saysLeaving)
            continue;
        ++present;
        if (now < other->ejectedUntil)
            ++ejected;
    }
    return 2 * (ejected + 1) <= present;
}

void TargetChooser::onSent(const TargetId &target, Instant now)
{
    states_[target].sent.push_back(now);
}

void TargetChooser::onEnded(const TargetId &target, Instant sentAt, const AttemptEnded &ended,
                            const std::vector<Target> &targets, Instant now,
                            std::vector<LogRecord> &changes)
{
    const auto found = states_.find(target);
    if (found == states_.end())
        return;
    State &state = found->second;
    const auto sent = std::find(state.sent.begin(), state.sent.end(), sentAt);
    if (sent != state.sent.end())
        state.sent.erase(sent);
    if (ended.outcome == AttemptOutcome::NeverSent)
        return; // says nothing about the target

    const bool wasHeard = ended.outcome == AttemptOutcome::Answered
        || ended.outcome == AttemptOutcome::Shed || ended.outcome == AttemptOutcome::TooLarge;
    if (wasHeard) {
        noteReport(state, ended.reportedBusySlots, now);
        noteLeaving(target, state, ended.targetLeaving, changes);
    }
    if (ended.outcome == AttemptOutcome::Shed) {
        state.shedUntil = now + doubled(baseShedBackoff, state.sheds, shedMost);
        ++state.sheds;
    } else if (isFailure(ended)) {
        noteFailure(target, state, targets, now, changes);
    } else if (ended.outcome == AttemptOutcome::Answered) {
        noteSuccess(target, state, now - sentAt, now, changes);
    }
}

void TargetChooser::noteFailure(const TargetId &target, State &state,
                                const std::vector<Target> &targets, Instant now,
                                std::vector<LogRecord> &changes)
{
    ++state.failures;
    if (state.failures < failuresToEject || now < state.ejectedUntil)
        return;
    if (!mayEject(state, targets, now))
        return;
    state.ejectedUntil = now + doubled(ejectedFirst, state.ejections, ejectedMost);
    state.coldSince = state.ejectedUntil;
    ++state.ejections;
    changes.push_back(change(log::targetEjected, target, "consecutive failures"));
}

void TargetChooser::noteSuccess(const TargetId &target, State &state, Duration took, Instant now,
                                std::vector<LogRecord> &changes)
{
    state.failures = 0;
    state.sheds = 0;
    const double seconds = took.toSeconds();
    state.latency =
        state.latency <= 0 ? seconds : state.latency + latencyWeight * (seconds - state.latency);
    state.latencyAt = now;
    double &typical = typicalLatency_[{ state.service, state.region }];
    typical = typical <= 0 ? seconds : typical + typicalWeight * (seconds - typical);
    if (state.ejections > 0 && state.ejectedUntil <= now) {
        state.ejections = 0;
        changes.push_back(change(log::targetReturned, target, "answered a request"));
    }
}

void TargetChooser::noteReport(State &state, int busySlots, Instant now)
{
    if (busySlots < 0)
        return;
    state.reportedOthers = std::max(0, busySlots - static_cast<int>(state.sent.size()));
    state.reportAt = now;
}

void TargetChooser::noteLeaving(const TargetId &target, State &state, bool isLeaving,
                                std::vector<LogRecord> &changes)
{
    if (isLeaving && !state.saysLeaving)
        changes.push_back(change(log::targetLeaving, target, "the target said so"));
    state.saysLeaving = isLeaving;
}

void TargetChooser::onProbeEnded(const ProbeEnded &probe, Instant now,
                                 std::vector<LogRecord> &changes)
{
    const auto found = states_.find(probe.target);
    if (found == states_.end())
        return;
    State &state = found->second;
    state.probedAt = Instant::never();
    state.probeEndedAt = now; // a failed probe too is no reason to ask again at once
    if (!probe.isHealthy && !probe.isLeaving)
        return;
    noteReport(state, probe.reportedBusySlots, now);
    noteLeaving(probe.target, state, probe.isLeaving, changes);
    if (now < state.ejectedUntil) {
        // Requests, not probes, decide; a good probe only ends the wait, and the
        // next failure ejects again.
        state.ejectedUntil = now;
        state.coldSince = now;
        state.failures = failuresToEject - 1;
        changes.push_back(change(log::targetReturned, probe.target, "answered a probe"));
    }
}

std::vector<const Target *> TargetChooser::startDueProbes(const std::vector<Target> &targets,
                                                          Instant now)
{
    // Spreads the probes, yet each target has its turn within timeBetweenProbes.
    const auto calls =
        static_cast<std::size_t>(timeBetweenProbes.toMicros() / probeRoundInterval.toMicros());
    const std::size_t probesMost = targets.size() / calls + 1;
    std::vector<const Target *> due;
    for (const Target &target : targets) {
        const auto found = states_.find(target.id);
        if (target.isLeaving || found == states_.end() || due.size() >= probesMost)
            continue;
        State &state = found->second;
        if (now < state.probedAt + probeTimeout || now < state.probeEndedAt + timeBetweenProbes)
            continue;
        const bool isUsed = !state.sent.empty() || now < state.ejectedUntil
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
            state->second.sent.empty() && state->second.listedAt + forgetAfter < now;
        state = isForgotten ? states_.erase(state) : std::next(state);
    }
}

int TargetChooser::inFlight(const TargetId &target) const
{
    const State *state = find(target);
    return state == nullptr ? 0 : static_cast<int>(state->sent.size());
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
