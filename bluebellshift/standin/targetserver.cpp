// Each target has a separate server, so that it can be stopped alone and has its
// own limit on connections.
#include "bluebellshift/standin/targetserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

#include "bluebellshift/standin/jsonreply.h"

namespace bluebellshift::standin {

using core::Duration;
using core::Instant;
using Json = nlohmann::json;

namespace {

Instant steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Instant::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

Json jsonOf(const TargetCounts &counts)
{
    return { { "requests", counts.requests },   { "shed", counts.shed },
             { "cancelled", counts.cancelled }, { "with_key", counts.requestsWithKey },
             { "probes", counts.probes },       { "busy_most", counts.maxBusy } };
}

Json jsonOf(const TargetFaults &faults)
{
    return { { "unhealthy", faults.isUnhealthy },
             { "leaving", faults.isLeaving },
             { "shed", faults.isShedding },
             { "status", faults.status },
             { "late_ms", faults.answerDelay.toMillis() },
             { "slow_factor", faults.slowFactor },
             { "cold_ms", faults.coldDuration.toMillis() },
             { "cold_factor", faults.coldFactor },
             { "misleading_report", faults.isReportMisleading },
             { "report_lag_ms", faults.reportLag.toMillis() },
             { "every", faults.everyNthRequest },
             { "close", faults.isDroppingAnswer },
             { "cut", faults.isTruncatingAnswer },
             { "crossed", faults.isMisroutingAnswer },
             { "stray", faults.isSendingExtraAnswer },
             { "oversize_bytes", faults.oversizeBytes } };
}

// updateKnownFields() has checked the types against jsonOf(TargetFaults()).
TargetFaults faultsOf(const Json &json)
{
    TargetFaults faults;
    faults.isUnhealthy = json["unhealthy"];
    faults.isLeaving = json["leaving"];
    faults.isShedding = json["shed"];
    faults.status = json["status"];
    faults.answerDelay = Duration::millis(json["late_ms"]);
    faults.slowFactor = json["slow_factor"];
    faults.coldDuration = Duration::millis(json["cold_ms"]);
    faults.coldFactor = json["cold_factor"];
    faults.isReportMisleading = json["misleading_report"];
    faults.reportLag = Duration::millis(json["report_lag_ms"]);
    faults.everyNthRequest = json["every"];
    faults.isDroppingAnswer = json["close"];
    faults.isTruncatingAnswer = json["cut"];
    faults.isMisroutingAnswer = json["crossed"];
    faults.isSendingExtraAnswer = json["stray"];
    faults.oversizeBytes = json["oversize_bytes"];
    return faults;
}

} // namespace

TargetServer::TargetServer(const TargetServerOptions &options)
{
    for (int i = 0; i < options.count; ++i) {
        TargetSettings settings;
        settings.id = core::TargetId(options.idPrefix + "-" + std::to_string(i));
        settings.region = options.region;
        settings.slots = options.slots;
        settings.serviceTime = options.serviceTime;
        targets_.push_back(std::make_unique<FakeTarget>(settings, runs_, &steadyNow));
        FakeTarget *target = targets_.back().get();
        core::Endpoint endpoint = options.first;
        if (endpoint.port != 0)
            endpoint.port = static_cast<std::uint16_t>(endpoint.port + i);
        const HttpServerOptions limits { static_cast<unsigned>(options.connections) };
        servers_.push_back(std::make_unique<HttpServer>(
            endpoint, limits,
            [this, target](const HttpRequest &request) { return serve(*target, request); }));
    }
}

TargetServer::~TargetServer() = default;

absl::Status TargetServer::start()
{
    for (const std::unique_ptr<HttpServer> &server : servers_) {
        const absl::Status status = server->start();
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

void TargetServer::stop()
{
    for (const std::unique_ptr<HttpServer> &server : servers_)
        server->stop();
}

HttpReply TargetServer::serve(FakeTarget &target, const HttpRequest &request)
{
    if (request.path == "/standin/runs")
        return serveRuns(request);
    if (request.path == "/standin/counts")
        return jsonReply(200, jsonOf(target.counts()));
    if (request.path == "/standin/faults")
        return serveFaults(target, request);
    return target.serve(request);
}

HttpReply TargetServer::serveRuns(const HttpRequest &request) const
{
    const bool isOnlyRepeated = request.queryNumber("repeated", 0) != 0;
    const RunRecord::Counts counts = isOnlyRepeated ? runs_.repeated() : runs_.byTicket();
    Json json = { { "total", runs_.total() }, { "tickets", counts } };
    if (request.queryNumber("callers", 0) != 0)
        json["callers"] = runs_.byCaller();
    return jsonReply(200, json);
}

HttpReply TargetServer::serveFaults(FakeTarget &target, const HttpRequest &request)
{
    if (request.method == "GET")
        return jsonReply(200, jsonOf(target.faults()));
    Json json = jsonOf(TargetFaults());
    const absl::Status status = updateKnownFields(request.body, json);
    if (!status.ok())
        return errorReply(400, std::string(status.message()));
    const TargetFaults faults = faultsOf(json);
    if (request.queryNumber("all", 0) == 0) {
        target.setFaults(faults);
        return jsonReply(200, json);
    }
    for (const std::unique_ptr<FakeTarget> &each : targets_)
        each->setFaults(faults);
    return jsonReply(200, json);
}

} // namespace bluebellshift::standin
