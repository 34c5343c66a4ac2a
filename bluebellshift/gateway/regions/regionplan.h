// Divides the requests of this VM's region among the regions whose targets serve them.
//
//   RegionPlan plan(seed);
//   plan.update(RegionPlan::sharesFor(slots, demand, own), slots, loads, isNearFault, now);
//   std::size_t region = plan.next(isUsable);   // for a request
//   plan.onPlanned(region);                     // whether it is sent or refused
//
// A region serves its own requests as far as it has slots for them. The rest goes to the regions
// that have slots left, in proportion to these. All VMs of a region know the same slots and the
// same demand, and so compute the same shares without messages. While the targets of a region
// report more load than they can serve in time, its share moves on to regions whose targets report
// less.
//
// Requests are dealt out to the regions in turn, in proportion to the shares, so that a region's
// share of any few requests in a row is its share of all.
//
// From the first request on, the shares move slowly, as the users bound the share of a region's
// requests that change their region; faster only while a fault is near.
#pragma once

#include <functional>
#include <optional>

#include "bluebellshift/gateway/regions/sharelimit.h"

namespace bluebellshift::gateway::regions {

class RegionPlan
{
public:
    // `seed`: differs between VMs, which otherwise would all begin with the same region.
    explicit RegionPlan(std::uint64_t seed = 0)
        : seed_(seed)
    {
    }

    // The share of the requests that may change their region within ShareLimit::window. The rest of
    // the users' bound is left to random variation and to requests that are rejected.
    static constexpr double maxChange = 0.07;
    static constexpr double changeNearFault = 4; // times as much
    // Running and waiting requests for each slot, above which a region is full.
    static constexpr double fullLoad = 1;
    static constexpr double assumedLoad = 0.5; // of a region that reports none
    // The share of the latest requests that a region may be ahead of its share.
    static constexpr double maxAhead = 0.04;
    // The share of the requests that the loads may move away from homeShares(): an object has homes
    // by the latter.
    static constexpr double maxMoved = 0.2;

    // `slots`: that each region has for a service. `demand`: each region's share of all requests.
    // `own`: index of the region whose requests are divided. All zero if there are no slots.
    static RegionValues sharesFor(const RegionValues &slots, const RegionValues &demand,
                                  std::size_t own);

    // Moves the shares towards `wanted`, or away from regions that are full. `loads`: the load that
    // each region's targets report, if any.
    void update(const RegionValues &wanted, const RegionValues &slots,
                const std::vector<std::optional<double>> &loads, bool isNearFault, Instant now);
    // By which requests are dealt out. Empty before the first update.
    const RegionValues &shares() const { return shares_; }
    // The same without the correction by loads, which differ from VM to VM: the shares by which
    // objects get homes.
    const RegionValues &homeShares() const { return homeShares_; }

    // The region that is to serve the next request, of those that are usable for it.
    std::optional<std::size_t> next(const std::function<bool(std::size_t region)> &isUsable) const;
    // A request is to be served by the region. Those that are refused count too: else all would be
    // dealt out to a region that has no room, while others have.
    void onPlanned(std::size_t region, Instant now);
    // Whether a request that finds no free slot in its region may be served by this one instead.
    bool mayTakeOver(std::size_t region, Instant now) const;
    // A request is served by another region than planned.
    void onMoved(std::size_t from, std::size_t to);

private:
    static void moveTowards(const RegionValues &wanted, double most, RegionValues *shares);
    bool moveFromFull(const RegionValues &slots, const std::vector<std::optional<double>> &loads,
                      double most);

    static constexpr double maxCredit = 3; // requests, at least
    double slack(Instant now) const;

    RegionValues homeShares_;
    RegionValues shares_;
    RegionValues credits_; // requests that each region is behind its share
    double recent_ = 0;    // requests, decaying with ShareLimit::window
    Instant recentAt_ = Instant::never();
    std::uint64_t seed_;
    bool hasBegun_ = false; // a request was dealt out
    Instant updatedAt_ = Instant::never();
};

} // namespace bluebellshift::gateway::regions
