#include "bluebellshift/gateway/targets/utilization.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway::targets {

double Utilization::remaining(Instant now) const
{
    return at_ == Instant::never() ? 0 : std::exp(-(now - at_).toSeconds() / memory.toSeconds());
}

void Utilization::onReport(const LoadReport &load, Instant now)
{
    if (load.slots <= 0)
        return;
    const double used = std::min(1.0, static_cast<double>(load.running) / load.slots);
    const double kept = remaining(now);
    used_ = used_ * kept + used;
    load_ = load_ * kept + static_cast<double>(load.running + load.waiting) / load.slots;
    weight_ = weight_ * kept + 1;
    at_ = now;
}

std::optional<double> Utilization::estimate(Instant now) const
{
    if (weight_ * remaining(now) < minWeight)
        return std::nullopt;
    return used_ / weight_;
}

std::optional<double> Utilization::load(Instant now) const
{
    if (weight_ * remaining(now) < minWeight)
        return std::nullopt;
    return load_ / weight_;
}

} // namespace bluebellshift::gateway::targets
