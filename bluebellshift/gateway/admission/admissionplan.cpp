// A request is sent at once if a target has a free slot, or if it is expected to meet its
// latency objective despite queueing at the target. Otherwise it waits here for a fraction
// of its objective, ordered by priority, and is sent to whichever target becomes free
// first. After that it is refused with a Retry-After: sending it anyway would fill the
// queues of the targets and make all later requests late as well. A request that can't
// expect its turn in time is refused at once, so that those ahead of it wait less.
//
// That rule still fills the targets' queues when demand exceeds their capacity: each request
// that has waited half of its objective is sent late, and then nearly all are late. Where callers
// compete for a service, queueing at a target therefore needs the prospect of a timely answer,
// and a request that will be late gets only a slot that would stay unused.
#include "bluebellshift/gateway/admission/admissionplan.h"

#include <algorithm>

namespace bluebellshift::gateway::admission {
namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration::micros(
        static_cast<std::int64_t>(static_cast<double>(duration.toMicros()) * factor));
}

// For how long a request waits for a target.
Duration maxWaitOf(const AdmissionRequest &request, const Offer &offer)
{
    const Duration most = scaled(request.objective, AdmissionPlan::maxQueueFraction);
    if (!request.isContended)
        return most;
    if (request.mayHaveRun)
        return scaled(request.deadline - request.arrivedAt, AdmissionPlan::maxUncertainFraction);
    const Duration least = scaled(request.objective, AdmissionPlan::minQueueFraction);
    return std::clamp(request.objective - offer.serviceTime, least, most);
}

// Whether all targets leave or are paused for longer than the request waits.
bool isHopeless(const AdmissionRequest &request, const Offer &offer)
{
    return offer.isUnavailable && !request.mayHaveRun
        && (offer.availableAt == Instant::never()
            || offer.availableAt > request.arrivedAt + maxWaitOf(request, offer));
}

Decision refuseUntil(Instant availableAt, Instant now)
{
    const Duration wait = availableAt == Instant::never()
        ? AdmissionPlan::maxRetryAfter
        : availableAt - now + AdmissionPlan::minRetryAfter;
    return { Step::Refuse, "targets-unavailable", false, 503,
             std::clamp(wait, AdmissionPlan::minRetryAfter, AdmissionPlan::maxRetryAfter) };
}

Decision refuse(const AdmissionRequest &request, const char *reason)
{
    if (request.mayHaveRun)
        return { Step::Refuse, "target-failed", false, 502, Duration() };
    return { Step::Refuse, reason, false, 503, std::nullopt };
}

} // namespace

AdmissionPlan::AdmissionPlan(const WaitingQueues &queues)
    : queues_(queues)
{
}

Decision AdmissionPlan::decide(const AdmissionRequest &request, const Offer &offer,
                               Instant now) const
{
    const Decision decision = request.isContended ? decideContended(request, offer, now)
                                                  : decideUsual(request, offer, now);
    if (decision.step != Step::Wait || !request.isNew)
        return decision;
    if (queues_.size() >= maxWaitingRequests)
        return { Step::Refuse, "queue-full", false, 503, std::nullopt };
    if (mayWait(request, offer, now))
        return decision;
    if (mayPrefer(request, now))
        return { Step::Wait, "returned", true };
    if (request.isContended && offer.hasTarget && !isBehind(request))
        return { Step::FindFreeSlot };
    return refuse(request, request.isContended ? "no-turn" : "no-room");
}

Decision AdmissionPlan::decideUsual(const AdmissionRequest &request, const Offer &offer,
                                    Instant now) const
{
    const Duration waited = now - request.arrivedAt;
    if (offer.hasFreeSlot())
        return { Step::Send, "free-slot" };
    if (offer.hasTarget && waited + offer.timeToFinish <= request.objective)
        return { Step::Send, "in-time" };
    if (isHopeless(request, offer))
        return refuseUntil(offer.availableAt, now);
    if (waited < maxWaitOf(request, offer))
        return { Step::Wait };
    const Duration left = request.deadline - now;
    if (offer.hasTarget && offer.timeToFinish <= scaled(left, maxLateFraction)
        && offer.inFlight < 2 * offer.slots)
        return { Step::Send, "late" };
    return refuse(request, offer.hasTarget ? "no-room" : "no-target");
}

Decision AdmissionPlan::decideContended(const AdmissionRequest &request, const Offer &offer,
                                        Instant now) const
{
    const Duration waited = now - request.arrivedAt;
    if (isHopeless(request, offer))
        return refuseUntil(offer.availableAt, now);
    if (!isBehind(request)) {
        if (offer.hasFreeSlot())
            return { Step::Send, "free-slot" };
        if (offer.hasTarget && offer.reserved == 0 && offer.inFlight < maxFill * offer.slots
            && waited + offer.timeToFinish <= scaled(request.objective, inTimeFraction))
            return { Step::Send, "in-time" };
    }
    if (waited < maxWaitOf(request, offer))
        return { Step::Wait };
    if (!offer.hasTarget)
        return refuse(request, "no-target");
    return { Step::FindFreeSlot };
}

Decision AdmissionPlan::decideAtFreeSlot(const AdmissionRequest &request, const Offer &offer)
{
    if (offer.hasFreeSlot())
        return { Step::Send, "other-free-slot" };
    return refuse(request, request.isNew ? "no-turn" : "no-room");
}

bool AdmissionPlan::isBehind(const AdmissionRequest &request) const
{
    if (!request.isNew)
        return false;
    const std::size_t tried = contendedScan.blockedPerRoom;
    return queues_.ahead(request.service, request.room, request.priority, tried) >= tried;
}

bool AdmissionPlan::mayWait(const AdmissionRequest &request, const Offer &offer, Instant now) const
{
    const double servedInTime = queues_.sentPerSecond(request.service, request.lane(), now)
        * maxWaitOf(request, offer).toSeconds() * maxExpectedWaitFraction;
    const auto limit = std::max<std::size_t>(minQueue, static_cast<std::size_t>(servedInTime));
    return queues_.ahead(request.service, request.room, request.priority, limit) < limit;
}

bool AdmissionPlan::mayPrefer(const AdmissionRequest &request, Instant now) const
{
    if (!request.isContended || !request.hasReturned || request.load >= maxReturnLoad)
        return false;
    const double most =
        maxReturnShare * queues_.sentPerSecond(request.service, request.lane(), now);
    return queues_.preferredPerSecond(request.service, request.lane(), now)
        <= std::max(minReturnsPerSecond, most);
}

Duration AdmissionPlan::retryAfter(const AdmissionRequest &request, const Backlog &backlog) const
{
    const auto ahead = static_cast<double>(queues_.size(request.service) * backlog.vms);
    const double rounds = 0.5 + ahead / std::max(1, backlog.slots);
    return std::clamp(scaled(backlog.work, rounds), minRetryAfter, maxRetryAfter);
}

} // namespace bluebellshift::gateway::admission
