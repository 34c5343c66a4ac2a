// Options of the gateway's reducer.
#pragma once

#include <map>
#include <string>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

// Bounds over all VMs together, as the users require them. They come from the settings.
struct FleetBounds
{
    double retryRatio = 0.2; // retries for each request to a service
    Duration retryWindow =
        Duration::seconds(10); // window over which retries and requests are counted
    double retrySlack = 64;    // retries beyond the ratio, in a window
    Duration quotaWindow = Duration::seconds(5); // window over which a team's requests are counted
    double quotaOverage =
        0.1;                // tolerated excess, as a fraction of what a team may send in a window
    double quotaSlack = 20; // further requests in a window
    double coldRateFactor = 1.5; // multiple of a cold target's permitted request rate
    double coldSlack = 5;        // further requests in a second
    Duration maxLookupTtl = Duration::seconds(5); // how long callers may cache a look-up
    Duration reregistrationGrace =
        Duration::millis(2200); // targets register again within 2 s of the store's return
};

struct GatewayOptions
{
    VmEntry vm;                                   // this VM
    std::map<FailureDomainId, RegionId> regionOf; // of every failure domain
    FleetBounds bounds;
    std::string peerKeyCandidate; // hex; becomes the VMs' shared key if the store holds none
};

} // namespace bluebellshift::gateway
