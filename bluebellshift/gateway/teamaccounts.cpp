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

} // namespace

TeamHash hashOf(const TeamId &team)
{
    return static_cast<TeamHash>(hashText(team.text()));
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

void TeamAccounts::setFleet(double liveShare, double knownShare, Instant now)
{
    if (liveShare == liveShare_ && knownShare == knownShare_)
        return;
    updateLevels(now);
    liveShare_ = liveShare;
    knownShare_ = knownShare;
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
    if (isNew) {
        level.tokens -= spending.admittedInWindow;
        level.demand += spending.admittedInWindow * demandTimeConstant.toSeconds() / window;
    } else {
        if (lastReport.incarnation != incarnation)
            lastReport = {};
        level.tokens -= static_cast<double>(spending.admitted
                                            - std::min(lastReport.admitted, spending.admitted));
        level.demand +=
            static_cast<double>(spending.arrived - std::min(lastReport.arrived, spending.arrived));
    }
    lastReport = { incarnation, spending.arrived, spending.admitted };
    level.tokens = std::max(level.tokens, -limit->ratePerSecond * window);
    account.level = level;
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
    admission.requests = static_cast<std::uint32_t>(std::max(0.0, level.tokens + rate));
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
        if (found != accounts_.end())
            found->second.reportedPermille = one.permille;
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
