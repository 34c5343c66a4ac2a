// Limits what a failing service is sent beyond its requests: this VM's part of a
// bound over all VMs together, which needs no message.
//
//   RetryBudget allowance(bounds);
//   allowance.recordRequest(now);
//   if (allowance.take(vms, now))
//       ... // send the request to one more target
//
// Of the requests of the last window, counted by seconds, a part may be repeated; the
// bound's slack is divided evenly among the VMs.
#pragma once

#include <array>
#include <cstdint>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

class RetryBudget
{
public:
    static constexpr double boundFraction = 0.8; // the rest is for what VMs count apart

    explicit RetryBudget(const FleetBounds &bounds)
        : bounds_(&bounds)
    {
    }

    void recordRequest(Instant now);
    bool take(std::size_t vms, Instant now);

private:
    struct Second
    {
        std::int64_t number = -1;
        int requests = 0;
        int retries = 0;
    };
    static constexpr std::size_t secondsKept = 16;

    Second &secondAt(Instant now);

    const FleetBounds *bounds_;
    std::array<Second, secondsKept> seconds_ {};
};

} // namespace bluebellshift::gateway
