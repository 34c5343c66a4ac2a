// A request is sent at once if a target has a free slot, or if it is expected to meet its
// latency objective despite queueing at the target. Otherwise it waits here for a fraction
// of its objective, ordered by priority, and is sent to whichever target becomes free
// first. After that it is refused with a Retry-After: sending it anyway would fill the
// queues of the targets and make all later requests late as well. A request that can't
// expect its turn in time is refused at once, so that those ahead of it wait less.
#include "bluebellshift/gateway/admission/admissionplan.h"

#include <algorithm>

namespace bluebellshift::gateway::admission {
namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration::micros(
        static_cast<std::int64_t>(static_cast<double>(duration.toMicros()) * factor));
}

// Until the first target returns.
Duration waitUntil(Instant availableAt, Instant now)
{
    const Duration wait = availableAt == Instant::never()
        ? AdmissionPlan::maxRetryAfter
        : availableAt - now + AdmissionPlan::minRetryAfter;
    return std::clamp(wait, AdmissionPlan::minRetryAfter, AdmissionPlan::maxRetryAfter);
}

} // namespace

AdmissionPlan::AdmissionPlan(const WaitingQueues &queues)
    : queues_(queues)
{
}

Decision AdmissionPlan::decide(const AdmissionRequest &request, const Offer &offer,
                               Instant now) const
{
    const Duration waited = now - request.arrivedAt;
    if (offer.hasFreeSlot()
        || (offer.hasTarget && waited + offer.timeToFinish <= request.objective))
        return { Step::Send };
    const Duration maxWait = scaled(request.objective, maxQueueFraction);
    if (offer.isUnavailable && !request.mayHaveRun
        && (offer.availableAt == Instant::never()
            || offer.availableAt > request.arrivedAt + maxWait))
        return { Step::Refuse, 503, "targets-unavailable", waitUntil(offer.availableAt, now) };
    if (waited < maxWait)
        return { Step::Wait };
    const Duration left = request.deadline - now;
    if (offer.hasTarget && offer.timeToFinish <= scaled(left, maxLateFraction)
        && offer.inFlight < 2 * offer.slots)
        return { Step::Send };
    if (request.mayHaveRun)
        return { Step::Refuse, 502, "target-failed", Duration() };
    return { Step::Refuse, 503, offer.hasTarget ? "no-room" : "no-target" };
}

bool AdmissionPlan::mayWait(const AdmissionRequest &request, Instant now) const
{
    const Duration maxWait = scaled(request.objective, maxQueueFraction);
    const double servedInTime =
        queues_.sentPerSecond(request.service, now) * maxWait.toSeconds() * maxExpectedWaitFraction;
    const auto limit = std::max<std::size_t>(minQueue, static_cast<std::size_t>(servedInTime));
    return queues_.ahead(request.service, request.priority, limit) < limit;
}

Duration AdmissionPlan::retryAfter(const AdmissionRequest &request, const Backlog &backlog) const
{
    const auto ahead = static_cast<double>(queues_.size(request.service) * backlog.vms);
    const double rounds = 0.5 + ahead / std::max(1, backlog.slots);
    return std::clamp(scaled(backlog.work, rounds), minRetryAfter, maxRetryAfter);
}

} // namespace bluebellshift::gateway::admission
