// The metrics of one daemon, for /metrics. docs/operators/metrics.md lists them.
//
//   Metrics metrics;
//   metrics.countEffect(effect);              // for each effect that is carried out
//   metrics.observeRequest(Duration::millis(12));
//   std::string text = metrics.text(readings);   // Prometheus' text format
//
// Thread-safe. Counting takes no lock that a scrape holds for a long time.
#pragma once

#include <memory>
#include <string>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/shell/peermesh.h"

namespace bluebellshift::shell {

// Values counted by other modules, read at each scrape.
struct MetricsReadings
{
    PeerMeshCounts peers;
    bool isReady = false;
    std::uint64_t logLinesDropped = 0;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countEffect(const core::Effect &effect);
    // Records the time from a caller's request to its answer or refusal.
    void observeRequest(core::Duration time);
    std::string text(const MetricsReadings &readings);

private:
    class Families;
    std::unique_ptr<Families> families_;
};

} // namespace bluebellshift::shell
