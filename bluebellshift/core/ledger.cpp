// Tokens are integers in micro-tokens and shares in parts per billion; a minting
// keeps its remainder, so that nothing drifts. Rates are lowered by the greatest
// clock drift, since a window is measured on no VM's clock in particular.
//
// A transfer debits the giver and raises a total that only grows; the receiver
// credits the growth of that total. Tokens never travel without the share that
// makes room for them (tokens <= share * burst), which keeps the tokens held and
// under way within one burst. A total is repeated until the peer has echoed a
// sequence number from which on every message carried it.
//
// Who lends how much is policy and uses floating point; it can't break the
// bound. Cost: O(accounts) for each heartbeat, O(peers log peers) for each
// request to borrow.
#include "bluebellshift/core/ledger.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::core {

namespace {

__extension__ using Wide = __int128;

constexpr std::int64_t microsPerToken = 1'000'000;
// A count's share may miss a whole token by rounding; far below one token for
// any number of VMs.
constexpr std::int64_t countTolerance = 100; // micro-tokens
constexpr Duration longestMinting = Duration::seconds(3600);

constexpr double demandMemory = 1.0;    // seconds
constexpr double demandMargin = 1.15;   // share kept above the smoothed demand
constexpr double tokenReserve = 0.15;   // seconds of demand that are not lent
constexpr double tokenLookahead = 0.25; // seconds of demand that are borrowed ahead
constexpr Duration smoothingStep = Duration::millis(100);
constexpr Duration aheadInterval = Duration::millis(500);
constexpr Duration spreadInterval = Duration::seconds(1);
constexpr Duration askAgainAfter = Duration::millis(100);
constexpr Duration replyAwaited = Duration::millis(200);
constexpr std::size_t askedAtOnce = 4;
constexpr std::size_t hintsInMessage = 8;
constexpr std::int64_t hintStep = wholeShare / 100;
constexpr double spreadPieceTokens = 2; // smaller pieces of a burst serve nobody

std::int64_t microTokensOf(double tokens)
{
    return static_cast<std::int64_t>(std::ceil(tokens * microsPerToken - 1e-6));
}

// Share that has room for `tokens`.
std::int64_t shareFor(std::int64_t tokens, std::int64_t burst)
{
    if (burst <= 0)
        return wholeShare;
    Wide share = (static_cast<Wide>(tokens) * wholeShare + burst - 1) / burst;
    return static_cast<std::int64_t>(std::min<Wide>(share, wholeShare));
}

// The share that stands for a whole number of a count's tokens.
std::int64_t countShare(std::int64_t tokens, std::int64_t burst)
{
    return static_cast<std::int64_t>((static_cast<Wide>(tokens) * wholeShare + burst / 2) / burst);
}

} // namespace

Ledger::Ledger(const CoreOptions &options)
    : options_(options)
{
}

// ---- Limits and membership

Ledger::Account &Ledger::account(const AccountId &id)
{
    auto [it, isNew] = accounts_.try_emplace(id);
    if (isNew) {
        const Member *self = list_.find(options_.vm, epoch_);
        it->second.grant = self == nullptr ? 0 : self->grant(id);
        recompute(it->second);
    }
    return it->second;
}

const Ledger::Account *Ledger::findAccount(const AccountId &id) const
{
    auto it = accounts_.find(id);
    return it == accounts_.end() ? nullptr : &it->second;
}

void Ledger::setLimits(const std::vector<AccountLimit> &limits, Instant now)
{
    for (auto &[id, account] : accounts_) {
        settle(account, now);
        account.hasLimit = false;
    }
    for (const AccountLimit &limit : limits) {
        Account &account = this->account(limit.account);
        settle(account, now);
        account.hasLimit = true;
        account.isCount = limit.isCount();
        double slowest = limit.ratePerSecond * (1 - options_.clockDrift);
        account.rate = static_cast<std::int64_t>(std::floor(slowest * microsPerToken));
        account.burst = static_cast<std::int64_t>(std::floor(limit.burst * microsPerToken));
        account.tokens = std::min(account.tokens, capacity(account, account.share));
    }
}

void Ledger::setMembers(const MemberList &list, Instant now)
{
    if (list.version < list_.version)
        return;
    for (auto &[id, account] : accounts_)
        settle(account, now);
    list_ = list;
    const Member *self = list.findActive(options_.vm);
    bool isMember = self != nullptr && self->incarnation == options_.incarnation;
    std::uint64_t epoch = isMember ? self->epoch : 0;
    bool isNewMembership = epoch != epoch_;
    if (isNewMembership)
        resetShares(now);
    epoch_ = epoch;
    dropEdges(list);
    for (auto &[id, account] : accounts_) {
        account.grant = isMember ? self->grant(id) : 0;
        recompute(account);
    }
    for (auto &[vm, peer] : peers_) {
        const Member *member = list.findActive(vm);
        std::uint64_t peerEpoch = member == nullptr ? 0 : member->epoch;
        if (peerEpoch != peer.epoch || isNewMembership) {
            peer.since = list.version;
            forgetPeer(vm);
        }
        peer.epoch = peerEpoch;
        peer.closingsSequence = 0;
        peer.areClosingsAcknowledged = false;
    }
}

void Ledger::resetShares(Instant now)
{
    for (auto &[id, account] : accounts_) {
        account.edges.clear();
        account.tokens = 0;
        account.remainder = 0;
        account.spare.clear();
        account.told.clear();
    }
}

// An expelled member's edges count until its shares are folded into the grants.
void Ledger::dropEdges(const MemberList &list)
{
    for (auto &[id, account] : accounts_) {
        for (auto it = account.edges.begin(); it != account.edges.end();) {
            bool isKept = list.find(it->first.vm, it->first.epoch) != nullptr;
            it = isKept ? std::next(it) : account.edges.erase(it);
        }
    }
}

void Ledger::recompute(Account &account)
{
    account.share = account.grant;
    for (const auto &[key, edge] : account.edges)
        account.share += edge.received - edge.given;
    account.tokens = std::min(account.tokens, capacity(account, account.share));
}

void Ledger::setPeers(const std::vector<LedgerPeer> &peers)
{
    for (auto &[vm, peer] : peers_)
        peer.isPlaced = false;
    for (const LedgerPeer &place : peers) {
        auto [it, isNew] = peers_.try_emplace(place.vm);
        PeerState &peer = it->second;
        peer.place = place;
        peer.isPlaced = true;
        if (!isNew)
            continue;
        const Member *member = list_.findActive(place.vm);
        peer.epoch = member == nullptr ? 0 : member->epoch;
        peer.since = list_.version;
        peer.areClosingsAcknowledged = false;
    }
    for (auto it = peers_.begin(); it != peers_.end();)
        it = it->second.isPlaced ? std::next(it) : peers_.erase(it);
}

bool Ledger::mayLendTo(const PeerState &peer) const
{
    return epoch_ != 0 && peer.epoch != 0 && peer.place.isAlive
        && peer.place.viewRevision >= peer.since;
}

std::uint64_t Ledger::epochOf(const VmId &peer) const
{
    auto it = peers_.find(peer);
    return it == peers_.end() ? 0 : it->second.epoch;
}

// ---- Tokens

std::int64_t Ledger::capacity(const Account &account, std::int64_t share)
{
    std::int64_t exact =
        static_cast<std::int64_t>(static_cast<Wide>(share) * account.burst / wholeShare);
    if (share <= 0)
        return 0;
    if (!account.isCount)
        return exact;
    return (exact + countTolerance) / microsPerToken * microsPerToken;
}

std::int64_t Ledger::spendable(const Account &account)
{
    if (account.isCount)
        return capacity(account, account.share) - account.inUse;
    return account.tokens;
}

void Ledger::settle(Account &account, Instant now) const
{
    if (account.settledAt == Instant::never())
        account.settledAt = now;
    if (now <= account.settledAt)
        return;
    Duration elapsed = std::min(now - account.settledAt, longestMinting);
    account.settledAt = now;
    if (account.isCount || account.share <= 0)
        return;
    constexpr Wide unit = static_cast<Wide>(wholeShare) * 1'000'000; // parts and microseconds
    Wide minted =
        static_cast<Wide>(account.share) * account.rate * elapsed.toMicros() + account.remainder;
    std::int64_t cap = capacity(account, account.share);
    Wide tokens = account.tokens + minted / unit;
    account.remainder = static_cast<std::int64_t>(minted % unit);
    if (tokens >= cap)
        account.remainder = 0;
    account.tokens = static_cast<std::int64_t>(std::min<Wide>(tokens, cap));
}

void Ledger::smooth(Account &account, Instant now) const
{
    if (account.smoothedAt == Instant::never())
        account.smoothedAt = now;
    Duration step = now - account.smoothedAt;
    if (step < smoothingStep)
        return;
    double seconds = step.toSeconds();
    double weight = 1 - std::exp(-seconds / demandMemory);
    double observed =
        account.isCount ? static_cast<double>(account.inUse) : account.taken / seconds;
    account.demand += weight * (observed - account.demand);
    account.taken = 0;
    account.smoothedAt = now;
}

std::optional<AccountId> Ledger::takeAll(const std::vector<Debit> &debits, Instant now)
{
    std::map<AccountId, std::int64_t> sums;
    for (const Debit &debit : debits)
        sums[debit.account] += microTokensOf(debit.tokens);
    for (const auto &[id, tokens] : sums) {
        auto it = accounts_.find(id);
        if (it == accounts_.end() || !it->second.hasLimit)
            continue;
        settle(it->second, now);
        if (spendable(it->second) < tokens)
            return id;
    }
    for (const auto &[id, tokens] : sums) {
        auto it = accounts_.find(id);
        if (it == accounts_.end() || !it->second.hasLimit)
            continue;
        Account &account = it->second;
        smooth(account, now);
        account.taken += static_cast<double>(tokens);
        if (account.isCount)
            account.inUse += tokens;
        else
            account.tokens -= tokens;
    }
    return std::nullopt;
}

void Ledger::giveBack(const Debit &debit, Instant now)
{
    auto it = accounts_.find(debit.account);
    if (it == accounts_.end())
        return;
    Account &account = it->second;
    settle(account, now);
    std::int64_t tokens = microTokensOf(debit.tokens);
    if (account.isCount) {
        account.inUse = std::max<std::int64_t>(0, account.inUse - tokens);
        return;
    }
    std::int64_t cap = capacity(account, account.share);
    account.tokens = std::max(account.tokens, std::min(cap, account.tokens + tokens));
}

void Ledger::want(const Debit &debit, Instant now)
{
    auto it = accounts_.find(debit.account);
    if (it == accounts_.end() || !it->second.hasLimit)
        return;
    it->second.waiting = microTokensOf(debit.tokens);
}

double Ledger::available(const AccountId &id, Instant now) const
{
    const Account *account = findAccount(id);
    if (account == nullptr || !account->hasLimit)
        return std::numeric_limits<double>::infinity();
    return static_cast<double>(microTokens(id, now)) / microsPerToken;
}

double Ledger::borrowable(const AccountId &id) const
{
    const Account *account = findAccount(id);
    if (account == nullptr || !account->hasLimit)
        return 0;
    std::int64_t share = 0;
    for (const auto &[vm, spare] : account->spare) {
        auto peer = peers_.find(vm);
        if (peer != peers_.end() && mayLendTo(peer->second))
            share += spare;
    }
    return static_cast<double>(capacity(*account, std::min(share, wholeShare))) / microsPerToken;
}

bool Ledger::isAnyWaiting() const
{
    for (const auto &[id, account] : accounts_) {
        if (account.hasLimit && account.waiting > 0)
            return true;
    }
    return false;
}

std::int64_t Ledger::microTokens(const AccountId &id, Instant now) const
{
    const Account *account = findAccount(id);
    if (account == nullptr)
        return 0;
    Account copy;
    copy.isCount = account->isCount;
    copy.rate = account->rate;
    copy.burst = account->burst;
    copy.share = account->share;
    copy.tokens = account->tokens;
    copy.remainder = account->remainder;
    copy.inUse = account->inUse;
    copy.settledAt = account->settledAt;
    settle(copy, now);
    return spendable(copy);
}

std::int64_t Ledger::share(const AccountId &id) const
{
    const Account *account = findAccount(id);
    if (account != nullptr)
        return account->share;
    const Member *self = list_.find(options_.vm, epoch_);
    return self == nullptr ? 0 : self->grant(id);
}

std::int64_t Ledger::given(const AccountId &id, const VmId &peer, std::uint64_t epoch) const
{
    const Account *account = findAccount(id);
    if (account == nullptr)
        return 0;
    auto edge = account->edges.find(MemberKey { peer, epoch });
    return edge == account->edges.end() ? 0 : edge->second.given;
}

std::int64_t Ledger::received(const AccountId &id, const VmId &peer, std::uint64_t epoch) const
{
    const Account *account = findAccount(id);
    if (account == nullptr)
        return 0;
    auto edge = account->edges.find(MemberKey { peer, epoch });
    return edge == account->edges.end() ? 0 : edge->second.received;
}

// ---- Lending

std::int64_t Ledger::neededShare(const Account &account) const
{
    if (isLeaving_)
        return 0;
    if (account.isCount)
        return shareFor(account.inUse + account.waiting, account.burst);
    if (account.rate <= 0)
        return 0;
    double wait = options_.queueWaitMost.toSeconds();
    double perSecond = account.demand * demandMargin + static_cast<double>(account.waiting) / wait;
    double share = perSecond / static_cast<double>(account.rate) * wholeShare;
    return static_cast<std::int64_t>(std::min<double>(share, wholeShare));
}

std::int64_t Ledger::reservedTokens(const Account &account) const
{
    if (isLeaving_)
        return 0;
    return account.waiting + static_cast<std::int64_t>(account.demand * tokenReserve);
}

std::int64_t Ledger::spareShare(const Account &account) const
{
    return std::max<std::int64_t>(0, account.share - neededShare(account));
}

// The only place where shares leave this VM.
void Ledger::give(Account &account, const MemberKey &to, std::int64_t share, std::int64_t tokens)
{
    if (share <= 0 || share > account.share)
        return;
    std::int64_t room =
        static_cast<std::int64_t>(static_cast<Wide>(share) * account.burst / wholeShare);
    std::int64_t moved = std::clamp<std::int64_t>(tokens, 0, std::min(room, account.tokens));
    Edge &edge = account.edges[to];
    edge.given += share;
    edge.tokensGiven += moved;
    edge.sentSequence = 0;
    edge.isAcknowledged = false;
    account.share -= share;
    account.tokens = std::min(account.tokens - moved, capacity(account, account.share));
}

void Ledger::lendRate(Account &account, const MemberKey &to, const Want &want)
{
    std::int64_t free = std::max<std::int64_t>(0, account.tokens - reservedTokens(account));
    std::int64_t tokens = std::min(want.tokens, free);
    std::int64_t share = std::min(want.share, spareShare(account));
    if (tokens > 0)
        share = std::max(share, shareFor(tokens, account.burst));
    share = std::min(share, account.share);
    // What would overflow here goes along.
    std::int64_t overflow = account.tokens - capacity(account, account.share - share);
    give(account, to, share, std::max(tokens, overflow));
}

// Gives whole tokens; what this VM keeps is a whole number too, so that
// fragments gather at the receivers.
void Ledger::lendCount(Account &account, const MemberKey &to, std::int64_t tokens)
{
    std::int64_t held = capacity(account, account.share);
    std::int64_t free = held - account.inUse - (isLeaving_ ? 0 : account.waiting);
    std::int64_t wanted = (tokens + microsPerToken - 1) / microsPerToken * microsPerToken;
    std::int64_t lent = std::min(wanted, free);
    if (lent <= 0 && held > 0)
        return;
    std::int64_t kept = held - std::max<std::int64_t>(lent, 0);
    give(account, to, account.share - countShare(kept, account.burst), 0);
}

std::vector<Holding> Ledger::lend(const VmId &to, const std::vector<Want> &wants, Instant now)
{
    std::vector<Holding> holdings;
    auto peer = peers_.find(to);
    if (peer == peers_.end() || !mayLendTo(peer->second))
        return holdings;
    MemberKey key { to, peer->second.epoch };
    for (const Want &want : wants) {
        auto it = accounts_.find(want.account);
        if (it == accounts_.end() || !it->second.hasLimit || it->second.burst <= 0)
            continue;
        Account &account = it->second;
        settle(account, now);
        smooth(account, now);
        if (account.isCount)
            lendCount(account, key, want.tokens);
        else
            lendRate(account, key, want);
        account.told[to] = spareShare(account);
        holdings.push_back(Holding { want.account, account.told[to] });
    }
    return holdings;
}

std::vector<VmId> Ledger::lendable() const
{
    std::vector<VmId> result;
    for (const auto &[vm, peer] : peers_) {
        if (mayLendTo(peer) && !peer.place.isLeaving)
            result.push_back(vm);
    }
    return result;
}

void Ledger::spread(Instant now)
{
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || account.burst <= 0 || now < account.nextSpreadAt)
            continue;
        account.nextSpreadAt = now + spreadInterval;
        settle(account, now);
        smooth(account, now);
        if (account.isCount)
            spreadCount(account);
        else
            spreadRate(account);
    }
}

void Ledger::spreadRate(Account &account)
{
    std::vector<VmId> peers = lendable();
    std::int64_t spare = spareShare(account);
    std::int64_t total = spare;
    for (const VmId &vm : peers)
        total += account.spare[vm];
    std::int64_t average = total / static_cast<std::int64_t>(peers.size() + 1);
    std::int64_t smallest =
        shareFor(static_cast<std::int64_t>(spreadPieceTokens * microsPerToken), account.burst);
    for (const VmId &vm : peers) {
        std::int64_t &theirs = account.spare[vm];
        std::int64_t piece = std::max(average - theirs, smallest);
        bool isWorthwhile = theirs < average / 2 && spare - piece >= std::max(average, smallest);
        if (!isLeaving_ && !isWorthwhile)
            continue;
        piece = std::min(piece, spare);
        Wide tokens = static_cast<Wide>(account.tokens) * piece / std::max<Wide>(account.share, 1);
        give(account, MemberKey { vm, peers_[vm].epoch }, piece, static_cast<std::int64_t>(tokens));
        theirs += piece;
        spare -= piece;
    }
}

void Ledger::spreadCount(Account &account)
{
    std::vector<VmId> peers = lendable();
    for (const VmId &vm : peers) {
        std::int64_t free = capacity(account, account.share) - account.inUse - account.waiting;
        std::int64_t &hint = account.spare[vm];
        std::int64_t theirs = capacity(account, hint);
        bool isWorthwhile = free - theirs >= 2 * microsPerToken;
        if (!isLeaving_ && !isWorthwhile)
            continue;
        lendCount(account, MemberKey { vm, peers_[vm].epoch }, microsPerToken);
        hint += countShare(microsPerToken, account.burst);
    }
}

void Ledger::receive(const VmId &from, std::uint64_t senderEpoch, std::uint64_t receiverEpoch,
                     const std::vector<Credit> &credits, Instant now)
{
    const Member *sender = list_.findActive(from);
    if (sender == nullptr || sender->epoch != senderEpoch || senderEpoch == 0)
        return;
    if (epoch_ == 0 || receiverEpoch != epoch_)
        return;
    for (const Credit &credit : credits) {
        Account &account = this->account(credit.account);
        Edge &edge = account.edges[MemberKey { from, senderEpoch }];
        std::int64_t share = credit.shareGiven - edge.received;
        std::int64_t tokens = credit.tokensGiven - edge.tokensReceived;
        if (share <= 0 || share > wholeShare || tokens < 0)
            continue;
        settle(account, now);
        edge.received = credit.shareGiven;
        edge.tokensReceived = credit.tokensGiven;
        account.share += share;
        account.tokens = std::min(account.tokens + tokens, capacity(account, account.share));
        account.asked.erase(from);
    }
}

void Ledger::hint(const VmId &from, const std::vector<Holding> &holdings)
{
    for (const Holding &holding : holdings) {
        auto it = accounts_.find(holding.account);
        if (it != accounts_.end())
            it->second.spare[from] = std::clamp<std::int64_t>(holding.spareShare, 0, wholeShare);
    }
}

void Ledger::forgetPeer(const VmId &vm)
{
    for (auto &[id, account] : accounts_) {
        account.spare.erase(vm);
        account.asked.erase(vm);
        account.told.erase(vm);
    }
}

// ---- Borrowing

std::optional<Want> Ledger::shortage(const AccountId &id, Account &account, Instant now)
{
    settle(account, now);
    smooth(account, now);
    std::int64_t urgent = account.waiting - spendable(account);
    if (account.isCount)
        return urgent > 0 ? std::optional(Want { id, shareFor(urgent, account.burst), urgent })
                          : std::nullopt;
    std::int64_t lookahead = static_cast<std::int64_t>(account.demand * tokenLookahead);
    std::int64_t share = std::max<std::int64_t>(0, neededShare(account) - account.share);
    if (urgent > 0)
        return Want { id, share, urgent + lookahead };
    std::int64_t ahead = lookahead - account.tokens;
    if ((ahead <= 0 && share < hintStep) || now < account.nextAheadAt)
        return std::nullopt;
    account.nextAheadAt = now + aheadInterval;
    return Want { id, share, std::max<std::int64_t>(ahead, 0) };
}

std::vector<VmId> Ledger::byDistance(const Account &account) const
{
    std::vector<VmId> result;
    for (const auto &[vm, peer] : peers_) {
        if (mayLendTo(peer))
            result.push_back(vm);
    }
    auto spare = [&account](const VmId &vm) {
        auto it = account.spare.find(vm);
        return it == account.spare.end() ? 0 : it->second;
    };
    std::sort(result.begin(), result.end(), [&](const VmId &a, const VmId &b) {
        bool aHas = spare(a) > 0;
        bool bHas = spare(b) > 0;
        if (aHas != bHas)
            return aHas;
        int aDistance = peers_.at(a).place.distance;
        int bDistance = peers_.at(b).place.distance;
        return aDistance == bDistance ? spare(a) > spare(b) : aDistance < bDistance;
    });
    return result;
}

void Ledger::planRequests(const AccountId &id, Account &account, const Want &want, Instant now,
                          std::map<VmId, BorrowRequest> &requests)
{
    std::int64_t missing = std::max(want.share, shareFor(want.tokens, account.burst));
    for (const auto &[vm, asked] : account.asked) {
        if (now - asked.at < replyAwaited)
            missing -= asked.share;
    }
    std::size_t askedNow = 0;
    for (const VmId &vm : byDistance(account)) {
        if (missing <= 0 || askedNow == askedAtOnce)
            return;
        Asked &asked = account.asked[vm];
        if (now - asked.at < askAgainAfter)
            continue;
        std::int64_t expected = std::min(missing, account.spare[vm]);
        asked = Asked { now, expected };
        missing -= expected;
        requests[vm].wants.push_back(want);
        ++askedNow;
    }
}

std::vector<LedgerRequest> Ledger::dueRequests(Instant now)
{
    std::map<VmId, BorrowRequest> requests;
    if (epoch_ == 0 || isLeaving_)
        return {};
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || account.burst <= 0)
            continue;
        std::optional<Want> want = shortage(id, account, now);
        if (want.has_value())
            planRequests(id, account, *want, now, requests);
    }
    std::vector<LedgerRequest> result;
    for (auto &[vm, request] : requests)
        result.push_back(LedgerRequest { vm, std::move(request) });
    return result;
}

// ---- What travels with sequenced messages

std::vector<Credit> Ledger::unacknowledgedCredits(const VmId &to, std::uint64_t sequence)
{
    std::vector<Credit> credits;
    auto peer = peers_.find(to);
    if (peer == peers_.end())
        return credits;
    bool maySend = mayLendTo(peer->second);
    MemberKey key { to, peer->second.epoch };
    for (auto &[id, account] : accounts_) {
        auto it = account.edges.find(key);
        if (it == account.edges.end() || it->second.isAcknowledged)
            continue;
        Edge &edge = it->second;
        if (!maySend) {
            edge.sentSequence = 0; // this message goes without it, so earlier ones prove nothing
            continue;
        }
        if (edge.sentSequence == 0)
            edge.sentSequence = sequence;
        credits.push_back(Credit { id, edge.given, edge.tokensGiven });
    }
    return credits;
}

std::vector<Closing> Ledger::unacknowledgedClosings(const VmId &to, std::uint64_t sequence)
{
    auto peer = peers_.find(to);
    if (peer == peers_.end() || peer->second.areClosingsAcknowledged)
        return {};
    if (peer->second.closingsSequence == 0)
        peer->second.closingsSequence = sequence;
    return closings();
}

void Ledger::acknowledge(const VmId &by, std::uint64_t sequence)
{
    auto peer = peers_.find(by);
    if (peer == peers_.end())
        return;
    PeerState &state = peer->second;
    if (state.closingsSequence != 0 && sequence >= state.closingsSequence)
        state.areClosingsAcknowledged = true;
    for (auto &[id, account] : accounts_) {
        auto it = account.edges.find(MemberKey { by, state.epoch });
        if (it == account.edges.end() || it->second.sentSequence == 0)
            continue;
        if (sequence >= it->second.sentSequence)
            it->second.isAcknowledged = true;
    }
}

std::vector<Holding> Ledger::changedHoldings(const VmId &to, Instant now)
{
    std::vector<Holding> holdings;
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || holdings.size() == hintsInMessage)
            continue;
        smooth(account, now);
        std::int64_t spare = spareShare(account);
        std::int64_t &told = account.told[to];
        std::int64_t change = std::abs(spare - told);
        if (change < hintStep || change < told / 4)
            continue;
        told = spare;
        holdings.push_back(Holding { id, spare });
    }
    return holdings;
}

std::vector<Closing> Ledger::closings() const
{
    std::vector<Closing> result;
    for (const Member &member : list_.members) {
        if (!member.isExpelled)
            continue;
        Closing closing;
        closing.vm = member.vm;
        closing.incarnation = member.incarnation;
        closing.epoch = member.epoch;
        for (const auto &[id, account] : accounts_) {
            auto edge = account.edges.find(MemberKey { member.vm, member.epoch });
            if (edge == account.edges.end())
                continue;
            std::int64_t net = edge->second.received - edge->second.given;
            if (net != 0)
                closing.accounts.push_back(ClosedAccount { id, net });
        }
        result.push_back(closing);
    }
    return result;
}

} // namespace bluebellshift::core
