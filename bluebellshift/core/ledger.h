// Holds this VM's share of every limit and lends shares to other VMs.
//
//   Ledger ledger(options);
//   ledger.setMembers(list, now);
//   ledger.setLimits({ { teamAccount(team), 50, 100 } }, now);
//   if (!ledger.acquireTokens({ { teamAccount(team), 1 } }, now))
//       forward();
//
// A share is counted in parts per billion of an account. The shares of all VMs,
// live or dead, and the shares in flight always sum to the whole of each account. A rate account is
// a token bucket of `share` times rate and burst; a count account (rate 0) is `share` times the
// quantity, in whole tokens. Each rate account has a hub in every region: a VM that all VMs compute
// in the same way from the set of live VMs. A small account has a single hub. Idle shares are
// collected at the hubs, and other VMs borrow tokens there on demand. A hub makes no
// decision for other VMs, so that another VM can replace it when it fails.
// docs/design/ledger.md proves the bound on what all VMs spend together.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/members.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// The properties of a peer that decide whether to lend to it or borrow from it.
struct LedgerPeer
{
    VmId vm;
    RegionId region;
    int distance = 0; // 0: same failure domain, 1: same region, 2: other region
    bool isAlive = false;
    bool isLeaving = false;
    Revision viewRevision; // the newest that the peer is known to have installed
};

// A message that the ledger requests to be sent to a peer.
struct LedgerRequest
{
    VmId to;
    BorrowRequest request;
};

class Ledger
{
public:
    explicit Ledger(const CoreOptions &options);

    // The accounts and limits of the bundle in force. Shares outlive limits: an
    // account that returns has the shares that it had. Tokens are clipped.
    void setLimits(const std::vector<AccountLimit> &limits, Instant now);
    // Installs the member list: closes the accounts with expelled VMs, adopts the
    // merged grants, and resets all shares when this VM's own membership is new.
    // Ignores a list of an older version.
    void setMembers(const MemberList &list, Instant now);
    void setPeers(const std::vector<LedgerPeer> &peers);
    // A leaving VM lends everything that is requested and reserves nothing.
    void setLeaving();

    // See BudgetHooks for the contracts. A clock that goes back counts as unchanged.
    std::optional<AccountId> acquireTokens(const std::vector<Debit> &debits, Instant now);
    void releaseTokens(const Debit &debit, Instant now);
    // Sets the tokens for which requests at this VM wait. `debit.tokens` replaces the
    // previous value; tokens acquired later are subtracted. Zero clears it.
    void want(const Debit &debit, Instant now);
    double available(const AccountId &account, Instant now) const;
    // Returns the spare tokens last reported by peers that may lend.
    double borrowable(const AccountId &id) const;
    bool isAnyWaiting() const;

    // Lends from idle shares. unacknowledgedCredits(to) contains the lent shares
    // from now on. Returns the remaining spare shares as hints.
    std::vector<SpareHint> lend(const VmId &to, const std::vector<RequestedAmount> &amounts,
                                Instant now, std::vector<TokenLoan> *tokenLoans);
    // Transfers idle shares of rate accounts to the account's hub, and idle tokens of
    // count accounts to VMs that have fewer. The next heartbeat carries them.
    void redistributeShares(Instant now);
    // Applies credits unless they belong to another membership of either end.
    void receiveCredits(const VmId &from, std::uint64_t senderEpoch, std::uint64_t receiverEpoch,
                        const std::vector<Credit> &credits, Instant now);
    // Applies the loans of a reply once, if it answers a request of this membership
    // in time.
    void receiveTokenLoans(const VmId &from, std::uint64_t senderEpoch, std::uint64_t receiverEpoch,
                           std::uint64_t number, const std::vector<TokenLoan> &tokenLoans,
                           Instant now);
    void receiveSpareHints(const VmId &from, const std::vector<SpareHint> &spareHints);
    void forgetPeer(const VmId &vm);

    // Returns the borrow requests that are due: for waiting requests, and for expected
    // demand.
    std::vector<LedgerRequest> dueRequests(Instant now);

    // Returns the totals that the peer may not have received. Every message with a
    // sequence number must carry all of them.
    std::vector<Credit> unacknowledgedCredits(const VmId &to, std::uint64_t sequence);
    std::vector<Closing> unacknowledgedClosings(const VmId &to, std::uint64_t sequence);
    // Returns the hints that changed since the last call for this peer.
    std::vector<SpareHint> changedSpareHints(const VmId &to, Instant now);
    // The peer has received everything up to this sequence number or newer totals.
    void acknowledge(const VmId &by, std::uint64_t sequence);

    // Returns the closing with each expelled member. It is final once the list version
    // that expels the member is installed.
    std::vector<Closing> closings() const;
    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t epochOf(const VmId &peer) const;
    bool isMember() const { return epoch_ != 0; }

    // For tests and metrics.
    std::int64_t share(const AccountId &account) const;
    std::int64_t microTokens(const AccountId &account, Instant now) const;
    // Return the shares given to and received from one membership of a peer. This VM
    // can't know how much of the given share the peer has received.
    std::int64_t given(const AccountId &account, const VmId &peer, std::uint64_t epoch) const;
    std::int64_t received(const AccountId &account, const VmId &peer, std::uint64_t epoch) const;

private:
    struct MemberKey
    {
        VmId vm;
        std::uint64_t epoch = 0;

        friend bool operator<(const MemberKey &a, const MemberKey &b)
        {
            return a.vm == b.vm ? a.epoch < b.epoch : a.vm < b.vm;
        }
    };
    // The totals exchanged with one membership of a peer.
    struct TransferTotals
    {
        std::int64_t given = 0;
        std::int64_t tokensGiven = 0;
        std::int64_t received = 0;
        std::int64_t tokensReceived = 0;
        std::uint64_t sentSequence = 0; // the first that carried these totals; 0: none yet
        bool isAcknowledged = true;
    };
    // Tokens lent without a share, until they expire.
    struct OpenLoan
    {
        Instant until;
        std::int64_t tokens = 0; // micro-tokens
    };
    struct PendingRequest
    {
        VmId vm;
        Instant at;
        std::vector<RequestedAmount> amounts;
    };
    struct Account
    {
        bool hasLimit = false;
        bool isCount = false;
        bool isSharedByTeams = false;
        std::int64_t rate = 0;  // micro-tokens a second
        std::int64_t burst = 0; // micro-tokens
        std::int64_t grant = 0; // parts per billion
        std::int64_t share = 0; // grant plus all received less all given shares
        std::map<MemberKey, TransferTotals> totalsByMember;
        std::vector<OpenLoan> lent;     // loans that others may still spend
        std::vector<OpenLoan> borrowed; // loans that this VM may spend
        std::int64_t tokens = 0;        // micro-tokens, of a rate account
        std::int64_t remainder = 0;     // of the last refill, in 1e-15 micro-tokens
        std::int64_t inUse = 0;         // micro-tokens, of a count account
        Instant refilledAt = Instant::never();
        // Policy only; never part of the bound.
        std::int64_t waiting = 0; // micro-tokens
        double demand = 0;        // micro-tokens a second, smoothed
        double tokensSpent = 0;   // micro-tokens since the demand was last smoothed
        Instant demandUpdatedAt = Instant::never();
        Instant nextPrefetchAt = Instant::never();
        Instant nextRedistributionAt = Instant::never();
        std::map<VmId, std::int64_t> spareShares; // last hint of each peer, parts per billion
        std::map<VmId, std::int64_t> sentHints;   // last hint sent to each peer, parts per billion
        std::vector<VmId> hubs;                   // nearest first; this VM may be one
        std::uint64_t hubsVersion = 0;            // of the lenders that they were chosen from
        Instant nextRequestAt = Instant::never();
        int incompleteRounds = 0; // of requests that were not granted in full
        std::int64_t pending = 0; // micro-tokens requested, without a reply yet
        std::size_t rotation = 0; // of the lenders of a count account
    };
    struct PeerState
    {
        std::uint64_t epoch = 0;
        Revision minViewRevision; // lends only to a peer that holds this version or newer
        LedgerPeer info;
        bool isListed = false;
        std::uint64_t closingsSequence = 0;
        bool areClosingsAcknowledged = true;
    };

    Account &account(const AccountId &id);
    const Account *findAccount(const AccountId &id) const;
    void recomputeShare(Account &account);
    static std::int64_t capacity(const Account &account, std::int64_t share);
    static std::int64_t unlentCapacity(const Account &account);
    static std::int64_t spendable(const Account &account);
    static std::int64_t totalTokens(const std::vector<OpenLoan> &loans);
    static void dropExpired(std::vector<OpenLoan> &loans, Instant now);
    static void spend(Account &account, std::int64_t tokens);
    void lendTokens(Account &account, std::int64_t tokens, Instant now,
                    std::vector<TokenLoan> *tokenLoans);
    void refill(Account &account, Instant now) const;
    void updateDemand(Account &account, Instant now) const;
    void resetShares(Instant now);
    void dropTotalsOfRemovedMembers(const MemberList &list);
    bool mayLendTo(const PeerState &peer) const;
    std::int64_t retainedShare(const Account &account) const;
    std::int64_t neededShare(const Account &account) const;
    std::int64_t reservedTokens(const Account &account) const;
    std::int64_t spareShare(const Account &account) const;
    void transferShare(Account &account, const MemberKey &to, std::int64_t share,
                       std::int64_t tokens);
    void lendRate(Account &account, const MemberKey &to, const RequestedAmount &requested,
                  Instant now, std::vector<TokenLoan> *tokenLoans);
    void lendCount(Account &account, const MemberKey &to, std::int64_t tokens);
    std::optional<RequestedAmount> shortage(const AccountId &id, Account &account, Instant now);
    bool isHintWanted(const AccountId &id, Account &account, const VmId &to) const;
    void finishRequest(const PendingRequest &pendingRequest,
                       const std::vector<TokenLoan> &tokenLoans);
    void dropOverdueRequests(Instant now);
    void addRequests(const AccountId &id, Account &account, const RequestedAmount &requested,
                     Instant now, std::map<VmId, BorrowRequest> &requests);
    const std::vector<VmId> &hubsOf(const AccountId &id, Account &account) const;
    std::vector<VmId> chooseHubs(const AccountId &id, const Account &account) const;
    std::vector<VmId> otherHubs(const Account &account) const;
    bool isHub(const Account &account) const;
    void returnSharesToHub(Account &account);
    void balanceHubs(Account &account);
    void distributeCount(Account &account);
    std::vector<VmId> lendablePeers() const;
    std::vector<VmId> peersByDistance() const;
    std::vector<VmId> nextLenders(const AccountId &id, Account &account);

    CoreOptions options_;
    std::map<AccountId, Account> accounts_;
    std::map<VmId, PeerState> peers_;
    std::vector<VmId> lenders_; // as of the last setPeers
    MemberList list_;
    std::uint64_t epoch_ = 0; // of this VM's membership; 0: none
    std::uint64_t lendersVersion_ = 1;
    bool isLeaving_ = false;
    std::uint64_t lastRequestNumber_ = 0;
    std::map<std::uint64_t, PendingRequest>
        pendingRequests_; // requests without a reply, by their number
};

} // namespace bluebellshift::core
