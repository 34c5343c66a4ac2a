// A request is sent at once if a target has a free slot, or if it is expected to meet its
// latency objective despite queueing at the target. The slots that UrgentRoom reserves for more
// urgent routes do not count as free, and a request that leaves them does not queue at a target.
// Otherwise it waits here for a fraction of its objective, ordered by priority, and is sent to
// whichever target becomes free first. After that it is refused with a Retry-After: sending it
// anyway would fill the queues of the targets and make all later requests late as well. A request
// that can't expect its turn in time is refused at once, so that those ahead of it wait less.
#include "bluebellshift/gateway/dispatcher.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration::micros(
        static_cast<std::int64_t>(static_cast<double>(duration.toMicros()) * factor));
}

std::string millisText(Duration duration)
{
    return std::to_string(duration.toMillis());
}

// Whether the status guarantees that the request has not run and will not.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

const char *toText(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case AttemptOutcome::Cut:
        return "cut";
    case AttemptOutcome::Malformed:
        return "malformed";
    case AttemptOutcome::TooLarge:
        return "too-large";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

Dispatcher::Dispatcher(const GatewayOptions &options, DispatcherHooks hooks, TargetPool &pool,
                       TeamQuotas &quotas)
    : options_(options)
    , hooks_(std::move(hooks))
    , pool_(pool)
    , quotas_(quotas)
    , urgentRoom_({ [this](const std::string &route) { return pool_.expectedServiceTime(route); },
                    [this](const ServiceId &service, Instant now) {
                        return pool_.usableSlots(service, now);
                    },
                    hooks_.vmCount })
{
}

void Dispatcher::onArrived(const RequestArrived &arrived, std::uint64_t random, Instant now)
{
    Pending &pending = pending_[arrived.request];
    pending.arrived = arrived;
    pending.arrivedAt = now;
    pending.sequence = ++lastSequence_;
    const Duration asked = arrived.deadline > Duration() ? arrived.deadline : defaultDeadline;
    pending.callerDeadline = now + asked;
    pending.deadline = pending.callerDeadline;
    if (!hooks_.config() || !hooks_.isReady()) {
        pending.isBeforeReady = true;
        pending.deadline = std::min(pending.callerDeadline, now + startupWait);
        deadlines_.emplace(pending.deadline, arrived.request);
        arrivedBeforeReady_.push_back(arrived.request);
        return;
    }
    begin(pending, random, now);
}

void Dispatcher::onReady(std::uint64_t random, Instant now)
{
    for (const RequestId request : std::exchange(arrivedBeforeReady_, {})) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue; // its caller disconnected, or its deadline passed
        pending->isBeforeReady = false;
        deadlines_.erase({ pending->deadline, request });
        begin(*pending, random, now);
    }
}

void Dispatcher::begin(Pending &pending, std::uint64_t random, Instant now)
{
    if (!admit(pending, now))
        return;
    deadlines_.emplace(pending.deadline, pending.arrived.request);
    if (place(pending, random, now) != Placement::Waits)
        return;
    if (waitingCount_ >= maxWaitingRequests) {
        refuse(pending, 503, "queue-full", retryAfterFor(pending, now), now);
        return;
    }
    if (!mayWait(pending, now)) {
        refuse(pending, 503, "no-room", retryAfterFor(pending, now), now);
        return;
    }
    enqueue(pending);
}

bool Dispatcher::mayWait(const Pending &pending, Instant now) const
{
    const auto waiting = waiting_.find(pending.service);
    if (waiting == waiting_.end() || waiting->second.size() < minQueue)
        return true;
    const auto flow = queueFlows_.find(pending.service);
    const double rate = flow == queueFlows_.end() ? 0 : flow->second.ratePerSecond(now);
    const Duration maxWait = scaled(pending.route->latencyObjective, maxQueueFraction);
    const double servedInTime = rate * maxWait.toSeconds() * maxExpectedWaitFraction;
    const auto limit = std::max<std::size_t>(minQueue, static_cast<std::size_t>(servedInTime));
    std::size_t ahead = 0;
    for (const auto &[key, request] : waiting->second) {
        if (key.first > pending.priority)
            break;
        if (++ahead >= limit)
            return false;
    }
    return true;
}

double Dispatcher::QueueFlow::ratePerSecond(Instant now) const
{
    if (at == Instant::never())
        return 0;
    return sent * std::exp(-(now - at).toSeconds() / queueRateTime.toSeconds())
        / queueRateTime.toSeconds();
}

void Dispatcher::QueueFlow::record(Instant now)
{
    sent = ratePerSecond(now) * queueRateTime.toSeconds() + 1;
    at = now;
}

// Finds the request's route, team and service. Returns false if the request was refused.
bool Dispatcher::admit(Pending &pending, Instant now)
{
    pending.config = hooks_.config();
    if (refusesNew_) {
        refuse(pending, 503, "leaving", minRetryAfter, now);
        return false;
    }
    pending.route = pending.config->findRoute(pending.arrived.host, pending.arrived.path);
    if (pending.route == nullptr) {
        refuse(pending, 404, "no-route", Duration(), now);
        return false;
    }
    if (!canEndInTime(*pending.route, now)) {
        refuse(pending, 503, "leaving", minRetryAfter, now);
        return false;
    }
    pending.priority = pending.route->priority;
    pending.deadline = std::min(pending.callerDeadline, pending.arrivedAt + pending.route->timeout);
    if (!admitTeam(pending, now))
        return false;
    pool_.onArrived(now);
    pending.service = split_.next(*pending.route);
    retryBudgets_.try_emplace(pending.service, options_.bounds, startedAt_)
        .first->second.recordRequest(now);
    urgentRoom_.onArrived(pending.service, *pending.route, now);
    pending.reservedShare =
        urgentRoom_.reservedShare(pending.service, *pending.route, pending.priority,
                                  pool_.slotsPerTarget(pending.service), now);
    if (!pending.arrived.affinityKey.empty() && pending.route->isSticky)
        pending.object =
            mixHashes(hashText(pending.route->name), hashText(pending.arrived.affinityKey)) | 1;
    return true;
}

bool Dispatcher::canEndInTime(const RouteRule &route, Instant now) const
{
    const double margin = route.isIdempotent ? endMargin : endMarginIfUnsafe;
    return endsAt_ == Instant::never()
        || now + scaled(pool_.expectedServiceTime(route.name), margin) <= endsAt_;
}

bool Dispatcher::admitTeam(Pending &pending, Instant now)
{
    if (pending.route->isOpen || pending.config->teams.empty())
        return true;
    pending.team = pending.config->findTeamByKey(pending.arrived.key);
    if (pending.team == nullptr) {
        refuse(pending, 401, "unknown-key", Duration(), now);
        return false;
    }
    if (pending.team->priority)
        pending.priority = *pending.team->priority;
    if (!quotas_.take(pending.team->id, now)) {
        const Duration next = quotas_.timeUntilNext(pending.team->id, now);
        refuse(pending, 429, "over-rate", std::clamp(next, minRetryAfter, maxRetryAfter), now);
        return false;
    }
    return true;
}

TargetCriteria Dispatcher::criteriaFor(const Pending &pending) const
{
    TargetCriteria criteria;
    criteria.service = pending.service;
    criteria.routeRegions = &pending.route->allowedRegions;
    if (pending.team != nullptr)
        criteria.teamRegions = &pending.team->allowedRegions;
    criteria.object = pending.object;
    criteria.tried = &pending.tried;
    criteria.route = pending.route->name;
    criteria.bodyBytes = pending.arrived.bodyBytes;
    criteria.reservedShare = pending.reservedShare;
    criteria.foundFreeSlot = pending.foundFreeSlot;
    criteria.targetStart = pending.targetStart;
    criteria.plannedRegion = pending.plannedRegion;
    return criteria;
}

Dispatcher::Placement Dispatcher::place(Pending &pending, std::uint64_t random, Instant now)
{
    const TargetSelection selection =
        pool_.select(criteriaFor(pending), mixHashes(random, pending.sequence), now);
    if (!pending.plannedRegion && selection.plannedRegion) {
        pending.plannedRegion = selection.plannedRegion;
        pool_.onPlanned(pending.service, *pending.plannedRegion, now);
    }
    const Duration waited = now - pending.arrivedAt;
    // What waits at a target delays the more urgent requests that come after it.
    const bool mayQueueAtTarget = pending.reservedShare <= 0;
    if (selection.target != nullptr) {
        const bool hasSlot = selection.ownInFlight + selection.othersInFlight < selection.slots;
        if (hasSlot
            || (mayQueueAtTarget
                && waited + selection.timeToFinish <= pending.route->latencyObjective)) {
            send(pending, selection, now);
            return Placement::Sent;
        }
    }
    const Duration maxWait = scaled(pending.route->latencyObjective, maxQueueFraction);
    if (selection.isUnavailable && !pending.mayHaveRun
        && (selection.availableAt == Instant::never()
            || selection.availableAt > pending.arrivedAt + maxWait)) {
        refuseUnavailable(pending, selection.availableAt, now);
        return Placement::Refused;
    }
    if (waited < maxWait)
        return Placement::Waits;
    const Duration left = pending.deadline - now;
    if (mayQueueAtTarget && selection.target != nullptr
        && selection.timeToFinish <= scaled(left, maxLateFraction)
        && selection.ownInFlight + selection.othersInFlight < 2 * selection.target->slots) {
        send(pending, selection, now);
        return Placement::Sent;
    }
    if (pending.mayHaveRun)
        refuse(pending, 502, "target-failed", Duration(), now);
    else
        refuse(pending, 503, selection.target == nullptr ? "no-target" : "no-room",
               retryAfterFor(pending, now), now);
    return Placement::Refused;
}

// Refuses a request whose targets all leave or want no requests, until the first of them returns.
void Dispatcher::refuseUnavailable(Pending &pending, Instant availableAt, Instant now)
{
    const Duration wait =
        availableAt == Instant::never() ? maxRetryAfter : availableAt - now + minRetryAfter;
    refuse(pending, 503, "targets-unavailable", std::clamp(wait, minRetryAfter, maxRetryAfter),
           now);
}

void Dispatcher::send(Pending &pending, const TargetSelection &selection, Instant now)
{
    if (pending.isWaiting) {
        dequeue(pending);
        queueFlows_[pending.service].record(now);
    }
    const Target &target = *selection.target;
    pending.target = target.id;
    pending.targetStart = target.startUnixMillis;
    pending.sentAt = now;
    ++pending.attempts;
    pending.tried.push_back(target.id);
    const int inFlight = selection.ownInFlight + selection.othersInFlight;
    pending.foundFreeSlot = inFlight < target.slots;
    pending.observation.setExpected(inFlight, target.slots, selection.expectedWarmth);
    pool_.onSent(target.id, criteriaFor(pending), now);
    log(core::log::requestRouted, pending,
        { { "target", target.id.text() },
          { "attempt", std::to_string(pending.attempts) },
          { "waitedMs", millisText(now - pending.arrivedAt) },
          { "finishMs", millisText(selection.timeToFinish) },
          { "inFlight",
            fmt::format("{}+{}/{}", selection.ownInFlight, selection.othersInFlight,
                        target.slots) },
          { "object", fmt::format("{:08x}", static_cast<std::uint32_t>(pending.object)) },
          { "warmth", fmt::format("{:.2f}", selection.warmth) },
          { "expectedWarmth", toText(selection.expectedWarmth) },
          { "warmObjects", fmt::format("{:.0f}", pool_.warmObjectsPerTarget(pending.service)) },
          { "usable", std::to_string(selection.slots) },
          { "considered", selection.exclusionCounts },
          { "config", std::to_string(pending.config->version.number()) } });
    SendAttempt attempt;
    attempt.request = pending.arrived.request;
    attempt.attempt = pending.attempts;
    attempt.target = target.id;
    attempt.endpoint = target.endpoint;
    if (pending.team != nullptr)
        attempt.team = pending.team->id;
    attempt.deadline = pending.deadline - now;
    attempt.connectTimeout = connectTimeout;
    attempt.reuseIdleMost = pending.route->isIdempotent ? maxReuseIdle : maxReuseIdleIfUnsafe;
    hooks_.perform(std::move(attempt));
}

void Dispatcher::enqueue(Pending &pending)
{
    if (pending.isWaiting)
        return;
    pending.isWaiting = true;
    ++waitingCount_;
    waiting_[pending.service].emplace(WaitKey { pending.priority, pending.sequence },
                                      pending.arrived.request);
}

void Dispatcher::dequeue(Pending &pending)
{
    if (!pending.isWaiting)
        return;
    pending.isWaiting = false;
    --waitingCount_;
    waiting_[pending.service].erase(WaitKey { pending.priority, pending.sequence });
}

// Tries to send the requests that wait for a service, in order of priority.
void Dispatcher::dispatchQueue(const ServiceId &service, std::uint64_t random, Instant now)
{
    std::vector<RequestId> next;
    for (const auto &[key, request] : waiting_[service]) {
        next.push_back(request);
        if (next.size() >= maxScannedRequests)
            break;
    }
    int stillWaiting = 0;
    for (const RequestId request : next) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue;
        if (place(*pending, random, now) == Placement::Waits && ++stillWaiting >= 6)
            break;
    }
}

void Dispatcher::onCallerDisconnected(const CallerDisconnected &gone, Instant now)
{
    Pending *pending = find(gone.request);
    if (pending == nullptr)
        return;
    const bool isSent = !pending->isWaiting && !pending->isBeforeReady;
    log(core::log::callerGone, *pending,
        { { "sent", isSent ? "yes" : "no" }, { "afterMs", millisText(now - pending->arrivedAt) } });
    if (isSent) {
        pool_.onCancelled(pending->target, now);
        hooks_.perform(CancelAttempt { gone.request });
    }
    hooks_.perform(DropRequest { gone.request });
    erase(gone.request);
}

void Dispatcher::onEnded(const AttemptEnded &ended, std::uint64_t random, Instant now)
{
    Pending *pending = find(ended.request);
    if (pending == nullptr || pending->isWaiting || ended.attempt != pending->attempts)
        return;
    const ServiceId service = pending->service;
    const targets::FoundWarmth found =
        pool_.onEnded(pending->target, criteriaFor(*pending), ended, now - pending->sentAt, now);
    observe(*pending, ended, found);
    resolveAttempt(*pending, ended, random, now);
    dispatchQueue(service, random, now);
}

void Dispatcher::observe(Pending &pending, const AttemptEnded &ended, targets::FoundWarmth found)
{
    pending.observation.foundWarmth = found;
    if (ended.load)
        pending.observation.setReported(*ended.load);
    hooks_.perform(ObserveTarget { pending.observation });
}

// Retries, forwards or refuses a request after an attempt has ended.
void Dispatcher::resolveAttempt(Pending &pending, const AttemptEnded &ended, std::uint64_t random,
                                Instant now)
{
    const bool isAnswered = ended.outcome == AttemptOutcome::Answered;
    const bool isSuccess = isAnswered && ended.status >= 200 && ended.status < 300;
    const bool isNotRun = isAnswered && (ended.saysNotRun || ended.status == 421);
    if (isSuccess && ended.isAuthentic && !isNotRun) {
        forwardResponse(pending, ended, now);
        return;
    }
    std::vector<core::LogField> fields = {
        { "target", pending.target.text() },           { "attempt", std::to_string(ended.attempt) },
        { "outcome", toText(ended.outcome) },          { "status", std::to_string(ended.status) },
        { "notRun", isNotRun ? "yes" : "no" },         { "reused", ended.wasReused ? "yes" : "no" },
        { "tookMs", millisText(now - pending.sentAt) }
    };
    pending.observation.appendTo(&fields);
    log(core::log::attemptFailed, pending, std::move(fields));
    const bool hasReachedTarget = ended.outcome != AttemptOutcome::ConnectFailed;
    if (!hasReachedTarget) {
        --pending.attempts; // the request did not reach a target
        ++pending.connectFailures;
    }
    const bool isKnownNotRun = !hasReachedTarget || isNotRun;
    pending.mayHaveRun = pending.mayHaveRun || !isKnownNotRun;
    const bool isSafeToRetry = isKnownNotRun || pending.route->isIdempotent;
    const bool isTimeOver = now >= pending.deadline || ended.outcome == AttemptOutcome::TimedOut;
    // An error response of a target is forwarded unless the request is retried.
    const bool mayForward = isAnswered && !isNotRun && !isSuccess && !promisesNotRun(ended.status);
    if (isSafeToRetry && !isTimeOver && takeRetry(pending, hasReachedTarget, now)) {
        if (place(pending, random, now) == Placement::Waits)
            enqueue(pending);
        return;
    }
    if (mayForward)
        forwardResponse(pending, ended, now);
    else if (!pending.mayHaveRun)
        refuse(pending, 503, "no-target-took-it", retryAfterFor(pending, now), now);
    else
        refuse(pending, isTimeOver ? 504 : 502, "target-failed", Duration(), now);
}

bool Dispatcher::takeRetry(Pending &pending, bool hasReachedTarget, Instant now)
{
    if (pending.attempts >= pending.route->maxAttempts
        || pending.connectFailures >= maxConnectFailures)
        return false;
    return !hasReachedTarget || retryBudgets_.at(pending.service).take(hooks_.vmCount(), now);
}

void Dispatcher::onTimer(std::uint64_t random, Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const RequestId request = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        if (Pending *pending = find(request))
            expire(*pending, now);
    }
    if (waitingCount_ > 0 && now - queuesTriedAt_ >= queueInterval)
        onCapacityChanged(random, now);
}

void Dispatcher::onCapacityChanged(std::uint64_t random, Instant now)
{
    queuesTriedAt_ = now;
    std::vector<ServiceId> services;
    for (const auto &[service, waiting] : waiting_) {
        if (!waiting.empty())
            services.push_back(service);
    }
    for (const ServiceId &service : services)
        dispatchQueue(service, random, now);
}

Instant Dispatcher::nextWake() const
{
    Instant next = Instant::never();
    if (!deadlines_.empty())
        next = deadlines_.begin()->first;
    if (waitingCount_ > 0) {
        const Instant queuesDueAt = queuesTriedAt_ + queueInterval;
        next = next == Instant::never() ? queuesDueAt : std::min(next, queuesDueAt);
    }
    return next;
}

// Ends a request whose deadline has passed.
void Dispatcher::expire(Pending &pending, Instant now)
{
    if (pending.isBeforeReady) {
        refuse(pending, 503, "not-ready", minRetryAfter * 3, now);
        return;
    }
    if (pending.isWaiting) {
        refuse(pending, pending.mayHaveRun ? 504 : 503, "deadline-passed", minRetryAfter, now);
        return;
    }
    pool_.onCancelled(pending.target, now);
    hooks_.perform(CancelAttempt { pending.arrived.request });
    pending.mayHaveRun = true;
    refuse(pending, 504, "deadline-passed", Duration(), now);
}

void Dispatcher::endAll(Instant now)
{
    std::vector<RequestId> all;
    for (const auto &[request, pending] : pending_)
        all.push_back(request);
    for (const RequestId request : all) {
        Pending &pending = pending_.at(request);
        const bool isSent = !pending.isWaiting && !pending.isBeforeReady;
        if (isSent) {
            pool_.onCancelled(pending.target, now);
            hooks_.perform(CancelAttempt { request });
        }
        if (isSent || pending.mayHaveRun)
            refuse(pending, 502, "stopped", Duration(), now);
        else
            refuse(pending, 503, "stopped", minRetryAfter, now);
    }
}

// Retry-After: the expected time until the requests ahead in the queue have been served.
Duration Dispatcher::retryAfterFor(const Pending &pending, Instant now) const
{
    const int slots = std::max(1, pool_.usableSlots(pending.service, now));
    const Duration work = pool_.expectedServiceTime(pending.route->name);
    const auto waiting = waiting_.find(pending.service);
    const std::size_t ahead = waiting == waiting_.end() ? 0 : waiting->second.size();
    const double rounds =
        0.5 + static_cast<double>(ahead * hooks_.vmCount()) / static_cast<double>(slots);
    return std::clamp(scaled(work, rounds), minRetryAfter, maxRetryAfter);
}

void Dispatcher::forwardResponse(Pending &pending, const AttemptEnded &ended, Instant now)
{
    std::vector<core::LogField> fields = { { "status", std::to_string(ended.status) },
                                           { "target", pending.target.text() },
                                           { "atTargetMs", millisText(now - pending.sentAt) },
                                           { "tookMs", millisText(now - pending.arrivedAt) } };
    pending.observation.appendTo(&fields);
    log(core::log::requestAnswered, pending, std::move(fields));
    hooks_.perform(ForwardResponse { pending.arrived.request });
    erase(pending.arrived.request);
}

void Dispatcher::refuse(Pending &pending, int status, const char *reason, Duration retryAfter,
                        Instant now)
{
    log(core::log::requestRefused, pending,
        { { "status", std::to_string(status) },
          { "code", reason },
          { "run", pending.mayHaveRun ? "unknown" : "not-run" },
          { "retryAfterMs", millisText(retryAfter) },
          { "waitedMs", millisText(now - pending.arrivedAt) },
          { "config",
            pending.config ? std::to_string(pending.config->version.number()) : "none" } });
    hooks_.perform(RefuseRequest { pending.arrived.request, status, retryAfter, reason });
    erase(pending.arrived.request);
}

void Dispatcher::erase(RequestId request)
{
    Pending *pending = find(request);
    if (pending == nullptr)
        return;
    dequeue(*pending);
    deadlines_.erase({ pending->deadline, request });
    pending_.erase(request);
}

Dispatcher::Pending *Dispatcher::find(RequestId request)
{
    const auto found = pending_.find(request);
    return found == pending_.end() ? nullptr : &found->second;
}

void Dispatcher::log(const core::LogEvent &event, const Pending &pending,
                     std::vector<core::LogField> fields) const
{
    std::vector<core::LogField> all;
    all.reserve(fields.size() + 4);
    all.push_back({ "request", pending.arrived.callerRequestId });
    if (pending.route != nullptr)
        all.push_back({ "route", pending.route->name });
    if (!pending.service.isEmpty())
        all.push_back({ "service", pending.service.text() });
    if (pending.team != nullptr)
        all.push_back({ "team", pending.team->id.text() });
    std::move(fields.begin(), fields.end(), std::back_inserter(all));
    hooks_.perform(WriteLog { { event, std::move(all) } });
}

} // namespace bluebellshift::gateway
