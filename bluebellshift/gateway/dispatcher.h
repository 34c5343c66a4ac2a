// Takes every request from its arrival to its one end.
//
//   Dispatcher dispatcher(options, hooks, pool, quotas, effects);
//   dispatcher.onArrived(arrived, random, now);  // SendAttempt, or RefuseRequest
//   dispatcher.onEnded(ended, random, now);      // ForwardResponse, or one more SendAttempt
//   dispatcher.onTimer(random, now);             // at or after nextWake()
//
// Contracts:
//  - Each request ends by exactly one of ForwardResponse, RefuseRequest and DropRequest.
//  - A request that may not be repeated is sent again only after a target stated that
//    it did not run it, or if not one byte of it left this VM.
//  - 408, 421, 429 and 503 are said only of a request that has not run and will not.
//  - A request that waits is sent in the order of priority, then of arrival.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/retrybudget.h"
#include "bluebellshift/gateway/servicesplit.h"
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/teamquotas.h"

namespace bluebellshift::gateway {

struct DispatcherHooks
{
    std::function<TrafficConfigPointer()> config; // null: none is known yet
    std::function<bool()> isReady;                // enough is known to serve
    std::function<std::size_t()> vmCount;
    std::function<void(Effect)> perform;
};

class Dispatcher
{
public:
    static constexpr Duration defaultDeadline = Duration::seconds(10); // the caller named none
    static constexpr Duration connectTimeout = Duration::millis(500);
    static constexpr Duration queueInterval = Duration::millis(15); // while requests wait
    // A request that arrives before enough is known waits for that long.
    static constexpr Duration startupWait = Duration::millis(500);
    static constexpr int maxConnectFailures = 4; // of one request
    // A request that may not be repeated goes only on a connection that was used this
    // recently: a target may have forgotten an older one.
    static constexpr Duration maxReuseIdleIfUnsafe = Duration::millis(1500);
    static constexpr Duration maxReuseIdle = Duration::seconds(8);
    // A request waits here for room for at most this part of its latency objective.
    static constexpr double maxQueueFraction = 0.5;
    // It is sent to be late only if it is expected to end within this part of its time.
    static constexpr double maxLateFraction = 0.7;
    static constexpr Duration minRetryAfter = Duration::millis(100); // advice to come back
    static constexpr Duration maxRetryAfter = Duration::millis(1500);
    static constexpr std::size_t maxScannedRequests = 24; // waiting requests tried at a time
    static constexpr std::size_t maxWaitingRequests = 2000;

    Dispatcher(const GatewayOptions &options, DispatcherHooks hooks, TargetPool &pool,
               TeamQuotas &quotas);

    void onArrived(const RequestArrived &arrived, std::uint64_t random, Instant now);
    void onGone(const CallerDisconnected &gone, Instant now);
    void onEnded(const AttemptEnded &ended, std::uint64_t random, Instant now);
    void onTimer(std::uint64_t random, Instant now);
    // Enough is known to serve: what arrived before is looked at.
    void onReady(std::uint64_t random, Instant now);
    // Targets or the configuration changed: what waits is tried again.
    void onCapacityChanged(std::uint64_t random, Instant now);
    Instant nextWake() const;

    // New requests are refused from now on.
    void refuseNew() { refusesNew_ = true; }
    // Ends every request that is left, as truthfully as can be said of each.
    void endAll(Instant now);

    std::size_t pendingCount() const { return pending_.size(); }

private:
    struct Pending
    {
        RequestArrived arrived;
        TrafficConfigPointer config; // that its route points into
        const RouteRule *route = nullptr;
        const Team *team = nullptr; // null: the route is open
        int priority = 0;
        ServiceId service;
        std::uint64_t object = 0;
        Instant arrivedAt;
        Instant deadline; // the caller's or the route's, whichever is sooner
        Instant callerDeadline;
        std::uint64_t sequence = 0;
        bool isWaiting = false;
        bool isBeforeReady = false; // nothing has been decided of it
        Instant sentAt;
        TargetId target;
        int attempts = 0; // targets that it was sent to
        int connectFailures = 0;
        bool foundFreeSlot = false; // at its last target
        std::vector<TargetId> tried;
        bool mayHaveRun = false; // an attempt ended without certainty
        bool hasAnswer = false;  // the last attempt brought one that may be passed on
    };
    using WaitKey = std::pair<int, std::uint64_t>; // priority, order of arrival
    using Waiting = std::map<WaitKey, RequestId>;

    enum class Placement { Sent, Waits, Refused };

    void begin(Pending &pending, std::uint64_t random, Instant now);
    bool admit(Pending &pending, Instant now);
    bool admitTeam(Pending &pending, Instant now);
    TargetCriteria criteriaFor(const Pending &pending) const;
    Placement place(Pending &pending, std::uint64_t random, Instant now);
    void send(Pending &pending, const TargetSelection &selection, Instant now);
    void enqueue(Pending &pending);
    void dequeue(Pending &pending);
    void dispatchQueue(const ServiceId &service, std::uint64_t random, Instant now);
    void resolveAttempt(Pending &pending, const AttemptEnded &ended, std::uint64_t random,
                        Instant now);
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
    std::unordered_map<ServiceId, RetryBudget> retryBudgets_;
    std::unordered_map<RequestId, Pending> pending_;
    std::map<ServiceId, Waiting> waiting_;
    std::size_t waitingCount_ = 0;
    std::set<std::pair<Instant, RequestId>> deadlines_;
    std::vector<RequestId> arrivedBeforeReady_; // arrived before enough was known
    std::uint64_t lastSequence_ = 0;
    Instant queuesTriedAt_ = Instant::never();
    bool refusesNew_ = false;
};

} // namespace bluebellshift::gateway
