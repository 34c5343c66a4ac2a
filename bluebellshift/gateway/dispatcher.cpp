#include "bluebellshift/gateway/dispatcher.h"

#include <algorithm>

#include <fmt/format.h>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

using admission::Step;

namespace {

std::string millisText(Duration duration)
{
    return std::to_string(duration.toMillis());
}

admission::Offer offerOf(const TargetSelection &selection)
{
    admission::Offer offer;
    offer.hasTarget = selection.target != nullptr;
    offer.inFlight = selection.ownInFlight + selection.othersInFlight;
    offer.slots = offer.hasTarget ? selection.target->slots : 0;
    offer.reserved = selection.reserved;
    offer.timeToFinish = selection.timeToFinish;
    offer.serviceTime = selection.serviceTime;
    offer.isUnavailable = selection.isUnavailable;
    offer.availableAt = selection.availableAt;
    return offer;
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
    , plan_(queues_)
    , urgency_(
          { [this](const ServiceId &service, Instant now) { return pool_.roomOf(service, now); },
            hooks_.vmCount, options.vm.region })
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
    if (pending.isContended
        && queues_.ahead(pending.service, pending.room, pending.priority, 1) > 0)
        dispatchQueue(pending.service, random, now);
    if (place(pending, random, now) == Step::Wait)
        enqueue(pending);
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
    pending.priority = pending.route->priority;
    pending.deadline = std::min(pending.callerDeadline, pending.arrivedAt + pending.route->timeout);
    if (!admitTeam(pending, now))
        return false;
    pending.service = split_.next(*pending.route);
    pending.isContended = isContended(pending.service);
    if (pending.isContended) {
        urgency_.recordArrival(pending.service, pending.priority, now);
        pending.hasReturned =
            returns_.recordDeadline(pending.route->name, pending.arrived.deadline, now);
        pending.room =
            admission::roomOf(pending.route->allowedRegions,
                              pending.team == nullptr ? nullptr : &pending.team->allowedRegions);
    }
    retryBudgets_.try_emplace(pending.service, options_.bounds).first->second.recordRequest(now);
    if (!pending.arrived.affinityKey.empty() && pending.route->isSticky)
        pending.object =
            mixHashes(hashText(pending.route->name), hashText(pending.arrived.affinityKey)) | 1;
    return true;
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
    criteria.foundFreeSlot = pending.foundFreeSlot;
    criteria.targetStart = pending.targetStart;
    return criteria;
}

admission::AdmissionRequest Dispatcher::admissionOf(const Pending &pending)
{
    admission::AdmissionRequest request;
    request.service = pending.service;
    request.priority = pending.priority;
    request.objective = pending.route->latencyObjective;
    request.arrivedAt = pending.arrivedAt;
    request.deadline = pending.deadline;
    request.mayHaveRun = pending.mayHaveRun;
    request.isNew = !pending.isWaiting && pending.attempts == 0 && pending.connectFailures == 0;
    request.isContended = pending.isContended;
    request.room = pending.room;
    request.hasReturned = pending.hasReturned;
    return request;
}

// Sends or refuses a request, unless it has to wait.
admission::Step Dispatcher::place(Pending &pending, std::uint64_t random, Instant now)
{
    TargetCriteria criteria = criteriaFor(pending);
    const std::uint64_t seed = mixHashes(random, pending.sequence);
    admission::AdmissionRequest request = admissionOf(pending);
    if (pending.isContended) {
        criteria.reserved = &urgency_.reservedFor(pending.service, pending.priority, now);
        if (request.hasReturned && request.isNew)
            request.load = urgency_.outlook(pending.service, pending.priority, queues_, now).load;
    }
    TargetSelection selection = pool_.select(criteria, seed, now);
    admission::Decision decision = plan_.decide(request, offerOf(selection), now);
    if (decision.step == Step::FindFreeSlot) {
        criteria.needsFreeSlot = true;
        selection = pool_.select(criteria, seed, now);
        decision = admission::AdmissionPlan::decideAtFreeSlot(request, offerOf(selection));
    }
    if (decision.step == Step::Send)
        send(pending, selection, decision.reason, now);
    if (decision.step == Step::Refuse) {
        refuse(pending, decision.status, decision.reason,
               retryAfterFor(pending, decision.retryAfter, now), now);
    } else if (decision.isPreferred) {
        pending.isPreferred = true;
        queues_.recordPreferred(pending.service, request.lane(), now);
    }
    return decision.step;
}

bool Dispatcher::isContended(const ServiceId &service) const
{
    return options_.features.isRoomContended || pool_.hasWorkReports(service);
}

void Dispatcher::send(Pending &pending, const TargetSelection &selection, const char *reason,
                      Instant now)
{
    // Where callers compete, those that find room at once have waited for it like the others.
    if (pending.isWaiting || pending.isContended)
        queues_.recordSent(pending.service, admissionOf(pending).lane(), now);
    if (pending.isWaiting)
        dequeue(pending);
    const Target &target = *selection.target;
    pending.target = target.id;
    pending.targetStart = target.startUnixMillis;
    pending.sentAt = now;
    ++pending.attempts;
    pending.tried.push_back(target.id);
    pending.foundFreeSlot = selection.ownInFlight + selection.othersInFlight < target.slots;
    pool_.onSent(target.id, criteriaFor(pending), now);
    log(core::log::requestRouted, pending,
        { { "target", target.id.text() },
          { "attempt", std::to_string(pending.attempts) },
          { "admitted", reason },
          { "waitedMs", millisText(now - pending.arrivedAt) },
          { "finishMs", millisText(selection.timeToFinish) },
          { "inFlight",
            fmt::format("{}+{}/{}", selection.ownInFlight, selection.othersInFlight,
                        target.slots) },
          { "reserved", std::to_string(selection.reserved) },
          { "object", fmt::format("{:08x}", static_cast<std::uint32_t>(pending.object)) },
          { "warmth", fmt::format("{:.2f}", selection.warmth) },
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
    pending.isWaiting = true;
    queues_.add(pending.service, entryOf(pending));
}

void Dispatcher::dequeue(Pending &pending)
{
    pending.isWaiting = false;
    queues_.remove(pending.service, entryOf(pending));
}

admission::WaitingEntry Dispatcher::entryOf(const Pending &pending)
{
    return { pending.priority, pending.sequence, pending.arrived.request, pending.room,
             pending.isPreferred };
}

// Tries to send the requests that wait for a service, in order of priority.
void Dispatcher::dispatchQueue(const ServiceId &service, std::uint64_t random, Instant now)
{
    using Plan = admission::AdmissionPlan;
    admission::QueueScan scan(queues_.first(service, Plan::maxScannedEntries),
                              isContended(service) ? Plan::contendedScan : Plan::usualScan);
    while (const std::optional<RequestId> request = scan.next()) {
        Pending *pending = find(*request);
        if (pending != nullptr && place(*pending, random, now) == Step::Wait)
            scan.onBlocked();
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
    pool_.onEnded(pending->target, criteriaFor(*pending), ended, now - pending->sentAt, now);
    resolveAttempt(*pending, ended, random, now);
    dispatchQueue(service, random, now);
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
    log(core::log::attemptFailed, pending,
        { { "target", pending.target.text() },
          { "attempt", std::to_string(ended.attempt) },
          { "outcome", toText(ended.outcome) },
          { "status", std::to_string(ended.status) },
          { "notRun", isNotRun ? "yes" : "no" },
          { "reused", ended.wasReused ? "yes" : "no" },
          { "tookMs", millisText(now - pending.sentAt) } });
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
        if (place(pending, random, now) == Step::Wait)
            enqueue(pending);
        return;
    }
    if (mayForward)
        forwardResponse(pending, ended, now);
    else if (!pending.mayHaveRun)
        refuse(pending, 503, "no-target-took-it", retryAfterFor(pending, std::nullopt, now), now);
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
    if (queues_.size() > 0 && now - queuesTriedAt_ >= queueInterval)
        onCapacityChanged(random, now);
}

void Dispatcher::onCapacityChanged(std::uint64_t random, Instant now)
{
    queuesTriedAt_ = now;
    for (const ServiceId &service : queues_.services())
        dispatchQueue(service, random, now);
}

Instant Dispatcher::nextWake() const
{
    Instant next = Instant::never();
    if (!deadlines_.empty())
        next = deadlines_.begin()->first;
    if (queues_.size() > 0) {
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

Duration Dispatcher::retryAfterFor(const Pending &pending, std::optional<Duration> known,
                                   Instant now) const
{
    if (known && (!pending.isContended || *known <= Duration()))
        return *known;
    if (pending.isContended) {
        admission::Outlook outlook =
            urgency_.outlook(pending.service, pending.priority, queues_, now);
        outlook.wait = known.value_or(outlook.wait);
        return admission::ReturnPlan::wait(
            { pending.callerDeadline - now, pending.route->latencyObjective, outlook,
              mixHashes(hashText(options_.vm.id.text()), pending.sequence) });
    }
    const admission::Backlog backlog { pool_.usableSlots(pending.service, now),
                                       pool_.expectedServiceTime(pending.route->name),
                                       hooks_.vmCount() };
    return plan_.retryAfter(admissionOf(pending), backlog);
}

void Dispatcher::forwardResponse(Pending &pending, const AttemptEnded &ended, Instant now)
{
    log(core::log::requestAnswered, pending,
        { { "status", std::to_string(ended.status) },
          { "target", pending.target.text() },
          { "atTargetMs", millisText(now - pending.sentAt) },
          { "tookMs", millisText(now - pending.arrivedAt) } });
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
          { "waiting", std::to_string(queues_.size(pending.service)) },
          { "returned", pending.hasReturned ? "yes" : "no" },
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
