// A centralized token bucket: the reference for the distributed rate limit.
//
//   IdealBucket bucket(100, 200); // 100 per second, burst 200
//   bool isWithinRate = bucket.tryTake(arrival.at);
#pragma once

#include <algorithm>

#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

class IdealBucket
{
public:
    // The bucket starts full.
    IdealBucket(double ratePerSecond, double burst)
        : rate_(ratePerSecond)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    // Takes one token if one is available. Instants must not decrease between calls.
    bool tryTake(core::Duration at)
    {
        tokens_ = std::min(burst_, tokens_ + (at - last_).toSeconds() * rate_);
        last_ = at;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    const double rate_;
    const double burst_;
    double tokens_;
    core::Duration last_;
};

} // namespace bluebellshift::load
