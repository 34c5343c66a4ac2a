// A hash of target and object orders the targets, separately for the VM's own region and the
// others, and the first of each are the object's preferred targets. Their number is such
// that all objects together fill what the targets keep warm. All VMs of a region compute
// the same preferred targets, independent of what each has observed, and use the first
// ones first, so that few targets have to load a rarely requested object.
#include "bluebellshift/gateway/targets/placement.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway::targets {

using core::Instant;
using core::ServiceId;

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

// Sets the probability that the requested object is warm at each candidate.
void Placement::estimateWarmth(const ServiceId &service,
                               std::vector<PlacedTarget> &candidates) const
{
    std::vector<PlacedTarget *> inRegion;
    std::vector<PlacedTarget *> elsewhere;
    for (PlacedTarget &candidate : candidates)
        (candidate.isLocal ? inRegion : elsewhere).push_back(&candidate);
    const double share = warmObjectsPerTarget(service) / requestedObjects(service);
    setPreferredWarmth(inRegion, share * localRegionShare);
    setPreferredWarmth(elsewhere, share * (1 - localRegionShare));
    for (PlacedTarget &candidate : candidates) {
        if (candidate.wasSentRecently)
            candidate.warmth = warmthWhereSentRecently;
    }
}

// Sets the warmth of the object's preferred targets: the first of the group by rank.
void Placement::setPreferredWarmth(std::vector<PlacedTarget *> &group, double share)
{
    if (group.empty())
        return;
    const auto wanted = static_cast<std::size_t>(
        std::lround(std::min(1.0, share) * static_cast<double>(group.size())));
    const std::size_t preferred = std::clamp<std::size_t>(wanted, 1, group.size());
    std::partial_sort(
        group.begin(), group.begin() + static_cast<std::ptrdiff_t>(preferred), group.end(),
        [](const PlacedTarget *a, const PlacedTarget *b) { return a->rank < b->rank; });
    for (std::size_t i = 0; i < preferred; ++i) {
        const double lost = warmthDropPerRank * static_cast<double>(i);
        group[i]->warmth = std::max(0.0, warmthAtFirstPreferred - lost);
    }
}

} // namespace bluebellshift::gateway::targets
