// Estimates each region's share of all requests.
//
//   DemandEstimate demand;
//   demand.onArrived(now);                 // for each request at this VM
//   demand.update(vmShares, arrived, now); // several times a second, from all VMs' reports
//   RegionValues shares = demand.shares(); // add up to 1
//
// All VMs get the same reports, and so estimate nearly the same shares. Requests that are refused
// count too: else a region that refuses many would plan for fewer, and refuse more.
#pragma once

#include <cstdint>

#include "bluebellshift/gateway/regions/sharelimit.h"

namespace bluebellshift::gateway::regions {

class DemandEstimate
{
public:
    // Requests count for less the older they are. Each change of the shares moves objects to
    // targets where they are cold, so that waves of some ten seconds are not followed.
    static constexpr Duration memory = Duration::seconds(30); // time constant
    // The shares of all VMs count like the requests of this time.
    static constexpr Duration priorTime = Duration::seconds(4);

    void onArrived(Instant now);
    // The requests at this VM within the latest ShareLimit::window, on average.
    std::uint32_t arrivedRequests(Instant now) const;
    // `vmShares`: each region's share of all VMs, which stands for its demand at first. `arrived`:
    // the requests at all VMs of each region within the latest window, as far as they are known.
    void update(const RegionValues &vmShares, const RegionValues &arrived, Instant now);
    const RegionValues &shares() const { return shares_; } // empty before the first update

private:
    double own_ = 0; // requests, decaying with ShareLimit::window
    Instant ownAt_ = Instant::never();
    RegionValues arrived_; // requests, decaying with `memory`
    RegionValues shares_;
    Instant updatedAt_ = Instant::never();
};

} // namespace bluebellshift::gateway::regions
