// Each selection examines every target of the service. With 450 targets that takes some
// 20 microseconds, less than the rest of a request costs.
#include "bluebellshift/gateway/targetpool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include <fmt/format.h>

#include "bluebellshift/gateway/admission/urgentroom.h"
#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr double learningRate = 0.1; // weight of one sample
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 12;
constexpr double warmResponseFraction =
    0.6; // of the usual service time; a faster response had a warm object
constexpr double maxSampleFactor = 3; // a sample counts for at most this multiple of the usual time

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

bool mayRunAnywhere(const TargetCriteria &criteria)
{
    const auto allowsAll = [](const std::vector<RegionId> *regions) {
        return regions == nullptr || regions->empty();
    };
    return allowsAll(criteria.routeRegions) && allowsAll(criteria.teamRegions);
}

} // namespace

TargetPool::TargetPool(const GatewayOptions &options, regions::FaultWatch &faults, PoolHooks hooks)
    : options_(options)
    , faults_(faults)
    , hooks_(std::move(hooks))
    , shareLimit_(options,
                  { hooks_.regionRequests, [this](Instant now) { return faults_.isNear(now); },
                    [this](Instant now) { return slotsByRegion(now); }, hooks_.vmsInRegion,
                    [this] { return ownRegionShare(); } })
    , plans_(shareLimit_.regions(), shareLimit_.indexOf(options.vm.region),
             hashText(options.vm.id.text()),
             { hooks_.regionShares, hooks_.requestsByRegion,
               [this](Instant now) { return faults_.isNear(now); }, hooks_.log })
    , limits_(options.vm.id, { hooks_.senderRank, hooks_.log })
    , signals_(hooks_.log)
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
        byHash_[hashOf(target.id)] = known;
    }
    const bool wasDraining = !isNew && known->target.isDraining;
    known->target = target;
    const auto region = options_.regionOf.find(target.failureDomain);
    known->region = region == options_.regionOf.end() ? RegionId() : region->second;
    known->regionIndex = shareLimit_.indexOf(known->region);
    if (target.warmupLeft > Duration())
        makeCold(*known, target.warmupLeft, now);
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
    const bool isLeaving = signals_.stateOf(startOf(found->second.target), now)
        == targets::TargetSignals::State::Leaving;
    if (!found->second.target.isDraining && !isLeaving)
        faults_.onSign(regions::FaultSign::TargetLost, now);
    byHash_.erase(hashOf(target));
    states_.erase(found);
    limits_.forget(target);
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
    faults_.onSign(regions::FaultSign::DomainEvacuated, now);
    hooks_.log({ isEvacuated ? core::log::domainEvacuated : core::log::domainReturned,
                 { { "domain", domain.text() } } });
    if (isEvacuated)
        return;
    // Targets of an evacuated domain receive no requests and may have become cold.
    for (auto &[id, state] : states_) {
        if (state.target.failureDomain != domain || !config_)
            continue;
        if (const ServicePolicy *policy = config_->findService(state.target.service))
            makeCold(state, policy->warmup, now);
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

std::vector<TargetId> TargetPool::targetIds() const
{
    std::vector<TargetId> all;
    for (const auto &[id, state] : states_)
        all.push_back(id);
    return all;
}

TargetSelection TargetPool::select(const TargetCriteria &criteria, std::uint64_t random,
                                   Instant now) const
{
    TargetSelection best;
    ExclusionCounts counts {};
    const std::vector<const State *> candidates = candidatesFor(criteria, &counts, now);
    int bestRank = 0;
    double bestScore = 0;
    const Congestion &congestion = congestionOf(criteria.service, now);
    std::vector<Exclusion> exclusions;
    exclusions.reserve(candidates.size());
    for (const State *state : candidates)
        exclusions.push_back(currentExclusion(*state, criteria, now));
    const std::vector<targets::PlacedTarget> placed =
        placedTargets(criteria, candidates, exclusions, congestion, now);
    const std::optional<std::size_t> homeRegion = homeRegionFor(criteria, placed, exclusions);
    std::map<RegionId, double> penaltiesMs;
    for (const auto &[domain, region] : options_.regionOf)
        penaltiesMs.emplace(region, 0);
    for (auto &[region, penaltyMs] : penaltiesMs)
        penaltyMs = flow_.penaltyMs(region, now);
    const regions::ShareLimit::Open openRegions =
        mayRunAnywhere(criteria) ? shareLimit_.openRegions(now) : regions::ShareLimit::Open();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const State &state = *candidates[i];
        const double warmth = placed.empty() ? 0 : placed[i].warmth;
        const bool isHome = !placed.empty() && placed[i].isHome;
        const bool isPreferred = isHome && state.regionIndex == homeRegion;
        // The shares of preferred targets change with the plan only, which limits the change.
        const bool isOpen = isPreferred
            || (isHome && homeRegion
                    ? plans_.of(criteria.service).mayTakeOver(state.regionIndex, now)
                    : shareLimit_.isOpen(openRegions, state.regionIndex));
        Exclusion exclusion = isOpen ? exclusions[i] : Exclusion::Shift;
        if (exclusion == Exclusion::None && homeRegion && !isHome)
            exclusion = Exclusion::NotHome;
        ++counts[static_cast<std::size_t>(exclusion)];
        if (exclusion == Exclusion::Paused) {
            const Instant end = *signals_.pauseEnd(startOf(state.target), now);
            best.availableAt =
                best.availableAt == Instant::never() ? end : std::min(best.availableAt, end);
        }
        if (exclusion != Exclusion::None)
            continue;
        const int others = criteria.object != 0 ? agedOthersAt(state, congestion, now)
                                                : othersAt(state, congestion, now);
        const double serviceTimeMs = serviceTimeMsAt(state, criteria, warmth, now);
        const Duration timeToFinish = timeToFinishAt(state, criteria, others, serviceTimeMs, now);
        double score = millis(timeToFinish) + congestion.level * serviceTimeMs
            + failureRateOf(state, now) * millis(failureCost);
        if (!isPreferred)
            score += penaltiesMs[state.region];
        if (state.target.failureDomain != options_.vm.failureDomain)
            score +=
                crossDomainMillisPerKilobyte * (1 + static_cast<double>(criteria.bodyBytes) / 1000);
        // Breaks ties at random. Otherwise all VMs would select the same one of equal targets.
        score += 4 * toFraction(mixHashes(state.hash, random));
        const int slots =
            admission::UrgentRoom::slotsFor(state.target.slots, criteria.reservedShare);
        // A home in another region is used only if those in the planned one have no free slot.
        const bool hasSlot = state.inFlight + others < slots;
        const int rank = !homeRegion ? 0 : (hasSlot ? 0 : 2) + (isPreferred ? 0 : 1);
        if (best.target != nullptr && std::tie(rank, score) >= std::tie(bestRank, bestScore))
            continue;
        bestRank = rank;
        bestScore = score;
        best.target = &state.target;
        best.timeToFinish = timeToFinish;
        best.ownInFlight = state.inFlight;
        best.othersInFlight = others;
        best.slots = slots;
        best.warmth = warmth;
        best.expectedWarmth = expectedWarmthAt(state, criteria, isHome, now);
    }
    best.plannedRegion = homeRegion;
    best.exclusionCounts =
        fmt::format("draining:{},evacuated:{},region:{},tried:{},avoided:{},cold:{},limited:{},"
                    "leaving:{},paused:{},shift:{},notHome:{}",
                    counts[1], counts[2], counts[3], counts[4], counts[5], counts[6], counts[7],
                    counts[8], counts[9], counts[10], counts[11]);
    const int signalled = counts[static_cast<std::size_t>(Exclusion::Leaving)]
        + counts[static_cast<std::size_t>(Exclusion::Paused)];
    const int temporary = counts[static_cast<std::size_t>(Exclusion::Tried)]
        + counts[static_cast<std::size_t>(Exclusion::Ejected)]
        + counts[static_cast<std::size_t>(Exclusion::Cold)]
        + counts[static_cast<std::size_t>(Exclusion::Limited)]
        + counts[static_cast<std::size_t>(Exclusion::Shift)]
        + counts[static_cast<std::size_t>(Exclusion::NotHome)];
    best.isUnavailable = best.target == nullptr && signalled > 0 && temporary == 0;
    return best;
}

// Targets that are excluded at most temporarily.
std::vector<const TargetPool::State *> TargetPool::candidatesFor(const TargetCriteria &criteria,
                                                                 ExclusionCounts *counts,
                                                                 Instant now) const
{
    std::vector<const State *> candidates;
    const auto targets = byService_.find(criteria.service);
    if (targets == byService_.end())
        return candidates;
    candidates.reserve(targets->second.size());
    for (const State *state : targets->second) {
        const Exclusion exclusion = lastingExclusion(*state, criteria, now);
        if (exclusion != Exclusion::None)
            ++(*counts)[static_cast<std::size_t>(exclusion)];
        else
            candidates.push_back(state);
    }
    return candidates;
}

std::vector<targets::PlacedTarget> TargetPool::placedTargets(
    const TargetCriteria &criteria, const std::vector<const State *> &candidates,
    const std::vector<Exclusion> &exclusions, const Congestion &congestion, Instant now) const
{
    std::vector<targets::PlacedTarget> placed;
    if (criteria.object == 0)
        return placed;
    placed.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const State &state = *candidates[i];
        targets::PlacedTarget target;
        target.hash = mixHashes(state.hash, criteria.object);
        target.region = state.regionIndex;
        target.slots = state.target.slots;
        target.isUsable = canBeHome(state, exclusions[i], now);
        placed.push_back(target);
    }
    placement_.place(criteria.service,
                     { criteria.object, plans_.ownDemand(),
                       plans_.of(criteria.service).homeShares(), congestion.utilization },
                     placed);
    return placed;
}

// Whether a target may keep its objects. One that the request has tried does, as a retry needs no
// substitute for it. One that fails often, or is slower with a warm object than others with a cold
// one, does not.
bool TargetPool::canBeHome(const State &state, Exclusion exclusion, Instant now) const
{
    return (exclusion == Exclusion::None || exclusion == Exclusion::Tried)
        && failureRateOf(state, now) < maxHomeFailureRate
        && slownessOf(state) * warmServiceTimeFactor < 1;
}

// The region whose homes the request is to use, if any of them may take it.
std::optional<std::size_t>
TargetPool::homeRegionFor(const TargetCriteria &criteria,
                          const std::vector<targets::PlacedTarget> &placed,
                          const std::vector<Exclusion> &exclusions) const
{
    const regions::RegionPlan &plan = plans_.of(criteria.service);
    std::vector<bool> isUsable(plan.shares().size(), false);
    for (std::size_t i = 0; i < placed.size(); ++i) {
        if (placed[i].isHome && exclusions[i] == Exclusion::None
            && placed[i].region < isUsable.size())
            isUsable[placed[i].region] = true;
    }
    if (criteria.plannedRegion && *criteria.plannedRegion < isUsable.size()
        && isUsable[*criteria.plannedRegion])
        return criteria.plannedRegion;
    return plan.next([&](std::size_t region) { return isUsable[region]; });
}

targets::ExpectedWarmth TargetPool::expectedWarmthAt(const State &state,
                                                     const TargetCriteria &criteria, bool isHome,
                                                     Instant now) const
{
    if (criteria.object == 0)
        return targets::ExpectedWarmth::NoObject;
    if (wasSentRecently(state, criteria.object, now))
        return targets::ExpectedWarmth::SentRecently;
    return isHome ? targets::ExpectedWarmth::Preferred : targets::ExpectedWarmth::Cold;
}

TargetPool::Exclusion
TargetPool::lastingExclusion(const State &state, const TargetCriteria &criteria, Instant now) const
{
    const Target &target = state.target;
    if (target.isDraining)
        return Exclusion::Draining;
    if (signals_.stateOf(startOf(target), now) == targets::TargetSignals::State::Leaving)
        return Exclusion::Leaving;
    if (evacuated_.count(target.failureDomain) > 0)
        return Exclusion::Evacuated;
    if (!isAllowed(criteria.routeRegions, state.region)
        || !isAllowed(criteria.teamRegions, state.region))
        return Exclusion::Region;
    return Exclusion::None;
}

TargetPool::Exclusion
TargetPool::currentExclusion(const State &state, const TargetCriteria &criteria, Instant now) const
{
    const auto *tried = criteria.tried;
    if (tried != nullptr
        && std::find(tried->begin(), tried->end(), state.target.id) != tried->end())
        return Exclusion::Tried;
    if (now < state.ejectedUntil || (state.consecutiveConnectFailures > 0 && state.inFlight > 0))
        return Exclusion::Ejected;
    if (isCold(state, now) && !mayUseCold(state, now))
        return Exclusion::Cold;
    if (!limits_.mayConsider(state.target.id, now))
        return Exclusion::Limited;
    if (signals_.stateOf(startOf(state.target), now) == targets::TargetSignals::State::Paused)
        return Exclusion::Paused;
    return Exclusion::None;
}

void TargetPool::makeCold(State &state, Duration time, Instant now)
{
    if (!isCold(state, now))
        state.coldUse.since = now;
    state.coldUntil = std::max(state.coldUntil, now + time);
}

bool TargetPool::mayUseCold(const State &state, Instant now) const
{
    const ServicePolicy *policy = config_ ? config_->findService(state.target.service) : nullptr;
    double perSecond = 0;
    if (policy != nullptr && policy->coldRequestsPerSecond > 0) {
        perSecond = policy->coldRequestsPerSecond * options_.bounds.coldRateFactor
            + options_.bounds.coldSlack;
    }
    const double phase = toFraction(mixHashes(hashText(options_.vm.id.text()), state.hash));
    return targets::ColdSenders::mayUse(state.coldUse, perSecond,
                                        hooks_.coldSenderRank(state.hash, now), phase, now);
}

double TargetPool::failureRateOf(const State &state, Instant now) const
{
    if (state.failureRate == 0)
        return 0;
    return state.failureRate
        * std::exp2(-(now - state.failureUpdatedAt).toSeconds() / failureHalfLife.toSeconds());
}

double TargetPool::slownessOf(const State &state)
{
    const bool isUsual = state.slowness > minUsualSlowness && state.slowness < maxUsualSlowness;
    return isUsual ? 1 : state.slowness;
}

// The slots that the target's requests may fill: fewer than it has, if it names a limit.
double TargetPool::slotsOf(const State &state) const
{
    const std::optional<double> limit = limits_.limitOf(state.target.id);
    if (!limit)
        return state.target.slots;
    const auto mean = meanTimesMs_.find(state.target.service);
    const double meanMs = mean == meanTimesMs_.end() ? millis(initialServiceTime) : mean->second;
    return std::min<double>(state.target.slots, *limit * meanMs / 1000);
}

int TargetPool::othersAt(const State &state, const Congestion &congestion, Instant now) const
{
    if (now - state.reportedAt < freshLoadReportAge)
        return state.reportedOthersInFlight;
    int reported = hooks_.othersInFlight(static_cast<std::uint32_t>(state.hash), now);
    if (const auto expected = congestion.expectedOthers.find(state.region);
        expected != congestion.expectedOthers.end() && !limits_.limitOf(state.target.id))
        reported = std::max(reported, static_cast<int>(expected->second));
    if (now - state.reportedAt > maxLoadReportAge)
        return reported;
    return std::max(reported, state.reportedOthersInFlight);
}

// The requests of other VMs at a target that has the object warm, from the newest report. What a
// report shows ends within the time that a request takes, so that a report counts for less the
// older it is: an old one would send requests away from the target at random.
int TargetPool::agedOthersAt(const State &state, const Congestion &congestion, Instant now) const
{
    if (!plans_.reportsLoad(state.target.service))
        return othersAt(state, congestion, now);
    Duration age = congestion.reportAge;
    int reported = 0;
    if (state.reportedAt != Instant::never() && now - state.reportedAt < age) {
        age = now - state.reportedAt;
        reported = state.reportedOthersInFlight;
    } else {
        reported = hooks_.othersInFlight(static_cast<std::uint32_t>(state.hash), now);
    }
    const auto mean = meanTimesMs_.find(state.target.service);
    const double meanMs = mean == meanTimesMs_.end() ? millis(initialServiceTime) : mean->second;
    return static_cast<int>(reported * std::exp(-millis(age) / meanMs));
}

// Utilization of the service's targets, recomputed at most every congestionInterval: the
// weight of service time that delays waiting requests, which is zero while many slots are
// free, and the load expected from other VMs.
const TargetPool::Congestion &TargetPool::congestionOf(const ServiceId &service, Instant now) const
{
    Congestion &congestion = congestion_[service];
    const auto targets = byService_.find(service);
    if (now - congestion.at < congestionInterval || targets == byService_.end())
        return congestion;
    congestion.at = now;
    updateExpectedOthers(targets->second, congestion, now);
    double used = 0;
    double slots = 0;
    for (const State *state : targets->second) {
        if (state->target.isDraining || evacuated_.count(state->target.failureDomain) > 0)
            continue;
        const double usable = slotsOf(*state);
        slots += usable;
        used += std::min<double>(usable, state->inFlight + othersAt(*state, congestion, now));
    }
    congestion.utilization = slots > 0 ? used / slots : 0;
    congestion.utilization = plans_.utilization(service, now).value_or(congestion.utilization);
    congestion.reportAge = hooks_.reportAge(now);
    plans_.update(service, plannedSlots(targets->second), now);
    congestion.level = std::clamp((congestion.utilization - minCongestedUtilization)
                                      / (fullCongestedUtilization - minCongestedUtilization),
                                  0.0, 1.0);
    return congestion;
}

// The slots of a service in each region that targets are to keep.
regions::RegionValues TargetPool::plannedSlots(const std::vector<State *> &targets) const
{
    regions::RegionValues slots(shareLimit_.regions().size(), 0);
    for (const State *state : targets) {
        if (state->regionIndex < slots.size() && !state->target.isDraining
            && evacuated_.count(state->target.failureDomain) == 0)
            slots[state->regionIndex] += state->target.slots;
    }
    return slots;
}

double TargetPool::ownRegionShare() const
{
    const std::map<RegionId, double> shares = hooks_.regionShares();
    const auto own = shares.find(options_.vm.region);
    return own == shares.end() ? 0 : own->second;
}

void TargetPool::updateExpectedOthers(const std::vector<State *> &targets, Congestion &congestion,
                                      Instant now) const
{
    struct Use
    {
        int targets = 0;
        int inFlight = 0;
    };
    std::map<RegionId, Use> uses;
    for (const State *state : targets) {
        if (state->target.isDraining || evacuated_.count(state->target.failureDomain) > 0
            || limits_.limitOf(state->target.id))
            continue;
        Use &use = uses[state->region];
        ++use.targets;
        use.inFlight += state->inFlight;
    }
    const auto others = static_cast<double>(hooks_.vmsInRegion(now)) - 1;
    for (const auto &[region, use] : uses) {
        double &expected = congestion.expectedOthers[region];
        const double newest = use.inFlight * others / use.targets;
        expected += congestionSmoothing * (newest - expected);
    }
}

bool TargetPool::wasSentRecently(const State &state, std::uint64_t object, Instant now) const
{
    return std::any_of(state.objects.begin(), state.objects.end(), [&](const auto &sent) {
        return sent.first == object && now - sent.second < recentObjectAge;
    });
}

void TargetPool::recordObject(State &state, const TargetCriteria &criteria, Instant now)
{
    if (criteria.object == 0)
        return;
    auto &sent = state.objects;
    sent.erase(std::remove_if(sent.begin(), sent.end(),
                              [&](const auto &entry) { return entry.first == criteria.object; }),
               sent.end());
    sent.emplace_back(criteria.object, now);
    const auto remembered = static_cast<std::size_t>(
        ownObjectShare * placement_.warmObjectsPerTarget(criteria.service));
    while (sent.size() > std::max<std::size_t>(1, remembered))
        sent.erase(sent.begin());
}

// Expected distribution of this VM's requests over the regions. Without this, a small region would
// serve all of its first requests and soon afterwards send most of them to other regions.
std::map<RegionId, double> TargetPool::expectedRegionShares(Instant now) const
{
    const std::vector<RegionId> &regions = shareLimit_.regions();
    const regions::RegionValues shares = regions::ShareLimit::expectedShares(
        slotsByRegion(now), shareLimit_.indexOf(options_.vm.region), ownRegionShare());
    std::map<RegionId, double> expected;
    for (std::size_t i = 0; i < regions.size(); ++i)
        expected[regions[i]] = shares[i];
    return expected;
}

regions::RegionValues TargetPool::slotsByRegion(Instant now) const
{
    regions::RegionValues slots(shareLimit_.regions().size(), 0);
    for (const auto &[id, state] : states_) {
        if (state.regionIndex < slots.size() && isUsable(state, now))
            slots[state.regionIndex] += slotsOf(state);
    }
    return slots;
}

Duration TargetPool::rttTo(const State &state) const
{
    const auto measured = rtts_.find(state.target.failureDomain);
    if (measured != rtts_.end())
        return measured->second;
    if (state.target.failureDomain == options_.vm.failureDomain)
        return Duration();
    return state.region == options_.vm.region ? defaultRttInRegion : defaultRttBetweenRegions;
}

Duration TargetPool::transferTime(const State &state, const TargetCriteria &criteria) const
{
    const double roundTrips = 1 + static_cast<double>(criteria.bodyBytes) / bytesPerRoundTrip;
    return fromMillis(millis(rttTo(state)) * roundTrips);
}

// Expected service time, in milliseconds, of a request whose object is not warm.
double TargetPool::coldObjectServiceTimeMs(const State &state, const TargetCriteria &criteria,
                                           Instant now) const
{
    const double usualMs = millis(expectedServiceTime(criteria.route)) * slownessOf(state)
        * signals_.workFactor(startOf(state.target), now);
    return isCold(state, now) ? usualMs * coldServiceTimeFactor : usualMs;
}

double TargetPool::serviceTimeMsAt(const State &state, const TargetCriteria &criteria,
                                   double warmth, Instant now) const
{
    return coldObjectServiceTimeMs(state, criteria, now)
        * (warmth * warmServiceTimeFactor + 1 - warmth);
}

Duration TargetPool::timeToFinishAt(const State &state, const TargetCriteria &criteria, int others,
                                    double serviceTimeMs, Instant now) const
{
    const double usualMs = coldObjectServiceTimeMs(state, criteria, now);
    const int occupied = state.inFlight + others;
    const int slots =
        std::max(1, admission::UrgentRoom::slotsFor(state.target.slots, criteria.reservedShare));
    // Requests queued ahead are assumed to have a warm object in half of the cases.
    const double queuedServiceTimeMs =
        criteria.object != 0 ? usualMs * (warmServiceTimeFactor + 1) / 2 : usualMs;
    const double waitMs =
        occupied < slots ? 0 : queuedServiceTimeMs * (occupied - slots + 1) / slots;
    // A nearly full target is more likely to be full when the request arrives.
    const double crowdingMs = 0.1 * queuedServiceTimeMs * occupied / slots;
    return transferTime(state, criteria) + fromMillis(waitMs + crowdingMs + serviceTimeMs);
}

void TargetPool::onPlanned(const ServiceId &service, std::size_t region, Instant now)
{
    plans_.of(service).onPlanned(region, now);
}

void TargetPool::onSent(const TargetId &target, const TargetCriteria &criteria, Instant now)
{
    State *state = findState(target);
    if (state == nullptr)
        return;
    ++state->inFlight;
    if (!flow_.hasBegun())
        flow_.begin(expectedRegionShares(now), now);
    flow_.record(state->region, now);
    if (mayRunAnywhere(criteria))
        shareLimit_.onSent(state->regionIndex, now);
    limits_.onSent(target, now);
    signals_.onSent(startOf(state->target), now);
    if (isCold(*state, now))
        state->coldUse.sentAt = now;
    if (criteria.object == 0)
        return;
    if (criteria.plannedRegion && *criteria.plannedRegion != state->regionIndex)
        plans_.of(criteria.service).onMoved(*criteria.plannedRegion, state->regionIndex);
    placement_.recordRequest(criteria.service, criteria.object, now);
}

targets::FoundWarmth TargetPool::onEnded(const TargetId &target, const TargetCriteria &criteria,
                                         const AttemptEnded &ended, Duration elapsed, Instant now)
{
    signals_.onResponse({ target, criteria.targetStart }, ended, now);
    State *state = findState(target);
    if (state == nullptr)
        return targets::FoundWarmth::Unknown;
    state->inFlight = std::max(0, state->inFlight - 1);
    const bool hasRun = ended.outcome != AttemptOutcome::ConnectFailed && !ended.saysNotRun;
    if (!hasRun && mayRunAnywhere(criteria))
        shareLimit_.onNotRun(state->regionIndex, now);
    const bool isShed = ended.saysNotRun && ended.status != 421 && ended.load
        && ended.load->running < ended.load->slots;
    if (isShed
        || (ended.outcome != AttemptOutcome::Answered && ended.outcome != AttemptOutcome::TimedOut))
        faults_.onFailure(now);
    if (ended.load) {
        plans_.onReport(state->target.service, state->regionIndex, *ended.load, now);
        state->reportedOthersInFlight =
            std::max(0, ended.load->running + ended.load->waiting - state->inFlight);
        state->reportedAt = now;
    }
    if (ended.outcome == AttemptOutcome::ConnectFailed) {
        state->consecutiveConnectFailures = std::min(state->consecutiveConnectFailures + 1, 8);
        const Duration pause = ejectionTime * (1 << (state->consecutiveConnectFailures - 1));
        state->ejectedUntil = now + std::min(pause, maxEjectionTime);
        if (state->consecutiveConnectFailures == 1) {
            hooks_.log({ core::log::targetEjected,
                         { { "target", target.text() }, { "reason", "connection failed" } } });
        }
        return targets::FoundWarmth::Unknown;
    }
    learnRtt(*state, ended.connectTime);
    if (state->consecutiveConnectFailures > 0) {
        state->consecutiveConnectFailures = 0;
        hooks_.log({ core::log::targetReturned,
                     { { "target", target.text() }, { "reason", "connection succeeded" } } });
    }
    if (ended.outcome == AttemptOutcome::Answered && ended.status == 421) {
        remove(target, "its address belongs to another target", now);
        return targets::FoundWarmth::Unknown;
    }
    const bool isAnswered = ended.outcome == AttemptOutcome::Answered;
    if (ended.isAuthentic || ended.limitPerSecond)
        limits_.onResponse(target, state->region, ended.limitPerSecond, now);
    // Errors returned by a target are common and weigh less than rejections and aborted
    // connections.
    const bool isError = isAnswered && !ended.saysNotRun;
    recordOutcome(*state, !isError || ended.status >= 500, isError ? 0.1 : 0.3, now);
    if (!isAnswered || ended.saysNotRun || ended.status >= 400)
        return targets::FoundWarmth::Unknown;
    const targets::FoundWarmth found = foundWarmth(*state, criteria, ended, elapsed, now);
    learnServiceTime(*state, criteria, ended, found, elapsed, now);
    if (elapsed <= Duration())
        return found;
    double &meanMs = meanTimesMs_.emplace(criteria.service, millis(elapsed)).first->second;
    meanMs += learningRate / 10 * (millis(elapsed) - meanMs);
    return found;
}

targets::FoundWarmth TargetPool::foundWarmth(const State &state, const TargetCriteria &criteria,
                                             const AttemptEnded &ended, Duration elapsed,
                                             Instant now) const
{
    const auto usual = serviceTimesMs_.find(criteria.route);
    if (criteria.object == 0 || elapsed <= Duration() || usual == serviceTimesMs_.end()
        || isCold(state, now))
        return targets::FoundWarmth::Unknown;
    const double work = ended.load ? ended.load->workPercent.value_or(100) / 100.0 : 1;
    const double coldMs = usual->second * slownessOf(state) * work;
    if (millis(elapsed - transferTime(state, criteria)) < warmResponseFraction * coldMs)
        return targets::FoundWarmth::Warm;
    const bool mayHaveWaited = !ended.load || ended.load->waiting > 0;
    return mayHaveWaited ? targets::FoundWarmth::Unknown : targets::FoundWarmth::Cold;
}

void TargetPool::onLimitsReported(const VmId &from, const std::vector<TargetLimitReport> &reported,
                                  Duration age, Instant now)
{
    for (const TargetLimitReport &one : reported) {
        if (const auto found = byHash_.find(one.target); found != byHash_.end())
            limits_.onReport(found->second->target.id, found->second->region, one, age, from, now);
    }
}

void TargetPool::onLeavingReported(const VmId &from, const std::vector<LeavingTarget> &reported,
                                   Duration age, Instant now)
{
    for (const LeavingTarget &one : reported) {
        const auto found = byHash_.find(one.target);
        if (found == byHash_.end() || found->second->target.startUnixMillis != one.startUnixMillis)
            continue;
        signals_.onReport(startOf(found->second->target), age + Duration::millis(one.ageMillis),
                          from, now);
    }
}

void TargetPool::onCancelled(const TargetId &target, Instant now)
{
    if (State *state = findState(target))
        state->inFlight = std::max(0, state->inFlight - 1);
}

void TargetPool::recordOutcome(State &state, bool isFailed, double weight, Instant now)
{
    const double before = failureRateOf(state, now);
    state.failureRate = before * (1 - weight) + (isFailed ? weight : 0);
    state.failureUpdatedAt = now;
}

// Connection setup takes one round trip. Packet loss only lengthens it, so that a shorter
// sample is adopted at once and a longer one is smoothed.
void TargetPool::learnRtt(const State &state, Duration connectTime)
{
    if (connectTime <= Duration())
        return;
    const auto [rtt, isNew] = rtts_.emplace(state.target.failureDomain, connectTime);
    if (!isNew)
        rtt->second = std::min(connectTime, rtt->second + (connectTime - rtt->second) / 16);
}

// Updates the route's service time with a cold object, the target's slowness and the number
// of objects that a target keeps warm. A response that is much faster than usual is taken
// to have had a warm object. The pace that the target reports of its machine is left out: it
// changes before the next request.
void TargetPool::learnServiceTime(State &state, const TargetCriteria &criteria,
                                  const AttemptEnded &ended, targets::FoundWarmth found,
                                  Duration elapsed, Instant now)
{
    const bool wasExpectedWarm =
        criteria.object != 0 && wasSentRecently(state, criteria.object, now);
    recordObject(state, criteria, now);
    if (wasExpectedWarm && found != targets::FoundWarmth::Unknown)
        placement_.recordOutcome(criteria.service, found == targets::FoundWarmth::Warm);
    const bool mayHaveWaited = ended.load ? ended.load->waiting > 0 : !criteria.foundFreeSlot;
    if (elapsed <= Duration() || isCold(state, now) || mayHaveWaited)
        return;
    const double work = ended.load ? ended.load->workPercent.value_or(100) / 100.0 : 1;
    const double measuredMs = std::max(1.0, millis(elapsed - transferTime(state, criteria)) / work);
    const auto [known, isNew] = serviceTimesMs_.emplace(criteria.route, measuredMs);
    double &usualMs = known->second;
    if (isNew)
        return;
    const bool isWarm =
        criteria.object != 0 && measuredMs < warmResponseFraction * usualMs * slownessOf(state);
    const double coldMs = isWarm ? measuredMs / warmServiceTimeFactor : measuredMs;
    // A VM that joins late sees warm responses first and underestimates the cold service time,
    // so that larger samples are learned faster.
    const double rate = isWarm ? learningRate / 10
        : coldMs > usualMs     ? learningRate * 2
                               : learningRate / 2;
    usualMs += rate
        * (std::min(coldMs / std::max(1.0, state.slowness), maxSampleFactor * usualMs) - usualMs);
    state.slowness =
        std::clamp(state.slowness + 2 * learningRate * (coldMs / usualMs - state.slowness),
                   minSlowness, maxSlowness);
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

bool TargetPool::isUsable(const State &state, Instant now) const
{
    return !state.target.isDraining && evacuated_.count(state.target.failureDomain) == 0
        && now >= state.ejectedUntil
        && signals_.stateOf(startOf(state.target), now) == targets::TargetSignals::State::Usable;
}

int TargetPool::usableSlots(const ServiceId &service, Instant now) const
{
    double slots = 0;
    const auto targets = byService_.find(service);
    if (targets == byService_.end())
        return 0;
    for (const State *candidate : targets->second) {
        const State &state = *candidate;
        if (isUsable(state, now))
            slots += slotsOf(state);
    }
    return static_cast<int>(std::lround(slots));
}

int TargetPool::slotsPerTarget(const ServiceId &service) const
{
    const auto targets = byService_.find(service);
    if (targets == byService_.end() || targets->second.empty())
        return 1;
    double slots = 0;
    for (const State *state : targets->second)
        slots += state->target.slots;
    return std::max(1, static_cast<int>(slots / static_cast<double>(targets->second.size())));
}

Duration TargetPool::expectedServiceTime(const std::string &route) const
{
    const auto found = serviceTimesMs_.find(route);
    return found == serviceTimesMs_.end() ? initialServiceTime : fromMillis(found->second);
}

} // namespace bluebellshift::gateway
