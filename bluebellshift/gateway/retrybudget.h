// Limits the retries to a service that is failing: this VM's share of a bound over all VMs
// together, enforced without messages.
//
//   RetryBudget budget(bounds);
//   budget.recordRequest(now);
//   if (budget.take(vms, now))
//       ... // send the request to another target
//
// A fraction of the requests of the last window, counted by seconds, may be retried. The
// bound's slack is divided evenly among the VMs.
#pragma once

#include <array>
#include <cstdint>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

class RetryBudget
{
public:
    static constexpr double boundFraction = 0.8; // the rest is a margin: VMs count separately

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
    static constexpr std::size_t countedSeconds = 16;

    Second &secondAt(Instant now);

    const FleetBounds *bounds_;
    std::array<Second, countedSeconds> seconds_ {};
};

} // namespace bluebellshift::gateway
