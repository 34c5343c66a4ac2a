#include "bluebellshift/gateway/regions/demandestimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bluebellshift::gateway::regions {

void DemandEstimate::onArrived(Instant now)
{
    const double kept = ownAt_ == Instant::never()
        ? 0
        : std::exp(-(now - ownAt_).toSeconds() / ShareLimit::window.toSeconds());
    own_ = own_ * kept + 1;
    ownAt_ = now;
}

std::uint32_t DemandEstimate::arrivedRequests(Instant now) const
{
    if (ownAt_ == Instant::never())
        return 0;
    const double kept = std::exp(-(now - ownAt_).toSeconds() / ShareLimit::window.toSeconds());
    return static_cast<std::uint32_t>(std::lround(own_ * kept));
}

void DemandEstimate::update(const RegionValues &vmShares, const RegionValues &arrived, Instant now)
{
    arrived_.resize(vmShares.size(), 0);
    const Duration passed = updatedAt_ == Instant::never() ? Duration() : now - updatedAt_;
    updatedAt_ = now;
    const double kept = std::exp(-passed.toSeconds() / memory.toSeconds());
    const double windows = std::min(1.0, passed.toSeconds() / ShareLimit::window.toSeconds());
    double perSecond = 0;
    for (std::size_t i = 0; i < arrived_.size(); ++i) {
        const double inWindow = i < arrived.size() ? arrived[i] : 0;
        arrived_[i] = arrived_[i] * kept + inWindow * windows;
        perSecond += inWindow / ShareLimit::window.toSeconds();
    }
    const double all = std::accumulate(arrived_.begin(), arrived_.end(), 0.0);
    const double prior = std::max(1.0, perSecond * priorTime.toSeconds());
    shares_.assign(arrived_.size(), 0);
    for (std::size_t i = 0; i < arrived_.size(); ++i)
        shares_[i] = (arrived_[i] + prior * vmShares[i]) / (all + prior);
}

} // namespace bluebellshift::gateway::regions
