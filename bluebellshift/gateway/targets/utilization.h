// Estimates the utilization and the load of a group of targets from what their responses report.
//
//   Utilization utilization;
//   utilization.onReport(load, now);         // for each response
//   auto used = utilization.estimate(now);  // share of the slots, or nothing if it is not known
//   auto load = utilization.load(now);      // with the requests that wait for a slot
//
// A VM of a large fleet sends a single target a request each few seconds, by which time its load
// has changed. The responses of many targets together tell the mean at any moment.
#pragma once

#include <optional>

#include "bluebellshift/core/units.h"
#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::targets {

class Utilization
{
public:
    static constexpr Duration memory = Duration::seconds(1); // time constant
    // Weight, in responses, below which the estimate is not used.
    static constexpr double minWeight = 1;

    void onReport(const LoadReport &load, Instant now);
    // The mean share of the slots that are in use, 0 to 1.
    std::optional<double> estimate(Instant now) const;
    // The mean number of running and waiting requests for each slot.
    std::optional<double> load(Instant now) const;

private:
    double remaining(Instant now) const;

    double used_ = 0;
    double load_ = 0;
    double weight_ = 0;
    Instant at_ = Instant::never();
};

} // namespace bluebellshift::gateway::targets
