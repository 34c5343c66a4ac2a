#include "bluebellshift/gateway/teamlimits.h"

#include <cstdlib>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

TeamLimits::TeamLimits(const GatewayOptions &options, const Fleet &fleet, TeamLimitsHooks hooks)
    : options_(options)
    , fleet_(fleet)
    , hooks_(std::move(hooks))
    , quotas_(options.bounds,
              mixHashes(hashText(options.vm.id.text()), options.vm.incarnation.number()))
    , accounts_(options.bounds)
{
}

void TeamLimits::setConfig(const TrafficConfig &config, Instant now)
{
    quotas_.setConfig(config, now);
    accounts_.setConfig(config, now);
    haveTeamsChanged_ = true;
}

void TeamLimits::setVms(bool isLeaving, Instant now)
{
    if (!haveTeamsChanged_ && fleet_.version() == fleetVersion_)
        return;
    haveTeamsChanged_ = false;
    fleetVersion_ = fleet_.version();
    quotas_.setVmCount(fleet_.vmCount(), now);
    accounts_.setFleet(fleet_.shareInTouch(now), fleet_.settledShare(isYoung(now), now),
                       fleet_.vmsOutOfTouch(now), fleet_.vmCount(), now);
    std::unordered_map<TeamHash, Owner> before = std::exchange(owners_, {});
    for (const TeamHash team : quotas_.limitedTeams()) {
        const auto known = before.find(team);
        Owner &owner = owners_[team];
        if (known != before.end())
            owner = known->second;
        std::optional<VmId> vm = fleet_.accountOwner(team, isLeaving, now);
        if (known == before.end() || vm != owner.vm)
            changeOwner(team, owner, std::move(vm), now);
    }
    for (const auto &[team, owner] : before) {
        if (owners_.count(team) == 0)
            accounts_.close(team);
    }
    if (quotas_.hasSpending())
        reportSpending(now);
}

void TeamLimits::changeOwner(TeamHash team, Owner &owner, std::optional<VmId> vm, Instant now)
{
    owner.vm = std::move(vm);
    if (owner.vm)
        accounts_.close(team);
    else
        accounts_.open(team, now);
    const TeamAdmission *reported = owner.vm ? fleet_.admissionOf(*owner.vm, team) : nullptr;
    if (reported != nullptr)
        applyAdmission(team, *reported, fleet_.leaseEnd(*owner.vm), now);
    else
        quotas_.dropAdmission(team);
    quotas_.markForReport(team);
}

void TeamLimits::scheduleSpendingReport(Instant now)
{
    if (quotas_.hasSpending() && spendingDueAt_ == Instant::never())
        spendingDueAt_ = now + spendingDelay;
}

void TeamLimits::onReport(const VmId &from, const VmReport &report, Instant now)
{
    if (!fleet_.isInTouch(from, now)) // it doesn't count what this VM admits
        return;
    for (const TeamAdmission &admission : report.admissions) {
        const auto owner = owners_.find(admission.team);
        if (owner != owners_.end() && owner->second.vm == from)
            applyAdmission(admission.team, admission, fleet_.leaseEnd(from), now);
    }
}

void TeamLimits::onSpending(const VmId &from, Incarnation incarnation,
                            const SpendingReport &spending, Instant now)
{
    for (const TeamSpending &one : spending.teams)
        accounts_.onSpending(from, incarnation, one, now);
    applyOwnAdmissions(now);
}

void TeamLimits::onTimer(Instant now)
{
    if (spendingDueAt_ != Instant::never() && now >= spendingDueAt_)
        reportSpending(now);
}

void TeamLimits::applyOwnAdmissions(Instant now)
{
    for (const auto &[team, owner] : owners_) {
        if (owner.vm)
            continue;
        if (const auto admission = accounts_.admission(team, now))
            applyAdmission(team, *admission, now + Fleet::hearingTimeout, now);
        else
            quotas_.dropAdmission(team);
    }
}

void TeamLimits::applyAdmission(TeamHash team, const TeamAdmission &admission, Instant until,
                                Instant now)
{
    quotas_.setAdmission(admission, until, now);
    Owner &owner = owners_[team];
    const auto change = static_cast<std::int64_t>(admission.permille) - owner.loggedPermille;
    if (std::abs(change) < minLoggedPermilleChange)
        return;
    hooks_.log({ core::log::admissionMoved,
                 { { "team", quotas_.nameOf(team).text() },
                   { "permille", std::to_string(admission.permille) },
                   { "previous", std::to_string(owner.loggedPermille) },
                   { "requests", std::to_string(admission.requests) },
                   { "keeper", owner.vm ? owner.vm->text() : options_.vm.id.text() } } });
    owner.loggedPermille = admission.permille;
}

void TeamLimits::reportSpending(Instant now)
{
    spendingDueAt_ = Instant::never();
    std::map<VmId, SpendingReport> reports;
    for (const TeamSpending &spending : quotas_.takeSpending(now)) {
        const auto owner = owners_.find(spending.team);
        if (owner == owners_.end())
            continue; // reported again once the owner is known
        if (owner->second.vm)
            reports[*owner->second.vm].teams.push_back(spending);
        else
            accounts_.onSpending(options_.vm.id, options_.vm.incarnation, spending, now);
    }
    for (auto &[vm, spending] : reports)
        hooks_.sendSpending(SendSpending { vm, std::move(spending) });
    applyOwnAdmissions(now);
}

} // namespace bluebellshift::gateway
