#include "bluebellshift/gateway/regionflow.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway {

std::int64_t RegionFlow::sliceAt(Instant now)
{
    return now.toMicros() * static_cast<std::int64_t>(slicesInWindow) / window.toMicros();
}

void RegionFlow::note(const RegionId &region, Instant now)
{
    const std::int64_t number = sliceAt(now);
    Slice &slice = slices_[static_cast<std::size_t>(number) % slicesKept];
    if (slice.number != number)
        slice = { number, {}, 0 };
    ++slice.counts[region];
    ++slice.total;
}

double RegionFlow::penalty(const RegionId &region, Instant now) const
{
    const std::int64_t current = sliceAt(now);
    double of[2] = { 0, 0 };    // requests to the region: this window, the last one
    double total[2] = { 0, 0 }; // all requests
    for (const Slice &slice : slices_) {
        const std::int64_t age = current - slice.number;
        if (slice.number < 0 || age >= static_cast<std::int64_t>(slicesKept))
            continue;
        const std::size_t which = age < static_cast<std::int64_t>(slicesInWindow) ? 0 : 1;
        const auto found = slice.counts.find(region);
        of[which] += found == slice.counts.end() ? 0 : found->second;
        total[which] += slice.total;
    }
    if (total[1] < countsLeast)
        return 0;
    // With few requests in the current window, its part is mostly chance.
    const double weight = std::min(1.0, total[0] / total[1]);
    const double moved = total[0] > 0 ? of[0] / total[0] - of[1] / total[1] : 0;
    const double beyond = std::max(0.0, std::abs(moved) - tolerance) * weight;
    const double size = std::min(penaltyMost, penaltySlope * beyond);
    return moved > 0 ? size : -size;
}

} // namespace bluebellshift::gateway
