#include "bluebellshift/gateway/regionflow.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway {

void RegionFlow::Counts::decay(Instant now)
{
    if (at != Instant::never()) {
        const double seconds = (now - at).toSeconds();
        recent *= std::exp(-seconds / RegionFlow::recentTime.toSeconds());
        baseline *= std::exp(-seconds / RegionFlow::baselineTime.toSeconds());
    }
    at = now;
}

void RegionFlow::begin(const std::map<RegionId, double> &expected, Instant now)
{
    for (const auto &[region, share] : expected)
        regions_[region] = { 0, expectedWeight * share, now };
    total_ = { 0, expectedWeight, now };
}

void RegionFlow::record(const RegionId &region, Instant now)
{
    for (Counts *counts : { &total_, &regions_[region] }) {
        counts->decay(now);
        counts->recent += 1;
        counts->baseline += 1;
    }
}

double RegionFlow::penaltyMs(const RegionId &region, Instant now) const
{
    Counts total = total_;
    total.decay(now);
    if (total.recent < 1)
        return 0;
    Counts counts;
    if (const auto found = regions_.find(region); found != regions_.end())
        counts = found->second;
    counts.decay(now);
    const double change = counts.recent / total.recent - counts.baseline / total.baseline;
    const double allowed = tolerance + randomTolerance / std::sqrt(total.recent);
    const double beyond = std::max(0.0, std::abs(change) - allowed);
    const double size = std::min(maxPenaltyMs, penaltyMsPerShare * beyond);
    return change > 0 ? size : -size;
}

} // namespace bluebellshift::gateway
