// Decides whether a request is sent to the target offered to it, waits for another one, or is
// refused.
//
//   const AdmissionPlan plan(queues);
//   switch (plan.decide(request, offer, now).step) { ... }
//   if (!plan.mayWait(request, now))
//       ...                                 // refuse it, with plan.retryAfter(...)
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
};

// The target that is best for the request at this moment.
struct Offer
{
    bool hasTarget = false;
    int inFlight = 0; // there, from all VMs
    int slots = 0;
    Duration timeToFinish; // expected time until the response, from now
    // If all targets leave or are paused: when the first pause ends, or never().
    bool isUnavailable = false;
    Instant availableAt = Instant::never();

    bool hasFreeSlot() const { return hasTarget && inFlight < slots; }
};

enum class Step { Send, Wait, Refuse };

struct Decision
{
    Step step = Step::Wait;
    // Of a refusal:
    int status = 503;
    const char *reason = "";
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
    static constexpr Duration minRetryAfter = Duration::millis(100); // limits of Retry-After
    static constexpr Duration maxRetryAfter = Duration::millis(1500);

    explicit AdmissionPlan(const WaitingQueues &queues);

    // Whether to send the request to the offered target.
    Decision decide(const AdmissionRequest &request, const Offer &offer, Instant now) const;
    // Whether a request that does not wait yet is expected to find room in the time for which it
    // may wait.
    bool mayWait(const AdmissionRequest &request, Instant now) const;
    // Retry-After: the expected time until the requests ahead in the queue have been served.
    Duration retryAfter(const AdmissionRequest &request, const Backlog &backlog) const;

private:
    const WaitingQueues &queues_;
};

} // namespace bluebellshift::gateway::admission
