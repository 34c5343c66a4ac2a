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
    Incarnation incarnation; // random, unique for this VM
    RegionId region;
    FailureDomainId failureDomain;
    std::string ticketSecret; // random bytes, generated for each incarnation

    std::vector<Vm> seeds; // VMs from which to request the first view

    // The maximum age of a view; with an older one, keyed requests are refused. Also the
    // delay before the shares of an expelled VM are merged.
    Duration freshnessLease = Duration::millis(2500);
    Duration watchWait = Duration::millis(500);    // maximum time for which the store holds a watch
    Duration watchTimeout = Duration::millis(500); // beyond watchWait
    Duration maxWatchRetryDelay = Duration::millis(500); // maximum back-off of watches
    Duration heartbeatInterval = Duration::millis(500);
    Duration suspicionTimeout = Duration::millis(1600); // time without a heartbeat
    Duration initialPlatformRetryDelay = Duration::millis(200);
    Duration maxPlatformRetryDelay = Duration::seconds(10);
    double clockDrift = 0.001; // maximum relative rate difference of two clocks

    Duration maxQueueWait = Duration::millis(400);   // for a token or a slot
    std::size_t maxQueueLength = 256;                // queued requests of one team
    Duration ticketValidFor = Duration::seconds(20); // less than maxShutdownTime
    std::size_t maxRecordBytes = 64 * 1024 * 1024;   // all answers stored for tickets
    std::size_t maxAnswerBytes = 1024 * 1024;        // size of one answer
    double maxRetryRatio = 0.1;                      // ratio of retries to requests
    int maxAttempts = 3;                             // of one request, including the first
    Duration maxShutdownTime = Duration::seconds(30);
};

} // namespace bluebellshift::core
