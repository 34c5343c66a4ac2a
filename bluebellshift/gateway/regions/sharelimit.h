// Limits how fast the regions in which callers' requests run may change.
//
//   ShareLimit limit(options, hooks);
//   ShareLimit::Open open = limit.openRegions(now);
//   if (limit.isOpen(open, regionIndex)) ...         // it may take the next request
//   limit.onSent(regionIndex, now);
//   limit.onNotRun(regionIndex, now);                // if it was rejected
//   report.regionRequests = limit.report(now);       // for the other VMs of this region
//
// The users bound the share of a region's requests that change their region between two
// adjoining windows of 2 s. The bound is one of all VMs of the callers' region together. Each VM
// therefore adds up what they report, and keeps its own requests to each region, and to each set of
// regions, below its latest share plus maxGrowth. A request for which only closed regions have room
// waits or is refused.
//
// Not limited: requests that may not run in all regions, what a region can't serve because it has
// lost targets, and all requests while a fault is near. TargetPool also sends requests to the homes
// of their objects that RegionPlan names, which limits their shares itself.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway::regions {

// One value for each region, in the order of ShareLimit::regions().
using RegionValues = std::vector<double>;

class ShareLimit
{
public:
    static constexpr Duration window = Duration::seconds(2);
    static constexpr std::size_t binCount = 8; // of a window
    // The increase of the share of a set of regions over that of the latest window: a share grows
    // by little more than this within a window.
    static constexpr double maxGrowth = 0.085;
    // The same for a set with the own region. A late return costs callers a round trip, an early
    // one the time in a queue until the requests have left again.
    static constexpr double maxReturn = 0.07;
    // The random deviation of few requests takes a part of both: this over the root of their
    // number.
    static constexpr double randomPart = 5;
    static constexpr double minCertainty = 0.3;
    // A window with fewer requests, of all VMs of this region together, is not limited.
    static constexpr double minRequests = 10;
    // Weights, in requests: of the shares before the window, and of the region's shares against
    // this VM's own.
    static constexpr double earlierWeight = 20;
    static constexpr double regionWeight = 20;
    static constexpr Duration earlierTime = Duration::seconds(2); // time constant
    static constexpr Duration updateInterval = Duration::millis(50);
    // Share of all slots assumed to be in use before the first request. Too little would fill the
    // own region beyond its slots, which costs callers far more than some round trips to others.
    static constexpr double expectedUtilization = 1;
    // A region that loses more than this fraction of its slots within some seconds gives up that
    // fraction of its requests at once.
    static constexpr double minLoss = 0.1;
    static constexpr Duration lossTime = Duration::seconds(4); // time constant
    // What was not sent and may be later: a fraction of this VM's requests in a window, in
    // requests.
    static constexpr double creditFraction = 0.05;
    static constexpr double maxCredit = 3;
    static constexpr double maxDebt = 3; // requests beyond a limit that are made up for
    // With more regions, only single regions and all but one are limited.
    static constexpr std::size_t maxRegionsForAllSets = 4;

    using Open = std::vector<bool>; // empty: all

    struct Hooks
    {
        // The requests that the other VMs of this VM's region reported.
        std::function<RegionValues(Instant now)> othersSent;
        std::function<bool(Instant now)> isNearFault;
        std::function<RegionValues(Instant now)> usableSlots;
        std::function<std::size_t(Instant now)> vmsInRegion; // live, with this VM
        std::function<double()> regionShare; // this region's expected share of all requests
    };

    ShareLimit(const GatewayOptions &options, Hooks hooks);

    const std::vector<RegionId> &regions() const { return regions_; }
    // Returns regions().size() for an unknown region, which is always open.
    std::size_t indexOf(const RegionId &region) const;
    bool isOpen(const Open &open, std::size_t region) const
    {
        return region >= open.size() || open[region];
    }

    // The regions that may take the next request.
    Open openRegions(Instant now) const;
    void onSent(std::size_t region, Instant now);
    // Takes back onSent(): the request did not run.
    void onNotRun(std::size_t region, Instant now);

    // What this VM sent to each region in the latest window.
    std::vector<std::uint32_t> report(Instant now) const;

    // The expected shares of the requests before the first one: the own region serves what
    // its slots can, the others the rest in proportion to their slots.
    static RegionValues expectedShares(const RegionValues &slots, std::size_t own,
                                       double regionShare);

private:
    // The share of a set of regions must not exceed maxShare.
    struct SetLimit
    {
        std::uint64_t regions = 0; // a bit for each
        double maxShare = 1;
        double credit = 0; // requests that may still be sent, from -maxDebt to Flow::maxCredit

        bool contains(std::size_t region) const { return (regions >> region & 1) != 0; }
        double next() const { return credit + maxShare; } // 1 or more: it may take a request
    };
    struct Flow
    {
        // Requests sent to each region.
        std::array<RegionValues, binCount> bins;
        std::int64_t newestBin = 0;
        std::vector<SetLimit> limits;
        double maxCredit = 1;
        RegionValues earlier; // shares, smoothed
        RegionValues peakSlots;
        bool isLimited = false;
        Instant updatedAt = Instant::never();
    };

    Flow &flowAt(Instant now) const;
    void count(std::size_t region, int requests, Instant now);
    RegionValues countsInWindow(Instant now) const;
    void update(Instant now) const;
    void updateLimits(const RegionValues &own, const RegionValues &shares,
                      const RegionValues &slots, double certainty) const;
    void updatePeaks(const RegionValues &slots, Duration passed) const;
    std::vector<SetLimit> makeLimits() const;

    const GatewayOptions &options_;
    const Hooks hooks_;
    std::vector<RegionId> regions_;
    std::size_t own_ = 0; // index of this VM's region
    mutable Flow flow_;   // updated every updateInterval
};

} // namespace bluebellshift::gateway::regions
