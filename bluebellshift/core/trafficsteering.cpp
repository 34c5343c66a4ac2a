// Splits. Requests are assigned to regions by a golden-ratio sequence instead of
// independent random draws: after n requests, the count of each region is within
// a few requests of its fraction, while random draws would deviate by the square
// root of n. The traffic moved by a step is therefore the step itself, without
// added noise.
//
// Weights. Region r has the weight fraction(r) * admitted(r), so that the traffic
// that one region does not get goes to the others in proportion. Only the ratio
// of the admitted fractions matters. A recovered region starts at a millionth of
// the lowest admitted fraction of the others: it comes last, for requests that no
// other region can take. This is better than a refusal, and the ledger still
// keeps the region within its capacity.
//
// Failed regions. A region whose targets fail at this VM is excluded at once.
// When it recovers, its caches are cold, so its admitted fraction grows in steps,
// each within the cap of every service, one for each window, and only up to the
// measured warmth. Steps of a ramp and steps of a roll-out must not add up within
// one window. They exclude each other through the roll-out object: a ramp
// advances only while the object lists its region as unsettled, and no roll-out
// step is taken while it lists any region (see rolloutcontroller.cpp). A roll-out
// step would also move more than its size while the share of a failed region goes
// to the others. Within one VM, the ramp also waits one window after the last
// movement of the VM's traffic.
//
// Rejected alternatives: a ramp on the clock of each VM alone, which exceeds the
// cap when added to a step; and storing the ramp's fraction in the object, which
// would move traffic needlessly at other VMs when a region is down for some VMs
// only, after a partition between regions.
#include "bluebellshift/core/trafficsteering.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr double goldenRatioStep =
    0.6180339887498949; // n * this mod 1 is the most uniform sequence
constexpr double fullyAdmittedThreshold = 1 - 1e-9;
constexpr double initialAdmittedRatio = 1e-6; // of the lowest admitted fraction
constexpr double minWarmth = 0.2;             // a region can't warm up without any traffic
constexpr double minAdmitted = 1e-100;        // prevents underflow after repeated failures

// splitmix64: derives several random numbers from one.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double uniform(std::uint64_t random)
{
    return static_cast<double>(random >> 11) / 9007199254740992.0; // 2^53
}

bool haveSameEndpoints(const std::vector<WeightedVm> &a, const std::vector<WeightedVm> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const WeightedVm &x, const WeightedVm &y) {
                          return x.vm.id == y.vm.id && x.vm.region == y.vm.region
                              && x.vm.callers == y.vm.callers && x.weight == y.weight;
                      });
}

// Returns the index of the region at a position from 0 to 1 along the weights.
std::size_t pickRegion(const std::vector<RegionShare> &split, double position)
{
    double sum = 0;
    for (const RegionShare &share : split)
        sum += share.fraction;
    double remaining = position * sum;
    for (std::size_t i = 0; i < split.size(); ++i) {
        remaining -= split[i].fraction;
        if (remaining < 0)
            return i;
    }
    return split.size() - 1;
}

} // namespace

TrafficSteering::TrafficSteering(const CoreOptions &options, TrafficSteeringHooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
{
    if (!hooks_.regionHealth)
        hooks_.regionHealth = [](const RegionId &) { return RegionHealth(); };
}

Effects TrafficSteering::onViewChanged(BundlePointer inForce, BundlePointer previous,
                                       const Rollout &rollout, const std::vector<Vm> &vms,
                                       const std::vector<VmId> &serving, Instant now)
{
    if (inForce->version != rollout.bundle)
        return {};
    recordMovement(inForce, rollout, now);
    // A bundle version is immutable, so what was built from it stays valid.
    const bool isNewBundle = bundle_ == nullptr || bundle_->version != inForce->version;
    if (isNewBundle)
        bundle_ = std::move(inForce);
    previous_ = std::move(previous);
    rollout_ = rollout;

    const std::set<VmId> servingIds(serving.begin(), serving.end());
    std::vector<WeightedVm> vmsToPublish;
    for (const Vm &vm : vms) {
        if (!vm.isLeaving && servingIds.count(vm.id) > 0)
            vmsToPublish.push_back({ vm, 1 });
    }
    if (!isNewBundle && haveSameEndpoints(vmsToPublish, publishedVms_))
        return {};
    publishedVms_ = std::move(vmsToPublish);
    Effects effects;
    effects.push_back(PublishSnapshot { builder_.build(bundle_, publishedVms_) });
    effects.push_back(WriteLog { { log::snapshotPublished,
                                   { { "bundle", bundle_->version },
                                     { "vms", fmt::format("{}", publishedVms_.size()) } } } });
    return effects;
}

// Records when a step last moved traffic at this VM. A VM that has not steered
// yet moves none.
void TrafficSteering::recordMovement(const BundlePointer &inForce, const Rollout &rollout,
                                     Instant now)
{
    if (bundle_ == nullptr)
        return;
    const bool isNew = rollout.serial != rollout_.serial || inForce->version != bundle_->version;
    for (const ServiceShift &shift : rollout.services) {
        const ServiceShift *before = rollout_.findService(shift.service);
        if (isNew || before == nullptr || before->step != shift.step)
            lastMovementAt_ = now;
    }
}

Effects TrafficSteering::onTimer(Instant now)
{
    Effects effects;
    if (bundle_ == nullptr)
        return effects;
    const double lowest = initialAdmitted();
    for (const Region &region : bundle_->regions) {
        const RegionHealth health = hooks_.regionHealth(region.id);
        const auto [found, isNew] = ramps_.try_emplace(region.id);
        RegionRamp &ramp = found->second;
        if (!health.isUp) {
            if (ramp.isUp)
                effects.push_back(
                    WriteLog { { log::regionHeldOut, { { "region", region.id.text() } } } });
            ramp = { 0, false };
            continue;
        }
        if (!ramp.isUp)
            ramp = { std::max(minAdmitted, lowest), true };
        if (ramp.admitted < fullyAdmittedThreshold)
            raiseAdmitted(region.id, ramp, health.warmth, now, effects);
    }
    normalizeAdmitted();
    return effects;
}

// Returns the initial admitted fraction of a recovered region: 1 if all regions
// are down, since then it moves no traffic.
double TrafficSteering::initialAdmitted() const
{
    bool anyUp = ramps_.empty();
    double lowest = 1;
    for (const auto &item : ramps_) {
        if (!item.second.isUp)
            continue;
        anyUp = true;
        lowest = std::min(lowest, item.second.admitted);
    }
    return anyUp ? lowest * initialAdmittedRatio : 1;
}

// After the failure of the region with the largest fraction, the remaining
// regions already carry all traffic. Only ratios matter, so the largest fraction
// is scaled to 1.
void TrafficSteering::normalizeAdmitted()
{
    double highest = 0;
    for (const auto &item : ramps_)
        highest = std::max(highest, item.second.admitted);
    if (highest <= 0)
        return;
    for (auto &item : ramps_)
        item.second.admitted = std::min(1.0, item.second.admitted / highest);
}

void TrafficSteering::raiseAdmitted(const RegionId &region, RegionRamp &ramp, double warmth,
                                    Instant now, Effects &effects)
{
    const auto &listed = rollout_.unsettledRegions;
    if (std::find(listed.begin(), listed.end(), region) == listed.end())
        return;
    if (now - lastMovementAt_ < movementWait())
        return;
    const double next = nextAdmitted(region, ramp.admitted);
    if (next > std::max(warmth, minWarmth))
        return;
    ramp.admitted = next;
    lastMovementAt_ = now;
    effects.push_back(WriteLog { { log::regionAdmitted,
                                   { { "region", region.text() },
                                     { "admitted", fmt::format("{:.3f}", next) },
                                     { "warmth", fmt::format("{:.3f}", warmth) } } } });
}

// Returns the largest admitted fraction that moves at most one step of traffic
// for each service and each team with its own split.
double TrafficSteering::nextAdmitted(const RegionId &region, double admittedNow) const
{
    double next = 1;
    for (const Service &service : bundle_->services) {
        std::set<TeamId> teams { TeamId() };
        for (const TeamSplit &own : service.teamSplits)
            teams.insert(own.team);
        for (const TeamId &team : teams) {
            const double step = stepFractionOfCap * service.shiftCapFraction;
            next = std::min(next, admittedAfter(weights(service, team), region, step));
        }
    }
    return std::max(next, admittedNow);
}

// With weight w of the region and sum S of the others, its share is w / (S + w).
double TrafficSteering::admittedAfter(const std::vector<RegionShare> &weights,
                                      const RegionId &region, double step) const
{
    double own = 0;
    double others = 0;
    for (const RegionShare &share : weights)
        (share.region == region ? own : others) += share.fraction;
    if (own <= 0 || others <= 0)
        return 1;
    const double part = own / (own + others) + step;
    if (part >= 1)
        return 1;
    const double wanted = part * others / (1 - part);
    return std::min(1.0, admitted(region) * wanted / own);
}

// Sorted by region name, so that a step moves only the bounds between regions.
std::vector<RegionShare> TrafficSteering::weights(const Service &service, const TeamId &team) const
{
    std::vector<RegionShare> result;
    for (const RegionShare &share : splitInForce(service, rollout_.findService(service.id), team)) {
        const double weight = share.fraction * admitted(share.region);
        if (weight > 0)
            result.push_back({ share.region, weight });
    }
    std::sort(result.begin(), result.end(),
              [](const RegionShare &a, const RegionShare &b) { return a.region < b.region; });
    return result;
}

Duration TrafficSteering::movementWait() const
{
    return longestMovementWait(*bundle_, previous_.get(), options_.clockDrift);
}

std::vector<RegionId> TrafficSteering::regionOrder(const ServiceId &serviceId, std::uint64_t random,
                                                   Instant now, const TeamId &team)
{
    const Service *service = bundle_ == nullptr ? nullptr : bundle_->findService(serviceId);
    if (service == nullptr)
        return {};
    std::vector<RegionShare> remaining = weights(*service, team);
    std::vector<RegionId> order;
    double position = nextPosition(serviceId, team, random);
    while (!remaining.empty()) {
        const std::size_t index = pickRegion(remaining, position);
        order.push_back(remaining[index].region);
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(index));
        position = uniform(nextRandom(random));
    }
    return order;
}

double TrafficSteering::nextPosition(const ServiceId &service, const TeamId &team,
                                     std::uint64_t random)
{
    const auto [found, isNew] = positions_.try_emplace({ service, team }, uniform(random));
    if (!isNew)
        found->second = std::fmod(found->second + goldenRatioStep, 1.0);
    return found->second;
}

double TrafficSteering::admitted(const RegionId &region) const
{
    const auto found = ramps_.find(region);
    return found == ramps_.end() ? 1 : found->second.admitted;
}

std::vector<RegionId> TrafficSteering::unsettledRegions() const
{
    std::vector<RegionId> regions;
    for (const auto &[region, ramp] : ramps_) {
        const bool exists = bundle_ != nullptr && bundle_->findRegion(region) != nullptr;
        if (exists && ramp.admitted < fullyAdmittedThreshold)
            regions.push_back(region);
    }
    return regions;
}

} // namespace bluebellshift::core
