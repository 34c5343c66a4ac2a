// The start-up options of one daemon's reducer.
#pragma once

#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

struct CoreOptions
{
    VmId vm;
    Incarnation incarnation; // random, never used before by this VM
    RegionId region;
    FailureDomainId failureDomain;
    std::string ticketSecret; // random bytes, made anew for each incarnation

    std::vector<Vm> seeds; // VMs to ask for the view while this one has none

    // How old a view may be before keyed requests are refused. Also how long
    // shares of an expelled VM stay untouched.
    Duration freshnessLease = Duration::millis(2500);
    Duration watchWait = Duration::millis(500);          // how long the store holds a watch
    Duration watchTimeout = Duration::millis(500);       // beyond that
    Duration maxWatchRetryDelay = Duration::millis(500); // the longest back-off of watches
    Duration heartbeatInterval = Duration::millis(500);
    Duration suspicionTimeout = Duration::millis(1600); // without a heartbeat
    Duration initialPlatformRetryDelay = Duration::millis(200);
    Duration maxPlatformRetryDelay = Duration::seconds(10);
    double clockDrift = 0.001; // two clocks differ by at most this fraction

    Duration maxQueueWait = Duration::millis(400);   // for a token or a slot
    std::size_t maxQueueLength = 256;                // requests waiting, for each team
    Duration ticketValidFor = Duration::seconds(20); // less than maxShutdownTime
    std::size_t maxRecordBytes = 64 * 1024 * 1024;   // answers kept for tickets
    std::size_t maxAnswerBytes = 1024 * 1024;        // one answer
    double maxRetryRatio = 0.1;                      // retries to requests
    int maxAttempts = 3;                             // of one request, the first included
    Duration maxShutdownTime = Duration::seconds(30);
};

} // namespace bluebellshift::core
