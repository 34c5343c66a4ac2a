// Divides a route's requests among its services by weight.
//
//   ServiceSplit split;
//   const ServiceId &service = split.next(route);
//
// Smooth weighted round robin: after n requests, each service has had its weight's
// part of n to within one request, where a random choice would stray by the root of n.
// The counts start anew when the weights change.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

class ServiceSplit
{
public:
    const ServiceId &next(const RouteRule &route);

private:
    struct RouteCredits
    {
        std::vector<double> weights;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, RouteCredits> creditsByRoute_; // by route
};

} // namespace bluebellshift::gateway
