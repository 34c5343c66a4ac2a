// A write of ledger/members is allowed only when at least half of the voters of
// the current and of the previous version have installed the current version. An expelled
// VM that has not noticed would need more than half of the voters of some older
// version to extend its lease; that majority and this half overlap.
//
// All expelled members are merged at once: transfers between two of them are
// reported by neither, and cancel out only in their sum. The merge waits until
// every other member has closed its accounts with them, and then for one more lease.
//
// Members write before other VMs, and in the order of their names, each after a delay,
// so that one write is usually enough. Cost: O(members^2) for each step.
#include "bluebellshift/core/reclaim.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

constexpr Duration turnInterval = Duration::millis(600);
constexpr std::size_t maxWriteTurns = 3;

bool sameMembers(const MemberList &a, const MemberList &b)
{
    if (a.members.size() != b.members.size())
        return false;
    for (std::size_t i = 0; i < a.members.size(); ++i) {
        const Member &x = a.members[i];
        const Member &y = b.members[i];
        if (x.vm != y.vm || x.epoch != y.epoch || x.isExpelled != y.isExpelled)
            return false;
    }
    return true;
}

void addChange(Member &member, const AccountId &account, std::int64_t change)
{
    std::int64_t &entry = member.grantChanges[account];
    entry += change;
    if (entry == 0)
        member.grantChanges.erase(account);
}

} // namespace

bool operator<(const ClosingKey &a, const ClosingKey &b)
{
    return std::tie(a.expelled, a.expelledEpoch, a.reporter, a.reporterEpoch)
        < std::tie(b.expelled, b.expelledEpoch, b.reporter, b.reporterEpoch);
}

Reclaim::Reclaim(const CoreOptions &options, std::function<CallId()> nextCall)
    : options_(options)
    , nextCall_(std::move(nextCall))
    , retryDelay_(options.initialPlatformRetryDelay)
{
}

void Reclaim::setMembers(const MemberList &list)
{
    if (isListKnown_ && list.version <= list_.version)
        return;
    isListKnown_ = true;
    list_ = list;
    mergeableSince_ = Instant::never();
    for (auto it = closings_.begin(); it != closings_.end();) {
        bool isOpen = list.find(it->first.expelled, it->first.expelledEpoch) != nullptr;
        it = isOpen ? std::next(it) : closings_.erase(it);
    }
}

void Reclaim::onClosings(const VmId &from, std::uint64_t epoch,
                         const std::vector<Closing> &closings)
{
    for (const Closing &closing : closings) {
        const Member *member = list_.find(closing.vm, closing.epoch);
        if (member == nullptr || !member->isExpelled)
            continue; // not installed here yet, or already merged
        closings_.try_emplace(ClosingKey { closing.vm, closing.epoch, from, epoch },
                              closing.accounts);
    }
}

bool Reclaim::hasInstalled(const Voter &voter, Revision revision,
                           const Membership &membership) const
{
    if (voter.vm == options_.vm && voter.incarnation == options_.incarnation)
        return viewRevision_ >= revision;
    if (membership.isSuperseded(voter.vm, voter.incarnation))
        return true; // that incarnation has ended and sends nothing any more
    const Peer *peer = membership.find(voter.vm);
    if (peer == nullptr || peer->lastKnownAliveAt == Instant::never())
        return false;
    return peer->incarnation == voter.incarnation && peer->viewRevision >= revision;
}

bool Reclaim::isQuorumOf(const std::vector<Voter> &voters, Revision revision,
                         const Membership &membership) const
{
    std::size_t installedCount = 0;
    for (const Voter &voter : voters)
        installedCount += hasInstalled(voter, revision, membership) ? 1 : 0;
    return installedCount * 2 >= voters.size();
}

bool Reclaim::isHeldByQuorum(Revision revision, const Membership &membership) const
{
    return isQuorumOf(list_.voters(), revision, membership)
        && isQuorumOf(list_.previousVoters, revision, membership);
}

bool Reclaim::hasQuorum(const Membership &membership) const
{
    return isHeldByQuorum(list_.version, membership);
}

std::vector<Member> Reclaim::membersToExpel(const Membership &membership, Instant now) const
{
    std::vector<Member> result;
    std::vector<VmId> suspects = membership.suspects(now);
    auto isIn = [](const std::vector<VmId> &vms, const VmId &vm) {
        return std::find(vms.begin(), vms.end(), vm) != vms.end();
    };
    std::size_t active = list_.activeCount();
    for (const Member &member : list_.members) {
        if (member.isExpelled)
            continue;
        if (membership.isSuperseded(member.vm, member.incarnation)) {
            result.push_back(member);
            continue;
        }
        if (!isIn(suspects, member.vm))
            continue;
        std::size_t votes = 1;
        for (const auto &[vm, peer] : membership.peers()) {
            bool mayVote = membership.isAlive(vm, now) && list_.findActive(vm) != nullptr;
            votes += mayVote && isIn(peer.suspects, member.vm) ? 1 : 0;
        }
        if (votes * 2 > active - 1)
            result.push_back(member);
    }
    return result;
}

bool Reclaim::haveAllClosed(const Ledger &ledger) const
{
    bool isAnyExpelled = false;
    for (const Member &expelled : list_.members) {
        if (!expelled.isExpelled)
            continue;
        isAnyExpelled = true;
        for (const Member &reporter : list_.members) {
            bool isSelf = reporter.vm == options_.vm && reporter.epoch == ledger.epoch();
            if (reporter.isExpelled || isSelf)
                continue;
            ClosingKey key { expelled.vm, expelled.epoch, reporter.vm, reporter.epoch };
            if (closings_.count(key) == 0)
                return false;
        }
    }
    return isAnyExpelled;
}

bool Reclaim::mayMergeExpelled(const Membership &membership, const Ledger &ledger, Instant now)
{
    if (!ledger.isMember() || !haveAllClosed(ledger) || !hasQuorum(membership))
        return false;
    if (mergeableSince_ == Instant::never())
        mergeableSince_ = now;
    double factor = 1 + 2 * options_.clockDrift;
    Duration wait = Duration::micros(
        static_cast<std::int64_t>(options_.freshnessLease.toMicros() * factor) + 1000);
    return now - mergeableSince_ >= wait;
}

// Adds the net transfers between the expelled members and each reporter to the
// reporter's grant, and the rest of the expelled members' grants to this VM's.
void Reclaim::mergeExpelled(const Ledger &ledger, MemberList &list) const
{
    std::vector<Member> expelled;
    std::vector<Member> kept;
    for (const Member &member : list.members)
        (member.isExpelled && list_.find(member.vm, member.epoch)->isExpelled ? expelled : kept)
            .push_back(member);
    Member *self = nullptr;
    for (Member &member : kept) {
        if (member.vm == options_.vm && member.epoch == ledger.epoch())
            self = &member;
    }
    if (self == nullptr)
        return;
    std::map<ClosingKey, std::vector<ClosedAccount>> closings = closings_;
    for (const Closing &own : ledger.closings())
        closings[ClosingKey { own.vm, own.epoch, options_.vm, ledger.epoch() }] = own.accounts;
    for (const Member &expelledMember : expelled) {
        self->baseGrant += expelledMember.baseGrant;
        for (const auto &[account, change] : expelledMember.grantChanges)
            addChange(*self, account, change);
        for (Member &reporter : kept) {
            auto closing = closings.find(
                { expelledMember.vm, expelledMember.epoch, reporter.vm, reporter.epoch });
            if (closing == closings.end())
                continue;
            for (const ClosedAccount &closed : closing->second) {
                addChange(reporter, closed.account, closed.netReceived);
                addChange(*self, closed.account, -closed.netReceived);
            }
        }
    }
    list.members = std::move(kept);
}

void Reclaim::planJoins(const Membership &membership, Instant now, MemberList &list) const
{
    std::vector<Voter> joiners { Voter { options_.vm, options_.incarnation } };
    for (const auto &[vm, peer] : membership.peers()) {
        if (membership.isAlive(vm, now) && !peer.isLeaving && peer.isListed)
            joiners.push_back(Voter { vm, peer.incarnation });
    }
    for (const Voter &joiner : joiners) {
        const Member *active = list.findActive(joiner.vm);
        if (active != nullptr && active->incarnation == joiner.incarnation)
            continue;
        Member member;
        member.vm = joiner.vm;
        member.incarnation = joiner.incarnation;
        member.epoch = list_.version.number() + 1;
        member.baseGrant = list.members.empty() ? wholeShare : 0;
        list.members.push_back(member);
    }
}

MemberList Reclaim::planMembers(const Membership &membership, const Ledger &ledger, Instant now)
{
    MemberList desired = list_;
    std::vector<Member> toExpel = membersToExpel(membership, now);
    for (Member &member : desired.members) {
        for (const Member &memberToExpel : toExpel) {
            if (memberToExpel.vm == member.vm && memberToExpel.epoch == member.epoch)
                member.isExpelled = true;
        }
    }
    // The closings of a member that is about to be expelled aren't final.
    if (toExpel.empty() && mayMergeExpelled(membership, ledger, now))
        mergeExpelled(ledger, desired);
    planJoins(membership, now, desired);
    desired.previousVoters = list_.voters();
    return desired;
}

Duration Reclaim::turnDelay(const Membership &membership, Instant now) const
{
    const Member *self = list_.findActive(options_.vm);
    bool isMember = self != nullptr && self->incarnation == options_.incarnation;
    std::size_t precedingCount = 0;
    for (const auto &[vm, peer] : membership.peers()) {
        if (!membership.isAlive(vm, now) || peer.isLeaving)
            continue;
        const Member *other = list_.findActive(vm);
        bool isOtherMember = other != nullptr && other->incarnation == peer.incarnation;
        bool precedesSelf = isMember == isOtherMember ? vm < options_.vm : isOtherMember;
        precedingCount += precedesSelf ? 1 : 0;
    }
    return turnInterval * static_cast<std::int64_t>(std::min(precedingCount, maxWriteTurns));
}

std::optional<Effect> Reclaim::step(const Membership &membership, const Ledger &ledger, Instant now,
                                    std::uint64_t random)
{
    if (!isListKnown_ || call_.has_value() || now < nextCallAt_)
        return std::nullopt;
    if (needsRead_) {
        call_ = nextCall_();
        return ReadObject { *call_, kind::ledger, membersName };
    }
    MemberList desired = planMembers(membership, ledger, now);
    if (sameMembers(desired, list_) || !hasQuorum(membership)) {
        changeNeededSince_ = Instant::never();
        return std::nullopt;
    }
    if (changeNeededSince_ == Instant::never())
        changeNeededSince_ = now;
    if (now - changeNeededSince_ < turnDelay(membership, now))
        return std::nullopt;
    call_ = nextCall_();
    return WriteObject { *call_, kind::ledger, membersName, list_.version, encodeMembers(desired) };
}

// Delays the next call by a random part of the retry delay, which doubles with each
// failure.
void Reclaim::backOff(Instant now, std::uint64_t random)
{
    std::int64_t delayMicros = retryDelay_.toMicros();
    nextCallAt_ = now
        + Duration::micros(delayMicros / 2 + static_cast<std::int64_t>(random % (delayMicros / 2)));
    retryDelay_ = std::min(retryDelay_ * 2, options_.maxPlatformRetryDelay);
}

bool Reclaim::onReply(const PlatformReplied &reply, Instant now, std::uint64_t random,
                      std::optional<Object> *object)
{
    if (!call_.has_value() || reply.call != *call_)
        return false;
    call_.reset();
    changeNeededSince_ = Instant::never();
    switch (reply.outcome) {
    case PlatformOutcome::Done:
        needsRead_ = false;
        retryDelay_ = options_.initialPlatformRetryDelay;
        *object = reply.object;
        break;
    case PlatformOutcome::Missing:
        needsRead_ = false;
        backOff(now, random);
        break;
    case PlatformOutcome::Conflict:
        needsRead_ = true;
        break;
    case PlatformOutcome::Unknown:
    case PlatformOutcome::Unreachable:
        needsRead_ = true;
        backOff(now, random);
        break;
    }
    return true;
}

} // namespace bluebellshift::core
