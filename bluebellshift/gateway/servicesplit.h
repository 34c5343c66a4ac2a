// Distributes a route's requests over its services by weight.
//
//   ServiceSplit split;
//   const ServiceId &service = split.next(route);
//
// Smooth weighted round robin: after n requests, each service has received its share of
// n to within one request, whereas a random choice would deviate by the square root of n.
// The credits are reset when the weights change.
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
