// The admitted rate depends on the tokens only:
//
//   admitted rate = rate * (1 + tokens / (rate * controlTime)), at least 0
//
// The admitted fraction is that rate divided by the demand. With a demand above the rate,
// the tokens settle at zero and the fleet admits its rate. Reports that are delayed by less
// than controlTime don't make this oscillate. Each message costs a few operations,
// independent of the number of VMs.
#include "bluebellshift/gateway/teamaccounts.h"

#include <algorithm>
#include <cmath>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr double permille = 1000;
// Of what is left, divided among the VMs until the next word. More lets both sides of a partition
// exceed the bound; less refuses requests of a team that is within its rate.
constexpr double leaseFraction = 0.75;
constexpr double leaseDeviations = 2.5; // room for chance

double decayed(double demand, Duration age)
{
    return demand * std::exp(-age.toSeconds() / TeamAccounts::demandTimeConstant.toSeconds());
}

} // namespace

TeamHash hashOf(const TeamId &team)
{
    return static_cast<TeamHash>(hashText(team.text()));
}

double leaseRequests(const TeamAdmission &admission, double ownDemand, std::size_t vms)
{
    if (admission.demand == 0)
        return admission.requests;
    const double part = std::max(ownDemand / admission.demand, 1 / static_cast<double>(vms));
    const double mean = leaseFraction * part * admission.requests;
    return std::min<double>(admission.requests, 1 + mean + leaseDeviations * std::sqrt(mean));
}

void TeamAccounts::setConfig(const TrafficConfig &config, Instant now)
{
    updateLevels(now);
    limits_.clear();
    for (const Team &team : config.teams) {
        if (team.ratePerSecond > 0)
            limits_[hashOf(team.id)] = { team.ratePerSecond, team.burst };
    }
}

void TeamAccounts::setFleet(double liveShare, double knownShare,
                            const std::vector<VmId> &outOfTouch, std::size_t vms, Instant now)
{
    updateLevels(now);
    for (auto &[team, account] : accounts_)
        chargeOutOfTouch(team, account, outOfTouch, now);
    liveShare_ = liveShare;
    knownShare_ = knownShare;
    outOfTouch_ = outOfTouch;
    vms_ = vms;
}

void TeamAccounts::chargeOutOfTouch(TeamHash team, Account &account,
                                    const std::vector<VmId> &outOfTouch, Instant now)
{
    const auto word = admission(team, now);
    if (!word)
        return;
    double sum = 0;
    for (const VmId &vm : outOfTouch) {
        if (account.charges.count(vm) != 0)
            continue;
        const auto last = account.lastReports.find(vm);
        double demand = 0;
        if (last != account.lastReports.end())
            demand = decayed(last->second.demand, now - last->second.demandAt);
        const double charge = leaseRequests(*word, demand, vms_);
        account.charges.emplace(vm, charge);
        sum += charge;
    }
    // Of a VM that is in touch again and has spent nothing.
    for (auto charge = account.charges.begin(); charge != account.charges.end();) {
        const bool isOut =
            std::find(outOfTouch.begin(), outOfTouch.end(), charge->first) != outOfTouch.end();
        charge = isOut || charge->second > 0 ? std::next(charge) : account.charges.erase(charge);
    }
    const Limit *limit = limitOf(team);
    const double least = -limit->ratePerSecond * bounds_.quotaWindow.toSeconds();
    account.level.tokens = std::max(least, account.level.tokens - sum);
}

void TeamAccounts::open(TeamHash team, Instant now)
{
    const auto [position, isNew] = accounts_.try_emplace(team);
    if (!isNew)
        return;
    Account &account = position->second;
    account.openedAt = now;
    account.level.at = now;
    // The tokens of one window. What the VMs report as spent is then subtracted.
    if (const Limit *limit = limitOf(team)) {
        account.level.tokens = limit->ratePerSecond * bounds_.quotaWindow.toSeconds()
            * std::min(liveShare_, knownShare_);
    }
    for (const VmId &vm : outOfTouch_) // they use no word of this VM
        account.charges.emplace(vm, 0);
}

void TeamAccounts::onSpending(const VmId &vm, Incarnation incarnation, const TeamSpending &spending,
                              Instant now)
{
    const auto found = accounts_.find(spending.team);
    const Limit *limit = limitOf(spending.team);
    if (found == accounts_.end() || limit == nullptr)
        return;
    Account &account = found->second;
    Level level = levelAt(account, *limit, now);
    const double window = bounds_.quotaWindow.toSeconds();
    const auto [position, isNew] = account.lastReports.try_emplace(vm);
    LastReport &lastReport = position->second;
    double admitted = spending.admittedInWindow;
    double arrived = admitted * demandTimeConstant.toSeconds() / window;
    if (!isNew) {
        if (lastReport.incarnation != incarnation)
            lastReport = {};
        admitted = static_cast<double>(spending.admitted
                                       - std::min(lastReport.admitted, spending.admitted));
        arrived =
            static_cast<double>(spending.arrived - std::min(lastReport.arrived, spending.arrived));
    }
    level.tokens -= admitted;
    level.demand += arrived;
    const double demand = decayed(lastReport.demand, now - lastReport.demandAt) + arrived;
    const std::uint64_t sinceWord =
        lastReport.admittedSinceWord + static_cast<std::uint64_t>(admitted);
    lastReport = { incarnation, spending.arrived, spending.admitted, demand, now, sinceWord };
    // What it admitted while it was out of touch has been charged, in part or with too much.
    const auto charge = account.charges.find(vm);
    if (charge != account.charges.end()) {
        level.tokens += std::min(charge->second, admitted);
        charge->second = 0;
    }
    level.tokens = std::max(level.tokens, -limit->ratePerSecond * window);
    account.level = level;
    if (const auto word = admission(spending.team, now)) {
        const double half = leaseRequests(*word, demand, vms_) / 2;
        account.isWordDue |= static_cast<double>(sinceWord) > std::max(minControlTokens, half);
    }
}

std::optional<TeamAdmission> TeamAccounts::admission(TeamHash team, Instant now) const
{
    const auto found = accounts_.find(team);
    const Limit *limit = limitOf(team);
    if (found == accounts_.end() || limit == nullptr || now - found->second.openedAt < settlingTime)
        return std::nullopt;
    if (capacityOf(*limit) < 1)
        return std::nullopt;
    const Level level = levelAt(found->second, *limit, now);
    const double rate = limit->ratePerSecond * liveShare_;
    const double controlTokens = std::max(minControlTokens, rate * controlTime.toSeconds());
    const double admitted = std::max(0.0, rate * (1 + level.tokens / controlTokens));
    const double demand = level.demand / demandTimeConstant.toSeconds();
    TeamAdmission admission;
    admission.team = team;
    const double fraction = demand > admitted ? admitted / demand : 1;
    admission.permille = static_cast<std::uint32_t>(std::lround(fraction * permille));
    admission.requests = static_cast<std::uint32_t>(std::max(0.0, level.tokens + rate / 2));
    admission.demand = static_cast<std::uint32_t>(std::ceil(level.demand));
    return admission;
}

std::vector<TeamAdmission> TeamAccounts::admissions(Instant now) const
{
    std::vector<TeamAdmission> all;
    for (const auto &[team, account] : accounts_) {
        if (const auto one = admission(team, now))
            all.push_back(*one);
    }
    return all;
}

bool TeamAccounts::hasChanged(Instant now) const
{
    for (const auto &[team, account] : accounts_) {
        const auto one = admission(team, now);
        if (!one)
            continue;
        if (account.isWordDue)
            return true;
        const double change = std::abs(static_cast<double>(one->permille)
                                       - static_cast<double>(account.reportedPermille));
        if (change > minReportedChange * permille)
            return true;
    }
    return false;
}

void TeamAccounts::markReported(const std::vector<TeamAdmission> &reported)
{
    for (const TeamAdmission &one : reported) {
        const auto found = accounts_.find(one.team);
        if (found == accounts_.end())
            continue;
        found->second.reportedPermille = one.permille;
        found->second.isWordDue = false;
        for (auto &[vm, last] : found->second.lastReports)
            last.admittedSinceWord = 0;
    }
}

const TeamAccounts::Limit *TeamAccounts::limitOf(TeamHash team) const
{
    const auto found = limits_.find(team);
    return found == limits_.end() ? nullptr : &found->second;
}

double TeamAccounts::capacityOf(const Limit &limit) const
{
    const double window = limit.ratePerSecond * bounds_.quotaWindow.toSeconds() + limit.burst;
    const double slack = window * bounds_.quotaOverage + bounds_.quotaSlack;
    return (limit.burst + slackFraction * slack) * liveShare_;
}

void TeamAccounts::updateLevels(Instant now)
{
    for (auto &[team, account] : accounts_) {
        if (const Limit *limit = limitOf(team))
            account.level = levelAt(account, *limit, now);
    }
}

TeamAccounts::Level TeamAccounts::levelAt(const Account &account, const Limit &limit,
                                          Instant now) const
{
    Level next = account.level;
    const double seconds = (now - next.at).toSeconds();
    next.at = now;
    next.demand *= std::exp(-seconds / demandTimeConstant.toSeconds());
    next.tokens += seconds * limit.ratePerSecond * liveShare_;
    // Not capped until it has settled, since recent spending is still being subtracted.
    if (now - account.openedAt >= settlingTime)
        next.tokens = std::min(next.tokens, capacityOf(limit));
    return next;
}

} // namespace bluebellshift::gateway
