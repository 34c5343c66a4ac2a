// Shares by slots alone would send requests out of regions that have room for them. Shares by the
// load of regions alone would differ from VM to VM, and so would the homes of objects. The shares
// for homes therefore follow slots and demand, which all VMs know alike, and the load only decides
// which home of an object serves a request. It is the load of all targets of a region, which a VM
// sees in some responses a second, unlike that of a single target.
#include "bluebellshift/gateway/regions/regionplan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::regions {
namespace {

double sum(const RegionValues &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

double remaining(Duration passed)
{
    return std::exp(-passed.toSeconds() / ShareLimit::window.toSeconds());
}

// The share of requests that go to another region by `b` than by `a`.
double distance(const RegionValues &a, const RegionValues &b)
{
    double all = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        all += std::abs(a[i] - b[i]);
    return all / 2;
}

} // namespace

RegionValues RegionPlan::sharesFor(const RegionValues &slots, const RegionValues &demand,
                                   std::size_t own)
{
    RegionValues shares(slots.size(), 0);
    const double allSlots = sum(slots);
    const double allDemand = sum(demand);
    if (allSlots <= 0)
        return shares;
    const auto neededSlots = [&](std::size_t region) {
        return allDemand > 0 ? demand[region] / allDemand * allSlots : 0;
    };
    RegionValues free(slots.size(), 0);
    for (std::size_t i = 0; i < slots.size(); ++i)
        free[i] = i == own ? 0 : std::max(0.0, slots[i] - neededSlots(i));
    const double allFree = sum(free);
    const double needed = neededSlots(own);
    const bool isLocal = needed <= slots[own] || allFree <= 0;
    shares[own] = isLocal ? 1 : slots[own] / needed;
    for (std::size_t i = 0; i < slots.size() && !isLocal; ++i)
        shares[i] += (1 - shares[own]) * free[i] / allFree;
    return shares;
}

void RegionPlan::update(const RegionValues &wanted, const RegionValues &slots,
                        const std::vector<std::optional<double>> &loads, bool isNearFault,
                        Instant now)
{
    if (sum(wanted) <= 0)
        return;
    if (shares_.size() != wanted.size()) {
        credits_.clear();
        for (std::size_t i = 0; i < wanted.size(); ++i)
            credits_.push_back(toFraction(mixHashes(seed_, i)) * wanted[i]);
    }
    if (!hasBegun_ || shares_.size() != wanted.size()) {
        homeShares_ = wanted;
        shares_ = wanted;
        updatedAt_ = now;
        return;
    }
    const double seconds = std::min(now - updatedAt_, ShareLimit::window).toSeconds();
    updatedAt_ = now;
    const double most =
        maxChange * (isNearFault ? changeNearFault : 1) * seconds / ShareLimit::window.toSeconds();
    moveTowards(wanted, most, &homeShares_);
    if (!moveFromFull(slots, loads, most))
        moveTowards(homeShares_, most, &shares_);
}

void RegionPlan::moveTowards(const RegionValues &wanted, double most, RegionValues *shares)
{
    const double change = distance(*shares, wanted);
    const double part = change > most ? most / change : 1;
    for (std::size_t i = 0; i < shares->size(); ++i)
        (*shares)[i] += part * (wanted[i] - (*shares)[i]);
}

// Moves a share of the requests from the region with the highest load to those with room. Returns
// false if no region that serves requests is full, or all are.
bool RegionPlan::moveFromFull(const RegionValues &slots,
                              const std::vector<std::optional<double>> &loads, double most)
{
    std::optional<std::size_t> fullest;
    RegionValues room(shares_.size(), 0);
    for (std::size_t i = 0; i < shares_.size(); ++i) {
        const double load = loads[i].value_or(assumedLoad);
        room[i] = slots[i] * std::max(0.0, fullLoad - load);
        if (load > fullLoad && shares_[i] > 0 && (!fullest || load > *loads[*fullest]))
            fullest = i;
    }
    const double allRoom = sum(room);
    if (!fullest || allRoom <= 0)
        return false;
    const double left = std::max(0.0, maxMoved - distance(shares_, homeShares_));
    const double moved = std::min({ most, left, shares_[*fullest] });
    shares_[*fullest] -= moved;
    for (std::size_t i = 0; i < shares_.size(); ++i)
        shares_[i] += moved * room[i] / allRoom;
    return true;
}

std::optional<std::size_t>
RegionPlan::next(const std::function<bool(std::size_t region)> &isUsable) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
        if (!isUsable(i))
            continue;
        if (!best || credits_[i] + shares_[i] > credits_[*best] + shares_[*best])
            best = i;
    }
    return best;
}

void RegionPlan::onPlanned(std::size_t region, Instant now)
{
    hasBegun_ = true;
    recent_ = recent_ * remaining(now - recentAt_) + 1;
    recentAt_ = now;
    const double most = std::max(maxCredit, slack(now));
    for (std::size_t i = 0; i < credits_.size(); ++i) {
        const double change = shares_[i] - (i == region ? 1 : 0);
        credits_[i] = std::clamp(credits_[i] + change, -most, most);
    }
}

// The requests that a region may be ahead of its share.
double RegionPlan::slack(Instant now) const
{
    return std::max(1.0, maxAhead * recent_ * remaining(now - recentAt_));
}

bool RegionPlan::mayTakeOver(std::size_t region, Instant now) const
{
    return region < credits_.size() && credits_[region] - 1 >= -slack(now);
}

void RegionPlan::onMoved(std::size_t from, std::size_t to)
{
    credits_[from] += 1;
    credits_[to] -= 1;
}

} // namespace bluebellshift::gateway::regions
