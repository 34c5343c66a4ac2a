// Tokens are integers in micro-tokens and shares in parts per billion; a refill
// keeps its remainder, so that rounding errors don't accumulate. Rates are lowered
// by the maximum clock drift, since a limit isn't tied to any one VM's clock.
//
// A transfer debits the sender and raises a monotonic total; the receiver credits
// the increase of that total. Tokens are only transferred with a share that has
// capacity for them (tokens <= share * burst), which keeps the tokens held and in
// flight within one burst. A total is resent until the peer has echoed a sequence
// number such that every message from that number on carried it.
//
// The amount that each VM lends is policy and uses floating point; it can't violate
// the bound on total spending. Cost: O(accounts) for each heartbeat, O(peers log peers) for each
// request to borrow.
#include "bluebellshift/core/ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace bluebellshift::core {

namespace {

__extension__ using Wide = __int128;

constexpr std::int64_t microsPerToken = 1'000'000;
// Rounding may leave a count's share slightly below a whole token. The tolerance is
// far below one token for any number of VMs.
constexpr std::int64_t countTolerance = 100; // micro-tokens
constexpr Duration maxRefillInterval = Duration::seconds(3600);

constexpr double demandTimeConstantSeconds = 1.0; // seconds
constexpr double demandMargin = 1.0;     // times the smoothed demand, the rate that a hub keeps
constexpr double lookaheadSeconds = 0.1; // seconds of demand that a hub borrows ahead
constexpr double minMultiHubBurst = 250; // tokens; a smaller burst has a single hub
// Longer than a round trip between regions.
constexpr Duration loanLifetime = Duration::millis(160);
constexpr Duration minDemandInterval = Duration::millis(100);
constexpr Duration prefetchInterval = Duration::millis(500);
constexpr Duration redistributionInterval = Duration::millis(500);
constexpr Duration requestInterval = Duration::millis(15); // of one account, while all is granted
constexpr Duration partialGrantRetryDelay = Duration::millis(100); // after a part was granted
constexpr Duration replyTimeout = Duration::millis(140);
constexpr Duration backoffRetryDelay = Duration::millis(250); // after roundsBeforeBackoff rounds
constexpr int roundsBeforeBackoff = 3;
constexpr std::size_t maxCountLenders = 4;    // for a count
constexpr std::int64_t requestOvercommit = 1; // times the shortage, divided among all lenders
constexpr std::size_t maxHintsPerMessage = 8;
constexpr std::int64_t minHintChange = wholeShare / 100;
// A VM without a share requests one to retain if its nearest hub can spare at least
// 1 / spareDivisorToRequest of the account. It retains the share while that hub can spare
// at least 1 / spareDivisorToRetain.
constexpr std::int64_t spareDivisorToRequest = 8;
constexpr std::int64_t spareDivisorToRetain = 16;
constexpr double retainedDemandFactor = 2;                     // times the demand
constexpr double minRetainedDemand = 0.5;                      // tokens a second
constexpr std::int64_t minRetainedTokens = 2 * microsPerToken; // a smaller share is of no use

std::int64_t microTokensOf(double tokens)
{
    return static_cast<std::int64_t>(std::ceil(tokens * microsPerToken - 1e-6));
}

// Returns the share whose capacity is `tokens`.
std::int64_t shareFor(std::int64_t tokens, std::int64_t burst)
{
    if (burst <= 0)
        return wholeShare;
    Wide share = (static_cast<Wide>(tokens) * wholeShare + burst - 1) / burst;
    return static_cast<std::int64_t>(std::min<Wide>(share, wholeShare));
}

// Returns the share that corresponds to a whole number of a count's tokens.
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
        recomputeShare(it->second);
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
        refill(account, now);
        account.hasLimit = false;
    }
    for (const AccountLimit &limit : limits) {
        Account &account = this->account(limit.account);
        refill(account, now);
        account.hasLimit = true;
        account.isCount = limit.isCount();
        account.isSharedByTeams = limit.isSharedByTeams;
        account.hubsVersion = 0;
        double minRate = limit.ratePerSecond * (1 - options_.clockDrift);
        account.rate = static_cast<std::int64_t>(std::floor(minRate * microsPerToken));
        account.burst = static_cast<std::int64_t>(std::floor(limit.burst * microsPerToken));
        account.tokens = std::min(account.tokens, unlentCapacity(account));
    }
}

void Ledger::setMembers(const MemberList &list, Instant now)
{
    if (list.version < list_.version)
        return;
    for (auto &[id, account] : accounts_)
        refill(account, now);
    list_ = list;
    const Member *self = list.findActive(options_.vm);
    bool isMember = self != nullptr && self->incarnation == options_.incarnation;
    std::uint64_t epoch = isMember ? self->epoch : 0;
    bool isNewMembership = epoch != epoch_;
    if (isNewMembership)
        resetShares(now);
    epoch_ = epoch;
    dropTotalsOfRemovedMembers(list);
    for (auto &[id, account] : accounts_) {
        account.grant = isMember ? self->grant(id) : 0;
        recomputeShare(account);
    }
    for (auto &[vm, peer] : peers_) {
        const Member *member = list.findActive(vm);
        std::uint64_t peerEpoch = member == nullptr ? 0 : member->epoch;
        if (peerEpoch != peer.epoch || isNewMembership) {
            peer.minViewRevision = list.version;
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
        account.totalsByMember.clear();
        account.tokens = 0;
        account.remainder = 0;
        account.borrowed.clear();
        account.spareShares.clear();
        account.sentHints.clear();
    }
}

// Transfers with an expelled member count until its shares are merged into the grants;
// the merge removes it from the list.
void Ledger::dropTotalsOfRemovedMembers(const MemberList &list)
{
    for (auto &[id, account] : accounts_) {
        for (auto it = account.totalsByMember.begin(); it != account.totalsByMember.end();) {
            bool isKept = list.find(it->first.vm, it->first.epoch) != nullptr;
            it = isKept ? std::next(it) : account.totalsByMember.erase(it);
        }
    }
}

void Ledger::recomputeShare(Account &account)
{
    account.share = account.grant;
    for (const auto &[key, totals] : account.totalsByMember)
        account.share += totals.received - totals.given;
    account.tokens = std::min(account.tokens, unlentCapacity(account));
}

void Ledger::setPeers(const std::vector<LedgerPeer> &peers)
{
    for (auto &[vm, peer] : peers_)
        peer.isListed = false;
    for (const LedgerPeer &info : peers) {
        auto [it, isNew] = peers_.try_emplace(info.vm);
        PeerState &peer = it->second;
        peer.info = info;
        peer.isListed = true;
        if (!isNew)
            continue;
        const Member *member = list_.findActive(info.vm);
        peer.epoch = member == nullptr ? 0 : member->epoch;
        peer.minViewRevision = list_.version;
        peer.areClosingsAcknowledged = false;
    }
    for (auto it = peers_.begin(); it != peers_.end();)
        it = it->second.isListed ? std::next(it) : peers_.erase(it);
    std::vector<VmId> lenders = lendablePeers();
    if (lenders != lenders_)
        ++lendersVersion_;
    lenders_ = std::move(lenders);
}

bool Ledger::mayLendTo(const PeerState &peer) const
{
    return epoch_ != 0 && peer.epoch != 0 && peer.info.isAlive
        && peer.info.viewRevision >= peer.minViewRevision;
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

std::int64_t Ledger::totalTokens(const std::vector<OpenLoan> &loans)
{
    std::int64_t tokens = 0;
    for (const OpenLoan &loan : loans)
        tokens += loan.tokens;
    return tokens;
}

void Ledger::dropExpired(std::vector<OpenLoan> &loans, Instant now)
{
    auto isExpired = [now](const OpenLoan &loan) { return loan.until <= now; };
    loans.erase(std::remove_if(loans.begin(), loans.end(), isExpired), loans.end());
}

// Returns the maximum that this VM's own bucket may hold. Capacity stays reserved
// for tokens lent to other VMs for as long as those VMs may spend them.
std::int64_t Ledger::unlentCapacity(const Account &account)
{
    return std::max<std::int64_t>(0, capacity(account, account.share) - totalTokens(account.lent));
}

std::int64_t Ledger::spendable(const Account &account)
{
    if (account.isCount)
        return capacity(account, account.share) - account.inUse;
    return account.tokens + totalTokens(account.borrowed);
}

// Spends borrowed tokens first, since they expire soon.
void Ledger::spend(Account &account, std::int64_t tokens)
{
    for (OpenLoan &loan : account.borrowed) {
        std::int64_t spent = std::min(tokens, loan.tokens);
        loan.tokens -= spent;
        tokens -= spent;
    }
    account.tokens -= tokens;
}

void Ledger::refill(Account &account, Instant now) const
{
    if (account.refilledAt == Instant::never())
        account.refilledAt = now;
    if (now <= account.refilledAt)
        return;
    Duration elapsed = std::min(now - account.refilledAt, maxRefillInterval);
    account.refilledAt = now;
    dropExpired(account.borrowed, now);
    if (account.isCount || account.share <= 0) {
        dropExpired(account.lent, now);
        return;
    }
    constexpr Wide unit = static_cast<Wide>(wholeShare) * 1'000'000; // parts and microseconds
    Wide minted =
        static_cast<Wide>(account.share) * account.rate * elapsed.toMicros() + account.remainder;
    std::int64_t cap = unlentCapacity(account);
    Wide tokens = account.tokens + minted / unit;
    account.remainder = static_cast<std::int64_t>(minted % unit);
    if (tokens >= cap)
        account.remainder = 0;
    account.tokens = static_cast<std::int64_t>(std::min<Wide>(tokens, cap));
    dropExpired(account.lent, now); // releases the reserved capacity from now on
}

void Ledger::updateDemand(Account &account, Instant now) const
{
    if (account.demandUpdatedAt == Instant::never())
        account.demandUpdatedAt = now;
    Duration step = now - account.demandUpdatedAt;
    if (step < minDemandInterval)
        return;
    double seconds = step.toSeconds();
    double weight = 1 - std::exp(-seconds / demandTimeConstantSeconds);
    double observed =
        account.isCount ? static_cast<double>(account.inUse) : account.tokensSpent / seconds;
    account.demand += weight * (observed - account.demand);
    account.tokensSpent = 0;
    account.demandUpdatedAt = now;
}

std::optional<AccountId> Ledger::acquireTokens(const std::vector<Debit> &debits, Instant now)
{
    std::map<AccountId, std::int64_t> sums;
    for (const Debit &debit : debits)
        sums[debit.account] += microTokensOf(debit.tokens);
    for (const auto &[id, tokens] : sums) {
        auto it = accounts_.find(id);
        if (it == accounts_.end() || !it->second.hasLimit)
            continue;
        refill(it->second, now);
        if (spendable(it->second) < tokens)
            return id;
    }
    for (const auto &[id, tokens] : sums) {
        auto it = accounts_.find(id);
        if (it == accounts_.end() || !it->second.hasLimit)
            continue;
        Account &account = it->second;
        updateDemand(account, now);
        account.tokensSpent += static_cast<double>(tokens);
        account.waiting = std::max<std::int64_t>(0, account.waiting - tokens);
        if (account.isCount)
            account.inUse += tokens;
        else
            spend(account, tokens);
    }
    return std::nullopt;
}

void Ledger::releaseTokens(const Debit &debit, Instant now)
{
    auto it = accounts_.find(debit.account);
    if (it == accounts_.end())
        return;
    Account &account = it->second;
    refill(account, now);
    std::int64_t tokens = microTokensOf(debit.tokens);
    if (account.isCount) {
        account.inUse = std::max<std::int64_t>(0, account.inUse - tokens);
        return;
    }
    account.tokens =
        std::max(account.tokens, std::min(unlentCapacity(account), account.tokens + tokens));
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
    for (const auto &[vm, spare] : account->spareShares) {
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
    copy.lent = account->lent;
    copy.borrowed = account->borrowed;
    copy.refilledAt = account->refilledAt;
    refill(copy, now);
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
    auto totals = account->totalsByMember.find(MemberKey { peer, epoch });
    return totals == account->totalsByMember.end() ? 0 : totals->second.given;
}

std::int64_t Ledger::received(const AccountId &id, const VmId &peer, std::uint64_t epoch) const
{
    const Account *account = findAccount(id);
    if (account == nullptr)
        return 0;
    auto totals = account->totalsByMember.find(MemberKey { peer, epoch });
    return totals == account->totalsByMember.end() ? 0 : totals->second.received;
}

// ---- Lending

// Invalidates the choice of hubs: a leaving VM that still considered itself a hub
// would keep the shares collected at it.
void Ledger::setLeaving()
{
    isLeaving_ = true;
    ++lendersVersion_;
}

std::int64_t Ledger::neededShare(const Account &account) const
{
    if (isLeaving_)
        return 0;
    if (account.isCount)
        return shareFor(account.inUse + account.waiting, account.burst);
    if (account.rate <= 0)
        return 0;
    if (!isHub(account))
        return retainedShare(account);
    double fraction = account.demand * demandMargin / static_cast<double>(account.rate);
    return static_cast<std::int64_t>(std::min(fraction, 1.0) * wholeShare);
}

// Returns the share that a non-hub VM retains while the hub has much to spare, so that
// its requests needn't wait for a hub. For a team's account it is a multiple of the
// VM's demand; for a region or a link, whose load rarely jumps, it is a fixed part.
// All VMs together retain at most half of an account; when a hub's spare share falls,
// all retained shares return to the hubs.
std::int64_t Ledger::retainedShare(const Account &account) const
{
    std::vector<VmId> hubs = otherHubs(account);
    if (hubs.empty() || account.burst <= 0)
        return 0;
    auto hint = account.spareShares.find(hubs.front());
    bool isRetaining = account.share > 0;
    std::int64_t minSpareShare =
        wholeShare / (isRetaining ? spareDivisorToRetain : spareDivisorToRequest);
    if (hint == account.spareShares.end() || hint->second < minSpareShare)
        return 0;
    std::int64_t maxShare = wholeShare / (2 * static_cast<std::int64_t>(peers_.size() + 1));
    if (account.isSharedByTeams)
        return capacity(account, maxShare) >= minRetainedTokens ? maxShare : 0;
    if (account.demand < minRetainedDemand * microsPerToken)
        return 0;
    double wanted = retainedDemandFactor * account.demand / static_cast<double>(account.rate);
    std::int64_t retained = static_cast<std::int64_t>(std::min(wanted, 1.0) * wholeShare);
    retained = std::max(retained, shareFor(minRetainedTokens, account.burst));
    return retained <= maxShare ? retained : 0;
}

std::int64_t Ledger::reservedTokens(const Account &account) const
{
    if (isLeaving_)
        return 0;
    return account.waiting;
}

std::int64_t Ledger::spareShare(const Account &account) const
{
    return std::max<std::int64_t>(0, account.share - neededShare(account));
}

// The only function that transfers shares out. The share that reserves capacity for
// lent tokens stays here.
void Ledger::transferShare(Account &account, const MemberKey &to, std::int64_t share,
                           std::int64_t tokens)
{
    std::int64_t lent = totalTokens(account.lent);
    if (lent > 0)
        share = std::min(share, account.share - shareFor(lent, account.burst));
    if (share <= 0 || share > account.share)
        return;
    std::int64_t maxTokens =
        static_cast<std::int64_t>(static_cast<Wide>(share) * account.burst / wholeShare);
    std::int64_t movedTokens =
        std::clamp<std::int64_t>(tokens, 0, std::min(maxTokens, account.tokens));
    TransferTotals &totals = account.totalsByMember[to];
    totals.given += share;
    totals.tokensGiven += movedTokens;
    totals.sentSequence = 0;
    totals.isAcknowledged = false;
    account.share -= share;
    account.tokens = std::min(account.tokens - movedTokens, unlentCapacity(account));
}

// Lends tokens without a share. Their capacity stays reserved here until the peer
// has spent them or they have expired; the peer measures the lifetime from before
// it sent its request.
void Ledger::lendTokens(Account &account, std::int64_t tokens, Instant now,
                        std::vector<TokenLoan> *tokenLoans)
{
    if (tokens <= 0)
        return;
    account.tokens -= tokens;
    account.tokensSpent += static_cast<double>(tokens); // a hub's demand includes its region's
    account.lent.push_back(OpenLoan { now + loanLifetime, tokens });
    tokenLoans->back().tokens = tokens;
}

void Ledger::lendRate(Account &account, const MemberKey &to, const RequestedAmount &requested,
                      Instant now, std::vector<TokenLoan> *tokenLoans)
{
    std::int64_t free = std::max<std::int64_t>(0, account.tokens - reservedTokens(account));
    // A fraction of a token would expire before the rest of it arrived.
    std::int64_t tokens = std::min(requested.tokens, free) / microsPerToken * microsPerToken;
    if (tokens > 0) {
        tokenLoans->push_back(TokenLoan { requested.account, tokens });
        lendTokens(account, tokens, now, tokenLoans);
    }
    std::int64_t share = std::min(requested.share, spareShare(account));
    // Tokens that exceed the remaining capacity are transferred too.
    std::int64_t left = capacity(account, account.share - share) - totalTokens(account.lent);
    transferShare(account, to, share, account.tokens - left);
}

// Transfers whole tokens. This VM keeps a whole number too, so that fractions of
// tokens collect at the receivers.
void Ledger::lendCount(Account &account, const MemberKey &to, std::int64_t tokens)
{
    std::int64_t held = capacity(account, account.share);
    std::int64_t free = held - account.inUse - (isLeaving_ ? 0 : account.waiting);
    std::int64_t wanted = (tokens + microsPerToken - 1) / microsPerToken * microsPerToken;
    std::int64_t lent = std::min(wanted, free);
    if (lent <= 0 && held > 0)
        return;
    std::int64_t kept = held - std::max<std::int64_t>(lent, 0);
    transferShare(account, to, account.share - countShare(kept, account.burst), 0);
}

std::vector<SpareHint> Ledger::lend(const VmId &to, const std::vector<RequestedAmount> &amounts,
                                    Instant now, std::vector<TokenLoan> *tokenLoans)
{
    std::vector<SpareHint> spareHints;
    auto peer = peers_.find(to);
    if (peer == peers_.end() || !mayLendTo(peer->second))
        return spareHints;
    MemberKey key { to, peer->second.epoch };
    for (const RequestedAmount &requested : amounts) {
        auto it = accounts_.find(requested.account);
        if (it == accounts_.end() || !it->second.hasLimit || it->second.burst <= 0)
            continue;
        Account &account = it->second;
        refill(account, now);
        updateDemand(account, now);
        if (account.isCount)
            lendCount(account, key, requested.tokens);
        else
            lendRate(account, key, requested, now, tokenLoans);
        account.sentHints[to] = spareShare(account);
        spareHints.push_back(SpareHint { requested.account, account.sentHints[to] });
    }
    return spareHints;
}

// Returns the live members that aren't leaving and know this VM's membership.
std::vector<VmId> Ledger::lendablePeers() const
{
    std::vector<VmId> result;
    for (const auto &[vm, peer] : peers_) {
        if (mayLendTo(peer) && !peer.info.isLeaving)
            result.push_back(vm);
    }
    return result;
}

void Ledger::redistributeShares(Instant now)
{
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || account.burst <= 0 || now < account.nextRedistributionAt)
            continue;
        account.nextRedistributionAt = now + redistributionInterval;
        refill(account, now);
        updateDemand(account, now);
        if (account.isCount) {
            distributeCount(account);
            continue;
        }
        hubsOf(id, account);
        if (isHub(account))
            balanceHubs(account);
        else
            returnSharesToHub(account);
    }
}

const std::vector<VmId> &Ledger::hubsOf(const AccountId &id, Account &account) const
{
    if (account.hubsVersion != lendersVersion_) {
        account.hubsVersion = lendersVersion_;
        account.hubs = chooseHubs(id, account);
    }
    return account.hubs;
}

// Rendezvous hashing: in each region the VM with the highest hash. Temporary
// disagreement between VMs with different live peers is harmless.
std::vector<VmId> Ledger::chooseHubs(const AccountId &id, const Account &account) const
{
    std::map<RegionId, std::pair<std::uint64_t, VmId>> best;
    bool isSingle = static_cast<double>(account.burst) < minMultiHubBurst * microsPerToken;
    auto consider = [&](const VmId &vm, const RegionId &region) {
        std::string text = id.text() + '\n' + vm.text();
        std::uint64_t hash = XXH3_64bits(text.data(), text.size());
        std::pair<std::uint64_t, VmId> &entry = best[isSingle ? RegionId() : region];
        if (hash >= entry.first)
            entry = { hash, vm };
    };
    if (!isLeaving_)
        consider(options_.vm, options_.region);
    for (const VmId &vm : lendablePeers())
        consider(vm, peers_.at(vm).info.region);
    std::vector<VmId> hubs;
    for (const auto &[region, entry] : best)
        hubs.push_back(entry.second);
    auto distance = [this](const VmId &vm) {
        return vm == options_.vm ? -1 : peers_.at(vm).info.distance;
    };
    std::stable_sort(hubs.begin(), hubs.end(),
                     [&](const VmId &a, const VmId &b) { return distance(a) < distance(b); });
    return hubs;
}

bool Ledger::isHub(const Account &account) const
{
    return std::find(account.hubs.begin(), account.hubs.end(), options_.vm) != account.hubs.end();
}

std::vector<VmId> Ledger::otherHubs(const Account &account) const
{
    std::vector<VmId> others;
    for (const VmId &vm : account.hubs) {
        auto peer = peers_.find(vm);
        if (vm != options_.vm && peer != peers_.end() && mayLendTo(peer->second))
            others.push_back(vm);
    }
    return others;
}

void Ledger::returnSharesToHub(Account &account)
{
    std::vector<VmId> hubs = otherHubs(account);
    std::int64_t needed = neededShare(account);
    std::int64_t spare = account.share - needed;
    if (hubs.empty() || spare <= 0)
        return;
    std::int64_t overflow = account.tokens - capacity(account, needed);
    transferShare(account, MemberKey { hubs.front(), peers_[hubs.front()].epoch }, spare, overflow);
}

// Balances the spare shares of the hubs, which exchange them as hints.
void Ledger::balanceHubs(Account &account)
{
    std::vector<VmId> hubs = otherHubs(account);
    std::int64_t spare = spareShare(account);
    std::int64_t total = spare;
    for (const VmId &vm : hubs)
        total += account.spareShares[vm];
    std::int64_t average = total / static_cast<std::int64_t>(hubs.size() + 1);
    for (const VmId &vm : hubs) {
        std::int64_t &peerSpareShare = account.spareShares[vm];
        std::int64_t transferredShare = std::min(average - peerSpareShare, spare - average);
        if (transferredShare < 2 * minHintChange)
            continue;
        Wide tokens = static_cast<Wide>(account.tokens) * transferredShare / account.share;
        std::int64_t left =
            capacity(account, account.share - transferredShare) - totalTokens(account.lent);
        transferShare(account, MemberKey { vm, peers_[vm].epoch }, transferredShare,
                      std::max(static_cast<std::int64_t>(tokens), account.tokens - left));
        peerSpareShare += transferredShare;
        spare -= transferredShare;
    }
}

void Ledger::distributeCount(Account &account)
{
    std::vector<VmId> peers = lendablePeers();
    for (const VmId &vm : peers) {
        std::int64_t free = capacity(account, account.share) - account.inUse - account.waiting;
        std::int64_t &peerSpareShare = account.spareShares[vm];
        std::int64_t peerTokens = capacity(account, peerSpareShare);
        bool isWorthwhile = free - peerTokens >= 2 * microsPerToken;
        if (!isLeaving_ && !isWorthwhile)
            continue;
        lendCount(account, MemberKey { vm, peers_[vm].epoch }, microsPerToken);
        peerSpareShare += countShare(microsPerToken, account.burst);
    }
}

void Ledger::receiveCredits(const VmId &from, std::uint64_t senderEpoch,
                            std::uint64_t receiverEpoch, const std::vector<Credit> &credits,
                            Instant now)
{
    const Member *sender = list_.findActive(from);
    if (sender == nullptr || sender->epoch != senderEpoch || senderEpoch == 0)
        return;
    if (epoch_ == 0 || receiverEpoch != epoch_)
        return;
    for (const Credit &credit : credits) {
        Account &account = this->account(credit.account);
        TransferTotals &totals = account.totalsByMember[MemberKey { from, senderEpoch }];
        std::int64_t share = credit.shareGiven - totals.received;
        std::int64_t tokens = credit.tokensGiven - totals.tokensReceived;
        if (share <= 0 || share > wholeShare || tokens < 0)
            continue;
        refill(account, now);
        totals.received = credit.shareGiven;
        totals.tokensReceived = credit.tokensGiven;
        account.share += share;
        account.tokens = std::min(account.tokens + tokens, unlentCapacity(account));
    }
}

void Ledger::receiveTokenLoans(const VmId &from, std::uint64_t senderEpoch,
                               std::uint64_t receiverEpoch, std::uint64_t number,
                               const std::vector<TokenLoan> &tokenLoans, Instant now)
{
    auto pendingRequest = pendingRequests_.find(number);
    if (pendingRequest == pendingRequests_.end() || pendingRequest->second.vm != from)
        return; // repeated, or too late
    double shortened = static_cast<double>(loanLifetime.toMicros()) * (1 - 2 * options_.clockDrift);
    Instant until =
        pendingRequest->second.at + Duration::micros(static_cast<std::int64_t>(shortened));
    finishRequest(pendingRequest->second, tokenLoans);
    pendingRequests_.erase(pendingRequest);
    const Member *sender = list_.findActive(from);
    bool isKnown = sender != nullptr && sender->epoch == senderEpoch && senderEpoch != 0;
    if (!isKnown || epoch_ == 0 || receiverEpoch != epoch_)
        return;
    for (const TokenLoan &loan : tokenLoans) {
        Account &account = this->account(loan.account);
        refill(account, now);
        if (loan.tokens <= 0 || until <= now)
            continue;
        account.borrowed.push_back(OpenLoan { until, loan.tokens });
    }
}

// If the nearest hub granted the whole amount, it is used again for the next request;
// otherwise the next request goes to all hubs.
void Ledger::finishRequest(const PendingRequest &pendingRequest,
                           const std::vector<TokenLoan> &tokenLoans)
{
    for (const RequestedAmount &requested : pendingRequest.amounts) {
        Account &account = this->account(requested.account);
        account.pending -= requested.tokens;
        std::vector<VmId> hubs = otherHubs(account);
        bool isNearest = !hubs.empty() && hubs.front() == pendingRequest.vm;
        if (account.isCount || !isNearest || requested.tokens == 0 || account.incompleteRounds > 0)
            continue;
        std::int64_t lentTokens = 0;
        for (const TokenLoan &loan : tokenLoans)
            lentTokens += loan.account == requested.account ? loan.tokens : 0;
        account.incompleteRounds = lentTokens >= requested.tokens ? 0 : 1;
        if (account.incompleteRounds > 0)
            account.nextRequestAt = Instant::never();
    }
}

void Ledger::dropOverdueRequests(Instant now)
{
    for (auto it = pendingRequests_.begin(); it != pendingRequests_.end();) {
        if (now - it->second.at < replyTimeout) {
            ++it;
            continue;
        }
        finishRequest(it->second, {});
        it = pendingRequests_.erase(it);
    }
}

void Ledger::receiveSpareHints(const VmId &from, const std::vector<SpareHint> &spareHints)
{
    for (const SpareHint &spareHint : spareHints) {
        auto it = accounts_.find(spareHint.account);
        if (it == accounts_.end())
            continue;
        it->second.spareShares[from] =
            std::clamp<std::int64_t>(spareHint.spareShare, 0, wholeShare);
    }
}

void Ledger::forgetPeer(const VmId &vm)
{
    for (auto &[id, account] : accounts_) {
        account.spareShares.erase(vm);
        account.sentHints.erase(vm);
    }
}

// ---- Borrowing

std::optional<RequestedAmount> Ledger::shortage(const AccountId &id, Account &account, Instant now)
{
    refill(account, now);
    updateDemand(account, now);
    std::int64_t urgent = account.waiting - spendable(account) - account.pending;
    if (urgent > 0)
        urgent = (urgent + microsPerToken - 1) / microsPerToken * microsPerToken;
    if (account.isCount)
        return urgent > 0
            ? std::optional(RequestedAmount { id, shareFor(urgent, account.burst), urgent })
            : std::nullopt;
    std::int64_t lookahead = static_cast<std::int64_t>(account.demand * lookaheadSeconds);
    std::int64_t share = std::max<std::int64_t>(0, neededShare(account) - account.share);
    if (urgent > 0)
        return RequestedAmount { id, share, std::min(urgent, account.burst) };
    if (account.waiting <= spendable(account))
        account.incompleteRounds = 0;
    if (!isHub(account)) {
        if (share * 4 <= neededShare(account) || now < account.nextPrefetchAt)
            return std::nullopt;
        account.nextPrefetchAt = now + prefetchInterval;
        return RequestedAmount { id, share, 0 };
    }
    std::int64_t ahead = lookahead - spendable(account);
    if ((ahead <= 0 && share < minHintChange) || now < account.nextPrefetchAt)
        return std::nullopt;
    account.nextPrefetchAt = now + prefetchInterval;
    return RequestedAmount { id, share, 0 };
}

std::vector<VmId> Ledger::peersByDistance() const
{
    std::vector<VmId> result = lendablePeers();
    std::sort(result.begin(), result.end(), [this](const VmId &a, const VmId &b) {
        int aDistance = peers_.at(a).info.distance;
        int bDistance = peers_.at(b).info.distance;
        return aDistance == bDistance ? a < b : aDistance < bDistance;
    });
    return result;
}

// Returns the nearest hub first, then all hubs if it granted too little. For a count
// account: the peers with known spare tokens, then the others by distance in rotation.
std::vector<VmId> Ledger::nextLenders(const AccountId &id, Account &account)
{
    if (!account.isCount) {
        hubsOf(id, account);
        std::vector<VmId> hubs = otherHubs(account);
        if (account.incompleteRounds == 0 && !isHub(account) && hubs.size() > 1)
            hubs.resize(1);
        return hubs;
    }
    std::vector<VmId> others = peersByDistance();
    if (others.empty())
        return others;
    account.rotation %= others.size();
    std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(account.rotation),
                others.end());
    std::stable_sort(others.begin(), others.end(), [&account](const VmId &a, const VmId &b) {
        return account.spareShares[a] > account.spareShares[b];
    });
    if (others.size() > maxCountLenders)
        others.resize(maxCountLenders);
    account.rotation += others.size();
    return others;
}

void Ledger::addRequests(const AccountId &id, Account &account, const RequestedAmount &requested,
                         Instant now, std::map<VmId, BorrowRequest> &requests)
{
    if (now < account.nextRequestAt)
        return;
    std::vector<VmId> lenders = nextLenders(id, account);
    account.nextRequestAt = now + requestInterval;
    if (account.incompleteRounds > 0)
        account.nextRequestAt = now
            + (account.incompleteRounds > roundsBeforeBackoff ? backoffRetryDelay
                                                              : partialGrantRetryDelay);
    if (account.incompleteRounds > 0 || isHub(account) || account.isCount)
        ++account.incompleteRounds;
    RequestedAmount part = requested;
    auto count = static_cast<std::int64_t>(lenders.size());
    if (!account.isCount && count > 1) {
        part.tokens = std::min(requested.tokens,
                               requested.tokens * requestOvercommit / count + microsPerToken);
        part.share = std::min(requested.share, requested.share * requestOvercommit / count);
    }
    for (const VmId &vm : lenders)
        requests[vm].amounts.push_back(part);
    account.pending += part.tokens * count;
}

std::vector<LedgerRequest> Ledger::dueRequests(Instant now)
{
    std::map<VmId, BorrowRequest> requests;
    dropOverdueRequests(now);
    if (epoch_ == 0 || isLeaving_)
        return {};
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || account.burst <= 0)
            continue;
        std::optional<RequestedAmount> requested = shortage(id, account, now);
        if (requested.has_value())
            addRequests(id, account, *requested, now, requests);
    }
    std::vector<LedgerRequest> result;
    for (auto &[vm, request] : requests) {
        request.number = ++lastRequestNumber_;
        pendingRequests_[request.number] = PendingRequest { vm, now, request.amounts };
        result.push_back(LedgerRequest { vm, std::move(request) });
    }
    return result;
}

// ---- Contents of sequenced messages

std::vector<Credit> Ledger::unacknowledgedCredits(const VmId &to, std::uint64_t sequence)
{
    std::vector<Credit> credits;
    auto peer = peers_.find(to);
    if (peer == peers_.end())
        return credits;
    bool maySend = mayLendTo(peer->second);
    MemberKey key { to, peer->second.epoch };
    for (auto &[id, account] : accounts_) {
        auto it = account.totalsByMember.find(key);
        if (it == account.totalsByMember.end() || it->second.isAcknowledged)
            continue;
        TransferTotals &totals = it->second;
        if (!maySend) {
            // This message lacks the totals, so an echo of an earlier one proves nothing.
            totals.sentSequence = 0;
            continue;
        }
        if (totals.sentSequence == 0)
            totals.sentSequence = sequence;
        credits.push_back(Credit { id, totals.given, totals.tokensGiven });
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
        auto it = account.totalsByMember.find(MemberKey { by, state.epoch });
        if (it == account.totalsByMember.end() || it->second.sentSequence == 0)
            continue;
        if (sequence >= it->second.sentSequence)
            it->second.isAcknowledged = true;
    }
}

// Hubs exchange their spare shares of a rate account. They also notify a VM that may
// retain a share when the spare share becomes scarce.
bool Ledger::isHintWanted(const AccountId &id, Account &account, const VmId &to) const
{
    const std::vector<VmId> &hubs = hubsOf(id, account);
    if (!isHub(account))
        return false;
    if (std::find(hubs.begin(), hubs.end(), to) != hubs.end())
        return true;
    auto lastSentHint = account.sentHints.find(to);
    constexpr std::int64_t minSpareShare = wholeShare / spareDivisorToRetain;
    return lastSentHint != account.sentHints.end() && lastSentHint->second >= minSpareShare
        && spareShare(account) < minSpareShare;
}

std::vector<SpareHint> Ledger::changedSpareHints(const VmId &to, Instant now)
{
    std::vector<SpareHint> spareHints;
    for (auto &[id, account] : accounts_) {
        if (!account.hasLimit || spareHints.size() == maxHintsPerMessage)
            continue;
        if (!account.isCount && !isHintWanted(id, account, to))
            continue;
        updateDemand(account, now);
        std::int64_t spare = spareShare(account);
        std::int64_t &lastSentHint = account.sentHints[to];
        std::int64_t change = std::abs(spare - lastSentHint);
        if (change < minHintChange || change < lastSentHint / 4)
            continue;
        lastSentHint = spare;
        spareHints.push_back(SpareHint { id, spare });
    }
    return spareHints;
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
            auto totals = account.totalsByMember.find(MemberKey { member.vm, member.epoch });
            if (totals == account.totalsByMember.end())
                continue;
            std::int64_t net = totals->second.received - totals->second.given;
            if (net != 0)
                closing.accounts.push_back(ClosedAccount { id, net });
        }
        result.push_back(closing);
    }
    return result;
}

} // namespace bluebellshift::core
