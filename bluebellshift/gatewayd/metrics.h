// The metrics of one gateway in Prometheus' text format, listed in
// docs/operators/metrics.md.
//
//   Metrics metrics;
//   metrics.countLog(record);              // for each logged decision
//   std::string text = metrics.text(readings);
//
// Most counters are derived from log events, so that metrics and log agree.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/gateway/reducer.h"

namespace bluebellshift::gatewayd {

// Values owned by other components, read at each scrape.
struct MetricsReadings
{
    gateway::Reducer::Readings gateway;
    bool isReady = false;
    std::uint64_t storeCallsDone = 0;
    std::uint64_t storeCallsRefused = 0;
    std::uint64_t storeCallsUnanswered = 0;
    std::uint64_t targetConnectionsMade = 0;
    std::uint64_t callerConnections = 0;
    std::uint64_t callerBytes = 0; // that messages of callers hold
    std::uint64_t callerBytesBudget = 0;
    std::uint64_t logLinesDropped = 0;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countLog(const core::LogRecord &record);
    // A caller has reached a limit, named by its key in the settings.
    void countLimit(const char *limit);
    void observeRequest(core::Duration total);
    void observeQueue(core::Duration queueTime);
    void observeTarget(core::Duration targetTime);
    void observeLoopDelay(core::Duration delay);
    // What was expected of a target beside what its response shows.
    void observeTargetState(const gateway::targets::TargetObservation &observation);
    std::string text(const MetricsReadings &readings);

private:
    class Families;
    std::unique_ptr<Families> families_;
};

} // namespace bluebellshift::gatewayd
