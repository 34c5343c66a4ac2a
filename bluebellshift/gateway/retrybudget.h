// Limits the retries to a service that is failing: this VM's share of a bound over all VMs
// together, enforced without messages.
//
//   RetryBudget budget(bounds, startedAt);
//   budget.recordRequest(now);
//   if (budget.take(vms, now))
//       ... // send the request to another target
//
// A fraction of the requests of the last window, counted by seconds, may be retried. The
// bound's slack is divided evenly among the VMs. A VM that has just started uses less of it: an
// earlier run that was killed may have spent its share in the same window.
#pragma once

#include <array>
#include <cstdint>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

class RetryBudget
{
public:
    static constexpr double boundFraction = 0.8; // the rest is a margin: VMs count separately

    // The same in the first window of a run. Two runs that are killed and a third one spend no more
    // than the whole slack.
    static constexpr double firstWindowFraction = 0.1;

    // `startedAt`: when this VM started.
    RetryBudget(const FleetBounds &bounds, Instant startedAt)
        : bounds_(&bounds)
        , startedAt_(startedAt)
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
    Instant startedAt_;
    std::array<Second, countedSeconds> seconds_ {};
};

} // namespace bluebellshift::gateway
