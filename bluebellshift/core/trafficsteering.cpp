// Splits. Requests are laid over the regions by a sequence of golden-ratio steps
// rather than by independent draws: after n requests each region's count is
// within a few requests of its fraction, where draws would be off by the square
// root of n. So the traffic that moves is the step, not the step and its noise.
//
// Weights. A request goes to region r with weight fraction(r) * admitted(r), so
// that what one region does not get goes to the others in proportion. Only the
// ratio of the admitted fractions counts. A region that comes up starts at a
// millionth of the least of the others: it stands last, for requests that no
// other region can take, which is better than a refusal; the ledger still keeps
// it within its capacity.
//
// Failed regions. A region whose targets fail here is left out at once. When it
// is up again its caches are cold, so its admitted fraction grows in
// steps, each within the cap of every service, one for each window, and only up
// to the warmth that is measured. Steps of a ramp and steps of a roll-out must
// not add up within one window. They exclude each other through the roll-out's
// object: a ramp moves only while the object lists its region as unsettled, and
// no step is taken while it lists one (see shift.cpp). A step would also move
// more than its size where a failed region's part has gone to the others. Within one VM the ramp
// also waits a window after the VM's own last movement.
//
// Ways weighed: a ramp on each VM's own clock alone (rejected: added to a step it
// exceeds the cap), and the ramp's fraction in the object (rejected: a region may
// be down for some VMs only, after a cut between regions, and the rest would
// have moved without need).
#include "bluebellshift/core/trafficsteering.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr double goldenStep = 0.6180339887498949; // the sequence n * this mod 1 is the most even
constexpr double fullyAdmitted = 1 - 1e-9;
constexpr double firstAdmitted = 1e-6;   // of the least of the other regions
constexpr double firstWarmth = 0.2;      // a region can't warm up without any traffic
constexpr double leastAdmitted = 1e-100; // where repeated failures would underflow

// splitmix64: turns one random number into several.
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

bool sameEndpoints(const std::vector<WeightedVm> &a, const std::vector<WeightedVm> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const WeightedVm &x, const WeightedVm &y) {
                          return x.vm.id == y.vm.id && x.vm.region == y.vm.region
                              && x.vm.callers == y.vm.callers && x.weight == y.weight;
                      });
}

// Returns the index of the region at a position from 0 to 1 along the weights.
std::size_t pick(const std::vector<RegionShare> &split, double position)
{
    double sum = 0;
    for (const RegionShare &share : split)
        sum += share.fraction;
    double left = position * sum;
    for (std::size_t i = 0; i < split.size(); ++i) {
        left -= split[i].fraction;
        if (left < 0)
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
    noteMovement(inForce, rollout, now);
    // A bundle never changes under its version, so what was built on it stays.
    const bool isNewBundle = bundle_ == nullptr || bundle_->version != inForce->version;
    if (isNewBundle)
        bundle_ = std::move(inForce);
    previous_ = std::move(previous);
    rollout_ = rollout;

    const std::set<VmId> served(serving.begin(), serving.end());
    std::vector<WeightedVm> named;
    for (const Vm &vm : vms) {
        if (!vm.isLeaving && served.count(vm.id) > 0)
            named.push_back({ vm, 1 });
    }
    if (!isNewBundle && sameEndpoints(named, named_))
        return {};
    named_ = std::move(named);
    Effects effects;
    effects.push_back(PublishSnapshot { builder_.build(bundle_, named_) });
    effects.push_back(WriteLog {
        { log::snapshotPublished,
          { { "bundle", bundle_->version }, { "vms", fmt::format("{}", named_.size()) } } } });
    return effects;
}

// Remembers when this VM's traffic last moved by a step. A VM that has steered
// nothing yet moves nothing.
void TrafficSteering::noteMovement(const BundlePointer &inForce, const Rollout &rollout,
                                   Instant now)
{
    if (bundle_ == nullptr)
        return;
    const bool isNew = rollout.serial != rollout_.serial || inForce->version != bundle_->version;
    for (const ServiceShift &shift : rollout.services) {
        const ServiceShift *before = rollout_.findService(shift.service);
        if (isNew || before == nullptr || before->step != shift.step)
            lastMoved_ = now;
    }
}

Effects TrafficSteering::onTimer(Instant now)
{
    Effects effects;
    if (bundle_ == nullptr)
        return effects;
    const double least = leastOfThoseUp();
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
            ramp = { std::max(leastAdmitted, least), true };
        if (ramp.admitted < fullyAdmitted)
            growAdmitted(region.id, ramp, health.warmth, now, effects);
    }
    scaleAdmitted();
    return effects;
}

// Returns what a region is admitted to that comes up now: 1 when all are down,
// since then nothing moves by it.
double TrafficSteering::leastOfThoseUp() const
{
    bool anyUp = ramps_.empty();
    double least = 1;
    for (const auto &item : ramps_) {
        if (!item.second.isUp)
            continue;
        anyUp = true;
        least = std::min(least, item.second.admitted);
    }
    return anyUp ? least * firstAdmitted : 1;
}

// After the region that carried most has failed, those left carry all already.
// Only ratios count, so the largest may be called fully admitted.
void TrafficSteering::scaleAdmitted()
{
    double most = 0;
    for (const auto &item : ramps_)
        most = std::max(most, item.second.admitted);
    if (most <= 0)
        return;
    for (auto &item : ramps_)
        item.second.admitted = std::min(1.0, item.second.admitted / most);
}

void TrafficSteering::growAdmitted(const RegionId &region, RegionRamp &ramp, double warmth,
                                   Instant now, Effects &effects)
{
    const auto &listed = rollout_.unsettledRegions;
    if (std::find(listed.begin(), listed.end(), region) == listed.end())
        return;
    if (now - lastMoved_ < movementWait())
        return;
    const double next = nextAdmitted(region, ramp.admitted);
    if (next > std::max(warmth, firstWarmth))
        return;
    ramp.admitted = next;
    lastMoved_ = now;
    effects.push_back(WriteLog { { log::regionAdmitted,
                                   { { "region", region.text() },
                                     { "admitted", fmt::format("{:.3f}", next) },
                                     { "warmth", fmt::format("{:.3f}", warmth) } } } });
}

// Returns the largest admitted fraction with which no service, and no team with
// a split of its own, moves more than a step.
double TrafficSteering::nextAdmitted(const RegionId &region, double admittedNow) const
{
    double next = 1;
    for (const Service &service : bundle_->services) {
        std::set<TeamId> teams { TeamId() };
        for (const TeamSplit &own : service.teamSplits)
            teams.insert(own.team);
        for (const TeamId &team : teams) {
            const double step = stepOfCap * service.shiftCapFraction;
            next = std::min(next, admittedAfter(weights(service, team), region, step));
        }
    }
    return std::max(next, admittedNow);
}

// With weight w of the region and S of the others, its part is w / (S + w).
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

// The weight of each region for one request, in the order of names, so that a
// step moves only the bounds between regions.
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
    std::vector<RegionShare> left = weights(*service, team);
    std::vector<RegionId> order;
    double position = nextPosition(serviceId, team, random);
    while (!left.empty()) {
        const std::size_t index = pick(left, position);
        order.push_back(left[index].region);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(index));
        position = uniform(nextRandom(random));
    }
    return order;
}

double TrafficSteering::nextPosition(const ServiceId &service, const TeamId &team,
                                     std::uint64_t random)
{
    const auto [found, isNew] = positions_.try_emplace({ service, team }, uniform(random));
    if (!isNew)
        found->second = std::fmod(found->second + goldenStep, 1.0);
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
        if (exists && ramp.admitted < fullyAdmitted)
            regions.push_back(region);
    }
    return regions;
}

} // namespace bluebellshift::core
