#include "bluebellshift/gateway/servicesplit.h"

namespace bluebellshift::gateway {

const ServiceId &ServiceSplit::next(const RouteRule &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double> weights;
    double sum = 0;
    for (const WeightedService &part : route.services) {
        weights.push_back(part.weight);
        sum += part.weight;
    }
    Lane &lane = lanes_[route.name];
    if (lane.weights != weights) {
        lane.weights = weights;
        lane.credit.assign(weights.size(), 0);
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        lane.credit[i] += weights[i];
        if (lane.credit[i] > lane.credit[best])
            best = i;
    }
    lane.credit[best] -= sum;
    return route.services[best].service;
}

} // namespace bluebellshift::gateway
