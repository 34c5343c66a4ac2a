// A request is sent at once if a target has a free slot, or if the wait for one there
// still ends within the latency objective. Else it waits here, where the most urgent
// goes first and any target that becomes free will do, for a part of its objective.
// Then it is refused with a time to come back: sending it all the same would fill the
// targets' queues and make every later request late as well.
#include "bluebellshift/gateway/dispatcher.h"

#include <algorithm>

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

// A promise that the request has not run and will not.
bool isPromise(int status)
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
        pending.isEarly = true;
        pending.deadline = std::min(pending.callerDeadline, now + startWait);
        deadlines_.emplace(pending.deadline, arrived.request);
        early_.push_back(arrived.request);
        return;
    }
    begin(pending, random, now);
}

void Dispatcher::onReady(std::uint64_t random, Instant now)
{
    for (const RequestId request : std::exchange(early_, {})) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue; // its caller left, or its time was over
        pending->isEarly = false;
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
    if (waitingCount_ >= waitingMost) {
        refuse(pending, 503, "queue-full", comeBackAfter(pending, now), now);
        return;
    }
    wait(pending);
}

// Finds the request's route, team and service. False: it has been refused.
bool Dispatcher::admit(Pending &pending, Instant now)
{
    pending.config = hooks_.config();
    if (refusesNew_) {
        refuse(pending, 503, "leaving", retryLeast, now);
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
    repeats_.try_emplace(pending.service, options_.bounds).first->second.noteRequest(now);
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
        const Duration next = quotas_.untilNext(pending.team->id, now);
        refuse(pending, 429, "over-rate", std::clamp(next, retryLeast, retryMost), now);
        return false;
    }
    return true;
}

Wish Dispatcher::wishOf(const Pending &pending) const
{
    Wish wish;
    wish.service = pending.service;
    wish.routeRegions = &pending.route->allowedRegions;
    if (pending.team != nullptr)
        wish.teamRegions = &pending.team->allowedRegions;
    wish.object = pending.object;
    wish.tried = &pending.tried;
    wish.route = pending.route->name;
    wish.bodyBytes = pending.arrived.bodyBytes;
    wish.foundFreeSlot = pending.foundFreeSlot;
    return wish;
}

Dispatcher::Placement Dispatcher::place(Pending &pending, std::uint64_t random, Instant now)
{
    const Choice choice = pool_.choose(wishOf(pending), mixHashes(random, pending.sequence), now);
    const Duration waited = now - pending.arrivedAt;
    if (choice.target != nullptr) {
        const bool hasSlot = choice.ownInFlight + choice.othersInFlight < choice.target->slots;
        if (hasSlot || waited + choice.finish <= pending.route->latencyObjective) {
            send(pending, choice, now);
            return Placement::Sent;
        }
    }
    if (waited < scaled(pending.route->latencyObjective, holdMost))
        return Placement::Waits;
    const Duration left = pending.deadline - now;
    if (choice.target != nullptr && choice.finish <= scaled(left, lateMost)
        && choice.ownInFlight + choice.othersInFlight < 2 * choice.target->slots) {
        send(pending, choice, now);
        return Placement::Sent;
    }
    if (pending.mayHaveRun)
        refuse(pending, 502, "target-failed", Duration(), now);
    else
        refuse(pending, 503, choice.target == nullptr ? "no-target" : "no-room",
               comeBackAfter(pending, now), now);
    return Placement::Refused;
}

void Dispatcher::send(Pending &pending, const Choice &choice, Instant now)
{
    if (pending.isWaiting)
        leaveQueue(pending);
    const Target &target = *choice.target;
    pending.target = target.id;
    pending.sentAt = now;
    ++pending.attempts;
    pending.tried.push_back(target.id);
    pending.foundFreeSlot = choice.ownInFlight + choice.othersInFlight < target.slots;
    pool_.onSent(target.id, wishOf(pending), now);
    log(core::log::requestRouted, pending,
        { { "target", target.id.text() },
          { "attempt", std::to_string(pending.attempts) },
          { "waitedMs", millisText(now - pending.arrivedAt) },
          { "finishMs", millisText(choice.finish) },
          { "inFlight",
            fmt::format("{}+{}/{}", choice.ownInFlight, choice.othersInFlight, target.slots) },
          { "object", fmt::format("{:08x}", static_cast<std::uint32_t>(pending.object)) },
          { "warmth", fmt::format("{:.2f}", choice.warmth) },
          { "considered", choice.ruledOut },
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
    attempt.reuseIdleMost = pending.route->isIdempotent ? reuseIdleMost : freshlyUsed;
    hooks_.perform(std::move(attempt));
}

void Dispatcher::wait(Pending &pending)
{
    if (pending.isWaiting)
        return;
    pending.isWaiting = true;
    ++waitingCount_;
    waiting_[pending.service].emplace(WaitKey { pending.priority, pending.sequence },
                                      pending.arrived.request);
}

void Dispatcher::leaveQueue(Pending &pending)
{
    if (!pending.isWaiting)
        return;
    pending.isWaiting = false;
    --waitingCount_;
    waiting_[pending.service].erase(WaitKey { pending.priority, pending.sequence });
}

// Tries what waits for a service, the most urgent first.
void Dispatcher::pump(const ServiceId &service, std::uint64_t random, Instant now)
{
    std::vector<RequestId> next;
    for (const auto &[key, request] : waiting_[service]) {
        next.push_back(request);
        if (next.size() >= scanMost)
            break;
    }
    int stuck = 0;
    for (const RequestId request : next) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue;
        if (place(*pending, random, now) == Placement::Waits && ++stuck >= 6)
            break;
    }
}

void Dispatcher::onGone(const CallerDisconnected &gone, Instant now)
{
    Pending *pending = find(gone.request);
    if (pending == nullptr)
        return;
    const bool isSent = !pending->isWaiting && !pending->isEarly;
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
    pool_.onEnded(pending->target, wishOf(*pending), ended, now - pending->sentAt, now);
    settle(*pending, ended, random, now);
    pump(service, random, now);
}

// Decides what the end of an attempt means for its request.
void Dispatcher::settle(Pending &pending, const AttemptEnded &ended, std::uint64_t random,
                        Instant now)
{
    const bool isAnswered = ended.outcome == AttemptOutcome::Answered;
    const bool isSuccess = isAnswered && ended.status >= 200 && ended.status < 300;
    const bool isNotRun = isAnswered && (ended.saysNotRun || ended.status == 421);
    if (isSuccess && ended.isAuthentic && !isNotRun) {
        pass(pending, ended, now);
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
    const bool hasArrived = ended.outcome != AttemptOutcome::ConnectFailed;
    if (!hasArrived) {
        --pending.attempts; // it reached no target
        ++pending.connectFailures;
    }
    const bool isCertain = !hasArrived || isNotRun;
    pending.mayHaveRun = pending.mayHaveRun || !isCertain;
    const bool isSafeToRetry = isCertain || pending.route->isIdempotent;
    const bool isTimeOver = now >= pending.deadline || ended.outcome == AttemptOutcome::TimedOut;
    // A failure that the target itself gave is an answer, unless another may do better.
    const bool mayPass = isAnswered && !isNotRun && !isSuccess && !isPromise(ended.status);
    if (isSafeToRetry && !isTimeOver && mayRepeat(pending, hasArrived, now)) {
        if (place(pending, random, now) == Placement::Waits)
            wait(pending);
        return;
    }
    if (mayPass)
        pass(pending, ended, now);
    else if (!pending.mayHaveRun)
        refuse(pending, 503, "no-target-took-it", comeBackAfter(pending, now), now);
    else
        refuse(pending, isTimeOver ? 504 : 502, "target-failed", Duration(), now);
}

bool Dispatcher::mayRepeat(Pending &pending, bool hasArrived, Instant now)
{
    if (pending.attempts >= pending.route->maxAttempts
        || pending.connectFailures >= connectFailuresMost)
        return false;
    return !hasArrived || repeats_.at(pending.service).take(hooks_.vmCount(), now);
}

void Dispatcher::onTimer(std::uint64_t random, Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const RequestId request = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        if (Pending *pending = find(request))
            expire(*pending, now);
    }
    if (waitingCount_ > 0 && now - pumpedAt_ >= pumpInterval)
        onRoomChanged(random, now);
}

void Dispatcher::onRoomChanged(std::uint64_t random, Instant now)
{
    pumpedAt_ = now;
    std::vector<ServiceId> services;
    for (const auto &[service, waiting] : waiting_) {
        if (!waiting.empty())
            services.push_back(service);
    }
    for (const ServiceId &service : services)
        pump(service, random, now);
}

Instant Dispatcher::nextWake() const
{
    Instant next = Instant::never();
    if (!deadlines_.empty())
        next = deadlines_.begin()->first;
    if (waitingCount_ > 0) {
        const Instant pumpAt = pumpedAt_ + pumpInterval;
        next = next == Instant::never() ? pumpAt : std::min(next, pumpAt);
    }
    return next;
}

// The request's time is over.
void Dispatcher::expire(Pending &pending, Instant now)
{
    if (pending.isEarly) {
        refuse(pending, 503, "not-ready", retryLeast * 3, now);
        return;
    }
    if (pending.isWaiting) {
        refuse(pending, pending.mayHaveRun ? 504 : 503, "deadline-passed", retryLeast, now);
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
        const bool isSent = !pending.isWaiting && !pending.isEarly;
        if (isSent) {
            pool_.onCancelled(pending.target, now);
            hooks_.perform(CancelAttempt { request });
        }
        if (isSent || pending.mayHaveRun)
            refuse(pending, 502, "stopped", Duration(), now);
        else
            refuse(pending, 503, "stopped", retryLeast, now);
    }
}

// The time in which what waits ahead of the request will have been worked off.
Duration Dispatcher::comeBackAfter(const Pending &pending, Instant now) const
{
    const int slots = std::max(1, pool_.slotsOf(pending.service, now));
    const Duration work = pool_.expectedWork(pending.route->name);
    const auto waiting = waiting_.find(pending.service);
    const std::size_t ahead = waiting == waiting_.end() ? 0 : waiting->second.size();
    const double rounds =
        0.5 + static_cast<double>(ahead * hooks_.vmCount()) / static_cast<double>(slots);
    return std::clamp(scaled(work, rounds), retryLeast, retryMost);
}

void Dispatcher::pass(Pending &pending, const AttemptEnded &ended, Instant now)
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
    leaveQueue(*pending);
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
