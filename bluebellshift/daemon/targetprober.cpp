#include "bluebellshift/daemon/targetprober.h"

#include <nlohmann/json.hpp>

namespace bluebellshift::daemon {

namespace {

constexpr std::size_t probeThreads = 2;
constexpr std::size_t maxQueuedProbes = 64;
constexpr core::Duration probeTimeout = core::Duration::millis(500);
constexpr char healthPath[] = "/health";

// Decodes {"healthy", "leaving", "busy_slots"}. A malformed body counts as
// unhealthy.
core::ProbeEnded decodeHealth(const core::TargetId &target, const std::string &body)
{
    core::ProbeEnded ended;
    ended.target = target;
    const nlohmann::json health = nlohmann::json::parse(body, nullptr, false);
    if (!health.is_object())
        return ended;
    const auto healthy = health.find("healthy");
    ended.isHealthy = healthy != health.end() && healthy->is_boolean() && healthy->get<bool>();
    const auto leaving = health.find("leaving");
    ended.isLeaving = leaving != health.end() && leaving->is_boolean() && leaving->get<bool>();
    const auto busy = health.find("busy_slots");
    if (busy != health.end() && busy->is_number_unsigned())
        ended.reportedBusySlots = busy->get<int>();
    return ended;
}

} // namespace

TargetProber::TargetProber(http::Forwarder &forwarder, base::Clock clock, Post post)
    : forwarder_(forwarder)
    , clock_(std::move(clock))
    , post_(std::move(post))
    , workers_(probeThreads, maxQueuedProbes)
{
}

void TargetProber::probe(const core::ProbeTarget &effect)
{
    const bool accepted = workers_.submit([this, effect] { post_(runProbe(effect)); });
    if (!accepted) {
        core::ProbeEnded ended;
        ended.target = effect.target;
        post_(ended);
    }
}

core::ProbeEnded TargetProber::runProbe(const core::ProbeTarget &effect)
{
    http::ForwardAttempt attempt;
    attempt.endpoint = effect.endpoint;
    attempt.method = "GET";
    attempt.pathAndQuery = healthPath;
    attempt.deadline = clock_.now() + probeTimeout;
    attempt.validUntil = attempt.deadline;
    attempt.mayReuseConnection = true;
    const http::Forwarder::Result result = forwarder_.send(attempt, [] { return false; });
    const bool isAnswer =
        result.outcome == core::AttemptOutcome::Answered && result.answer->status == 200;
    return decodeHealth(effect.target, isAnswer ? result.answer->body : std::string());
}

} // namespace bluebellshift::daemon
