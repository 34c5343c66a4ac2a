// Weighted rendezvous hashing: each target draws an exponentially distributed value, whose mean is
// the reciprocal of its weight, from its hash with the object. The lowest values win. A target that
// leaves moves only its own objects.
//
// With homes in one region only, the share of the requests that a region serves would vary with
// what objects are asked for. With homes in several, the region of a request is chosen first
// (RegionPlan), and the object finds a home there.
//
// While a home can't be used, the next target in the order stands in for it at all VMs, so that
// only one more target has to load the object.
#include "bluebellshift/gateway/targets/placement.h"

#include <algorithm>
#include <cmath>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::targets {

using core::Instant;
using core::ServiceId;

namespace {

constexpr std::uint64_t homeSeed = 0x686f6d65; // arbitrary, but the same on every VM

} // namespace

void Placement::recordRequest(const ServiceId &service, std::uint64_t object, Instant now)
{
    objects_[service].requested.record(object, now);
}

void Placement::recordOutcome(const ServiceId &service, bool isWarm)
{
    double &warmObjects = objects_[service].warmObjects;
    warmObjects = std::clamp(warmObjects * (isWarm ? warmObjectsGrowth : warmObjectsDecay),
                             minWarmObjects, maxWarmObjects);
}

double Placement::requestedObjects(const ServiceId &service) const
{
    const auto found = objects_.find(service);
    return found == objects_.end() ? 1 : found->second.requested.estimate();
}

double Placement::warmObjectsPerTarget(const ServiceId &service) const
{
    const auto found = objects_.find(service);
    return found == objects_.end() ? initialWarmObjects : found->second.warmObjects;
}

// The number of homes for each object that the targets have room for, if every region's callers ask
// for objects of their own and a region's objects get room in proportion to its requests.
double Placement::copiesOf(const ServiceId &service, double ownRequestShare,
                           std::size_t targets) const
{
    return warmObjectsPerTarget(service) * static_cast<double>(targets) * ownRequestShare
        / requestedObjects(service);
}

double Placement::drawn(const PlacedTarget &target)
{
    return -std::log(std::max(1e-12, toFraction(target.hash))) / std::max(1, target.slots);
}

void Placement::place(const ServiceId &service, const ServiceUse &use,
                      std::vector<PlacedTarget> &candidates) const
{
    std::vector<std::vector<Ranked>> byRegion(use.regionShares.size());
    for (PlacedTarget &candidate : candidates) {
        if (candidate.region < byRegion.size())
            byRegion[candidate.region].push_back({ drawn(candidate), &candidate });
    }
    const std::vector<std::size_t> counts =
        homeCounts(use, copiesOf(service, use.ownRequestShare, candidates.size()));
    const double drop = idleWarmthDrop * std::max(0.0, 1 - use.utilization / evenUtilization);
    bool isPlaced = false;
    for (std::size_t region = 0; region < byRegion.size(); ++region)
        isPlaced |= placeIn(byRegion[region], counts[region], drop);
    if (isPlaced)
        return;
    for (std::vector<Ranked> &targets : byRegion)
        placeIn(targets, 1, drop);
}

// The number of the object's homes in each region. The regions' shares are laid end to end and
// stretched to the number of homes; a point drawn for the object, and those at a distance of 1 from
// it, each name the region of a home.
std::vector<std::size_t> Placement::homeCounts(const ServiceUse &use, double copies)
{
    std::vector<std::size_t> counts(use.regionShares.size(), 0);
    const double homes = std::clamp(copies, 1.0, static_cast<double>(maxHomes));
    double point = toFraction(mixHashes(use.object, homeSeed));
    double end = 0;
    for (std::size_t region = 0; region < counts.size(); ++region) {
        end += use.regionShares[region] * homes;
        for (; point < end; point += 1)
            ++counts[region];
    }
    return counts;
}

// Chooses the object's homes in one region. Returns whether there is any.
bool Placement::placeIn(std::vector<Ranked> &targets, std::size_t count, double drop)
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < targets.size() && chosen < count; ++i) {
        const auto rest = targets.begin() + static_cast<std::ptrdiff_t>(i);
        std::iter_swap(rest,
                       std::min_element(rest, targets.end(), [](const Ranked &a, const Ranked &b) {
                           return a.key < b.key;
                       }));
        PlacedTarget &target = *targets[i].target;
        if (!target.isUsable)
            continue;
        target.isHome = true;
        target.warmth = i < count ? homeWarmth - drop * static_cast<double>(i) : substituteWarmth;
        ++chosen;
    }
    return chosen > 0;
}

} // namespace bluebellshift::gateway::targets
