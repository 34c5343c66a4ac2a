#include "bluebellshift/gatewayd/metrics.h"

#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bluebellshift::gatewayd {
namespace {

// In seconds; finest around the users' latency objectives of 0.3 to 1.2 s.
const prometheus::Histogram::BucketBoundaries latencyBuckets = { 0.005, 0.02, 0.05, 0.1, 0.2, 0.3,
                                                                 0.4,   0.6,  0.8,  1.2, 2,   4 };

// In requests for each slot of a target. Most targets reject what would make it 4.
const prometheus::Histogram::BucketBoundaries loadBuckets = { 0, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 4 };

std::string fieldOf(const core::LogRecord &record, const std::string &name)
{
    for (const core::LogField &field : record.fields) {
        if (field.name == name)
            return field.value;
    }
    return {};
}

} // namespace

class Metrics::Families
{
public:
    Families()
        : events(prometheus::BuildCounter()
                     .Name("bluebellshift_events_total")
                     .Help("Logged events, written or not.")
                     .Register(registry))
        , refusals(prometheus::BuildCounter()
                       .Name("bluebellshift_refusals_total")
                       .Help("Requests refused, by status and reason.")
                       .Register(registry))
        , attempts(prometheus::BuildCounter()
                       .Name("bluebellshift_failed_attempts_total")
                       .Help("Attempts at targets without success, by outcome.")
                       .Register(registry))
        , limits(prometheus::BuildCounter()
                     .Name("bluebellshift_caller_limits_total")
                     .Help("Callers' requests and connections ended by a limit, by limit.")
                     .Register(registry))
        , storeCalls(prometheus::BuildGauge()
                         .Name("bluebellshift_store_calls")
                         .Help("Calls to the platform's store since the start, by outcome.")
                         .Register(registry))
        , gauges(prometheus::BuildGauge()
                     .Name("bluebellshift_state")
                     .Help("What the VM holds and believes, by name.")
                     .Register(registry))
        , registryAges(prometheus::BuildGauge()
                           .Name("bluebellshift_registry_age_seconds")
                           .Help("Time since a registry of the store was confirmed, by registry.")
                           .Register(registry))
        , latencies(prometheus::BuildHistogram()
                        .Name("bluebellshift_request_seconds")
                        .Help("Times of requests, by part.")
                        .Register(registry))
        , total(latencies.Add({ { "part", "total" } }, latencyBuckets))
        , queue(latencies.Add({ { "part", "queue" } }, latencyBuckets))
        , target(latencies.Add({ { "part", "target" } }, latencyBuckets))
        , loopDelay(prometheus::BuildHistogram()
                        .Name("bluebellshift_loop_delay_seconds")
                        .Help("How late timers of the event loop were handled.")
                        .Register(registry)
                        .Add({}, latencyBuckets))
        , placements(prometheus::BuildCounter()
                         .Name("bluebellshift_target_warmth_total")
                         .Help("Ended attempts, by the expected and the found state of the object.")
                         .Register(registry))
        , loads(prometheus::BuildHistogram()
                    .Name("bluebellshift_target_load")
                    .Help("Requests for each slot of a target, as expected and as reported.")
                    .Register(registry))
        , expectedLoad(loads.Add({ { "source", "expected" } }, loadBuckets))
        , reportedLoad(loads.Add({ { "source", "reported" } }, loadBuckets))
        , reportedQueue(loads.Add({ { "source", "reported-waiting" } }, loadBuckets))
    {
    }

    void setGauge(const char *name, double value) { gauges.Add({ { "name", name } }).Set(value); }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &events;
    prometheus::Family<prometheus::Counter> &refusals;
    prometheus::Family<prometheus::Counter> &attempts;
    prometheus::Family<prometheus::Counter> &limits;
    prometheus::Family<prometheus::Gauge> &storeCalls;
    prometheus::Family<prometheus::Gauge> &gauges;
    prometheus::Family<prometheus::Gauge> &registryAges;
    prometheus::Family<prometheus::Histogram> &latencies;
    prometheus::Histogram &total;
    prometheus::Histogram &queue;
    prometheus::Histogram &target;
    prometheus::Histogram &loopDelay;
    prometheus::Family<prometheus::Counter> &placements;
    prometheus::Family<prometheus::Histogram> &loads;
    prometheus::Histogram &expectedLoad;
    prometheus::Histogram &reportedLoad;
    prometheus::Histogram &reportedQueue;
    // Caches the counters by event number, as a look-up by labels costs more than the count.
    std::unordered_map<int, prometheus::Counter *> eventCounters;
};

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countLog(const core::LogRecord &record)
{
    prometheus::Counter *&counter = families_->eventCounters[record.event.number];
    if (counter == nullptr)
        counter = &families_->events.Add({ { "event", record.event.name } });
    counter->Increment();
    if (record.event.number == core::log::requestRefused.number)
        families_->refusals
            .Add({ { "status", fieldOf(record, "status") }, { "reason", fieldOf(record, "code") } })
            .Increment();
    else if (record.event.number == core::log::attemptFailed.number)
        families_->attempts.Add({ { "outcome", fieldOf(record, "outcome") } }).Increment();
}

void Metrics::countLimit(const char *limit)
{
    families_->limits.Add({ { "limit", limit } }).Increment();
}

void Metrics::observeRequest(core::Duration total)
{
    families_->total.Observe(total.toSeconds());
}

void Metrics::observeQueue(core::Duration queueTime)
{
    families_->queue.Observe(queueTime.toSeconds());
}

void Metrics::observeTarget(core::Duration targetTime)
{
    families_->target.Observe(targetTime.toSeconds());
}

void Metrics::observeLoopDelay(core::Duration delay)
{
    families_->loopDelay.Observe(delay.toSeconds());
}

void Metrics::observeTargetState(const gateway::targets::TargetObservation &observation)
{
    families_->placements
        .Add({ { "expected", toText(observation.expectedWarmth) },
               { "found", toText(observation.foundWarmth) } })
        .Increment();
    families_->expectedLoad.Observe(observation.expectedLoad);
    if (observation.reportedLoad)
        families_->reportedLoad.Observe(*observation.reportedLoad);
    if (observation.reportedQueue)
        families_->reportedQueue.Observe(*observation.reportedQueue);
}

std::string Metrics::text(const MetricsReadings &readings)
{
    Families &families = *families_;
    families.storeCalls.Add({ { "outcome", "done" } })
        .Set(static_cast<double>(readings.storeCallsDone));
    families.storeCalls.Add({ { "outcome", "refused" } })
        .Set(static_cast<double>(readings.storeCallsRefused));
    families.storeCalls.Add({ { "outcome", "unanswered" } })
        .Set(static_cast<double>(readings.storeCallsUnanswered));
    families.setGauge("ready", readings.isReady ? 1 : 0);
    families.setGauge("requests_pending", static_cast<double>(readings.gateway.pending));
    families.setGauge("vms_known", static_cast<double>(readings.gateway.vms));
    families.setGauge("vms_heard", static_cast<double>(readings.gateway.liveVms));
    families.setGauge("targets_known", static_cast<double>(readings.gateway.targets));
    families.setGauge("targets_limited", static_cast<double>(readings.gateway.limitedTargets));
    families.setGauge("targets_leaving", static_cast<double>(readings.gateway.leavingTargets));
    families.setGauge("targets_paused", static_cast<double>(readings.gateway.pausedTargets));
    families.setGauge("config_version", static_cast<double>(readings.gateway.configVersion));
    families.setGauge("config_revision", static_cast<double>(readings.gateway.configRevision));
    families.setGauge("config_version_reported",
                      static_cast<double>(readings.gateway.reportedConfigVersion));
    families.setGauge("store_era", static_cast<double>(readings.gateway.storeEra));
    families.setGauge("store_data_ignored", static_cast<double>(readings.gateway.ignoredStoreData));
    for (std::size_t i = 0; i < gateway::registryCount; ++i)
        families.registryAges
            .Add({ { "registry", gateway::toText(static_cast<gateway::Registry>(i)) } })
            .Set(readings.gateway.registryAges[i].toSeconds());
    families.setGauge("store_age_seconds", readings.gateway.storeAge.toSeconds());
    families.setGauge("store_lost", readings.gateway.isStoreLost ? 1 : 0);
    families.setGauge("entries_unreadable",
                      static_cast<double>(readings.gateway.unreadableEntries));
    families.setGauge("target_connections_made",
                      static_cast<double>(readings.targetConnectionsMade));
    families.setGauge("caller_connections", static_cast<double>(readings.callerConnections));
    families.setGauge("caller_bytes", static_cast<double>(readings.callerBytes));
    families.setGauge("caller_bytes_budget", static_cast<double>(readings.callerBytesBudget));
    families.setGauge("log_lines_dropped", static_cast<double>(readings.logLinesDropped));
    return prometheus::TextSerializer().Serialize(families.registry.Collect());
}

} // namespace bluebellshift::gatewayd
