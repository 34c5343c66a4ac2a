#include "bluebellshift/gateway/servicesplit.h"

namespace bluebellshift::gateway {

const ServiceId &ServiceSplit::next(const RouteRule &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double> weights;
    double sum = 0;
    for (const WeightedService &weighted : route.services) {
        weights.push_back(weighted.weight);
        sum += weighted.weight;
    }
    RouteCredits &credits = creditsByRoute_[route.name];
    if (credits.weights != weights) {
        credits.weights = weights;
        credits.credit.assign(weights.size(), 0);
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        credits.credit[i] += weights[i];
        if (credits.credit[i] > credits.credit[best])
            best = i;
    }
    credits.credit[best] -= sum;
    return route.services[best].service;
}

} // namespace bluebellshift::gateway
