// The accounts of teams that this VM owns on behalf of all VMs: how many tokens of its rate
// and burst each team has left, and which fraction of its requests all VMs may admit.
//
//   TeamAccounts accounts(bounds);
//   accounts.setConfig(*config, now);
//   accounts.setFleet(1.0, 1.0, now);
//   accounts.open(team, now);                    // this VM owns the account from now on
//   accounts.onSpending(vm, incarnation, spending, now);
//   for (const TeamAdmission &admission : accounts.admissions(now))
//       ... // goes to every VM
//
// An account is a token bucket with the rate and burst of the whole fleet and a fraction of
// the bounds' slack. VMs admit requests first and report them soon after, so that a request
// of a team within its limit never waits for a message. While the bucket holds tokens for
// the demand, all requests are admitted. As it empties, the admitted fraction falls
// continuously to the refill rate. Debt is repaid by admitting less.
//
// A VM that has just become the owner doesn't know what was spent before. Each VM reports
// what it admitted within the quota window, and the bucket starts with the remainder.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

// Identifies a team in messages between VMs.
using TeamHash = std::uint32_t;
TeamHash hashOf(const TeamId &team);

// What one VM may admit on the word of an account's owner before it needs a newer one: its part
// of `admission.requests` by the demand that it had, with room for changes. `ownDemand` decays
// as TeamAdmission::demand.
double leaseRequests(const TeamAdmission &admission, double ownDemand, std::size_t vms);

class TeamAccounts
{
public:
    static constexpr double slackFraction = 0.15; // the rest of the slack covers delays
    // A new account grants no admission until the VMs have reported their recent spending.
    static constexpr Duration settlingTime = Duration::millis(400);
    // Time constant for smoothing a team's demand over the whole fleet.
    static constexpr Duration demandTimeConstant = Duration::millis(700);
    // Gain of the admitted rate: tokens for this time at the team's rate double it, a debt of
    // as many tokens reduces it to zero.
    static constexpr Duration controlTime = Duration::millis(500);
    static constexpr double minControlTokens = 2;    // tokens, for small teams
    static constexpr double minReportedChange = 0.1; // of the admitted fraction

    explicit TeamAccounts(const FleetBounds &bounds)
        : bounds_(bounds)
    {
    }

    void setConfig(const TrafficConfig &config, Instant now);
    // `liveShare` is the share of the VMs that are in touch, including this one. The others may
    // still be admitting requests and keep their share of every limit. `knownShare` is the share
    // of VMs that have reported their spending of the whole quota window.
    // `outOfTouch` are the others: an account is charged what each may still admit on the last
    // word that it may have received.
    void setFleet(double liveShare, double knownShare, const std::vector<VmId> &outOfTouch,
                  std::size_t vms, Instant now);

    void open(TeamHash team, Instant now);
    void close(TeamHash team) { accounts_.erase(team); }

    void onSpending(const VmId &vm, Incarnation incarnation, const TeamSpending &spending,
                    Instant now);

    // Empty: this VM doesn't own the account, it has not settled, the team has no limit, or so few
    // VMs are live that their part of the account never holds a whole request.
    std::optional<TeamAdmission> admission(TeamHash team, Instant now) const;
    // The admissions of all accounts, to be sent to all VMs.
    std::vector<TeamAdmission> admissions(Instant now) const;
    // Whether an admission has changed by more than minReportedChange since markReported().
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
        double demand = 0; // arrivals, decaying with demandTimeConstant
        Instant demandAt;
        std::uint64_t admittedSinceWord = 0; // since markReported()
    };
    struct Level
    {
        Instant at;
        double tokens = 0; // negative: debt
        double demand = 0; // arrivals, decaying with demandTimeConstant
    };
    struct Account
    {
        Instant openedAt;
        Level level;
        std::uint32_t reportedPermille = 0;
        std::unordered_map<VmId, LastReport> lastReports;
        std::unordered_map<VmId, double> charges; // of VMs out of touch, not yet settled
        bool isWordDue = false; // a VM has used much of what it may admit
    };

    const Limit *limitOf(TeamHash team) const;
    double capacityOf(const Limit &limit) const;
    Level levelAt(const Account &account, const Limit &limit, Instant now) const;
    void updateLevels(Instant now);
    void chargeOutOfTouch(TeamHash team, Account &account, const std::vector<VmId> &outOfTouch,
                          Instant now);

    const FleetBounds &bounds_;
    double liveShare_ = 1;
    double knownShare_ = 0;
    std::vector<VmId> outOfTouch_;
    std::size_t vms_ = 1;
    std::unordered_map<TeamHash, Limit> limits_; // of teams with a limit
    std::unordered_map<TeamHash, Account> accounts_;
};

} // namespace bluebellshift::gateway
