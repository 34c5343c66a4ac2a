// The VMs and targets in the platform's lists. Both lists lag behind the real state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// An IP address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.address == b.address && a.port == b.port;
    }
};

struct Vm
{
    VmId id;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint callers; // for connections of callers
    Endpoint peers;   // for connections of other VMs
    bool isLeaving = false;

    friend bool operator==(const Vm &a, const Vm &b)
    {
        return a.id == b.id && a.region == b.region && a.failureDomain == b.failureDomain
            && a.callers == b.callers && a.peers == b.peers && a.isLeaving == b.isLeaving;
    }
};

struct Target
{
    TargetId id;
    ServiceId service;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint endpoint;
    int slots = 0;       // maximum number of concurrent requests
    int connections = 0; // maximum number of connections
    bool isLeaving = false;
};

} // namespace bluebellshift::core
