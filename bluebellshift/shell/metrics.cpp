// Counters with fixed labels are created once and kept by reference, because looking
// one up by its labels for each event would take the family's lock and build a map.
#include "bluebellshift/shell/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bluebellshift::shell {
namespace {

using prometheus::Counter;
using prometheus::Gauge;

constexpr std::size_t refusalCodeCount =
    static_cast<std::size_t>(core::RefusalCode::HomeUnreachable) + 1;
constexpr std::size_t runValueCount = static_cast<std::size_t>(core::Run::Unknown) + 1;

// A counter that mirrors a total kept by another module.
class MirroredCounter
{
public:
    explicit MirroredCounter(Counter &counter)
        : counter_(counter)
    {
    }
    void advanceTo(std::uint64_t total)
    {
        if (total > lastTotal_)
            counter_.Increment(static_cast<double>(total - lastTotal_));
        lastTotal_ = total;
    }

private:
    Counter &counter_;
    std::uint64_t lastTotal_ = 0;
};

} // namespace

class Metrics::Families
{
public:
    Families();
    template<typename Effect> void count(const Effect &) { }
    void count(const core::AnswerCaller &) { answered_.Increment(); }
    void count(const core::RefuseCaller &effect)
    {
        const auto code = static_cast<std::size_t>(effect.refusal.code);
        refused_[code][static_cast<std::size_t>(effect.refusal.run)]->Increment();
    }
    void count(const core::IssueTicket &) { tickets_.Increment(); }
    void count(const core::ForwardRequest &) { attempts_.Increment(); }
    void count(const core::RelayToHome &) { relays_.Increment(); }
    void count(const core::ReadObject &) { reads_.Increment(); }
    void count(const core::WriteObject &) { writes_.Increment(); }
    void count(const core::WatchObjects &) { watches_.Increment(); }
    void count(const core::WriteLog &effect)
    {
        const auto found = logged_.find(effect.record.event.number);
        if (found != logged_.end())
            found->second->Increment();
    }
    void observe(core::Duration time) { requestSeconds_.Observe(time.toSeconds()); }
    std::string text(const MetricsReadings &readings);

private:
    Counter &counter(const char *name, const char *help, const prometheus::Labels &labels = {})
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
    }
    Gauge &gauge(const char *name, const char *help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
    }
    Counter &platformCall(const char *call)
    {
        return counter("bluebellshift_platform_calls_total", "Calls to the platform by kind.",
                       { { "call", call } });
    }

    prometheus::Registry registry_ { prometheus::Registry::InsertBehavior::Merge };
    Counter &answered_;
    std::array<std::array<Counter *, runValueCount>, refusalCodeCount> refused_ {};
    Counter &tickets_;
    Counter &attempts_;
    Counter &relays_;
    Counter &reads_;
    Counter &writes_;
    Counter &watches_;
    std::map<int, Counter *> logged_; // by the event's number
    prometheus::Histogram &requestSeconds_;
    Gauge &ready_;
    Gauge &peers_;
    Gauge &peersByFirstKey_;
    std::mutex scrapeMutex_; // guards the following counters
    MirroredCounter peerBytesSent_;
    MirroredCounter peerBytesReceived_;
    MirroredCounter peersRejected_;
    MirroredCounter heartbeatsDropped_;
    MirroredCounter linesDropped_;
};

Metrics::Families::Families()
    : answered_(counter("bluebellshift_requests_answered_total", "Requests answered."))
    , tickets_(counter("bluebellshift_tickets_total", "Tickets given."))
    , attempts_(counter("bluebellshift_attempts_total", "Attempts at targets."))
    , relays_(counter("bluebellshift_relays_total", "Requests passed to their ticket's home."))
    , reads_(platformCall("read"))
    , writes_(platformCall("write"))
    , watches_(platformCall("watch"))
    , requestSeconds_(
          prometheus::BuildHistogram()
              .Name("bluebellshift_request_seconds")
              .Help("Time from a request to its end.")
              .Register(registry_)
              .Add({},
                   prometheus::Histogram::BucketBoundaries { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                             0.1, 0.2, 0.5, 1, 2, 5, 10 }))
    , ready_(gauge("bluebellshift_ready", "1 while keyed requests are served."))
    , peers_(gauge("bluebellshift_peers_connected", "VMs with a session."))
    , peersByFirstKey_(gauge("bluebellshift_peers_by_first_key",
                             "VMs with a session proved under the first peer key."))
    , peerBytesSent_(counter("bluebellshift_peer_bytes_total", "Bytes between VMs.",
                             { { "direction", "sent" } }))
    , peerBytesReceived_(counter("bluebellshift_peer_bytes_total", "Bytes between VMs.",
                                 { { "direction", "received" } }))
    , peersRejected_(
          counter("bluebellshift_peers_rejected_total", "Ends that did not prove themselves."))
    , heartbeatsDropped_(
          counter("bluebellshift_heartbeats_dropped_total", "Heartbeats dropped from full queues."))
    , linesDropped_(counter("bluebellshift_log_lines_dropped_total", "Log lines over the limit."))
{
    for (std::size_t code = 0; code < refusalCodeCount; ++code) {
        for (std::size_t run = 0; run < runValueCount; ++run)
            refused_[code][run] =
                &counter("bluebellshift_requests_refused_total", "Requests refused, by code.",
                         { { "code", core::toText(static_cast<core::RefusalCode>(code)) },
                           { "run", core::toText(static_cast<core::Run>(run)) } });
    }
    for (const core::LogEvent &event : core::allLogEvents())
        logged_[event.number] =
            &counter("bluebellshift_log_events_total", "Log events by name.",
                     { { "event", std::to_string(event.number) }, { "name", event.name } });
}

std::string Metrics::Families::text(const MetricsReadings &readings)
{
    const std::lock_guard<std::mutex> lock(scrapeMutex_);
    ready_.Set(readings.isReady ? 1 : 0);
    peers_.Set(static_cast<double>(readings.peers.connected));
    peersByFirstKey_.Set(static_cast<double>(readings.peers.connectedByFirstKey));
    peerBytesSent_.advanceTo(readings.peers.bytesSent);
    peerBytesReceived_.advanceTo(readings.peers.bytesReceived);
    peersRejected_.advanceTo(readings.peers.rejected);
    heartbeatsDropped_.advanceTo(readings.peers.heartbeatsDropped);
    linesDropped_.advanceTo(readings.logLinesDropped);
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, registry_.Collect());
    return out.str();
}

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countEffect(const core::Effect &effect)
{
    std::visit([this](const auto &kind) { families_->count(kind); }, effect);
}

void Metrics::observeRequest(core::Duration time)
{
    families_->observe(time);
}

std::string Metrics::text(const MetricsReadings &readings)
{
    return families_->text(readings);
}

} // namespace bluebellshift::shell
