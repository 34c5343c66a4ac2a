// The end of attempts and requests, timers, and the graceful shutdown.
//
// The outcome of an attempt determines what happens to the request:
//
//   outcome              has it run   retried
//   Answered             yes          no
//   NeverSent            no           yes
//   ConnectFailed, Shed  no           yes, at another target
//   Cut                  yes          only if idempotent
//   TooLarge             yes          no
//   TimedOut, Cancelled  unknown      no: its deadline has passed
//
// An at-most-once request that has been sent is not cancelled when its caller
// disconnects: the caller's retry with the same ticket then gets the answer.
// Cancelling would turn a known outcome into an unknown one.
#include "bluebellshift/core/dispatch.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr double answerBytesSmoothing = 0.05; // weight of a new response
constexpr std::size_t slotAndConnection = 2;

bool isProvablyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NeverSent || outcome == AttemptOutcome::ConnectFailed
        || outcome == AttemptOutcome::Shed;
}

bool wasSentToTarget(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NeverSent && outcome != AttemptOutcome::ConnectFailed;
}

const char *toText(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NeverSent:
        return "never-sent";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case AttemptOutcome::Shed:
        return "shed";
    case AttemptOutcome::Cut:
        return "cut";
    case AttemptOutcome::TooLarge:
        return "too-large";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "cancelled";
}

// Returns the refusal for an attempt that is not retried.
Refusal refusalOf(const AttemptEnded &ended, const TargetId &target)
{
    const std::string name = target.text();
    switch (ended.outcome) {
    case AttemptOutcome::Shed:
        return { RefusalCode::NoCapacity, Run::NotRun,
                 fmt::format("target \"{}\" shed the request", name), 0 };
    case AttemptOutcome::Cut:
        return { RefusalCode::AnswerCut, ended.answerBegun ? Run::Ran : Run::Unknown,
                 fmt::format("target \"{}\" ended its answer early", name), 0 };
    case AttemptOutcome::TooLarge:
        return { RefusalCode::AnswerTooLarge, Run::Ran,
                 fmt::format("the answer of target \"{}\" is too large", name), 0 };
    case AttemptOutcome::TimedOut:
        return { RefusalCode::TargetTimedOut, Run::Unknown,
                 fmt::format("target \"{}\" gave no answer in time", name), 0 };
    case AttemptOutcome::Cancelled:
        return { RefusalCode::None, Run::Unknown, "the caller went away", 0 };
    default:
        return { RefusalCode::TargetFailed, Run::NotRun,
                 fmt::format("target \"{}\" could not be reached", name), 0 };
    }
}

Refusal callerGoneRefusal(Run run)
{
    return { RefusalCode::None, run, "the caller went away", 0 };
}

} // namespace

Effects Dispatch::onAttemptEnded(const AttemptEnded &ended, Instant now)
{
    Effects effects;
    Pending *pending = find(ended.request);
    if (pending == nullptr || pending->stage != Stage::Forwarding
        || pending->attempts != ended.attempt)
        return effects;

    releaseAttempt(*pending, wasSentToTarget(ended.outcome), now);
    pending->wasSent = pending->wasSent || wasSentToTarget(ended.outcome);
    pending->mayHaveRun = pending->mayHaveRun || !isProvablyNotRun(ended.outcome);
    std::vector<LogRecord> logRecords;
    chooser_.onEnded(pending->target, pending->sentAt, ended,
                     hooks_.targetsOf(pending->arrived.service), now, logRecords);
    for (LogRecord &record : logRecords)
        effects.push_back(WriteLog { std::move(record) });

    resolveAttempt(*pending, ended, now, effects);
    expire(now, effects);
    dispatchQueue(now, effects);
    finishEvent(now, effects);
    return effects;
}

void Dispatch::releaseAttempt(Pending &pending, bool wasSent, Instant now)
{
    const std::size_t count = wasSent ? slotAndConnection : pending.takenDebits.size();
    for (std::size_t i = 0; i < count; ++i)
        hooks_.budget.releaseTokens(pending.takenDebits[i], now);
    pending.takenDebits.clear();
}

void Dispatch::resolveAttempt(Pending &pending, const AttemptEnded &ended, Instant now,
                              Effects &effects)
{
    if (ended.outcome == AttemptOutcome::Answered && ended.answer)
        return answerWithJoined(pending, ended.answer, effects);
    writeLog(log::attemptFailed, pending,
             { { "target", pending.target.text() },
               { "attempt", std::to_string(ended.attempt) },
               { "outcome", toText(ended.outcome) } },
             effects);
    if (retry(pending, ended, now, effects))
        return;
    Refusal refusal = refusalOf(ended, pending.target);
    if (refusal.run == Run::NotRun)
        refusal.run = runOf(pending);
    refuseWithJoined(pending, refusal, now, effects);
}

bool Dispatch::retry(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects)
{
    const bool isAllowed = isProvablyNotRun(ended.outcome)
        || (ended.outcome == AttemptOutcome::Cut && !pending.runsAtMostOnce);
    if (!isAllowed || pending.isCallerGone || pending.deadline <= now
        || pending.attempts >= options_.maxAttempts || !retryBudget_.takeRetry())
        return false;
    if (pending.runsAtMostOnce)
        atMostOnce_.releaseAnswer(pending.ticket->number);
    if (ended.outcome != AttemptOutcome::NeverSent)
        pending.tried.push_back(pending.target);
    enqueue(pending, now, effects);
    return true;
}

void Dispatch::answerWithJoined(Pending &pending, const AnswerPointer &completeAnswer,
                                Effects &effects)
{
    const RequestId request = pending.arrived.request;
    double &bytes = meanAnswerBytes_[pending.arrived.service];
    const double size = static_cast<double>(completeAnswer->body.size());
    bytes = bytes <= 0 ? size : bytes + answerBytesSmoothing * (size - bytes);

    std::vector<RequestId> joined;
    if (pending.runsAtMostOnce)
        joined = atMostOnce_.finish(pending.ticket->number, completeAnswer);
    answer(request, completeAnswer, effects);
    for (const RequestId other : joined) {
        if (isKeyInForce(*find(other)))
            answer(other, completeAnswer, effects);
        else
            refuse(other,
                   { RefusalCode::KeyUnknown, Run::Ran, "the key was withdrawn meanwhile", 0 },
                   effects);
    }
}

// Refuses a request that is not in the queue, and the requests that joined it.
void Dispatch::refuseWithJoined(Pending &pending, const Refusal &refusal, Instant now,
                                Effects &effects)
{
    const RequestId request = pending.arrived.request;
    if (pending.holdsTeamToken && !pending.wasSent)
        hooks_.budget.releaseTokens({ teamAccount(pending.team), 1 }, now);
    std::vector<RequestId> joined;
    if (pending.runsAtMostOnce && pending.mayHaveRun)
        joined = atMostOnce_.fail(pending.ticket->number);
    else if (pending.runsAtMostOnce && refusal.run == Run::NotRun)
        joined = atMostOnce_.retire(pending.ticket->number);
    else if (pending.runsAtMostOnce)
        joined = atMostOnce_.abandon(pending.ticket->number);
    refuse(request, refusal, effects);
    for (const RequestId other : joined)
        refuse(other, refusal, effects);
}

void Dispatch::answer(RequestId request, const AnswerPointer &completeAnswer, Effects &effects)
{
    writeLog(log::requestAnswered, *find(request),
             { { "status", std::to_string(completeAnswer->status) } }, effects);
    effects.push_back(AnswerCaller { request, completeAnswer });
    erase(request);
}

void Dispatch::refuse(RequestId request, const Refusal &refusal, Effects &effects)
{
    Pending unknown; // for a refused ticket request, which is never pending
    unknown.arrived.request = request;
    const Pending *pending = find(request);
    std::vector<LogField> fields { { "code", core::toText(refusal.code) },
                                   { "run", core::toText(refusal.run) } };
    if (pending != nullptr && !pending->missingAccount.isEmpty())
        fields.push_back({ "lacking", pending->missingAccount.text() });
    writeLog(log::requestRefused, pending != nullptr ? *pending : unknown, std::move(fields),
             effects);
    effects.push_back(RefuseCaller { request, refusal });
    erase(request);
}

void Dispatch::erase(RequestId request)
{
    const auto found = pending_.find(request);
    if (found == pending_.end())
        return;
    deadlines_.erase({ found->second.deadline, request });
    pending_.erase(found);
}

Effects Dispatch::onCallerGone(const CallerGone &gone, Instant now)
{
    Effects effects;
    Pending *pending = find(gone.request);
    if (pending == nullptr)
        return effects;
    switch (pending->stage) {
    case Stage::Waiting:
        // The caller receives no "not run", so the ticket stays usable.
        endQueued(*pending, callerGoneRefusal(Run::Unknown), now, effects);
        break;
    case Stage::Joined:
    case Stage::Relayed:
        endJoinedOrRelayed(*pending, callerGoneRefusal(Run::Unknown), effects);
        break;
    case Stage::Forwarding:
        if (!pending->isCallerGone && !pending->runsAtMostOnce)
            effects.push_back(CancelForward { gone.request });
        pending->isCallerGone = true;
        break;
    }
    dispatchQueue(now, effects);
    finishEvent(now, effects);
    return effects;
}

// Refuses one queued request. If another request has joined it, that one takes
// its place in the queue.
void Dispatch::endQueued(Pending &pending, Refusal refusal, Instant now, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    const RequestId successor =
        pending.runsAtMostOnce ? atMostOnce_.promoteWaiter(pending.ticket->number) : RequestId();
    if (successor == RequestId()) {
        queue_.remove(request);
        return refuseWithJoined(pending, refusal, now, effects);
    }
    promoteJoined(pending, successor);
    refusal.run = Run::Unknown; // the successor may run
    refuse(request, refusal, effects);
}

void Dispatch::promoteJoined(const Pending &leaving, RequestId successor)
{
    Pending &next = *find(successor);
    deadlines_.erase({ next.deadline, successor });
    next.stage = Stage::Waiting;
    next.holdsTeamToken = leaving.holdsTeamToken;
    next.attempts = leaving.attempts;
    next.tried = leaving.tried;
    next.wasSent = leaving.wasSent;
    next.waitReason = leaving.waitReason;
    queue_.replace(leaving.arrived.request, successor);
}

// Refuses one request that waits for the outcome of another request or for its
// home.
void Dispatch::endJoinedOrRelayed(Pending &pending, const Refusal &refusal, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    if (pending.stage == Stage::Joined)
        atMostOnce_.removeWaiter(pending.ticket->number, request);
    if (pending.stage == Stage::Relayed)
        effects.push_back(CancelForward { request });
    refuse(request, refusal, effects);
}

void Dispatch::refuseRevokedKey(Pending &pending, Instant now, Effects &effects)
{
    const Refusal refusal { RefusalCode::KeyUnknown, runOf(pending),
                            "the key was withdrawn meanwhile", 0 };
    if (pending.stage == Stage::Waiting)
        endQueued(pending, refusal, now, effects);
    else
        endJoinedOrRelayed(pending, refusal, effects);
}

Effects Dispatch::onRelayReply(const VmId &from, RequestId request, const RelayReply &reply,
                               Instant now)
{
    Effects effects;
    Pending *pending = find(request);
    if (pending == nullptr || pending->stage != Stage::Relayed || pending->home != from)
        return effects;
    if (reply.isAnswer)
        answer(request, std::make_shared<const Answer>(reply.answer), effects);
    else
        refuse(request, reply.refusal, effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onRelayFailed(RequestId request, Instant now)
{
    Effects effects;
    Pending *pending = find(request);
    if (pending == nullptr || pending->stage != Stage::Relayed)
        return effects;
    refuse(request,
           { RefusalCode::HomeUnreachable, Run::Unknown,
             fmt::format("VM \"{}\", which issued the ticket, can't be reached; the request may "
                         "have run",
                         pending->home.text()),
             0 },
           effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onPeerLost(const VmId &vm, Instant now)
{
    std::vector<RequestId> lost;
    for (const auto &[request, pending] : pending_) {
        if (pending.stage == Stage::Relayed && pending.home == vm)
            lost.push_back(request);
    }
    Effects effects;
    for (const RequestId request : lost) {
        for (Effect &effect : onRelayFailed(request, now))
            effects.push_back(std::move(effect));
    }
    return effects;
}

Effects Dispatch::onProbeEnded(const ProbeEnded &probe, Instant now)
{
    Effects effects;
    std::vector<LogRecord> logRecords;
    chooser_.onProbeEnded(probe, now, logRecords);
    for (LogRecord &record : logRecords)
        effects.push_back(WriteLog { std::move(record) });
    dispatchQueue(now, effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onViewChanged(Instant now)
{
    Effects effects;
    if (const BundlePointer bundle = hooks_.bundle()) {
        for (const Service &service : bundle->services)
            chooser_.update(hooks_.targetsOf(service.id), now);
    }
    std::vector<RequestId> revoked;
    for (const auto &[request, pending] : pending_) {
        if (pending.stage != Stage::Forwarding && !isKeyInForce(pending))
            revoked.push_back(request);
    }
    for (const RequestId request : revoked)
        refuseRevokedKey(*find(request), now, effects);
    expire(now, effects);
    dispatchQueue(now, effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onBudgetChanged(Instant now)
{
    Effects effects;
    expire(now, effects);
    dispatchQueue(now, effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onTimer(Instant now)
{
    if (timerAt_ <= now)
        timerAt_ = Instant::never();
    return onBudgetChanged(now);
}

void Dispatch::expire(Instant now, Effects &effects)
{
    atMostOnce_.expire(now);
    for (const RequestId request : queue_.takeExpired(now)) {
        // Refusing a request may also have ended requests that joined it.
        if (Pending *pending = find(request))
            refuseExpired(*pending, now, effects);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Pending &pending = *find(deadlines_.begin()->second);
        endJoinedOrRelayed(pending,
                           { RefusalCode::DeadlinePassed, Run::Unknown,
                             "the request's outcome was not known in time", 0 },
                           effects);
    }
}

void Dispatch::refuseExpired(Pending &pending, Instant now, Effects &effects)
{
    Refusal refusal { pending.waitReason, runOf(pending), "no target had a free slot in time",
                      static_cast<int>(options_.maxQueueWait.toMillis()) };
    if (pending.deadline <= now)
        refusal.code = RefusalCode::DeadlinePassed;
    else if (!hooks_.mayServe(now))
        refusal.code = RefusalCode::ViewStale;
    if (refusal.code == RefusalCode::OverRate)
        refusal.message = fmt::format("team \"{}\" is over its rate", pending.team.text());
    refuseWithJoined(pending, refusal, now, effects);
}

void Dispatch::probe(Instant now, Effects &effects)
{
    const BundlePointer bundle = hooks_.bundle();
    if (now < nextProbe_ || !bundle)
        return;
    nextProbe_ = now + TargetChooser::probeRoundInterval;
    for (const Service &service : bundle->services) {
        const std::vector<Target> &targets = hooks_.targetsOf(service.id);
        chooser_.update(targets, now);
        for (const Target *target : chooser_.startDueProbes(targets, now))
            effects.push_back(ProbeTarget { target->id, target->endpoint });
    }
    chooser_.prune(now);
}

Effects Dispatch::beginShutdown(Instant now)
{
    Effects effects;
    if (drain_.state() == DrainState::Leaving)
        drain_.endNow(now);
    if (drain_.state() == DrainState::Serving) {
        Duration cacheTime = Service().cacheTime;
        if (const BundlePointer bundle = hooks_.bundle()) {
            for (const Service &service : bundle->services)
                cacheTime = std::max(cacheTime, service.cacheTime);
        }
        // Other VMs return this one in look-ups until they learn that it leaves.
        const Instant lookupsExpireAt = now + options_.suspicionTimeout + cacheTime;
        drain_.begin(std::max(lookupsExpireAt, tickets_.lastExpiry()), now);
        effects.push_back(WriteLog {
            { log::shutdownBegun,
              { { "pending", std::to_string(pending_.size()) },
                { "stayMs", std::to_string((drain_.acceptUntil() - now).toMillis()) } } } });
    }
    finishEvent(now, effects);
    return effects;
}

void Dispatch::exitWhenDone(Instant now, Effects &effects)
{
    if (!drain_.mayExit(pending_.size(), now) && !drain_.mustExit(now))
        return;
    const int cut = static_cast<int>(pending_.size());
    abortAll(now, effects);
    drain_.markExited();
    effects.push_back(Exit { cut });
}

void Dispatch::abortAll(Instant now, Effects &effects)
{
    std::vector<RequestId> requests;
    for (const auto &[request, pending] : pending_)
        requests.push_back(request);
    for (const RequestId request : requests) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue; // ended together with the request it had joined
        const Refusal refusal { RefusalCode::Leaving, runOf(*pending),
                                "this VM left before the request had ended", 0 };
        queue_.remove(request);
        if (pending->stage == Stage::Forwarding) {
            releaseAttempt(*pending, true, now);
            pending->wasSent = true;
            pending->mayHaveRun = true;
            effects.push_back(CancelForward { request });
        }
        if (pending->stage == Stage::Waiting || pending->stage == Stage::Forwarding)
            refuseWithJoined(*pending, refusal, now, effects);
        else
            endJoinedOrRelayed(*pending, refusal, effects);
    }
}

void Dispatch::setTimer(Instant now, Effects &effects)
{
    if (drain_.state() == DrainState::Exited)
        return;
    Instant next = std::max(now, nextProbe_);
    if (!queue_.isEmpty())
        next = std::min({ next, now + queuePollInterval, queue_.nextExpiry() });
    if (!deadlines_.empty())
        next = std::min(next, deadlines_.begin()->first);
    if (drain_.state() == DrainState::Leaving) {
        next = std::min(next, drain_.limit());
        if (now < drain_.acceptUntil())
            next = std::min(next, drain_.acceptUntil());
    }
    if (now < timerAt_ && timerAt_ <= next)
        return;
    timerAt_ = next;
    effects.push_back(SetTimer { next });
}

void Dispatch::finishEvent(Instant now, Effects &effects)
{
    probe(now, effects);
    exitWhenDone(now, effects);
    setTimer(now, effects);
}

// Returns whether a pending request may have run.
Run Dispatch::runOf(const Pending &pending) const
{
    switch (pending.stage) {
    case Stage::Waiting:
        return pending.mayHaveRun ? Run::Unknown : Run::NotRun;
    case Stage::Forwarding:
        // Called after the attempt has ended, or to abort it.
        return pending.mayHaveRun || !pending.takenDebits.empty() ? Run::Unknown : Run::NotRun;
    default:
        return Run::Unknown;
    }
}

} // namespace bluebellshift::core
