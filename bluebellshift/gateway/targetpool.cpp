// Each choice looks at every target of the service: with 450 targets that is some
// 20 microseconds, less than the rest of a request costs.
//
// Objects are spread without a message: a target is home to an object if a hash of
// both falls under a fraction that fills what a target keeps warm. Every VM computes
// the same homes, whatever it has seen itself.
#include "bluebellshift/gateway/targetpool.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr double learnRate = 0.1;          // weight of one more measurement
constexpr double slownessLeast = 0.3;
constexpr double slownessMost = 12;
constexpr std::size_t objectsMost = 4096;  // remembered for one service

double millis(Duration duration)
{
    return duration.toSeconds() * 1000;
}

Duration fromMillis(double millis)
{
    return Duration::micros(static_cast<std::int64_t>(millis * 1000));
}

bool isAllowed(const std::vector<RegionId> *regions, const RegionId &region)
{
    return regions == nullptr || regions->empty()
        || std::find(regions->begin(), regions->end(), region) != regions->end();
}

} // namespace

TargetPool::TargetPool(const GatewayOptions &options, PoolHooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
{
}

void TargetPool::put(const Target &target, Instant now)
{
    State *known = findState(target.id);
    if (known != nullptr
        && (known->target.bornMillis != target.bornMillis
            || !(known->target.endpoint == target.endpoint)
            || known->target.service != target.service)) {
        remove(target.id, "restarted", now);
        known = nullptr;
    }
    const bool isNew = known == nullptr;
    if (isNew) {
        State state;
        state.hash = hashText(target.id.text());
        known = &states_.emplace(target.id, std::move(state)).first->second;
        byService_[target.service].push_back(known);
    }
    const bool wasDraining = !isNew && known->target.isDraining;
    known->target = target;
    const auto region = options_.regionOf.find(target.failureDomain);
    known->region = region == options_.regionOf.end() ? RegionId() : region->second;
    if (target.warmupLeft > Duration())
        known->coldUntil = std::max(known->coldUntil, now + target.warmupLeft);
    else if (!isNew && !isCold(*known, now))
        known->coldUntil = Instant::never();
    if (isNew) {
        hooks_.log({ core::log::targetJoined,
                     { { "target", target.id.text() },
                       { "service", target.service.text() },
                       { "domain", target.failureDomain.text() },
                       { "slots", std::to_string(target.slots) },
                       { "coldMs", std::to_string(target.warmupLeft.toMillis()) } } });
    }
    if (target.isDraining && !wasDraining) {
        hooks_.log({ core::log::targetLeaving,
                     { { "target", target.id.text() }, { "reason", "registry says draining" } } });
    }
}

void TargetPool::remove(const TargetId &target, const char *reason, Instant now)
{
    const auto found = states_.find(target);
    if (found == states_.end())
        return;
    auto &siblings = byService_[found->second.target.service];
    siblings.erase(std::remove(siblings.begin(), siblings.end(), &found->second), siblings.end());
    states_.erase(found);
    hooks_.log(
        { core::log::targetGone, { { "target", target.text() }, { "reason", reason } } });
}

void TargetPool::setEvacuated(const FailureDomainId &domain, bool isEvacuated, Instant now)
{
    if (isEvacuated == (evacuated_.count(domain) > 0))
        return;
    if (isEvacuated)
        evacuated_.insert(domain);
    else
        evacuated_.erase(domain);
    hooks_.log({ isEvacuated ? core::log::domainEvacuated : core::log::domainReturned,
                 { { "domain", domain.text() } } });
    if (isEvacuated)
        return;
    // What was emptied may have become cold unseen.
    for (auto &[id, state] : states_) {
        if (state.target.failureDomain != domain || !config_)
            continue;
        if (const ServicePolicy *policy = config_->findService(state.target.service))
            state.coldUntil = std::max(state.coldUntil, now + policy->warmup);
    }
}

const Target *TargetPool::find(const TargetId &target) const
{
    const auto found = states_.find(target);
    return found == states_.end() ? nullptr : &found->second.target;
}

TargetPool::State *TargetPool::findState(const TargetId &target)
{
    const auto found = states_.find(target);
    return found == states_.end() ? nullptr : &found->second;
}

std::vector<TargetId> TargetPool::ids() const
{
    std::vector<TargetId> all;
    for (const auto &[id, state] : states_)
        all.push_back(id);
    return all;
}

bool TargetPool::hasTargets(const ServiceId &service) const
{
    const auto found = byService_.find(service);
    return found != byService_.end() && !found->second.empty();
}

Choice TargetPool::choose(const Wish &wish, std::uint64_t random, Instant now) const
{
    Choice best;
    const auto targets = byService_.find(wish.service);
    if (targets == byService_.end())
        return best;
    std::array<int, 8> counts {};
    double bestScore = 0;
    for (const State *candidate : targets->second) {
        const State &state = *candidate;
        const RuledOut ruledOut = ruleOut(state, wish, now);
        ++counts[static_cast<std::size_t>(ruledOut)];
        if (ruledOut != RuledOut::No)
            continue;
        const int others = othersAt(state, now);
        const bool warm = isWarm(state, wish);
        const Duration finish = finishAt(state, wish, others, warm, now);
        double score = millis(finish) + failureOf(state, now) * millis(failureCost);
        if (state.target.failureDomain != options_.vm.failureDomain)
            score += crossDomainMillisPerKilobyte * (1 + static_cast<double>(wish.bodyBytes) / 1000);
        // Equal targets are told apart by chance, or VMs would all take the same one.
        score += 4 * toFraction(mixHashes(state.hash, random));
        if (best.target != nullptr && score >= bestScore)
            continue;
        bestScore = score;
        best.target = &state.target;
        best.finish = finish;
        best.ownInFlight = state.inFlight;
        best.othersInFlight = others;
        best.isWarm = warm;
    }
    best.ruledOut = fmt::format(
        "draining:{},evacuated:{},region:{},tried:{},avoided:{},cold:{},full:{}", counts[1],
        counts[2], counts[3], counts[4], counts[5], counts[6], counts[7]);
    return best;
}

TargetPool::RuledOut TargetPool::ruleOut(const State &state, const Wish &wish, Instant now) const
{
    const Target &target = state.target;
    if (target.isDraining)
        return RuledOut::Draining;
    if (evacuated_.count(target.failureDomain) > 0)
        return RuledOut::Evacuated;
    if (!isAllowed(wish.routeRegions, state.region) || !isAllowed(wish.teamRegions, state.region))
        return RuledOut::Region;
    if (wish.tried != nullptr
        && std::find(wish.tried->begin(), wish.tried->end(), target.id) != wish.tried->end())
        return RuledOut::Tried;
    if (now < state.avoidedUntil || (state.unreachable > 0 && state.inFlight > 0))
        return RuledOut::Avoided;
    if (isCold(state, now)) {
        const bool maySend = now - state.coldSentAt >= coldSpacing(state)
            && hooks_.rankForColdTarget(state.hash, now) < coldSendersMost;
        if (!maySend)
            return RuledOut::Cold;
    }
    return RuledOut::No;
}

// The least time between two requests of this VM to a cold target: with
// coldSendersMost VMs that keep to it, all together stay within the bound.
Duration TargetPool::coldSpacing(const State &state) const
{
    const ServicePolicy *policy = config_ ? config_->findService(state.target.service) : nullptr;
    if (policy == nullptr || policy->coldRequestsPerSecond <= 0)
        return Duration();
    const double perSecond = policy->coldRequestsPerSecond * options_.bounds.coldOverage
        + options_.bounds.coldSlack;
    return fromMillis(1000.0 * coldSendersMost / (perSecond * coldBoundUsed));
}

double TargetPool::failureOf(const State &state, Instant now) const
{
    if (state.failure == 0)
        return 0;
    return state.failure
        * std::exp2(-(now - state.failureAt).toSeconds() / failureHalfLife.toSeconds());
}

int TargetPool::othersAt(const State &state, Instant now) const
{
    const int told = hooks_.othersInFlight(static_cast<std::uint32_t>(state.hash), now);
    if (now - state.reportedAt > loadReportUse)
        return told;
    return std::max(told, state.reportedOthers);
}

// The part of a service's targets that are home to one object.
double TargetPool::homeFraction(const ServiceId &service) const
{
    const auto found = objects_.find(service);
    if (found == objects_.end() || found->second.empty())
        return 1;
    return std::min(1.0, objectsKept / static_cast<double>(found->second.size()));
}

bool TargetPool::isWarm(const State &state, const Wish &wish) const
{
    return wish.object != 0
        && toFraction(mixHashes(state.hash, wish.object)) < homeFraction(wish.service);
}

Duration TargetPool::wayTo(const State &state) const
{
    if (state.target.failureDomain == options_.vm.failureDomain)
        return Duration();
    return state.region == options_.vm.region ? wayInRegion : wayBetweenRegions;
}

Duration TargetPool::finishAt(const State &state, const Wish &wish, int others, bool isWarm,
                              Instant now) const
{
    double work = millis(expectedWork(wish.route)) * state.slowness;
    if (isCold(state, now))
        work *= coldWorkFactor;
    const int occupied = state.inFlight + others;
    const int slots = std::max(1, state.target.slots);
    const double wait = occupied < slots ? 0 : work * (occupied - slots + 1) / slots;
    // A nearly full target is more likely to be full once the request is there.
    const double crowding = 0.1 * work * occupied / slots;
    if (isWarm)
        work *= warmWorkFactor;
    return wayTo(state) + fromMillis(wait + crowding + work);
}

void TargetPool::onSent(const TargetId &target, const Wish &wish, Instant now)
{
    State *state = findState(target);
    if (state == nullptr)
        return;
    ++state->inFlight;
    if (isCold(*state, now))
        state->coldSentAt = now;
    if (wish.object == 0)
        return;
    auto &objects = objects_[wish.service];
    if (objects.size() >= objectsMost)
        objects.clear();
    objects.insert(wish.object);
}

void TargetPool::onEnded(const TargetId &target, const Wish &wish, const AttemptEnded &ended,
                         Duration took, Instant now)
{
    State *state = findState(target);
    if (state == nullptr)
        return;
    state->inFlight = std::max(0, state->inFlight - 1);
    if (ended.load) {
        state->reportedOthers =
            std::max(0, ended.load->running + ended.load->waiting - state->inFlight);
        state->reportedAt = now;
    }
    if (ended.outcome == AttemptOutcome::ConnectFailed) {
        state->unreachable = std::min(state->unreachable + 1, 8);
        const Duration pause = unreachablePause * (1 << (state->unreachable - 1));
        state->avoidedUntil = now + std::min(pause, unreachablePauseMost);
        if (state->unreachable == 1) {
            hooks_.log({ core::log::targetEjected,
                         { { "target", target.text() }, { "reason", "can't be connected to" } } });
        }
        return;
    }
    if (state->unreachable > 0) {
        state->unreachable = 0;
        hooks_.log({ core::log::targetReturned,
                     { { "target", target.text() }, { "reason", "it took a connection" } } });
    }
    if (ended.outcome == AttemptOutcome::Answered && ended.status == 421) {
        remove(target, "its address belongs to another target", now);
        return;
    }
    const bool isAnswered = ended.outcome == AttemptOutcome::Answered;
    noteFailure(*state, !isAnswered || ended.saysNotRun || ended.status >= 500, now);
    if (isAnswered && !ended.saysNotRun && ended.status < 400)
        learnWork(*state, wish, took, now);
}

void TargetPool::onCancelled(const TargetId &target, Instant now)
{
    if (State *state = findState(target))
        state->inFlight = std::max(0, state->inFlight - 1);
}

void TargetPool::noteFailure(State &state, bool isFailed, Instant now)
{
    constexpr double weight = 0.3; // of the newest outcome
    const double before = failureOf(state, now);
    state.failure = before * (1 - weight) + (isFailed ? weight : 0);
    state.failureAt = now;
}

void TargetPool::learnWork(State &state, const Wish &wish, Duration took, Instant now)
{
    if (took <= Duration() || isCold(state, now))
        return;
    double measured = std::max(1.0, millis(took - wayTo(state)));
    if (isWarm(state, wish))
        measured /= warmWorkFactor;
    auto [known, isNew] = work_.emplace(wish.route, measured);
    if (!isNew)
        known->second += learnRate * (measured / std::max(1.0, state.slowness) - known->second);
    const double ratio = measured / std::max(1.0, known->second);
    state.slowness = std::clamp(state.slowness + 2 * learnRate * (ratio - state.slowness),
                                slownessLeast, slownessMost);
}

std::vector<TargetUse> TargetPool::uses() const
{
    std::vector<TargetUse> all;
    for (const auto &[id, state] : states_) {
        if (state.inFlight > 0)
            all.push_back({ static_cast<std::uint32_t>(state.hash), state.inFlight });
    }
    return all;
}

int TargetPool::slotsOf(const ServiceId &service, Instant now) const
{
    int slots = 0;
    const auto targets = byService_.find(service);
    if (targets == byService_.end())
        return slots;
    for (const State *candidate : targets->second) {
        const State &state = *candidate;
        if (!state.target.isDraining && evacuated_.count(state.target.failureDomain) == 0
            && now >= state.avoidedUntil)
            slots += state.target.slots;
    }
    return slots;
}

Duration TargetPool::expectedWork(const std::string &route) const
{
    const auto found = work_.find(route);
    return found == work_.end() ? firstWork : fromMillis(found->second);
}

} // namespace bluebellshift::gateway
