// Combines membership, freshness, ledger and reclaim: each heartbeat is passed to all
// four, and one timer drives them.
#include "bluebellshift/core/fleet.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

// Checking all accounts costs more than most events, so a busy VM checks them once
// for many events.
constexpr Duration borrowInterval = Duration::millis(5);
constexpr Duration waitingBorrowInterval = Duration::millis(25); // while a request waits
constexpr Duration idleInterval = Duration::millis(100);

int distanceTo(const CoreOptions &options, const Vm &vm)
{
    if (vm.failureDomain == options.failureDomain)
        return 0;
    return vm.region == options.region ? 1 : 2;
}

} // namespace

Fleet::Fleet(const CoreOptions &options, std::function<CallId()> nextCall)
    : options_(options)
    , freshness_(options)
    , membership_(options)
    , ledger_(options)
    , reclaim_(options, std::move(nextCall))
{
}

void Fleet::setLimits(const std::vector<AccountLimit> &limits, Instant now)
{
    ledger_.setLimits(limits, now);
}

absl::Status Fleet::onViewInstalled(const FleetView &view, Instant now, Effects *effects)
{
    MemberList list;
    if (view.members.has_value() && !view.members->deleted) {
        absl::StatusOr<MemberList> decoded =
            decodeMembers(view.members->value, view.members->version);
        if (!decoded.ok())
            return decoded.status();
        list = *std::move(decoded);
    }
    if (view.revision > freshness_.revision())
        nextHeartbeatAt_ = Instant::never(); // propagates the revision without delay
    storeRegion_ = view.storeRegion;
    membership_.setVms(view.vms, now);
    freshness_.install(view.revision);
    freshness_.confirm(view.revision, view.asOf);
    reclaim_.setViewRevision(freshness_.revision());
    installMembers(list, now, effects);
    updatePeers(now);
    return absl::OkStatus();
}

void Fleet::logExpulsions(const MemberList &before, const MemberList &after, Effects *effects)
{
    auto write = [effects](const LogEvent &event, const Member &member) {
        std::vector<LogField> fields { { "vm", member.vm.text() },
                                       { "epoch", std::to_string(member.epoch) } };
        effects->push_back(WriteLog { LogRecord { event, std::move(fields) } });
    };
    for (const Member &member : after.members) {
        const Member *known = before.find(member.vm, member.epoch);
        if (member.isExpelled && known != nullptr && !known->isExpelled)
            write(log::memberExpelled, member);
    }
    for (const Member &member : before.members) {
        if (member.isExpelled && after.find(member.vm, member.epoch) == nullptr)
            write(log::sharesReclaimed, member);
    }
}

void Fleet::installMembers(const MemberList &list, Instant now, Effects *effects)
{
    std::uint64_t epochBefore = ledger_.epoch();
    const MemberList before = reclaim_.members();
    reclaim_.setMembers(list);
    const MemberList &newest = reclaim_.members();
    logExpulsions(before, newest, effects);
    ledger_.setMembers(newest, now);
    std::vector<VmId> members;
    std::vector<Vm> vms;
    for (const Voter &voter : newest.voters())
        members.push_back(voter.vm);
    membership_.setMembers(members);
    for (const auto &[id, peer] : membership_.peers())
        vms.push_back(peer.vm);
    freshness_.setVoters(newest, vms, storeRegion_);
    if (ledger_.epoch() == epochBefore)
        return;
    LogEvent event = ledger_.isMember() ? log::ledgerJoined : log::selfExpelled;
    effects->push_back(WriteLog {
        LogRecord { event, { { "version", std::to_string(newest.version.number()) } } } });
}

void Fleet::onViewConfirmed(Revision revision, Instant asOf)
{
    freshness_.confirm(revision, asOf);
}

void Fleet::onPlatformFailed(Instant begunAt)
{
    if (!freshness_.isPlatformFailing())
        nextHeartbeatAt_ = Instant::never(); // peers need this report to extend their leases
    freshness_.platformFailed(begunAt);
}

void Fleet::onPlatformAnswered()
{
    freshness_.platformAnswered();
}

bool Fleet::onPlatformReplied(const PlatformReplied &reply, Instant now, std::uint64_t random,
                              Effects *effects)
{
    std::optional<Object> object;
    if (!reclaim_.onReply(reply, now, random, &object))
        return false;
    if (object.has_value()) {
        absl::StatusOr<MemberList> list = decodeMembers(object->value, object->version);
        if (list.ok())
            installMembers(*list, now, effects);
    }
    stepReclaim(now, random, effects);
    return true;
}

Effects Fleet::onHeartbeat(const VmId &from, Incarnation incarnation, const Heartbeat &heartbeat,
                           Instant now)
{
    Effects effects;
    std::optional<Instant> sentAfter = membership_.onHeartbeat(from, incarnation, heartbeat, now);
    updatePeers(now);
    ledger_.receiveCredits(from, heartbeat.senderEpoch, heartbeat.receiverEpoch, heartbeat.credits,
                           now);
    ledger_.receiveSpareHints(from, heartbeat.spareHints);
    reclaim_.onClosings(from, heartbeat.senderEpoch, heartbeat.closings);
    if (sentAfter.has_value()) {
        FreshnessReport report;
        report.sentAfter = *sentAfter;
        report.revision = heartbeat.viewRevision;
        report.viewAge = heartbeat.viewAge;
        report.platformFailing = heartbeat.platformFailing;
        report.platformFailureAge = heartbeat.platformFailureAge;
        freshness_.recordPeerReport(Voter { from, incarnation }, report);
        ledger_.acknowledge(from, heartbeat.echoedSequence);
    }
    return effects;
}

Effects Fleet::onBorrowRequest(const VmId &from, Incarnation incarnation,
                               const BorrowRequest &request, Instant now)
{
    Effects effects;
    const Peer *peer = membership_.find(from);
    if (peer == nullptr || peer->incarnation != incarnation)
        return effects;
    BorrowReply reply;
    reply.spareHints = ledger_.lend(from, request.amounts, now, &reply.tokenLoans);
    reply.number = request.number;
    reply.sequence = membership_.nextSequence(from, now);
    reply.credits = ledger_.unacknowledgedCredits(from, reply.sequence);
    reply.senderEpoch = ledger_.epoch();
    reply.receiverEpoch = ledger_.epochOf(from);
    effects.push_back(SendPeer { from, std::move(reply) });
    return effects;
}

Effects Fleet::onBorrowReply(const VmId &from, Incarnation incarnation, const BorrowReply &reply,
                             Instant now)
{
    membership_.onSequence(from, incarnation, reply.sequence, now);
    ledger_.receiveCredits(from, reply.senderEpoch, reply.receiverEpoch, reply.credits, now);
    ledger_.receiveTokenLoans(from, reply.senderEpoch, reply.receiverEpoch, reply.number,
                              reply.tokenLoans, now);
    ledger_.receiveSpareHints(from, reply.spareHints);
    return flush(now);
}

void Fleet::onPeerLost(const VmId &vm)
{
    membership_.onPeerLost(vm);
    ledger_.forgetPeer(vm);
}

void Fleet::updatePeers(Instant now)
{
    std::vector<LedgerPeer> ledgerPeers;
    for (const auto &[id, peer] : membership_.peers()) {
        LedgerPeer ledgerPeer;
        ledgerPeer.vm = id;
        ledgerPeer.region = peer.vm.region;
        ledgerPeer.distance = distanceTo(options_, peer.vm);
        ledgerPeer.isAlive = membership_.isAlive(id, now);
        ledgerPeer.isLeaving = peer.isLeaving || peer.vm.isLeaving;
        ledgerPeer.viewRevision = peer.viewRevision;
        ledgerPeers.push_back(ledgerPeer);
    }
    ledger_.setPeers(ledgerPeers);
}

Heartbeat Fleet::buildHeartbeat(const VmId &to, Instant now)
{
    Heartbeat heartbeat;
    heartbeat.sequence = membership_.nextSequence(to, now);
    const Peer *peer = membership_.find(to);
    heartbeat.echoedSequence = peer->heardSequence;
    heartbeat.echoDelay = peer->heardSequence == 0 ? Duration() : now - peer->heardAt;
    heartbeat.viewRevision = freshness_.revision();
    heartbeat.viewAge = freshness_.viewAge(now);
    heartbeat.platformFailing = freshness_.isPlatformFailing();
    heartbeat.platformFailureAge = freshness_.platformFailureAge(now);
    heartbeat.isReady = mayServe(now);
    heartbeat.isLeaving = isLeaving_;
    heartbeat.requestsInFlight = requestsInFlight_;
    heartbeat.senderEpoch = ledger_.epoch();
    heartbeat.receiverEpoch = ledger_.epochOf(to);
    heartbeat.credits = ledger_.unacknowledgedCredits(to, heartbeat.sequence);
    heartbeat.closings = ledger_.unacknowledgedClosings(to, heartbeat.sequence);
    heartbeat.spareHints = ledger_.changedSpareHints(to, now);
    heartbeat.suspects = membership_.suspects(now);
    return heartbeat;
}

void Fleet::sendHeartbeats(Instant now, Effects *effects)
{
    if (now < nextHeartbeatAt_)
        return;
    nextHeartbeatAt_ = now + options_.heartbeatInterval;
    std::vector<VmId> ids;
    for (const auto &[id, peer] : membership_.peers())
        ids.push_back(id);
    for (const VmId &id : ids)
        effects->push_back(SendPeer { id, buildHeartbeat(id, now) });
}

void Fleet::stepReclaim(Instant now, std::uint64_t random, Effects *effects)
{
    if (isLeaving_)
        return;
    std::optional<Effect> effect = reclaim_.step(membership_, ledger_, now, random);
    if (effect.has_value())
        effects->push_back(*std::move(effect));
}

Effects Fleet::onTimer(Instant now, std::uint64_t random)
{
    Effects effects;
    updatePeers(now);
    ledger_.redistributeShares(now);
    sendHeartbeats(now, &effects);
    stepReclaim(now, random, &effects);
    Effects requests = flush(now);
    effects.insert(effects.end(), requests.begin(), requests.end());
    effects.push_back(SetTimer { std::min(nextHeartbeatAt_, now + idleInterval) });
    return effects;
}

Effects Fleet::flush(Instant now)
{
    Effects effects;
    if (now < nextBorrowAt_) {
        if (ledger_.isAnyWaiting())
            effects.push_back(SetTimer { nextBorrowAt_ });
        return effects;
    }
    nextBorrowAt_ = now + borrowInterval;
    for (LedgerRequest &request : ledger_.dueRequests(now))
        effects.push_back(SendPeer { request.to, std::move(request.request) });
    if (ledger_.isAnyWaiting())
        effects.push_back(SetTimer { now + waitingBorrowInterval });
    return effects;
}

Effects Fleet::beginLeaving(Instant now)
{
    isLeaving_ = true;
    ledger_.setLeaving();
    ledger_.redistributeShares(now);
    nextHeartbeatAt_ = now;
    Effects effects;
    sendHeartbeats(now, &effects);
    return effects;
}

BudgetHooks Fleet::hooks()
{
    BudgetHooks hooks;
    hooks.acquireTokens = [this](const std::vector<Debit> &debits,
                                 Instant now) -> std::optional<AccountId> {
        if (debits.empty() || mayServe(now))
            return ledger_.acquireTokens(debits, now);
        return debits.front().account;
    };
    hooks.releaseTokens = [this](const Debit &debit, Instant now) {
        ledger_.releaseTokens(debit, now);
    };
    hooks.want = [this](const Debit &debit, Instant now) { ledger_.want(debit, now); };
    hooks.available = [this](const AccountId &account, Instant now) {
        return ledger_.available(account, now);
    };
    hooks.borrowable = [this](const AccountId &account) { return ledger_.borrowable(account); };
    return hooks;
}

bool Fleet::mayServe(Instant now) const
{
    return ledger_.isMember() && freshness_.isFresh(now);
}

Instant Fleet::validUntil(Instant now) const
{
    return ledger_.isMember() ? freshness_.freshUntil(now) : Instant::never();
}

std::vector<VmId> Fleet::serving(Instant now) const
{
    std::vector<VmId> result = membership_.serving(now);
    if (mayServe(now) && !isLeaving_)
        result.push_back(options_.vm);
    std::sort(result.begin(), result.end());
    return result;
}

bool Fleet::hasAcknowledged(const VmId &vm, Revision revision) const
{
    const Peer *peer = membership_.find(vm);
    return peer != nullptr && peer->viewRevision >= revision;
}

bool Fleet::isHeldByQuorum(Revision revision) const
{
    return reclaim_.isHeldByQuorum(revision, membership_);
}

} // namespace bluebellshift::core
