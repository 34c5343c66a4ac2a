// Decides whether a request is sent to the target offered to it, waits for another one, or is
// refused.
//
//   const AdmissionPlan plan(queues);
//   const Decision decision = plan.decide(request, offer, now);
//   if (decision.step == Step::Refuse)
//       ...                                 // with plan.retryAfter(...), unless it names a time
//
// Where callers compete for a service (isContended), capacity goes to those who can be served
// within their objective:
//  - A target without a free slot gets a request only if that is expected to end in time.
//  - While more urgent requests need them, targets get less urgent ones only for free slots that
//    are not reserved (UrgencyLevels).
//  - With a free slot, a request is sent even if it will be late.
//  - A new request is not sent while others ahead of it, which may use the same targets, could not
//    be tried, and it is refused at once if it can't expect its turn.
#pragma once

#include <optional>

#include "bluebellshift/gateway/admission/waitingqueues.h"

namespace bluebellshift::gateway::admission {

// What admission needs to know of a request.
struct AdmissionRequest
{
    ServiceId service;
    int priority = 0; // lower is more urgent
    Duration objective;
    Instant arrivedAt;
    Instant deadline;
    bool mayHaveRun = false; // an attempt ended in an unknown state
    bool isNew = true;       // it has not waited, nor been sent
    bool isContended = false;
    std::uint64_t room = 0;   // see WaitingQueues
    bool hasReturned = false; // the caller was refused before
    double load = 0;          // of the service, see Outlook; for a new request that hasReturned

    Lane lane() const { return isContended ? Lane(room, priority) : Lane(); }
};

// The target that is best for the request at this moment.
struct Offer
{
    bool hasTarget = false;
    int inFlight = 0; // there, from all VMs
    int slots = 0;
    int reserved = 0;      // slots that it keeps free for more urgent requests
    Duration timeToFinish; // expected time until the response, from now
    Duration serviceTime;  // of the request there, without waiting
    // If all targets leave or are paused: when the first pause ends, or never().
    bool isUnavailable = false;
    Instant availableAt = Instant::never();

    bool hasFreeSlot() const { return hasTarget && inFlight + reserved < slots; }
};

enum class Step {
    Send,
    Wait,
    Refuse,
    // Offer it the best target that has a free slot, and call decideAtFreeSlot().
    FindFreeSlot
};

struct Decision
{
    Step step = Step::Wait;
    const char *reason = "";
    bool isPreferred = false; // it waits in front of the others of its priority
    // Of a refusal:
    int status = 503;
    std::optional<Duration> retryAfter = std::nullopt; // nothing: see AdmissionPlan::retryAfter()
};

// What the time at which a refused caller may return depends on.
struct Backlog
{
    int slots = 0;       // of the service, usable now
    Duration work;       // expected service time of the route
    std::size_t vms = 1; // assumed to have equal queues
};

class AdmissionPlan
{
public:
    // A request waits for a free slot for at most this fraction of its latency objective.
    static constexpr double maxQueueFraction = 0.5;
    // After that it is sent only if it is expected to end within this fraction of the time
    // left until its deadline.
    static constexpr double maxLateFraction = 0.7;
    // A new request is refused at once if those ahead of it, at the rate at which the queue is
    // served, are expected to take more than this fraction of the time for which it may wait.
    static constexpr double maxExpectedWaitFraction = 0.5;
    static constexpr std::size_t minQueue = 3; // requests that wait whatever the rate
    static constexpr std::size_t maxWaitingRequests = 2000;
    // Callers that have returned may wait where new ones are refused, up to this fraction of what
    // is served. While demand exceeds the capacity for long, the same number is refused twice
    // whoever is preferred, but more are served late, on their second attempt: there is no
    // preference from this load on.
    static constexpr double maxReturnShare = 0.25;
    static constexpr double maxReturnLoad = 1;
    static constexpr double minReturnsPerSecond = 0.5;
    // Where callers compete: a request waits until it can no longer end in time, but at least
    // for this fraction of its objective, because a free slot must not stay unused.
    static constexpr double minQueueFraction = 0.25;
    // Without a free slot, a request is sent only if it is expected to end within this fraction of
    // its objective, and to a target with fewer than this multiple of its slots in flight: work
    // varies, and the load that other VMs add to a queue is known late.
    static constexpr double inTimeFraction = 0.8;
    static constexpr double maxFill = 1.5;
    // A request that may have run can't be refused truthfully. It waits for at most this fraction
    // of the time until its deadline.
    static constexpr double maxUncertainFraction = 0.5;
    // Requests that are tried in vain in one scan of a queue. Each costs a selection among all
    // targets of the service.
    static constexpr QueueScan::Limits usualScan { 24, 6, 6 };
    static constexpr QueueScan::Limits contendedScan { 24, 8, 4 };
    static constexpr std::size_t maxScannedEntries = 200;
    static constexpr Duration minRetryAfter = Duration::millis(100); // limits of Retry-After
    static constexpr Duration maxRetryAfter = Duration::millis(1500);

    explicit AdmissionPlan(const WaitingQueues &queues);

    // Whether to send the request to the offered target. Before a new request of a contended
    // service, those that wait for the service must have been tried.
    Decision decide(const AdmissionRequest &request, const Offer &offer, Instant now) const;
    static Decision decideAtFreeSlot(const AdmissionRequest &request, const Offer &offer);
    // Retry-After: the expected time until the requests ahead in the queue have been served.
    Duration retryAfter(const AdmissionRequest &request, const Backlog &backlog) const;

private:
    Decision decideUsual(const AdmissionRequest &request, const Offer &offer, Instant now) const;
    Decision decideContended(const AdmissionRequest &request, const Offer &offer,
                             Instant now) const;
    // Whether requests ahead of a new one, which may use the same targets, could not be tried.
    bool isBehind(const AdmissionRequest &request) const;
    // Whether a new request is expected to find room in the time for which it may wait.
    bool mayWait(const AdmissionRequest &request, const Offer &offer, Instant now) const;
    // Whether a new request that may not wait is let in because its caller has returned.
    bool mayPrefer(const AdmissionRequest &request, Instant now) const;

    const WaitingQueues &queues_;
};

} // namespace bluebellshift::gateway::admission
