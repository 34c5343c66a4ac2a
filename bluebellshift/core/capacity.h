// Arithmetic of capacity: what the teams' full rates ask of regions and links,
// and the limits that the ledger keeps.
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

// The part of a capacity that is held as burst; the rest is the rate. Together
// no second holds more than the capacity.
inline constexpr double burstFraction = 0.1;

// What one region or link would carry with every team at its full rate.
struct CapacityLoad
{
    AccountId account;
    double demand = 0;      // requests a second, or bits a second of a link
    double limit = 0;       // the same unit
    std::string arithmetic; // the terms of the sum, in words and numbers

    bool fits() const { return demand <= limit; }
};

// Returns the loads of all regions, then of all links, in the bundle's order.
std::vector<CapacityLoad> capacityLoads(const Bundle &bundle);

// Returns the limits of teams (requests), regions (requests) and links (bits).
std::vector<AccountLimit> accountLimits(const Bundle &bundle);

// Returns the split of a team's part of a service.
const std::vector<RegionShare> &splitOf(const Service &service, const TeamId &team);

// Returns the fraction of a region in a split; 0 when it is not named.
double fractionOf(const std::vector<RegionShare> &split, const RegionId &region);

} // namespace bluebellshift::core
