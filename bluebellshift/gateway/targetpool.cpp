// Each choice looks at every target of the service: with 450 targets that is some
// 20 microseconds, less than the rest of a request costs.
//
// Objects are spread without a message: a hash of target and object orders the
// targets, those of the VM's own region apart from the others, and the first of each
// are the object's homes. There are as many as fill what a target keeps warm. The VMs
// of a region compute the same homes, whatever each has seen itself, and use the first
// ones first, so that few targets have to warm up for an object that is asked for
// seldom.
#include "bluebellshift/gateway/targetpool.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr double learnRate = 0.1; // weight of one more measurement
constexpr double slownessLeast = 0.3;
constexpr double slownessMost = 12;
constexpr double warmAnswer = 0.6; // of the usual work; a shorter one had a warm object
constexpr double workMost = 3;     // times the usual, that one measurement counts for

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
        && (known->target.startUnixMillis != target.startUnixMillis
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
    hooks_.log({ core::log::targetGone, { { "target", target.text() }, { "reason", reason } } });
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

Choice TargetPool::choose(const Wish &wish, std::uint64_t random, Instant now) const
{
    Choice best;
    std::array<int, 7> counts {};
    std::vector<Candidate> candidates = candidatesFor(wish, &counts, now);
    if (wish.object != 0)
        warmHomes(wish, candidates, now);
    double bestScore = 0;
    const Business &business = businessOf(wish.service, now);
    std::map<RegionId, double> penalties;
    for (const auto &[domain, region] : options_.regionOf)
        penalties.emplace(region, 0);
    for (auto &[region, penalty] : penalties)
        penalty = flow_.penalty(region, now);
    for (const Candidate &candidate : candidates) {
        const State &state = *candidate.state;
        const RuledOut ruledOut = ruleOutNow(state, wish, now);
        ++counts[static_cast<std::size_t>(ruledOut)];
        if (ruledOut != RuledOut::No)
            continue;
        const int others = othersAt(state, business, now);
        const double work = workAt(state, wish, candidate.warmth, now);
        const Duration finish = finishAt(state, wish, others, work, now);
        double score =
            millis(finish) + business.price * work + failureOf(state, now) * millis(failureCost);
        score += penalties[state.region];
        if (state.target.failureDomain != options_.vm.failureDomain)
            score +=
                crossDomainMillisPerKilobyte * (1 + static_cast<double>(wish.bodyBytes) / 1000);
        // Equal targets are told apart by chance, or VMs would all take the same one.
        score += 4 * toFraction(mixHashes(state.hash, random));
        if (best.target != nullptr && score >= bestScore)
            continue;
        bestScore = score;
        best.target = &state.target;
        best.finish = finish;
        best.ownInFlight = state.inFlight;
        best.othersInFlight = others;
        best.warmth = candidate.warmth;
    }
    best.ruledOut = fmt::format("draining:{},evacuated:{},region:{},tried:{},avoided:{},cold:{}",
                                counts[1], counts[2], counts[3], counts[4], counts[5], counts[6]);
    return best;
}

// The targets that may be used but for passing reasons.
std::vector<TargetPool::Candidate>
TargetPool::candidatesFor(const Wish &wish, std::array<int, 7> *counts, Instant now) const
{
    std::vector<Candidate> candidates;
    const auto targets = byService_.find(wish.service);
    if (targets == byService_.end())
        return candidates;
    candidates.reserve(targets->second.size());
    for (const State *state : targets->second) {
        const RuledOut ruledOut = ruleOut(*state, wish);
        if (ruledOut != RuledOut::No)
            ++(*counts)[static_cast<std::size_t>(ruledOut)];
        else
            candidates.push_back({ state, mixHashes(state->hash, wish.object), 0 });
    }
    return candidates;
}

// Sets how likely the wish's object is warm at each candidate.
void TargetPool::warmHomes(const Wish &wish, std::vector<Candidate> &candidates, Instant now) const
{
    std::vector<Candidate *> inRegion;
    std::vector<Candidate *> elsewhere;
    for (Candidate &candidate : candidates) {
        const bool isNear = candidate.state->region == options_.vm.region;
        (isNear ? inRegion : elsewhere).push_back(&candidate);
    }
    const double part = objectsKept(wish.service) / objectsAskedFor(wish.service);
    warmFirst(inRegion, part * nearRegionPart);
    warmFirst(elsewhere, part * (1 - nearRegionPart));
    for (Candidate &candidate : candidates) {
        if (wasSentLately(*candidate.state, wish.object, now))
            candidate.warmth = warmthWhereSent;
    }
}

// The first targets of a group, in the order of their ranks, are the object's homes.
void TargetPool::warmFirst(std::vector<Candidate *> &group, double part)
{
    if (group.empty())
        return;
    const auto wanted = static_cast<std::size_t>(
        std::lround(std::min(1.0, part) * static_cast<double>(group.size())));
    const std::size_t homes = std::clamp<std::size_t>(wanted, 1, group.size());
    std::partial_sort(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(homes),
                      group.end(),
                      [](const Candidate *a, const Candidate *b) { return a->rank < b->rank; });
    for (std::size_t i = 0; i < homes; ++i) {
        const double lost = warmthLostPerHome * static_cast<double>(i);
        group[i]->warmth = std::max(0.0, warmthAtFirstHome - lost);
    }
}

TargetPool::RuledOut TargetPool::ruleOut(const State &state, const Wish &wish) const
{
    const Target &target = state.target;
    if (target.isDraining)
        return RuledOut::Draining;
    if (evacuated_.count(target.failureDomain) > 0)
        return RuledOut::Evacuated;
    if (!isAllowed(wish.routeRegions, state.region) || !isAllowed(wish.teamRegions, state.region))
        return RuledOut::Region;
    return RuledOut::No;
}

TargetPool::RuledOut TargetPool::ruleOutNow(const State &state, const Wish &wish, Instant now) const
{
    const auto *tried = wish.tried;
    if (tried != nullptr
        && std::find(tried->begin(), tried->end(), state.target.id) != tried->end())
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
    const double perSecond =
        policy->coldRequestsPerSecond * options_.bounds.coldOverage + options_.bounds.coldSlack;
    return fromMillis(1000.0 * coldSendersMost / (perSecond * coldBoundUsed));
}

double TargetPool::failureOf(const State &state, Instant now) const
{
    if (state.failure == 0)
        return 0;
    return state.failure
        * std::exp2(-(now - state.failureAt).toSeconds() / failureHalfLife.toSeconds());
}

double TargetPool::slownessOf(const State &state)
{
    const bool isUsual = state.slowness > usualSlownessLeast && state.slowness < usualSlownessMost;
    return isUsual ? 1 : state.slowness;
}

int TargetPool::othersAt(const State &state, const Business &business, Instant now) const
{
    if (now - state.reportedAt < loadReportFresh)
        return state.reportedOthers;
    int told = hooks_.othersInFlight(static_cast<std::uint32_t>(state.hash), now);
    if (const auto expected = business.expectedOthers.find(state.region);
        expected != business.expectedOthers.end())
        told = std::max(told, static_cast<int>(expected->second));
    if (now - state.reportedAt > loadReportUse)
        return told;
    return std::max(told, state.reportedOthers);
}

double TargetPool::objectsAskedFor(const ServiceId &service) const
{
    const auto found = objects_.find(service);
    return found == objects_.end() ? 1 : found->second.asked.estimate();
}

double TargetPool::objectsKept(const ServiceId &service) const
{
    const auto found = objects_.find(service);
    return found == objects_.end() ? keptFirst : found->second.kept;
}

// How busy the service's targets are: what work costs those that wait, nothing while
// many slots are free, and what others are expected to have at a target.
const TargetPool::Business &TargetPool::businessOf(const ServiceId &service, Instant now) const
{
    Business &business = business_[service];
    const auto targets = byService_.find(service);
    if (now - business.at < busyCheck || targets == byService_.end())
        return business;
    business.at = now;
    expectOthers(targets->second, business, now);
    double used = 0;
    double slots = 0;
    for (const State *state : targets->second) {
        if (state->target.isDraining || evacuated_.count(state->target.failureDomain) > 0)
            continue;
        slots += state->target.slots;
        used += std::min(state->target.slots, state->inFlight + othersAt(*state, business, now));
    }
    const double part = slots > 0 ? used / slots : 0;
    business.price = std::clamp((part - busyFrom) / (busyFull - busyFrom), 0.0, 1.0);
    return business;
}

void TargetPool::expectOthers(const std::vector<State *> &targets, Business &business,
                              Instant now) const
{
    struct Use
    {
        int targets = 0;
        int inFlight = 0;
    };
    std::map<RegionId, Use> uses;
    for (const State *state : targets) {
        if (state->target.isDraining || evacuated_.count(state->target.failureDomain) > 0)
            continue;
        Use &use = uses[state->region];
        ++use.targets;
        use.inFlight += state->inFlight;
    }
    const auto others = static_cast<double>(hooks_.vmsInRegion(now)) - 1;
    for (const auto &[region, use] : uses) {
        double &expected = business.expectedOthers[region];
        const double newest = use.inFlight * others / use.targets;
        expected += busySmoothing * (newest - expected);
    }
}

bool TargetPool::wasSentLately(const State &state, std::uint64_t object, Instant now) const
{
    return std::any_of(state.objects.begin(), state.objects.end(), [&](const auto &sent) {
        return sent.first == object && now - sent.second < objectMemory;
    });
}

void TargetPool::noteObject(State &state, const Wish &wish, Instant now)
{
    if (wish.object == 0)
        return;
    auto &sent = state.objects;
    sent.erase(std::remove_if(sent.begin(), sent.end(),
                              [&](const auto &entry) { return entry.first == wish.object; }),
               sent.end());
    sent.emplace_back(wish.object, now);
    const auto remembered = static_cast<std::size_t>(ownPart * objectsKept(wish.service));
    while (sent.size() > std::max<std::size_t>(1, remembered))
        sent.erase(sent.begin());
}

// How this VM's requests will be spread over the regions: its own serves what its slots
// can, the others the rest by their slots. Without this a small region takes all of its
// first requests and soon sends most of them away.
std::map<RegionId, double> TargetPool::expectedParts() const
{
    std::map<RegionId, double> slots;
    double all = 0;
    for (const auto &[id, state] : states_) {
        if (state.target.isDraining || evacuated_.count(state.target.failureDomain) > 0)
            continue;
        slots[state.region] += state.target.slots;
        all += state.target.slots;
    }
    if (all <= 0)
        return { { options_.vm.region, 1.0 } };
    const double own = slots[options_.vm.region];
    const double asked = std::max(1e-9, hooks_.regionPart() * expectedUse * all);
    const double atHome = own >= all ? 1 : std::min(1.0, own / asked);
    for (auto &[region, part] : slots)
        part = region == options_.vm.region ? atHome : (1 - atHome) * part / (all - own);
    return slots;
}

Duration TargetPool::wayTo(const State &state) const
{
    const auto measured = ways_.find(state.target.failureDomain);
    if (measured != ways_.end())
        return measured->second;
    if (state.target.failureDomain == options_.vm.failureDomain)
        return Duration();
    return state.region == options_.vm.region ? wayInRegion : wayBetweenRegions;
}

// The work of a request whose object is not warm, in milliseconds.
double TargetPool::usualWork(const State &state, const Wish &wish, Instant now) const
{
    const double usual = millis(expectedWork(wish.route)) * slownessOf(state);
    return isCold(state, now) ? usual * coldWorkFactor : usual;
}

double TargetPool::workAt(const State &state, const Wish &wish, double warmth, Instant now) const
{
    return usualWork(state, wish, now) * (warmth * warmWorkFactor + 1 - warmth);
}

Duration TargetPool::finishAt(const State &state, const Wish &wish, int others, double work,
                              Instant now) const
{
    const double usual = usualWork(state, wish, now);
    const int occupied = state.inFlight + others;
    const int slots = std::max(1, state.target.slots);
    // What is ahead in the queue is as likely to be warm as what is here.
    const double ahead = wish.object != 0 ? usual * (warmWorkFactor + 1) / 2 : usual;
    const double wait = occupied < slots ? 0 : ahead * (occupied - slots + 1) / slots;
    // A nearly full target is more likely to be full once the request is there.
    const double crowding = 0.1 * ahead * occupied / slots;
    return wayTo(state) + fromMillis(wait + crowding + work);
}

void TargetPool::onSent(const TargetId &target, const Wish &wish, Instant now)
{
    State *state = findState(target);
    if (state == nullptr)
        return;
    ++state->inFlight;
    if (!flow_.hasBegun())
        flow_.begin(expectedParts(), now);
    flow_.note(state->region, now);
    if (isCold(*state, now))
        state->coldSentAt = now;
    if (wish.object == 0)
        return;
    objects_[wish.service].asked.note(wish.object, now);
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
    learnWay(*state, ended.connectTime);
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
    // A target's own errors are common; one that takes nothing or cuts is not.
    const bool isError = isAnswered && !ended.saysNotRun;
    noteFailure(*state, !isError || ended.status >= 500, isError ? 0.1 : 0.3, now);
    if (isAnswered && !ended.saysNotRun && ended.status < 400)
        learnWork(*state, wish, took, now);
}

void TargetPool::onCancelled(const TargetId &target, Instant now)
{
    if (State *state = findState(target))
        state->inFlight = std::max(0, state->inFlight - 1);
}

void TargetPool::noteFailure(State &state, bool isFailed, double weight, Instant now)
{
    const double before = failureOf(state, now);
    state.failure = before * (1 - weight) + (isFailed ? weight : 0);
    state.failureAt = now;
}

// A connection takes as long as the way there and back; a lost packet makes it longer,
// so that the smoothing follows shorter times at once.
void TargetPool::learnWay(const State &state, Duration connectTime)
{
    if (connectTime <= Duration())
        return;
    const auto [way, isNew] = ways_.emplace(state.target.failureDomain, connectTime);
    if (!isNew)
        way->second = std::min(connectTime, way->second + (connectTime - way->second) / 16);
}

// Learns how long a route's work takes where its object is not warm, how slow a target
// is, and how many objects it keeps. An answer that came much sooner than usual had a
// warm object.
void TargetPool::learnWork(State &state, const Wish &wish, Duration took, Instant now)
{
    const bool wasExpectedWarm = wish.object != 0 && wasSentLately(state, wish.object, now);
    noteObject(state, wish, now);
    if (took <= Duration() || isCold(state, now) || !wish.foundFreeSlot)
        return;
    const double measured = std::max(1.0, millis(took - wayTo(state)));
    const auto [known, isNew] = work_.emplace(wish.route, measured);
    double &usual = known->second;
    if (isNew)
        return;
    const bool isWarm = wish.object != 0 && measured < warmAnswer * usual * slownessOf(state);
    if (wasExpectedWarm) {
        double &kept = objects_[wish.service].kept;
        kept = std::clamp(kept * (isWarm ? keptGrowth : keptDecay), keptLeast, keptMost);
    }
    const double cold = isWarm ? measured / warmWorkFactor : measured;
    // A VM that starts late sees warm answers first, so that its usual rises fast.
    const double rate = isWarm ? learnRate / 10 : cold > usual ? learnRate * 2 : learnRate / 2;
    usual += rate * (std::min(cold / std::max(1.0, state.slowness), workMost * usual) - usual);
    state.slowness = std::clamp(state.slowness + 2 * learnRate * (cold / usual - state.slowness),
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
