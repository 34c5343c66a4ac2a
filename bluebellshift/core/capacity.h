// Capacity planning: the load of regions and links at the full rates of all
// teams, and the limits that the ledger enforces.
//
//   for (const CapacityLoad &load : capacityLoads(bundle)) {
//       if (!load.fits())
//           fmt::print("{}\n", load.arithmetic);
//   }
#pragma once

#include <string>
#include <vector>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/bundle.h"

namespace bluebellshift::core {

// The fraction of a capacity that is granted as burst; the rest is the rate.
// Together they never exceed the capacity within any second.
inline constexpr double burstFraction = 0.1;

// The load of a region or link at the full rates of all teams.
struct CapacityLoad
{
    AccountId account;
    double demand = 0;      // requests a second, or bits a second of a link
    double limit = 0;       // the same unit
    std::string arithmetic; // the terms of the sum, as text

    bool fits() const { return demand <= limit; }
};

// Returns the loads of all regions, then of all links, in the bundle's order.
std::vector<CapacityLoad> capacityLoads(const Bundle &bundle);

// Returns the limits of teams (requests), regions (requests) and links (bits).
std::vector<AccountLimit> accountLimits(const Bundle &bundle);

// Returns the split that applies to a team of a service.
const std::vector<RegionShare> &splitOf(const Service &service, const TeamId &team);

// Returns the fraction of a region in a split; 0 if it is not contained.
double fractionOf(const std::vector<RegionShare> &split, const RegionId &region);

} // namespace bluebellshift::core
