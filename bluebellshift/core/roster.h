// The VMs and targets that the platform lists. Both lists lag.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// An IP number and a port.
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
    Endpoint callers; // where callers connect
    Endpoint peers;   // where other VMs connect
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
    int slots = 0;       // requests it works on at once
    int connections = 0; // connections it accepts
    bool isLeaving = false;
};

} // namespace bluebellshift::core
