// A hash of target and object orders the targets, separately for the VM's own region and the
// others, and the first of each are the object's preferred targets. Their number is such
// that all objects together fill what the targets keep warm. All VMs of a region compute
// the same preferred targets, independent of what each has observed, and use the first
// ones first, so that few targets have to load a rarely requested object.
//
// By failure domain, the preferred targets of a region are chosen from each of its domains in
// proportion to the domain's targets, as long as each gets one. Each copy of an object costs one
// request with a cold object, and again whenever a target restarts. Placing all routes so made
// 3% of the requests late that were in time before, so that only those are placed by domain that
// meet their objective with a cold object too. Where a region is too small for a copy in each
// domain, its domains share one: a copy more would drive other objects out of the targets' caches.
//
// Such a request has time to spare and does not need the fastest target. It takes a free slot of
// its own domain although another domain has a faster one, up to a part of its slack that grows
// with the bytes that it would send across. Without this the difference of one request in flight
// outweighed the crossing, and half of the requests of a region crossed its domains.
#include "bluebellshift/gateway/targets/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace bluebellshift::gateway::targets {
namespace {

constexpr double responseSizeRate = 0.05; // weight of one sample
constexpr double headerBytes = 1000;      // of a request and its response, about

} // namespace

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

void Placement::recordResponse(const std::string &route, std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    double &usual = responseBytes_.emplace(route, size).first->second;
    usual += responseSizeRate * (size - usual);
}

double Placement::kilobytesOf(const std::string &route, std::size_t requestBytes) const
{
    double bytes = headerBytes + static_cast<double>(requestBytes);
    const auto response = responseBytes_.find(route);
    if (byFailureDomain_ && response != responseBytes_.end())
        bytes += response->second;
    return bytes / 1000;
}

double Placement::crossDomainMillis(const std::string &route, std::size_t requestBytes) const
{
    return crossDomainMillisPerKilobyte * kilobytesOf(route, requestBytes);
}

double Placement::localSlotMillis(const std::string &route, std::size_t requestBytes,
                                  core::Duration slack) const
{
    if (slack <= core::Duration())
        return 0;
    const double kilobytes = kilobytesOf(route, requestBytes);
    const double sizeFactor = kilobytes / (kilobytes + halfSlackKilobytes);
    return slack.toSeconds() * 1000 * localSlackFraction * sizeFactor;
}

bool Placement::isByDomain(core::Duration coldServiceTime, core::Duration objective) const
{
    return byFailureDomain_
        && coldServiceTime.toSeconds() <= (1 - minColdSlack) * objective.toSeconds();
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
void Placement::estimateWarmth(const ServiceId &service, bool byDomain,
                               std::vector<PlacedTarget> &candidates) const
{
    Group inRegion;
    Group elsewhere;
    for (PlacedTarget &candidate : candidates)
        (candidate.isLocal ? inRegion : elsewhere).push_back(&candidate);
    const double share = warmObjectsPerTarget(service) / requestedObjects(service);
    if (byDomain)
        setPreferredWarmthByDomain(inRegion, share * localRegionShare);
    else
        setPreferredWarmth(inRegion, share * localRegionShare);
    setPreferredWarmth(elsewhere, share * (1 - localRegionShare));
    for (PlacedTarget &candidate : candidates) {
        if (candidate.wasSentRecently)
            candidate.warmth = warmthWhereSentRecently;
    }
}

void Placement::setPreferredWarmthByDomain(Group &group, double share)
{
    std::map<std::uint64_t, Group> domains;
    for (PlacedTarget *target : group)
        domains[target->domain].push_back(target);
    if (preferredCount(group.size(), share) < domains.size()) {
        setPreferredWarmth(group, share);
        return;
    }
    for (auto &[domain, targets] : domains)
        setPreferredWarmth(targets, share);
}

// Number of an object's preferred targets in a group that keeps a share of all objects warm.
std::size_t Placement::preferredCount(std::size_t targets, double share)
{
    const auto wanted =
        static_cast<std::size_t>(std::lround(std::min(1.0, share) * static_cast<double>(targets)));
    return std::clamp<std::size_t>(wanted, 1, std::max<std::size_t>(1, targets));
}

// Sets the warmth of the object's preferred targets: the first of the group by rank.
void Placement::setPreferredWarmth(Group &group, double share)
{
    if (group.empty())
        return;
    const std::size_t preferred = preferredCount(group.size(), share);
    std::partial_sort(
        group.begin(), group.begin() + static_cast<std::ptrdiff_t>(preferred), group.end(),
        [](const PlacedTarget *a, const PlacedTarget *b) { return a->rank < b->rank; });
    for (std::size_t i = 0; i < preferred; ++i) {
        const double lost = warmthDropPerRank * static_cast<double>(i);
        group[i]->warmth = std::max(0.0, warmthAtFirstPreferred - lost);
    }
}

} // namespace bluebellshift::gateway::targets
