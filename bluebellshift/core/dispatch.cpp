// Arrival and sending. Each admitted request enters the queue, and then the queue
// is processed, so that a new arrival can't overtake requests of other teams that
// already wait for the same slots.
//
// Queue processing tries the lanes in the order of received service and skips
// lanes that are blocked: a team without tokens blocks only its own lanes, a
// service without slots blocks the lanes of that service. All debits of an
// attempt are taken atomically; a waiting request holds no tokens.
//
// Tokens become available without notification, so the queue is polled while
// requests wait. Notifications were rejected because the ledger mints tokens
// continuously and has no such event.
//
// Cost of an arrival: one ranking, O(log n) queue operations, and one attempt for
// each lane with waiting requests.
#include "bluebellshift/core/dispatch.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::core {

namespace {

constexpr std::size_t maxConsideredBytes = 400; // bytes of one log line
constexpr Duration slotRequestInterval =
    Duration::millis(40); // between requests for slots of different targets
constexpr double bitsPerByte = 8;
constexpr double headerBytes = 1024;                     // of the headers of a request or answer
constexpr double initialAnswerBytes = 4096;              // before the first response
constexpr std::uint64_t randomStep = 0x9e3779b97f4a7c15; // odd, so the sequence visits all values

void appendConsidered(const Ranking &ranking, const RegionId &region, std::string &text)
{
    text += text.empty() ? "" : " ";
    text += region.text() + ":";
    for (const TargetEvaluation &considered : ranking.considered) {
        if (text.size() > maxConsideredBytes) {
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

// FNV-1a. A retry must have the same content as the first request.
std::uint64_t contentDigestOf(const RequestArrived &arrived)
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
    , atMostOnce_(options_)
    , queue_(options_.maxQueueLength)
    , chooser_(hooks_.budget)
    , retryBudget_(options_.maxRetryRatio)
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
    dispatchQueue(now, effects);
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
    pending.isRateLimited = admission.isRateLimited;
    pending.runsAtMostOnce = admission.runsAtMostOnce;
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
    if (pending.runsAtMostOnce && !claimTicket(pending, now, effects))
        return;
    retryBudget_.noteRequest();
    enqueue(pending, now, effects);
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

// Returns true if the request may proceed; otherwise it has joined another one or
// has ended.
bool Dispatch::claimTicket(Pending &pending, Instant now, Effects &effects)
{
    const RequestId request = pending.arrived.request;
    const TicketNumber number = pending.ticket->number;
    switch (atMostOnce_.begin(*pending.ticket, contentDigestOf(pending.arrived), request, now)) {
    case AtMostOnceVerdict::Begin:
        return true;
    case AtMostOnceVerdict::Join:
        pending.stage = Stage::Joined;
        deadlines_.emplace(pending.deadline, request);
        return false;
    case AtMostOnceVerdict::Replay:
        writeLog(log::answerReplayed, pending, {}, effects);
        answer(request, atMostOnce_.answer(number), effects);
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
    const bool isRetired = atMostOnce_.state(*pending.ticket) == AtMostOnceState::Refused;
    refuse(request,
           { RefusalCode::RecordsFull, isRetired ? Run::NotRun : Run::Unknown,
             "this VM can keep no more outcomes; ask another VM for a ticket", 0 },
           effects);
    return false;
}

void Dispatch::enqueue(Pending &pending, Instant now, Effects &effects)
{
    pending.stage = Stage::Waiting;
    const Instant waitUntil = std::min(pending.deadline, now + options_.maxQueueWait);
    const QueueEntry entry { pending.arrived.request, pending.team, pending.arrived.service,
                             waitUntil };
    if (queue_.push(entry))
        return;
    const bool lacksTokens = pending.isRateLimited && !pending.holdsTeamToken
        && hooks_.budget.available(teamAccount(pending.team), now) < 1;
    refuseWithJoined(pending,
                     { lacksTokens ? RefusalCode::OverRate : RefusalCode::NoCapacity,
                       runOf(pending),
                       fmt::format("team \"{}\" has {} requests waiting here", pending.team.text(),
                                   options_.maxQueueLength),
                       static_cast<int>(options_.maxQueueWait.toMillis()) },
                     now, effects);
}

void Dispatch::dispatchQueue(Instant now, Effects &effects)
{
    std::set<TeamId> blockedTeams;
    std::set<ServiceId> blockedServices;
    bool hasProgress = hooks_.mayServe(now);
    while (hasProgress) {
        hasProgress = false;
        for (const LaneId &lane : queue_.lanes()) {
            if (blockedTeams.count(lane.team) > 0 || blockedServices.count(lane.service) > 0)
                continue;
            const SendResult result = trySend(*find(queue_.front(lane)), now, effects);
            if (result == SendResult::TeamBlocked)
                blockedTeams.insert(lane.team);
            if (result == SendResult::ServiceBlocked)
                blockedServices.insert(lane.service);
            hasProgress = result == SendResult::Sent || result == SendResult::Refused;
            if (result == SendResult::Sent)
                queue_.popServed(lane);
            if (hasProgress)
                break; // the lane order has changed
        }
    }
}

Dispatch::SendResult Dispatch::trySend(Pending &pending, Instant now, Effects &effects)
{
    if (!isKeyInForce(pending)) {
        refuseRevokedKey(pending, now, effects);
        return SendResult::Refused;
    }
    if (pending.runsAtMostOnce && !atMostOnce_.reserveAnswer(pending.ticket->number)) {
        queue_.remove(pending.arrived.request);
        refuseWithJoined(pending,
                         { RefusalCode::RecordsFull, Run::NotRun,
                           "this VM can keep no more outcomes; ask another VM for a ticket", 0 },
                         now, effects);
        return SendResult::Refused;
    }

    pending.waitReason = RefusalCode::NoCapacity;
    std::string considered;
    const std::uint64_t random = pending.random + randomStep * pending.attempts;
    for (const RegionId &region :
         hooks_.regionOrder(pending.arrived.service, pending.team, random, now)) {
        const auto result = tryRegion(pending, region, now, considered, effects);
        if (!result)
            continue;
        if (*result != SendResult::Sent && pending.runsAtMostOnce)
            atMostOnce_.releaseAnswer(pending.ticket->number);
        return *result;
    }
    if (pending.runsAtMostOnce)
        atMostOnce_.releaseAnswer(pending.ticket->number);
    // Other requests may use the targets that a retry excludes, so a retry does
    // not block the service.
    return pending.tried.empty() ? SendResult::ServiceBlocked : SendResult::TeamBlocked;
}

bool Dispatch::isKeyInForce(const Pending &pending) const
{
    if (pending.team.isEmpty())
        return true;
    return hooks_.authenticate(pending.arrived.keyDigest) == pending.team;
}

// Returns nullopt if the next region may be tried.
std::optional<Dispatch::SendResult> Dispatch::tryRegion(Pending &pending, const RegionId &region,
                                                        Instant now, std::string &considered,
                                                        Effects &effects)
{
    const std::uint64_t random = pending.random + randomStep * pending.attempts;
    const Ranking ranking = chooser_.rank(hooks_.targetsOf(pending.arrived.service), region,
                                          pending.tried, random, now - pending.arrivedAt, now);
    appendConsidered(ranking, region, considered);
    if (ranking.usable.empty())
        requestSlot(pending, ranking, now);

    int triedHere = 0;
    for (const Target *target : ranking.usable) {
        if (++triedHere > maxTargetsTried)
            break;
        std::vector<Debit> debits = debitsFor(pending, *target);
        pending.candidate = target->id;
        const std::optional<AccountId> missingAccount = hooks_.budget.acquireTokens(debits, now);
        if (!missingAccount) {
            pending.takenDebits = std::move(debits);
            send(pending, *target, considered, now, effects);
            return SendResult::Sent;
        }
        requestMissingTokens(pending, debits, *missingAccount, now);
        if (pending.waitReason == RefusalCode::OverRate)
            return SendResult::TeamBlocked;
        if (*missingAccount != slotAccount(target->id)
            && *missingAccount != connectionAccount(target->id))
            break; // the region or the link to it has no tokens
    }
    return std::nullopt;
}

// Requests a slot of the target with the most borrowable slots at other VMs. If
// no borrowable slots are known, it requests slots of one target after another,
// so that waiting VMs do not all compete for the same few slots.
void Dispatch::requestSlot(Pending &pending, const Ranking &ranking, Instant now)
{
    std::vector<AccountId> busySlots;
    for (const TargetEvaluation &considered : ranking.considered) {
        if (considered.exclusion == Exclusion::NoSlot)
            busySlots.push_back(slotAccount(considered.target->id));
    }
    if (busySlots.empty())
        return;
    const Duration waited = now - pending.arrivedAt;
    const auto turn =
        static_cast<std::uint64_t>(waited.toMicros() / slotRequestInterval.toMicros());
    AccountId wanted = busySlots[turn % busySlots.size()];
    double maxSpare = 0;
    for (const AccountId &account : busySlots) {
        const double spare = hooks_.budget.borrowable ? hooks_.budget.borrowable(account) : 0;
        if (spare > maxSpare) {
            maxSpare = spare;
            wanted = account;
        }
    }
    pending.missingAccount = wanted;
    hooks_.budget.want({ wanted, 1 }, now);
}

// Requests the missing tokens of all accounts at once, since requesting them one
// after another would cost a round trip each. For rate accounts it requests
// enough for all requests that wait here.
void Dispatch::requestMissingTokens(Pending &pending, const std::vector<Debit> &debits,
                                    const AccountId &missingAccount, Instant now)
{
    const AccountId team = teamAccount(pending.team);
    const bool isTeam = pending.isRateLimited && missingAccount == team;
    pending.waitReason = isTeam ? RefusalCode::OverRate : RefusalCode::NoCapacity;
    pending.missingAccount = missingAccount;
    for (const Debit &debit : debits) {
        if (hooks_.budget.available(debit.account, now) >= debit.tokens)
            continue;
        Debit wanted = debit;
        const bool isCount = debit.account == slotAccount(pending.candidate)
            || debit.account == connectionAccount(pending.candidate);
        const std::size_t waiting =
            debit.account == team ? queue_.waitingCountOf(pending.team) : queue_.size();
        if (!isCount)
            wanted.tokens *= static_cast<double>(std::max<std::size_t>(waiting, 1));
        hooks_.budget.want(wanted, now);
    }
}

std::vector<Debit> Dispatch::debitsFor(const Pending &pending, const Target &target) const
{
    std::vector<Debit> debits { { slotAccount(target.id), 1 },
                                { connectionAccount(target.id), 1 },
                                { regionAccount(target.region), 1 } };
    if (target.region != options_.region) {
        const auto seen = meanAnswerBytes_.find(pending.arrived.service);
        const double answerBytes =
            seen == meanAnswerBytes_.end() ? initialAnswerBytes : seen->second;
        const double requestBytes = headerBytes + static_cast<double>(pending.arrived.bodyBytes);
        debits.push_back(
            { linkAccount(options_.region, target.region), bitsPerByte * requestBytes });
        debits.push_back({ linkAccount(target.region, options_.region),
                           bitsPerByte * (headerBytes + answerBytes) });
    }
    if (pending.isRateLimited && !pending.holdsTeamToken)
        debits.push_back({ teamAccount(pending.team), 1 });
    return debits;
}

void Dispatch::send(Pending &pending, const Target &target, const std::string &considered,
                    Instant now, Effects &effects)
{
    if (pending.isRateLimited && !pending.holdsTeamToken) {
        pending.holdsTeamToken = true;
        pending.takenDebits.pop_back(); // retries reuse the team's token
    }
    ++pending.attempts;
    pending.stage = Stage::Forwarding;
    pending.sentAt = now;
    pending.target = target.id;
    pending.region = target.region;
    chooser_.onSent(target.id, now);
    effects.push_back(ForwardRequest { pending.arrived.request, pending.attempts, target.id,
                                       target.endpoint, hooks_.validUntil(now), pending.deadline,
                                       !pending.runsAtMostOnce });
    writeLog(log::requestRouted, pending,
             { { "region", target.region.text() },
               { "target", target.id.text() },
               { "attempt", std::to_string(pending.attempts) },
               { "waitedMs", std::to_string((now - pending.arrivedAt).toMillis()) },
               { "considered", considered } },
             effects);
}

Effects Dispatch::onTicketAsked(const TicketRequested &asked, Instant now, std::uint64_t random)
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
        effects.push_back(IssueTicket { asked.request,
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
