// Holds the teams to their limits over all VMs: finds the VM that keeps each team's
// account, tells it what is admitted here, and follows what it allows.
//
//   TeamLimits limits(options, fleet, hooks);
//   limits.setConfig(*config, now);
//   limits.setVms(isLeaving, now);        // the VMs are known, or have changed
//   limits.quotas().take(team, now);      // each request
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
    std::function<void(Effect)> perform;
    std::function<void(core::LogRecord)> log;
};

class TeamLimits
{
public:
    // What was admitted of a team is told to the keeper of its account this much later,
    // with what came meanwhile.
    static constexpr Duration spendingDelay = Duration::millis(100);
    static constexpr std::uint32_t minLoggedPermilleChange =
        100; // permille; changes by more are logged

    TeamLimits(const GatewayOptions &options, const Fleet &fleet, TeamLimitsHooks hooks);

    void start(Instant now) { startedAt_ = now; }
    // Whether it started less than the users' quota window ago.
    bool isYoung(Instant now) const { return now - startedAt_ < options_.bounds.quotaWindow; }

    void setConfig(const TrafficConfig &config, Instant now);
    // Finds the keepers anew if the fleet or the teams have changed. Only once the
    // registry's VMs are known: before, every account would seem to be this VM's.
    void setVms(bool isLeaving, Instant now);

    TeamQuotas &quotas() { return quotas_; }
    // Requests may have been counted; call after each event.
    void scheduleSpendingReport(Instant now);

    // What another VM allows of the teams whose account it keeps.
    void onReport(const VmId &from, const VmReport &report);
    // What another VM has admitted.
    void onSpending(const VmId &from, Incarnation incarnation, const SpendingReport &spending,
                    Instant now);

    void onTimer(Instant now);
    Instant nextWake() const { return spendingDueAt_; } // never: nothing to tell

    // What this VM allows as a keeper, whether it has changed by much since it was told, and
    // that it is told now.
    std::vector<TeamAdmission> admissions(Instant now) const { return accounts_.admissions(now); }
    bool hasChanged(Instant now) const { return accounts_.hasChanged(now); }
    void markReported(const std::vector<TeamAdmission> &reported)
    {
        accounts_.markReported(reported);
    }
    // This VM follows what it allows itself.
    void applyOwnAdmissions(Instant now);

private:
    struct Owner
    {
        std::optional<VmId> vm; // empty: this VM
        std::uint32_t loggedPermille = 1000;
    };

    void changeOwner(TeamHash team, Owner &owner, std::optional<VmId> vm, Instant now);
    void applyAdmission(TeamHash team, const TeamAdmission &admission);
    void reportSpending(Instant now);

    const GatewayOptions &options_;
    const Fleet &fleet_;
    const TeamLimitsHooks hooks_;
    TeamQuotas quotas_;
    TeamAccounts accounts_;
    std::unordered_map<TeamHash, Owner> owners_;
    std::uint64_t fleetVersion_ = 0; // for which they were found
    bool haveTeamsChanged_ = true;   // since then
    Instant spendingDueAt_ = Instant::never();
    Instant startedAt_;
};

} // namespace bluebellshift::gateway
