#include "bluebellshift/gateway/regionflow.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway {

void RegionFlow::Counts::decay(Instant now)
{
    if (at != Instant::never()) {
        const double seconds = (now - at).toSeconds();
        latest *= std::exp(-seconds / RegionFlow::latest.toSeconds());
        usual *= std::exp(-seconds / RegionFlow::usual.toSeconds());
    }
    at = now;
}

void RegionFlow::begin(const std::map<RegionId, double> &expected, Instant now)
{
    for (const auto &[region, part] : expected)
        regions_[region] = { 0, expectedWeight * part, now };
    total_ = { 0, expectedWeight, now };
}

void RegionFlow::note(const RegionId &region, Instant now)
{
    for (Counts *counts : { &total_, &regions_[region] }) {
        counts->decay(now);
        counts->latest += 1;
        counts->usual += 1;
    }
}

double RegionFlow::penalty(const RegionId &region, Instant now) const
{
    Counts total = total_;
    total.decay(now);
    if (total.latest < 1)
        return 0;
    Counts counts;
    if (const auto found = regions_.find(region); found != regions_.end())
        counts = found->second;
    counts.decay(now);
    const double moved = counts.latest / total.latest - counts.usual / total.usual;
    const double allowed = tolerance + chanceTolerance / std::sqrt(total.latest);
    const double beyond = std::max(0.0, std::abs(moved) - allowed);
    const double size = std::min(penaltyMost, penaltySlope * beyond);
    return moved > 0 ? size : -size;
}

} // namespace bluebellshift::gateway
