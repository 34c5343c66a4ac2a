// The part that is admitted follows from the tokens and the demand alone:
//
//   admitted rate = rate * (1 + tokens / (rate * steerTime)), at least 0
//
// With a demand above the rate the tokens settle at zero and the fleet admits its rate;
// a delay of news shorter than steerTime keeps this from swinging. Cost: a few
// operations for each message, whatever the number of VMs.
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
    bringUpToDate(now);
    limits_.clear();
    for (const Team &team : config.teams) {
        if (team.ratePerSecond > 0)
            limits_[hashOf(team.id)] = { team.ratePerSecond, team.burst };
    }
}

void TeamAccounts::setFleet(double heardPart, double knownPart, Instant now)
{
    if (heardPart == heardPart_ && knownPart == knownPart_)
        return;
    bringUpToDate(now);
    heardPart_ = heardPart;
    knownPart_ = knownPart;
}

void TeamAccounts::open(TeamHash team, Instant now)
{
    const auto [position, isNew] = accounts_.try_emplace(team);
    if (!isNew)
        return;
    Account &account = position->second;
    account.openedAt = now;
    account.level.at = now;
    // What the window would have brought, less what the VMs will tell that they spent.
    if (const Limit *limit = limitOf(team)) {
        account.level.tokens = limit->ratePerSecond * bounds_.quotaWindow.toSeconds()
            * std::min(heardPart_, knownPart_);
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
    const auto [position, isNew] = account.seen.try_emplace(vm);
    Seen &seen = position->second;
    if (isNew) {
        level.tokens -= spending.admittedInWindow;
        level.demand += spending.admittedInWindow * demandMemory.toSeconds() / window;
    } else {
        if (seen.incarnation != incarnation)
            seen = {};
        level.tokens -=
            static_cast<double>(spending.admitted - std::min(seen.admitted, spending.admitted));
        level.demand +=
            static_cast<double>(spending.arrived - std::min(seen.arrived, spending.arrived));
    }
    seen = { incarnation, spending.arrived, spending.admitted };
    level.tokens = std::max(level.tokens, -limit->ratePerSecond * window);
    account.level = level;
}

std::optional<TeamAdmission> TeamAccounts::admission(TeamHash team, Instant now) const
{
    const auto found = accounts_.find(team);
    const Limit *limit = limitOf(team);
    if (found == accounts_.end() || limit == nullptr || now - found->second.openedAt < settleTime)
        return std::nullopt;
    const Level level = levelAt(found->second, *limit, now);
    const double rate = limit->ratePerSecond * heardPart_;
    const double steer = std::max(steerLeast, rate * steerTime.toSeconds());
    const double admitted = std::max(0.0, rate * (1 + level.tokens / steer));
    const double demand = level.demand / demandMemory.toSeconds();
    TeamAdmission admission;
    admission.team = team;
    const double part = demand > admitted ? admitted / demand : 1;
    admission.permille = static_cast<std::uint32_t>(std::lround(part * permille));
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

bool TeamAccounts::hasMoved(Instant now) const
{
    for (const auto &[team, account] : accounts_) {
        const auto one = admission(team, now);
        if (!one)
            continue;
        const double moved = std::abs(static_cast<double>(one->permille)
                                      - static_cast<double>(account.toldPermille));
        if (moved > movedLeast * permille)
            return true;
    }
    return false;
}

void TeamAccounts::noteTold(const std::vector<TeamAdmission> &told)
{
    for (const TeamAdmission &one : told) {
        const auto found = accounts_.find(one.team);
        if (found != accounts_.end())
            found->second.toldPermille = one.permille;
    }
}

const TeamAccounts::Limit *TeamAccounts::limitOf(TeamHash team) const
{
    const auto found = limits_.find(team);
    return found == limits_.end() ? nullptr : &found->second;
}

double TeamAccounts::sizeOf(const Limit &limit) const
{
    const double window = limit.ratePerSecond * bounds_.quotaWindow.toSeconds() + limit.burst;
    const double slack = window * bounds_.quotaOverage + bounds_.quotaSlack;
    return (limit.burst + slackUsed * slack) * heardPart_;
}

void TeamAccounts::bringUpToDate(Instant now)
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
    next.demand *= std::exp(-seconds / demandMemory.toSeconds());
    next.tokens += seconds * limit.ratePerSecond * heardPart_;
    // Until it has settled, what was spent lately is still to be taken from it.
    if (now - account.openedAt >= settleTime)
        next.tokens = std::min(next.tokens, sizeOf(limit));
    return next;
}

} // namespace bluebellshift::gateway
