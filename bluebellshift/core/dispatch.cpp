// Arrival and sending. A request that passes admission always enters the queue
// and the queue is then pumped, so that a new arrival can't pass those of other
// teams that already wait for the same slots.
//
// One pump tries the lanes in the order of service received and stops at a lane
// that lacks something: a team without tokens stops only its own lanes, a
// service without slots stops the lanes of that service. All debits of one
// attempt are taken together or not at all; a request that waits holds nothing.
//
// Tokens come back without notice while a queue waits, so it is polled. Being
// told of each returned token was weighed; the ledger mints continuously and has
// no such event.
//
// Cost of an arrival: one ranking, O(log n) queue work, and one attempt for each
// lane that waits.
#include "bluebellshift/core/dispatch.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr std::size_t consideredTextMost = 400;         // bytes of one log line
constexpr Duration wantInterval = Duration::millis(40); // for a slot of one target
constexpr double bitsPerByte = 8;
constexpr double overheadBytes = 1024;                   // of the headers of a request or answer
constexpr double firstAnswerBytes = 4096;                // before any answer was seen
constexpr std::uint64_t randomStep = 0x9e3779b97f4a7c15; // odd, so that it visits all values

void appendConsidered(const Ranking &ranking, const RegionId &region, std::string &text)
{
    text += text.empty() ? "" : " ";
    text += region.text() + ":";
    for (const TargetEvaluation &considered : ranking.considered) {
        if (text.size() > consideredTextMost) {
            text += "...";
            return;
        }
        if (considered.exclusion == Exclusion::None)
            text += fmt::format("{}={:.2f},", considered.target->id.text(), considered.score);
        else
            text +=
                fmt::format("{}={},", considered.target->id.text(), toText(considered.exclusion));
    }
}

// FNV-1a; the content of a retry must be that of the first request.
std::uint64_t contentOf(const RequestArrived &arrived)
{
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t digest = 0xcbf29ce484222325;
    for (const char c : arrived.method + " " + arrived.path)
        digest = (digest ^ static_cast<unsigned char>(c)) * prime;
    digest = (digest ^ arrived.contentDigest) * prime;
    return (digest ^ arrived.bodyBytes) * prime;
}

} // namespace

Dispatch::Dispatch(const CoreOptions &options, DispatchHooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
    , admission_(options_, hooks_)
    , tickets_(options_)
    , once_(options_)
    , queue_(options_.queueLengthMost)
    , chooser_(hooks_.budget)
    , retryBudget_(options_.retryRatioMost)
    , drain_(options_)
{
}

Effects Dispatch::onRequest(const RequestArrived &arrived, Instant now, std::uint64_t random)
{
    Effects effects;
    if (pending_.count(arrived.request) > 0)
        return effects;
    expire(now, effects);
    admit(arrived, now, random, effects);
    pump(now, effects);
    finishEvent(now, effects);
    return effects;
}

void Dispatch::admit(const RequestArrived &arrived, Instant now, std::uint64_t random,
                     Effects &effects)
{
    const AdmissionResult admission = admission_.check(arrived, tickets_, now);
    Pending &pending = pending_[arrived.request];
    pending.arrived = arrived;
    pending.random = random;
    pending.team = admission.team;
    pending.paysRate = admission.paysRate;
    pending.runsOnce = admission.runsOnce;
    pending.ticket = admission.ticket;
    pending.arrivedAt = now;
    pending.deadline = now + arrived.timeLeft;

    if (drain_.state() == DrainState::Exited) {
        const Run run = arrived.ticket.empty() ? Run::NotRun : Run::Unknown;
        return refuse(arrived.request, { RefusalCode::Leaving, run, "this VM has left", 0 },
                      effects);
    }
    if (admission.refusal)
        return refuse(arrived.request, *admission.refusal, effects);
    if (arrived.timeLeft == Duration())
        pending.deadline = now + admission.service->requestTimeout;
    if (pending.deadline <= now)
        return refuse(arrived.request,
                      { RefusalCode::DeadlinePassed,
                        arrived.ticket.empty() ? Run::NotRun : Run::Unknown,
                        "the request's deadline passed before it arrived", 0 },
                      effects);
    if (admission.relayTo)
        return relay(pending, *admission.relayTo, effects);
    if (pending.runsOnce && !beginOnce(pending, now, effects))
        return;
    retryBudget_.noteRequest();
    wait(pending, now, effects);
}

void Dispatch::relay(Pending &pending, const VmId &home, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    pending.stage = Stage::Relayed;
    pending.home = home;
    deadlines_.emplace(pending.deadline, request);
    effects.push_back(RelayToHome { request, home, pending.team, pending.deadline });
    writeLog(log::requestRelayed, pending, { { "home", home.text() } }, effects);
}

// Returns whether the request may go on; otherwise it has joined or is ended.
bool Dispatch::beginOnce(Pending &pending, Instant now, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    const TicketNumber number = pending.ticket->number;
    switch (once_.begin(*pending.ticket, contentOf(pending.arrived), request, now)) {
    case AtMostOnceVerdict::Begin:
        return true;
    case AtMostOnceVerdict::Join:
        pending.stage = Stage::Joined;
        deadlines_.emplace(pending.deadline, request);
        return false;
    case AtMostOnceVerdict::Replay:
        writeLog(log::answerReplayed, pending, {}, effects);
        answer(request, once_.answer(number), effects);
        return false;
    case AtMostOnceVerdict::TooManyWaiting:
        refuse(request,
               { RefusalCode::TicketInProgress, Run::Unknown,
                 "the ticket's request is in progress and enough others wait for it", 0 },
               effects);
        return false;
    case AtMostOnceVerdict::Unknown:
        refuse(request,
               { RefusalCode::OutcomeUnknown, Run::Unknown,
                 "the ticket's request was sent and no answer was kept", 0 },
               effects);
        return false;
    case AtMostOnceVerdict::Expired:
        refuse(request,
               { RefusalCode::TicketExpired, Run::NotRun,
                 "the ticket has expired and was never used", 0 },
               effects);
        return false;
    case AtMostOnceVerdict::ContentMismatch:
        refuse(request,
               { RefusalCode::MalformedRequest, Run::Unknown,
                 "the ticket was used for another request", 0 },
               effects);
        return false;
    case AtMostOnceVerdict::Refused:
        refuse(request,
               { RefusalCode::TicketExpired, Run::NotRun,
                 "the ticket was refused as not run; ask for a new one", 0 },
               effects);
        return false;
    case AtMostOnceVerdict::Full:
        break;
    }
    const bool isRetired = once_.state(*pending.ticket) == AtMostOnceState::Refused;
    refuse(request,
           { RefusalCode::RecordsFull, isRetired ? Run::NotRun : Run::Unknown,
             "this VM can keep no more outcomes; ask another VM for a ticket", 0 },
           effects);
    return false;
}

void Dispatch::wait(Pending &pending, Instant now, Effects &effects)
{
    pending.stage = Stage::Waiting;
    const Instant waitUntil = std::min(pending.deadline, now + options_.queueWaitMost);
    const QueueEntry entry { pending.arrived.request, pending.team, pending.arrived.service,
                             waitUntil };
    if (queue_.push(entry))
        return;
    const bool lacksTokens = pending.paysRate && !pending.hasPaid
        && hooks_.budget.available(teamAccount(pending.team), now) < 1;
    refuseRun(pending,
              { lacksTokens ? RefusalCode::OverRate : RefusalCode::NoCapacity, runOf(pending),
                fmt::format("team \"{}\" has {} requests waiting here", pending.team.text(),
                            options_.queueLengthMost),
                static_cast<int>(options_.queueWaitMost.toMillis()) },
              now, effects);
}

void Dispatch::pump(Instant now, Effects &effects)
{
    std::set<TeamId> shortTeams;
    std::set<ServiceId> shortServices;
    bool hasMoved = hooks_.mayServe(now);
    while (hasMoved) {
        hasMoved = false;
        for (const LaneId &lane : queue_.lanes()) {
            if (shortTeams.count(lane.team) > 0 || shortServices.count(lane.service) > 0)
                continue;
            const Sending sending = trySend(*find(queue_.front(lane)), now, effects);
            if (sending == Sending::TeamShort)
                shortTeams.insert(lane.team);
            if (sending == Sending::ServiceShort)
                shortServices.insert(lane.service);
            hasMoved = sending == Sending::Sent || sending == Sending::Refused;
            if (sending == Sending::Sent)
                queue_.popServed(lane);
            if (hasMoved)
                break; // the order of the lanes has changed
        }
    }
}

Dispatch::Sending Dispatch::trySend(Pending &pending, Instant now, Effects &effects)
{
    if (!isKeyInForce(pending)) {
        refuseWithdrawn(pending, now, effects);
        return Sending::Refused;
    }
    if (pending.runsOnce && !once_.reserveAnswer(pending.ticket->number)) {
        queue_.remove(pending.arrived.request);
        refuseRun(pending,
                  { RefusalCode::RecordsFull, Run::NotRun,
                    "this VM can keep no more outcomes; ask another VM for a ticket", 0 },
                  now, effects);
        return Sending::Refused;
    }

    pending.shortage = RefusalCode::NoCapacity;
    std::string considered;
    const std::uint64_t random = pending.random + randomStep * pending.attempts;
    for (const RegionId &region :
         hooks_.regionOrder(pending.arrived.service, pending.team, random, now)) {
        const auto sending = tryRegion(pending, region, now, considered, effects);
        if (!sending)
            continue;
        if (*sending != Sending::Sent && pending.runsOnce)
            once_.releaseAnswer(pending.ticket->number);
        return *sending;
    }
    if (pending.runsOnce)
        once_.releaseAnswer(pending.ticket->number);
    // A retry lacks targets that others may use.
    return pending.tried.empty() ? Sending::ServiceShort : Sending::TeamShort;
}

bool Dispatch::isKeyInForce(const Pending &pending) const
{
    if (pending.team.isEmpty())
        return true;
    return hooks_.authenticate(pending.arrived.keyDigest) == pending.team;
}

// Nothing when the next region may be tried.
std::optional<Dispatch::Sending> Dispatch::tryRegion(Pending &pending, const RegionId &region,
                                                     Instant now, std::string &considered,
                                                     Effects &effects)
{
    const std::uint64_t random = pending.random + randomStep * pending.attempts;
    const Ranking ranking = chooser_.rank(hooks_.targetsOf(pending.arrived.service), region,
                                          pending.tried, random, now - pending.arrivedAt, now);
    appendConsidered(ranking, region, considered);
    if (ranking.usable.empty())
        wantSlot(pending, ranking, now);

    int triedHere = 0;
    for (const Target *target : ranking.usable) {
        if (++triedHere > targetsTriedMost)
            break;
        std::vector<Debit> debits = debitsOf(pending, *target);
        pending.candidate = target->id;
        const std::optional<AccountId> lacking = hooks_.budget.takeAll(debits, now);
        if (!lacking) {
            pending.taken = std::move(debits);
            send(pending, *target, considered, now, effects);
            return Sending::Sent;
        }
        noteShortage(pending, debits, *lacking, now);
        if (pending.shortage == RefusalCode::OverRate)
            return Sending::TeamShort;
        if (*lacking != slotAccount(target->id) && *lacking != connectionAccount(target->id))
            break; // the region or the way to it is short
    }
    return std::nullopt;
}

// Asks for a slot of the target of which other VMs have most to spare. Where
// nothing is known of any, each try asks for another target, so that VMs which
// wait do not all ask for the same few slots.
void Dispatch::wantSlot(Pending &pending, const Ranking &ranking, Instant now)
{
    std::vector<AccountId> lacking;
    for (const TargetEvaluation &considered : ranking.considered) {
        if (considered.exclusion == Exclusion::NoSlot)
            lacking.push_back(slotAccount(considered.target->id));
    }
    if (lacking.empty())
        return;
    const Duration waited = now - pending.arrivedAt;
    const auto turn = static_cast<std::uint64_t>(waited.toMicros() / wantInterval.toMicros());
    AccountId wanted = lacking[turn % lacking.size()];
    double most = 0;
    for (const AccountId &account : lacking) {
        const double spare = hooks_.budget.borrowable ? hooks_.budget.borrowable(account) : 0;
        if (spare > most) {
            most = spare;
            wanted = account;
        }
    }
    pending.lacking = wanted;
    hooks_.budget.want({ wanted, 1 }, now);
}

// Asks for all that the request lacks, not for the first account alone: one
// after another, each would cost a round trip. Of a rate, what all that wait
// here will need is asked for at once.
void Dispatch::noteShortage(Pending &pending, const std::vector<Debit> &debits,
                            const AccountId &lacking, Instant now)
{
    const AccountId team = teamAccount(pending.team);
    const bool isTeam = pending.paysRate && lacking == team;
    pending.shortage = isTeam ? RefusalCode::OverRate : RefusalCode::NoCapacity;
    pending.lacking = lacking;
    for (const Debit &debit : debits) {
        if (hooks_.budget.available(debit.account, now) >= debit.tokens)
            continue;
        Debit wanted = debit;
        const bool isCount = debit.account == slotAccount(pending.candidate)
            || debit.account == connectionAccount(pending.candidate);
        const std::size_t waiting =
            debit.account == team ? queue_.waitingOf(pending.team) : queue_.size();
        if (!isCount)
            wanted.tokens *= static_cast<double>(std::max<std::size_t>(waiting, 1));
        hooks_.budget.want(wanted, now);
    }
}

std::vector<Debit> Dispatch::debitsOf(const Pending &pending, const Target &target) const
{
    std::vector<Debit> debits { { slotAccount(target.id), 1 },
                                { connectionAccount(target.id), 1 },
                                { regionAccount(target.region), 1 } };
    if (target.region != options_.region) {
        const auto seen = answerBytes_.find(pending.arrived.service);
        const double answerBytes = seen == answerBytes_.end() ? firstAnswerBytes : seen->second;
        const double requestBytes = overheadBytes + static_cast<double>(pending.arrived.bodyBytes);
        debits.push_back(
            { linkAccount(options_.region, target.region), bitsPerByte * requestBytes });
        debits.push_back({ linkAccount(target.region, options_.region),
                           bitsPerByte * (overheadBytes + answerBytes) });
    }
    if (pending.paysRate && !pending.hasPaid)
        debits.push_back({ teamAccount(pending.team), 1 });
    return debits;
}

void Dispatch::send(Pending &pending, const Target &target, const std::string &considered,
                    Instant now, Effects &effects)
{
    if (pending.paysRate && !pending.hasPaid) {
        pending.hasPaid = true;
        pending.taken.pop_back(); // the team's token stays with the request
    }
    ++pending.attempts;
    pending.stage = Stage::Forwarding;
    pending.sentAt = now;
    pending.target = target.id;
    pending.region = target.region;
    chooser_.onSent(target.id, now);
    effects.push_back(ForwardRequest { pending.arrived.request, pending.attempts, target.id,
                                       target.endpoint, hooks_.validUntil(now), pending.deadline,
                                       !pending.runsOnce });
    writeLog(log::requestRouted, pending,
             { { "region", target.region.text() },
               { "target", target.id.text() },
               { "attempt", std::to_string(pending.attempts) },
               { "waitedMs", std::to_string((now - pending.arrivedAt).toMillis()) },
               { "considered", considered } },
             effects);
}

Effects Dispatch::onTicketAsked(const TicketAsked &asked, Instant now, std::uint64_t random)
{
    Effects effects;
    TeamId team;
    std::optional<Refusal> refusal = admission_.checkTicketAsked(asked, team, now);
    if (drain_.state() != DrainState::Serving)
        refusal = Refusal { RefusalCode::Leaving, Run::NotRun,
                            "this VM is leaving; ask another for a ticket", 0 };
    if (refusal)
        refuse(asked.request, *refusal, effects);
    else
        effects.push_back(GiveTicket { asked.request,
                                       tickets_.issue(team, asked.service, now, random),
                                       options_.ticketValidFor });
    finishEvent(now, effects);
    return effects;
}

void Dispatch::writeLog(const LogEvent &event, const Pending &pending, std::vector<LogField> fields,
                        Effects &effects) const
{
    LogRecord record { event,
                       { { "request", std::to_string(pending.arrived.request.number()) },
                         { "service", pending.arrived.service.text() },
                         { "team", pending.team.text() } } };
    for (LogField &field : fields)
        record.fields.push_back(std::move(field));
    effects.push_back(WriteLog { std::move(record) });
}

Dispatch::Pending *Dispatch::find(RequestId request)
{
    const auto found = pending_.find(request);
    return found == pending_.end() ? nullptr : &found->second;
}

} // namespace bluebellshift::core
