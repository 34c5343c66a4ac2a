// With N equally likely objects, n requests are for N (1 - exp(-n / N)) distinct objects on
// average. This grows with N, so that bisection finds N. It runs each time the number of
// requests has grown by an eighth; other requests cost one set insertion.
#include "bluebellshift/gateway/objectcount.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway {
namespace {

constexpr int bisections = 24; // precise to a thousandth of an object

} // namespace

void ObjectCount::record(std::uint64_t object, core::Instant now)
{
    if (startedAt_ == core::Instant::never() || now - startedAt_ > generation) {
        seen_.clear();
        requests_ = 0;
        startedAt_ = now;
    }
    if (seen_.size() >= maxObjects)
        return;
    seen_.insert(object);
    ++requests_;
    if (requests_ >= minRequests && requests_ % std::max<std::size_t>(1, requests_ / 8) == 0)
        estimate_ = estimateObjects(requests_, seen_.size());
}

double ObjectCount::estimateObjects(std::size_t requests, std::size_t seen)
{
    double least = std::max<double>(1, static_cast<double>(seen));
    double most = maxObjects;
    for (int i = 0; i < bisections && least < most; ++i) {
        const double middle = (least + most) / 2;
        const double expectedSeen = middle * -std::expm1(-static_cast<double>(requests) / middle);
        (expectedSeen < static_cast<double>(seen) ? least : most) = middle;
    }
    return least;
}

} // namespace bluebellshift::gateway
