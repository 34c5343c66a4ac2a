#include "bluebellshift/gateway/teamlimits.h"

#include <cstdlib>

namespace bluebellshift::gateway {

TeamLimits::TeamLimits(const GatewayOptions &options, const Fleet &fleet, TeamLimitsHooks hooks)
    : options_(options)
    , fleet_(fleet)
    , hooks_(std::move(hooks))
    , quotas_(options.bounds)
    , accounts_(options.bounds)
{
}

void TeamLimits::setConfig(const TrafficConfig &config, Instant now)
{
    quotas_.setConfig(config, now);
    accounts_.setConfig(config, now);
    areTeamsNew_ = true;
}

void TeamLimits::setVms(bool isLeaving, Instant now)
{
    if (!areTeamsNew_ && fleet_.version() == fleetVersion_)
        return;
    areTeamsNew_ = false;
    fleetVersion_ = fleet_.version();
    quotas_.setVmCount(fleet_.vmCount(), now);
    accounts_.setFleet(fleet_.heardPart(now), fleet_.settledPart(isYoung(now), now), now);
    std::unordered_map<TeamHash, Keeper> before = std::exchange(keepers_, {});
    for (const TeamHash team : quotas_.limitedTeams()) {
        const auto known = before.find(team);
        Keeper &keeper = keepers_[team];
        if (known != before.end())
            keeper = known->second;
        std::optional<VmId> vm = fleet_.accountKeeper(team, isLeaving, now);
        if (known == before.end() || vm != keeper.vm)
            changeKeeper(team, keeper, std::move(vm), now);
    }
    for (const auto &[team, keeper] : before) {
        if (keepers_.count(team) == 0)
            accounts_.close(team);
    }
    if (quotas_.hasSpending())
        tellSpending(now);
}

void TeamLimits::changeKeeper(TeamHash team, Keeper &keeper, std::optional<VmId> vm, Instant now)
{
    keeper.vm = std::move(vm);
    if (keeper.vm)
        accounts_.close(team);
    else
        accounts_.open(team, now);
    const TeamAdmission *told = keeper.vm ? fleet_.admissionOf(*keeper.vm, team) : nullptr;
    if (told != nullptr)
        admitAs(team, *told);
    else
        quotas_.dropAdmission(team);
    quotas_.tellAgain(team);
}

void TeamLimits::noteRequests(Instant now)
{
    if (quotas_.hasSpending() && spendingDueAt_ == Instant::never())
        spendingDueAt_ = now + spendingDelay;
}

void TeamLimits::onReport(const VmId &from, const VmReport &report)
{
    for (const TeamAdmission &admission : report.admissions) {
        const auto keeper = keepers_.find(admission.team);
        if (keeper != keepers_.end() && keeper->second.vm == from)
            admitAs(admission.team, admission);
    }
}

void TeamLimits::onSpending(const VmId &from, Incarnation incarnation,
                            const SpendingReport &spending, Instant now)
{
    for (const TeamSpending &one : spending.teams)
        accounts_.onSpending(from, incarnation, one, now);
    followOwnAccounts(now);
}

void TeamLimits::onTimer(Instant now)
{
    if (spendingDueAt_ != Instant::never() && now >= spendingDueAt_)
        tellSpending(now);
}

void TeamLimits::followOwnAccounts(Instant now)
{
    for (const TeamAdmission &admission : accounts_.admissions(now))
        admitAs(admission.team, admission);
}

void TeamLimits::admitAs(TeamHash team, const TeamAdmission &admission)
{
    quotas_.setAdmission(admission);
    Keeper &keeper = keepers_[team];
    const auto moved = static_cast<std::int64_t>(admission.permille) - keeper.loggedPermille;
    if (std::abs(moved) < moveLogged)
        return;
    hooks_.log({ core::log::admissionMoved,
                 { { "team", quotas_.nameOf(team).text() },
                   { "permille", std::to_string(admission.permille) },
                   { "previous", std::to_string(keeper.loggedPermille) },
                   { "requests", std::to_string(admission.requests) },
                   { "keeper", keeper.vm ? keeper.vm->text() : options_.vm.id.text() } } });
    keeper.loggedPermille = admission.permille;
}

void TeamLimits::tellSpending(Instant now)
{
    spendingDueAt_ = Instant::never();
    std::map<VmId, SpendingReport> reports;
    for (const TeamSpending &spending : quotas_.takeSpending(now)) {
        const auto keeper = keepers_.find(spending.team);
        if (keeper == keepers_.end())
            continue; // told again once its keeper is known
        if (keeper->second.vm)
            reports[*keeper->second.vm].teams.push_back(spending);
        else
            accounts_.onSpending(options_.vm.id, options_.vm.incarnation, spending, now);
    }
    for (auto &[vm, spending] : reports)
        hooks_.perform(SendSpending { vm, std::move(spending) });
    followOwnAccounts(now);
}

} // namespace bluebellshift::gateway
