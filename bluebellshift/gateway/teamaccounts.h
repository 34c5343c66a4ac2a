// The accounts of the teams that this VM keeps for all VMs: what each team may still
// spend of its rate and burst, and so which part of its requests all VMs may admit.
//
//   TeamAccounts accounts(bounds);
//   accounts.setConfig(*config, now);
//   accounts.setFleet(1.0, 1.0, now);
//   accounts.open(team, now);                    // this VM keeps the account from now on
//   accounts.onSpending(vm, incarnation, spending, now);
//   for (const TeamAdmission &admission : accounts.admissions(now))
//       ... // goes to every VM
//
// An account is a token bucket of the whole fleet's rate, burst and a part of the
// users' slack. VMs admit first and tell what they admitted soon after, so that a
// request of a team within its limit waits for nobody. While the bucket holds tokens
// for the demand, everything is admitted; as it empties, the part that is admitted
// falls, continuously, to what is refilled. Debt is paid back by admitting less.
//
// A VM that has just begun to keep an account does not know what was spent before; each
// VM tells it what it admitted lately, and the bucket begins with what that leaves.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

// Names a team in messages between VMs.
using TeamHash = std::uint32_t;
TeamHash hashOf(const TeamId &team);

class TeamAccounts
{
public:
    static constexpr double slackFraction =
        0.35; // part of the bounds' slack; the rest is for delays
    // A new account answers only once the VMs have told what they spent lately.
    static constexpr Duration settlingTime = Duration::millis(400);
    // Time constant with which the fleet's demand of a team is smoothed.
    static constexpr Duration demandTimeConstant = Duration::millis(700);
    // The tokens of that much time of the rate double what is admitted, or end it.
    static constexpr Duration controlTime = Duration::millis(500);
    static constexpr double minControlTokens = 2;    // tokens, for small teams
    static constexpr double minReportedChange = 0.1; // a change of the admitted part worth telling

    explicit TeamAccounts(const FleetBounds &bounds)
        : bounds_(bounds)
    {
    }

    void setConfig(const TrafficConfig &config, Instant now);
    // `liveShare` of the VMs are heard, this one included: the others may be spending
    // unseen, and keep their part of every limit. `knownShare` of the VMs have told what
    // they spent within the users' quota window.
    void setFleet(double liveShare, double knownShare, Instant now);

    void open(TeamHash team, Instant now);
    void close(TeamHash team) { accounts_.erase(team); }

    void onSpending(const VmId &vm, Incarnation incarnation, const TeamSpending &spending,
                    Instant now);

    // Empty: the account is not kept here, has not settled, or its team has no limit.
    std::optional<TeamAdmission> admission(TeamHash team, Instant now) const;
    // Of all accounts, to be told to all VMs.
    std::vector<TeamAdmission> admissions(Instant now) const;
    // Whether one has changed by more than minReportedChange since markReported().
    bool hasChanged(Instant now) const;
    void markReported(const std::vector<TeamAdmission> &reported);

private:
    struct Limit
    {
        double ratePerSecond = 0;
        double burst = 0; // requests
    };
    struct LastReport
    {
        Incarnation incarnation;
        std::uint64_t arrived = 0;
        std::uint64_t admitted = 0;
    };
    struct Level
    {
        Instant at;
        double tokens = 0; // negative: spent ahead
        double demand = 0; // arrivals, decaying with demandTimeConstant
    };
    struct Account
    {
        Instant openedAt;
        Level level;
        std::uint32_t reportedPermille = 0;
        std::unordered_map<VmId, LastReport> lastReports;
    };

    const Limit *limitOf(TeamHash team) const;
    double capacityOf(const Limit &limit) const;
    Level levelAt(const Account &account, const Limit &limit, Instant now) const;
    void updateLevels(Instant now);

    const FleetBounds &bounds_;
    double liveShare_ = 1;
    double knownShare_ = 0;
    std::unordered_map<TeamHash, Limit> limits_; // of the teams that have one
    std::unordered_map<TeamHash, Account> accounts_;
};

} // namespace bluebellshift::gateway
