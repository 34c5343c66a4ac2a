// What a gateway is told at its start. Each default names its source.
#pragma once

#include <map>
#include <string>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

// Bounds over all VMs together that the users state; their settings give them.
struct FleetBounds
{
    double retryRatio = 0.2;                      // repeats for each request for a service
    Duration retryWindow = Duration::seconds(10); // over which that is counted
    double retrySlack = 64;                       // repeats beyond the ratio, in a window
    Duration quotaWindow = Duration::seconds(5);  // over which a team's requests are counted
    double quotaOverage = 0.1;                    // of what a team may send in a window
    double quotaSlack = 20;                       // requests beyond that, in a window
    double coldRateFactor = 1.5;                  // times what a cold target bears
    double coldSlack = 5;                         // requests beyond that, in a second
    Duration maxLookupTtl = Duration::seconds(5); // that callers may keep a look-up's answer
    Duration reregistrationGrace =
        Duration::millis(2200); // lapsed entries are back by then (2 s + slack)
};

struct GatewayOptions
{
    VmEntry vm;                                   // this VM
    std::map<FailureDomainId, RegionId> regionOf; // of every failure domain
    FleetBounds bounds;
    std::string peerKeyCandidate; // hex; becomes the peers' key if the store holds none
};

} // namespace bluebellshift::gateway
