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
//  - Waiting requests are sent in order of priority, then of arrival. Where callers compete for a
//    service, some that have been refused before come first within their priority.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/admission/admissionplan.h"
#include "bluebellshift/gateway/admission/returnplan.h"
#include "bluebellshift/gateway/admission/urgencylevels.h"
#include "bluebellshift/gateway/admission/waitingqueues.h"
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
    static constexpr Duration minRetryAfter = admission::AdmissionPlan::minRetryAfter;
    static constexpr Duration maxRetryAfter = admission::AdmissionPlan::maxRetryAfter;

    Dispatcher(const GatewayOptions &options, DispatcherHooks hooks, TargetPool &pool,
               TeamQuotas &quotas);

    void onArrived(const RequestArrived &arrived, std::uint64_t random, Instant now);
    void onCallerDisconnected(const CallerDisconnected &gone, Instant now);
    void onEnded(const AttemptEnded &ended, std::uint64_t random, Instant now);
    void onTimer(std::uint64_t random, Instant now);
    // Call when the gateway becomes ready: starts the requests that arrived before.
    void onReady(std::uint64_t random, Instant now);
    // Call when targets or the configuration have changed: tries the waiting requests again.
    void onCapacityChanged(std::uint64_t random, Instant now);
    Instant nextWake() const;

    // Refuses new requests from now on.
    void refuseNew() { refusesNew_ = true; }
    // Ends all remaining requests. Those that may have run get a status that says so.
    void endAll(Instant now);

    std::size_t pendingCount() const { return pending_.size(); }
    std::size_t waitingCount() const { return queues_.size(); }
    // The requests that callers send to this VM, for its reports, and those of another VM, whose
    // report is `age` old.
    std::vector<core::ServiceDemand> demands(Instant now) const
    {
        return urgency_.demands(queues_, now);
    }
    void onDemandsReported(const VmId &from, const RegionId &region,
                           const std::vector<core::ServiceDemand> &demands, Duration age,
                           Instant now)
    {
        urgency_.onReport(from, region, demands, age, now);
    }
    double reservedSlots() const { return urgency_.reservedSlots(); }

private:
    struct Pending
    {
        RequestArrived arrived;
        TrafficConfigPointer config; // owns `route` and `team`
        const RouteRule *route = nullptr;
        const Team *team = nullptr; // null: the route needs no key
        int priority = 0;
        ServiceId service;
        bool isContended = false; // callers compete for the service
        bool hasReturned = false; // its caller was refused before
        bool isPreferred = false; // it waits in front of the others of its priority
        std::uint64_t room = 0;   // see admission::WaitingQueues
        std::uint64_t object = 0;
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
        bool foundFreeSlot = false; // at its last target, when it was sent
        std::vector<TargetId> tried;
        bool mayHaveRun = false; // an attempt ended in an unknown state
        bool hasAnswer = false;  // the last attempt returned one that may be forwarded
    };
    void begin(Pending &pending, std::uint64_t random, Instant now);
    bool admit(Pending &pending, Instant now);
    bool admitTeam(Pending &pending, Instant now);
    TargetCriteria criteriaFor(const Pending &pending) const;
    static admission::AdmissionRequest admissionOf(const Pending &pending);
    static admission::WaitingEntry entryOf(const Pending &pending);
    admission::Step place(Pending &pending, std::uint64_t random, Instant now);
    void send(Pending &pending, const TargetSelection &selection, const char *reason, Instant now);
    // Whether callers compete for the service's targets.
    bool isContended(const ServiceId &service) const;
    void enqueue(Pending &pending);
    void dequeue(Pending &pending);
    void dispatchQueue(const ServiceId &service, std::uint64_t random, Instant now);
    void resolveAttempt(Pending &pending, const AttemptEnded &ended, std::uint64_t random,
                        Instant now);
    bool takeRetry(Pending &pending, bool hasReachedTarget, Instant now);
    void expire(Pending &pending, Instant now);
    // `known`: the time at which capacity is expected, if the decision names one.
    Duration retryAfterFor(const Pending &pending, std::optional<Duration> known,
                           Instant now) const;

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
    std::unordered_map<ServiceId, RetryBudget> retryBudgets_;
    std::unordered_map<RequestId, Pending> pending_;
    admission::WaitingQueues queues_;
    const admission::AdmissionPlan plan_; // reads queues_
    admission::UrgencyLevels urgency_;
    admission::ReturnPlan returns_;
    std::set<std::pair<Instant, RequestId>> deadlines_;
    std::vector<RequestId> arrivedBeforeReady_;
    std::uint64_t lastSequence_ = 0;
    Instant queuesTriedAt_ = Instant::never();
    bool refusesNew_ = false;
};

} // namespace bluebellshift::gateway
