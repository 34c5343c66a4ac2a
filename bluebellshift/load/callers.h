// Sends the requests of a schedule and collects their outcomes.
//
//   std::vector<Outcome> outcomes = runCallers(options, arrivals);
#pragma once

#include <vector>

#include "bluebellshift/load/outcome.h"
#include "bluebellshift/load/schedule.h"
#include "bluebellshift/load/vmdirectory.h"

namespace bluebellshift::load {

struct CallerOptions
{
    VmDirectoryOptions directory;
    bool isDirect = false; // the VMs of the directory are targets: no keys, no tickets
    int attemptsMost = 3;  // for each request
    core::Duration attemptTimeout = core::Duration::seconds(10);
    core::Duration retryPause = core::Duration::millis(50); // grows with each attempt
    std::size_t bodyBytes = 64;                             // of requests that may not be repeated
    unsigned threads = 2;
    std::uint64_t run = 0; // part of each X-Caller-Id
};

// Sends every request at its instant, whatever became of earlier ones, and
// returns once all have ended: the outcome of each arrival at its position.
std::vector<Outcome> runCallers(const CallerOptions &options, const ScheduleOptions &schedule,
                                const std::vector<Arrival> &arrivals);

} // namespace bluebellshift::load
