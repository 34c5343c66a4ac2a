// Handles every request from its arrival until it ends.
//
//   Dispatcher dispatcher(options, hooks, pool, quotas);
//   dispatcher.onArrived(arrived, random, now);  // SendAttempt, or RefuseRequest
//   dispatcher.onEnded(ended, random, now);      // ForwardResponse, or another SendAttempt
//   dispatcher.onTimer(random, now);             // at or after nextWake()
//
// Contracts:
//  - Each request ends with exactly one of ForwardResponse, RefuseRequest and DropRequest.
//  - A request that is not idempotent is retried only if a target stated that it did not
//    run it, or if no byte of it left this VM.
//  - 408, 421, 429 and 503 are returned only for a request that has not run and will not.
//  - Waiting requests are sent in order of priority, then of arrival.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/admission/urgentroom.h"
#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/retrybudget.h"
#include "bluebellshift/gateway/servicesplit.h"
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/teamquotas.h"

namespace bluebellshift::gateway {

struct DispatcherHooks
{
    std::function<TrafficConfigPointer()> config; // null: not received yet
    std::function<bool()> isReady;                // all required registries are loaded
    std::function<std::size_t()> vmCount;
    std::function<void(Effect)> perform;
};

class Dispatcher
{
public:
    static constexpr Duration defaultDeadline = Duration::seconds(10); // if the caller sent none
    static constexpr Duration connectTimeout = Duration::millis(500);
    static constexpr Duration queueInterval = Duration::millis(15); // while requests wait
    // How long a request that arrives before the gateway is ready waits for it.
    static constexpr Duration startupWait = Duration::millis(500);
    static constexpr int maxConnectFailures = 4; // of one request
    // Maximum idle time of a reused connection, for requests that are not idempotent and for
    // the others. A target may already have closed a connection that was idle for longer.
    static constexpr Duration maxReuseIdleIfUnsafe = Duration::millis(1500);
    static constexpr Duration maxReuseIdle = Duration::seconds(8);
    // A request waits for a free slot for at most this fraction of its latency objective.
    static constexpr double maxQueueFraction = 0.5;
    // After that it is sent only if it is expected to end within this fraction of the time
    // left until its deadline.
    static constexpr double maxLateFraction = 0.7;
    // A new request is refused at once if those ahead of it, at the rate at which the queue is
    // served, are expected to take more than this fraction of the time for which it may wait.
    static constexpr double maxExpectedWaitFraction = 0.5;
    static constexpr std::size_t minQueue = 3; // requests that wait whatever the rate
    static constexpr Duration queueRateTime = Duration::seconds(1);  // time constant of the rate
    static constexpr Duration minRetryAfter = Duration::millis(100); // limits of Retry-After
    static constexpr Duration maxRetryAfter = Duration::millis(1500);
    static constexpr std::size_t maxScannedRequests = 24; // of one queue, for each run
    static constexpr std::size_t maxWaitingRequests = 2000;
    // Before the process ends, a request is accepted if this multiple of its expected time is left.
    // One that may not be repeated leaves its caller in doubt if it is cut.
    static constexpr double endMargin = 1;
    static constexpr double endMarginIfUnsafe = 2;

    Dispatcher(const GatewayOptions &options, DispatcherHooks hooks, TargetPool &pool,
               TeamQuotas &quotas);

    void start(Instant now) { startedAt_ = now; }
    void onArrived(const RequestArrived &arrived, std::uint64_t random, Instant now);
    void onCallerDisconnected(const CallerDisconnected &gone, Instant now);
    void onEnded(const AttemptEnded &ended, std::uint64_t random, Instant now);
    void onTimer(std::uint64_t random, Instant now);
    // Call when the gateway becomes ready: starts the requests that arrived before.
    void onReady(std::uint64_t random, Instant now);
    // Call when targets or the configuration have changed: tries the waiting requests again.
    void onCapacityChanged(std::uint64_t random, Instant now);
    Instant nextWake() const;

    // The remaining requests will be ended at `end`: refuses new ones that are not expected to end
    // by then.
    void setEnd(Instant end) { endsAt_ = end; }
    // Refuses new requests from now on.
    void refuseNew() { refusesNew_ = true; }
    // Ends all remaining requests. Those that may have run get a status that says so.
    void endAll(Instant now);

    std::size_t pendingCount() const { return pending_.size(); }

private:
    struct Pending
    {
        RequestArrived arrived;
        TrafficConfigPointer config; // owns `route` and `team`
        const RouteRule *route = nullptr;
        const Team *team = nullptr; // null: the route needs no key
        int priority = 0;
        ServiceId service;
        std::uint64_t object = 0;
        double reservedShare = 0; // of each target's slots, left to more urgent requests
        Instant arrivedAt;
        Instant deadline; // the earlier of the caller's and the route's
        Instant callerDeadline;
        std::uint64_t sequence = 0;
        bool isWaiting = false;
        bool isBeforeReady = false; // arrived before the gateway was ready
        Instant sentAt;
        TargetId target;
        std::int64_t targetStart = 0; // Unix milliseconds
        int attempts = 0;             // number of targets it was sent to
        int connectFailures = 0;
        std::optional<std::size_t> plannedRegion; // by the first selection that named one
        bool foundFreeSlot = false;               // at its last target, when it was sent
        targets::TargetObservation observation;   // of its last target
        std::vector<TargetId> tried;
        bool mayHaveRun = false; // an attempt ended in an unknown state
        bool hasAnswer = false;  // the last attempt returned one that may be forwarded
    };
    // Requests that left the queue for a target, decaying with queueRateTime.
    struct QueueFlow
    {
        double sent = 0;
        Instant at = Instant::never();

        double ratePerSecond(Instant now) const;
        void record(Instant now);
    };
    using WaitKey = std::pair<int, std::uint64_t>; // priority, order of arrival
    using Waiting = std::map<WaitKey, RequestId>;

    enum class Placement { Sent, Waits, Refused };

    void begin(Pending &pending, std::uint64_t random, Instant now);
    bool admit(Pending &pending, Instant now);
    bool canEndInTime(const RouteRule &route, Instant now) const;
    bool admitTeam(Pending &pending, Instant now);
    TargetCriteria criteriaFor(const Pending &pending) const;
    Placement place(Pending &pending, std::uint64_t random, Instant now);
    void refuseUnavailable(Pending &pending, Instant availableAt, Instant now);
    void send(Pending &pending, const TargetSelection &selection, Instant now);
    // Whether the request is expected to find room in the time for which it may wait.
    bool mayWait(const Pending &pending, Instant now) const;
    void enqueue(Pending &pending);
    void dequeue(Pending &pending);
    void dispatchQueue(const ServiceId &service, std::uint64_t random, Instant now);
    void resolveAttempt(Pending &pending, const AttemptEnded &ended, std::uint64_t random,
                        Instant now);
    // Compares what was expected of the request's target with what its response shows.
    void observe(Pending &pending, const AttemptEnded &ended, targets::FoundWarmth found);
    bool takeRetry(Pending &pending, bool hasReachedTarget, Instant now);
    void expire(Pending &pending, Instant now);
    Duration retryAfterFor(const Pending &pending, Instant now) const;

    void forwardResponse(Pending &pending, const AttemptEnded &ended, Instant now);
    void refuse(Pending &pending, int status, const char *reason, Duration retryAfter, Instant now);
    void erase(RequestId request);
    Pending *find(RequestId request);
    void log(const core::LogEvent &event, const Pending &pending,
             std::vector<core::LogField> fields) const;

    const GatewayOptions &options_;
    const DispatcherHooks hooks_;
    TargetPool &pool_;
    TeamQuotas &quotas_;
    ServiceSplit split_;
    admission::UrgentRoom urgentRoom_;
    std::unordered_map<ServiceId, RetryBudget> retryBudgets_;
    Instant startedAt_;
    std::unordered_map<RequestId, Pending> pending_;
    std::map<ServiceId, Waiting> waiting_;
    std::unordered_map<ServiceId, QueueFlow> queueFlows_;
    std::size_t waitingCount_ = 0;
    std::set<std::pair<Instant, RequestId>> deadlines_;
    std::vector<RequestId> arrivedBeforeReady_;
    std::uint64_t lastSequence_ = 0;
    Instant queuesTriedAt_ = Instant::never();
    bool refusesNew_ = false;
    Instant endsAt_ = Instant::never();
};

} // namespace bluebellshift::gateway
