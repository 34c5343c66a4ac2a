// Enforces the teams' limits over all VMs: finds the VM that owns each team's account,
// reports to it what this VM admitted, and applies the admissions that it returns.
//
//   TeamLimits limits(options, fleet, hooks);
//   limits.setConfig(*config, now);
//   limits.setVms(isLeaving, now);        // the VMs are known, or have changed
//   limits.quotas().take(team, now);      // for each request
//   limits.onTimer(now);                  // at or after nextWake()
//   report.admissions = limits.admissions(now); // goes to all VMs
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/fleet.h"
#include "bluebellshift/gateway/teamaccounts.h"
#include "bluebellshift/gateway/teamquotas.h"

namespace bluebellshift::gateway {

struct TeamLimitsHooks
{
    std::function<void(const SendSpending &)> sendSpending;
    std::function<void(core::LogRecord)> log;
};

class TeamLimits
{
public:
    // Admitted requests are reported to the owner of the account after this delay, together
    // with those admitted meanwhile.
    static constexpr Duration spendingDelay = Duration::millis(100);
    static constexpr std::uint32_t minLoggedPermilleChange = 100; // smaller ones are not logged

    TeamLimits(const GatewayOptions &options, const Fleet &fleet, TeamLimitsHooks hooks);

    void start(Instant now) { startedAt_ = now; }
    // Whether this VM started less than the quota window ago.
    bool isYoung(Instant now) const { return now - startedAt_ < options_.bounds.quotaWindow; }

    void setConfig(const TrafficConfig &config, Instant now);
    // Determines the owners again if the fleet or the teams have changed. Call only after the
    // registry of VMs has been listed: before that, this VM would own every account.
    void setVms(bool isLeaving, Instant now);

    TeamQuotas &quotas() { return quotas_; }
    // Call after each event, since it may have counted requests.
    void scheduleSpendingReport(Instant now);

    // Applies another VM's admissions for the accounts that it owns.
    void onReport(const VmId &from, const VmReport &report, Instant now);
    // Records what another VM has admitted.
    void onSpending(const VmId &from, Incarnation incarnation, const SpendingReport &spending,
                    Instant now);

    void onTimer(Instant now);
    Instant nextWake() const { return spendingDueAt_; } // never(): nothing to report

    // The admissions of this VM's accounts, whether they have changed much since they were
    // last reported to all VMs, and a call for when they are reported.
    std::vector<TeamAdmission> admissions(Instant now) const { return accounts_.admissions(now); }
    bool hasChanged(Instant now) const { return accounts_.hasChanged(now); }
    void markReported(const std::vector<TeamAdmission> &reported)
    {
        accounts_.markReported(reported);
    }
    // Applies the admissions of this VM's own accounts to its own requests.
    void applyOwnAdmissions(Instant now);

private:
    struct Owner
    {
        std::optional<VmId> vm; // empty: this VM
        std::uint32_t loggedPermille = 1000;
    };

    void changeOwner(TeamHash team, Owner &owner, std::optional<VmId> vm, Instant now);
    void applyAdmission(TeamHash team, const TeamAdmission &admission, Instant until, Instant now);
    void reportSpending(Instant now);

    const GatewayOptions &options_;
    const Fleet &fleet_;
    const TeamLimitsHooks hooks_;
    TeamQuotas quotas_;
    TeamAccounts accounts_;
    std::unordered_map<TeamHash, Owner> owners_;
    std::uint64_t fleetVersion_ = 0; // for which the owners were determined
    bool haveTeamsChanged_ = true;
    Instant spendingDueAt_ = Instant::never();
    Instant startedAt_;
};

} // namespace bluebellshift::gateway
