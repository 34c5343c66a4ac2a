// The end of attempts and of requests, time, and the graceful shutdown.
//
// What an ended attempt means for the request:
//
//   outcome              has it run   tried again
//   Answered             yes          no
//   NeverSent            no           yes
//   ConnectFailed, Shed  no           yes, at another target
//   Cut                  yes          only if it may be repeated
//   TooLarge             yes          no
//   TimedOut, Cancelled  perhaps      no: its time is over
//
// A request that runs once is not cancelled when its caller goes away after it
// was sent: the caller's retry with the same ticket then gets the answer. To
// cancel was weighed; it would turn a known outcome into an unknown one.
#include "bluebellshift/core/dispatch.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr double answerBytesWeight = 0.05; // of a new answer in the mean
constexpr std::size_t slotAndConnection = 2;

bool isProvablyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NeverSent || outcome == AttemptOutcome::ConnectFailed
        || outcome == AttemptOutcome::Shed;
}

bool hasLeftTheVm(AttemptOutcome outcome)
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

// The refusal that an attempt's end leads to when there is no retry.
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

Refusal callerWentAway(Run run)
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

    giveBackAttempt(*pending, hasLeftTheVm(ended.outcome), now);
    pending->hasLeft = pending->hasLeft || hasLeftTheVm(ended.outcome);
    pending->mayHaveRun = pending->mayHaveRun || !isProvablyNotRun(ended.outcome);
    std::vector<LogRecord> changes;
    chooser_.onEnded(pending->target, pending->sentAt, ended,
                     hooks_.targetsOf(pending->arrived.service), now, changes);
    for (LogRecord &record : changes)
        effects.push_back(WriteLog { std::move(record) });

    settleAttempt(*pending, ended, now, effects);
    expire(now, effects);
    pump(now, effects);
    finishEvent(now, effects);
    return effects;
}

void Dispatch::giveBackAttempt(Pending &pending, bool hasLeft, Instant now)
{
    const std::size_t count = hasLeft ? slotAndConnection : pending.taken.size();
    for (std::size_t i = 0; i < count; ++i)
        hooks_.budget.giveBack(pending.taken[i], now);
    pending.taken.clear();
}

void Dispatch::settleAttempt(Pending &pending, const AttemptEnded &ended, Instant now,
                             Effects &effects)
{
    if (ended.outcome == AttemptOutcome::Answered && ended.answer)
        return answerRun(pending, ended.answer, effects);
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
    refuseRun(pending, refusal, now, effects);
}

bool Dispatch::retry(Pending &pending, const AttemptEnded &ended, Instant now, Effects &effects)
{
    const bool isAllowed = isProvablyNotRun(ended.outcome)
        || (ended.outcome == AttemptOutcome::Cut && !pending.runsOnce);
    if (!isAllowed || pending.isCallerGone || pending.deadline <= now
        || pending.attempts >= options_.attemptsMost || !retryBudget_.takeRetry())
        return false;
    if (pending.runsOnce)
        once_.releaseAnswer(pending.ticket->number);
    if (ended.outcome != AttemptOutcome::NeverSent)
        pending.tried.push_back(pending.target);
    wait(pending, now, effects);
    return true;
}

void Dispatch::answerRun(Pending &pending, const AnswerPointer &whole, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    double &bytes = answerBytes_[pending.arrived.service];
    const double size = static_cast<double>(whole->body.size());
    bytes = bytes <= 0 ? size : bytes + answerBytesWeight * (size - bytes);

    std::vector<RequestId> joined;
    if (pending.runsOnce)
        joined = once_.finish(pending.ticket->number, whole);
    answer(request, whole, effects);
    for (const RequestId other : joined) {
        if (isKeyInForce(*find(other)))
            answer(other, whole, effects);
        else
            refuse(other,
                   { RefusalCode::KeyUnknown, Run::Ran, "the key was withdrawn meanwhile", 0 },
                   effects);
    }
}

// Ends a request that is not in the queue, and those that joined it.
void Dispatch::refuseRun(Pending &pending, const Refusal &refusal, Instant now, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    if (pending.hasPaid && !pending.hasLeft)
        hooks_.budget.giveBack({ teamAccount(pending.team), 1 }, now);
    std::vector<RequestId> joined;
    if (pending.runsOnce && pending.mayHaveRun)
        joined = once_.fail(pending.ticket->number);
    else if (pending.runsOnce && refusal.run == Run::NotRun)
        joined = once_.retire(pending.ticket->number);
    else if (pending.runsOnce)
        joined = once_.abandon(pending.ticket->number);
    refuse(request, refusal, effects);
    for (const RequestId other : joined)
        refuse(other, refusal, effects);
}

void Dispatch::answer(RequestId request, const AnswerPointer &whole, Effects &effects)
{
    writeLog(log::requestAnswered, *find(request), { { "status", std::to_string(whole->status) } },
             effects);
    effects.push_back(AnswerCaller { request, whole });
    erase(request);
}

void Dispatch::refuse(RequestId request, const Refusal &refusal, Effects &effects)
{
    Pending unknown; // of a refused ticket call
    unknown.arrived.request = request;
    const Pending *pending = find(request);
    std::vector<LogField> fields { { "code", core::toText(refusal.code) },
                                   { "run", core::toText(refusal.run) } };
    if (pending != nullptr && !pending->lacking.isEmpty())
        fields.push_back({ "lacking", pending->lacking.text() });
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
        // Nobody hears it, and the ticket shall stay usable.
        leaveQueue(*pending, callerWentAway(Run::Unknown), now, effects);
        break;
    case Stage::Joined:
    case Stage::Relayed:
        leaveWait(*pending, callerWentAway(Run::Unknown), effects);
        break;
    case Stage::Forwarding:
        if (!pending->isCallerGone && !pending->runsOnce)
            effects.push_back(CancelForward { gone.request });
        pending->isCallerGone = true;
        break;
    }
    pump(now, effects);
    finishEvent(now, effects);
    return effects;
}

// Ends one request that is in the queue. One that joined it takes its place.
void Dispatch::leaveQueue(Pending &pending, Refusal refusal, Instant now, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    const RequestId successor =
        pending.runsOnce ? once_.promoteWaiter(pending.ticket->number) : RequestId();
    if (successor == RequestId()) {
        queue_.remove(request);
        return refuseRun(pending, refusal, now, effects);
    }
    takePlace(pending, successor);
    refusal.run = Run::Unknown; // the successor may run
    refuse(request, refusal, effects);
}

void Dispatch::takePlace(const Pending &leaving, RequestId successor)
{
    Pending &next = *find(successor);
    deadlines_.erase({ next.deadline, successor });
    next.stage = Stage::Waiting;
    next.hasPaid = leaving.hasPaid;
    next.attempts = leaving.attempts;
    next.tried = leaving.tried;
    next.hasLeft = leaving.hasLeft;
    next.shortage = leaving.shortage;
    queue_.replace(leaving.arrived.request, successor);
}

// Ends one request that waits for another's outcome or for its home.
void Dispatch::leaveWait(Pending &pending, const Refusal &refusal, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    if (pending.stage == Stage::Joined)
        once_.removeWaiter(pending.ticket->number, request);
    if (pending.stage == Stage::Relayed)
        effects.push_back(CancelForward { request });
    refuse(request, refusal, effects);
}

void Dispatch::refuseWithdrawn(Pending &pending, Instant now, Effects &effects)
{
    const Refusal refusal { RefusalCode::KeyUnknown, runOf(pending),
                            "the key was withdrawn meanwhile", 0 };
    if (pending.stage == Stage::Waiting)
        leaveQueue(pending, refusal, now, effects);
    else
        leaveWait(pending, refusal, effects);
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
    std::vector<LogRecord> changes;
    chooser_.onProbeEnded(probe, now, changes);
    for (LogRecord &record : changes)
        effects.push_back(WriteLog { std::move(record) });
    pump(now, effects);
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
    std::vector<RequestId> withdrawn;
    for (const auto &[request, pending] : pending_) {
        if (pending.stage != Stage::Forwarding && !isKeyInForce(pending))
            withdrawn.push_back(request);
    }
    for (const RequestId request : withdrawn)
        refuseWithdrawn(*find(request), now, effects);
    expire(now, effects);
    pump(now, effects);
    finishEvent(now, effects);
    return effects;
}

Effects Dispatch::onBudgetChanged(Instant now)
{
    Effects effects;
    expire(now, effects);
    pump(now, effects);
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
    once_.expire(now);
    for (const RequestId request : queue_.takeExpired(now)) {
        // A request refused here may have ended others that joined it.
        if (Pending *pending = find(request))
            refuseExpired(*pending, now, effects);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Pending &pending = *find(deadlines_.begin()->second);
        leaveWait(pending,
                  { RefusalCode::DeadlinePassed, Run::Unknown,
                    "the request's outcome was not known in time", 0 },
                  effects);
    }
}

void Dispatch::refuseExpired(Pending &pending, Instant now, Effects &effects)
{
    Refusal refusal { pending.shortage, runOf(pending), "no target had a free slot in time",
                      static_cast<int>(options_.queueWaitMost.toMillis()) };
    if (pending.deadline <= now)
        refusal.code = RefusalCode::DeadlinePassed;
    else if (!hooks_.mayServe(now))
        refusal.code = RefusalCode::ViewStale;
    if (refusal.code == RefusalCode::OverRate)
        refusal.message = fmt::format("team \"{}\" is over its rate", pending.team.text());
    refuseRun(pending, refusal, now, effects);
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
        drain_.hurry(now);
    if (drain_.state() == DrainState::Serving) {
        Duration cacheTime = Service().cacheTime;
        if (const BundlePointer bundle = hooks_.bundle()) {
            for (const Service &service : bundle->services)
                cacheTime = std::max(cacheTime, service.cacheTime);
        }
        // Other VMs name this one until they hear that it leaves.
        const Instant lookedUp = now + options_.suspicionTimeout + cacheTime;
        drain_.begin(std::max(lookedUp, tickets_.lastExpiry()), now);
        effects.push_back(WriteLog {
            { log::shutdownBegun,
              { { "pending", std::to_string(pending_.size()) },
                { "stayMs", std::to_string((drain_.stayUntil() - now).toMillis()) } } } });
    }
    finishEvent(now, effects);
    return effects;
}

void Dispatch::exitWhenDone(Instant now, Effects &effects)
{
    if (!drain_.mayExit(pending_.size(), now) && !drain_.mustExit(now))
        return;
    const int cut = static_cast<int>(pending_.size());
    cutAll(now, effects);
    drain_.noteExit();
    effects.push_back(Exit { cut });
}

void Dispatch::cutAll(Instant now, Effects &effects)
{
    std::vector<RequestId> requests;
    for (const auto &[request, pending] : pending_)
        requests.push_back(request);
    for (const RequestId request : requests) {
        Pending *pending = find(request);
        if (pending == nullptr)
            continue; // ended with the one it had joined
        const Refusal refusal { RefusalCode::Leaving, runOf(*pending),
                                "this VM left before the request had ended", 0 };
        queue_.remove(request);
        if (pending->stage == Stage::Forwarding) {
            giveBackAttempt(*pending, true, now);
            pending->hasLeft = true;
            pending->mayHaveRun = true;
            effects.push_back(CancelForward { request });
        }
        if (pending->stage == Stage::Waiting || pending->stage == Stage::Forwarding)
            refuseRun(*pending, refusal, now, effects);
        else
            leaveWait(*pending, refusal, effects);
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
        if (now < drain_.stayUntil())
            next = std::min(next, drain_.stayUntil());
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

// What is known of the run of a request that is not yet ended.
Run Dispatch::runOf(const Pending &pending) const
{
    switch (pending.stage) {
    case Stage::Waiting:
        return pending.mayHaveRun ? Run::Unknown : Run::NotRun;
    case Stage::Forwarding:
        // Asked after the attempt has ended, or to cut it.
        return pending.mayHaveRun || !pending.taken.empty() ? Run::Unknown : Run::NotRun;
    default:
        return Run::Unknown;
    }
}

} // namespace bluebellshift::core
