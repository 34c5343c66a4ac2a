// Sends the requests of a schedule as open-loop load and collects their outcomes.
//
//   std::vector<Outcome> outcomes = runCallers(options, schedule, arrivals);
#pragma once

#include <vector>

#include "bluebellshift/load/outcome.h"
#include "bluebellshift/load/schedule.h"
#include "bluebellshift/load/vmdirectory.h"

namespace bluebellshift::load {

struct CallerOptions
{
    VmDirectoryOptions directory;
    bool isDirect = false; // the directory lists targets, which take no keys or tickets
    int maxAttempts = 3;   // per request, including ticket requests
    core::Duration attemptTimeout = core::Duration::seconds(10);
    core::Duration retryDelay = core::Duration::millis(50); // times the number of attempts made
    std::size_t bodyBytes = 64;                             // of non-idempotent requests
    unsigned threads = 2;
    std::uint64_t run = 0; // part of each X-Caller-Id
};

// Sends every request at its scheduled instant, independent of earlier outcomes, and
// blocks until all have ended. Returns the outcome of each arrival at its position.
std::vector<Outcome> runCallers(const CallerOptions &options, const ScheduleOptions &schedule,
                                const std::vector<Arrival> &arrivals);

} // namespace bluebellshift::load
