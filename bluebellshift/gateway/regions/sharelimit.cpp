// Each VM spends credits: a request adds the maximum share of a set of regions to the set's credit,
// and one that is sent into the set takes 1. So no set gets more than its maximum share of this
// VM's requests, but for one request. The credits begin at a random value, since otherwise all VMs
// of a fleet would send their first requests to the same region.
//
// Limits on single regions would not do: two regions that each grow a little take twice as much
// from a third.
//
// A price on regions that grow was tried first (regionflow.h). It makes shifts rarer but bounds
// none: where the queues of two regions differ by more than the price, it has no effect.
//
// The maximum share derives from the region-wide share of the latest window that this VM knows and
// from its own, whichever is less unless the set contains the own region: the former because the
// bound is of all VMs together, the latter because reports are up to two seconds old, during which
// a share may have fallen.
#include "bluebellshift/gateway/regions/sharelimit.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::regions {
namespace {

constexpr std::int64_t binMicros =
    ShareLimit::window.toMicros() / static_cast<std::int64_t>(ShareLimit::binCount);

double sum(const RegionValues &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::int64_t binAt(Instant now)
{
    return now.toMicros() / binMicros;
}

std::size_t positionOf(std::int64_t bin)
{
    return static_cast<std::size_t>(bin) % ShareLimit::binCount;
}

double remaining(Duration passed, Duration timeConstant)
{
    return std::exp(-passed.toSeconds() / timeConstant.toSeconds());
}

} // namespace

ShareLimit::ShareLimit(const GatewayOptions &options, Hooks hooks)
    : options_(options)
    , hooks_(std::move(hooks))
{
    std::set<RegionId> all { options.vm.region };
    for (const auto &[domain, region] : options.regionOf)
        all.insert(region);
    regions_.assign(all.begin(), all.end());
    own_ = indexOf(options.vm.region);
}

std::size_t ShareLimit::indexOf(const RegionId &region) const
{
    const auto found = std::lower_bound(regions_.begin(), regions_.end(), region);
    return found != regions_.end() && *found == region
        ? static_cast<std::size_t>(found - regions_.begin())
        : regions_.size();
}

RegionValues ShareLimit::expectedShares(const RegionValues &slots, std::size_t own,
                                        double regionShare)
{
    const double all = sum(slots);
    RegionValues shares(slots.size(), 0);
    if (all <= 0) {
        shares[own] = 1;
        return shares;
    }
    const double demand = std::max(1e-9, regionShare * expectedUtilization * all);
    const double local = slots[own] >= all ? 1 : std::min(1.0, slots[own] / demand);
    for (std::size_t i = 0; i < slots.size(); ++i)
        shares[i] = i == own ? local : (1 - local) * slots[i] / std::max(1e-9, all - slots[own]);
    return shares;
}

ShareLimit::Flow &ShareLimit::flowAt(Instant now) const
{
    Flow &flow = flow_;
    const std::int64_t newest = binAt(now);
    if (flow.limits.empty()) {
        flow.bins.fill(RegionValues(regions_.size(), 0));
        flow.newestBin = newest;
        flow.peakSlots.assign(regions_.size(), 0);
        flow.limits = makeLimits();
    }
    const auto bins = static_cast<std::int64_t>(binCount);
    for (std::int64_t bin = std::max(flow.newestBin + 1, newest - bins + 1); bin <= newest; ++bin)
        flow.bins[positionOf(bin)].assign(regions_.size(), 0);
    flow.newestBin = std::max(flow.newestBin, newest);
    if (flow.updatedAt == Instant::never() || now - flow.updatedAt >= updateInterval)
        update(now);
    return flow;
}

RegionValues ShareLimit::countsInWindow(Instant now) const
{
    RegionValues sent(regions_.size(), 0);
    const auto bins = static_cast<std::int64_t>(binCount);
    const std::int64_t oldest = std::max(binAt(now), flow_.newestBin) - bins + 1;
    for (std::int64_t bin = oldest; bin <= flow_.newestBin; ++bin) {
        for (std::size_t i = 0; i < sent.size(); ++i)
            sent[i] += flow_.bins[positionOf(bin)][i];
    }
    for (double &requests : sent)
        requests = std::max(0.0, requests); // some that did not run were sent in an earlier window
    return sent;
}

void ShareLimit::update(Instant now) const
{
    Flow &flow = flow_;
    const bool isFirst = flow.updatedAt == Instant::never();
    const Duration passed = isFirst ? Duration() : now - flow.updatedAt;
    flow.updatedAt = now;
    const RegionValues slots = hooks_.usableSlots(now);
    if (isFirst)
        flow.earlier = expectedShares(slots, own_, hooks_.regionShare());
    const RegionValues own = countsInWindow(now);
    RegionValues shares = hooks_.othersSent(now);
    shares.resize(regions_.size(), 0);
    const double all = sum(shares) + sum(own);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        shares[i] = (shares[i] + own[i] + earlierWeight * flow.earlier[i]) / (all + earlierWeight);
        flow.earlier[i] += (shares[i] - flow.earlier[i]) * (1 - remaining(passed, earlierTime));
    }
    // The other VMs are expected to begin when this one does, and have reported nothing yet.
    const double expected = (sum(own) + 1) * static_cast<double>(hooks_.vmsInRegion(now));
    const double requests = std::max(all, expected);
    flow.isLimited = requests >= minRequests && !hooks_.isNearFault(now);
    flow.maxCredit = std::clamp(creditFraction * sum(own), 1.0, maxCredit);
    updatePeaks(slots, passed);
    const double certainty = std::max(minCertainty, 1 - randomPart / std::sqrt(requests));
    updateLimits(own, shares, slots, certainty);
}

void ShareLimit::updatePeaks(const RegionValues &slots, Duration passed) const
{
    for (std::size_t i = 0; i < slots.size(); ++i)
        flow_.peakSlots[i] = std::max(slots[i], flow_.peakSlots[i] * remaining(passed, lossTime));
}

void ShareLimit::updateLimits(const RegionValues &own, const RegionValues &shares,
                              const RegionValues &slots, double certainty) const
{
    const double ownAll = sum(own);
    for (SetLimit &limit : flow_.limits) {
        double share = 0;
        double ownSent = 0;
        double lost = 0; // share of the requests that other regions can't serve any more
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (limit.contains(i)) {
                share += shares[i];
                ownSent += own[i];
                continue;
            }
            const double loss = flow_.peakSlots[i] > 0 ? 1 - slots[i] / flow_.peakSlots[i] : 0;
            lost += loss > minLoss ? loss * shares[i] : 0;
        }
        const double ownShare = (ownSent + regionWeight * share) / (ownAll + regionWeight);
        if (limit.contains(own_))
            limit.maxShare = share + lost + maxReturn * certainty;
        else
            limit.maxShare = std::min(share, ownShare) + lost + maxGrowth * certainty;
    }
}

std::vector<ShareLimit::SetLimit> ShareLimit::makeLimits() const
{
    const std::uint64_t seed = hashText(options_.vm.id.text());
    std::vector<SetLimit> limits;
    const std::uint64_t all = (std::uint64_t { 1 } << regions_.size()) - 1;
    // With credits that add up to 1, a set or its complement may take the first request.
    const auto add = [&](std::uint64_t set) {
        const std::uint64_t complement = all ^ set;
        const double credit = toFraction(mixHashes(seed, std::min(set, complement)));
        limits.push_back({ set, 1, set < complement ? credit : 1 - credit });
    };
    if (regions_.size() <= maxRegionsForAllSets) {
        for (std::uint64_t set = 1; set < all; ++set)
            add(set);
        return limits;
    }
    for (std::size_t i = 0; i < regions_.size(); ++i) {
        add(std::uint64_t { 1 } << i);
        add(all ^ (std::uint64_t { 1 } << i));
    }
    return limits;
}

ShareLimit::Open ShareLimit::openRegions(Instant now) const
{
    const Flow &flow = flowAt(now);
    if (!flow.isLimited)
        return {};
    RegionValues next(regions_.size(), std::numeric_limits<double>::infinity());
    for (const SetLimit &limit : flow.limits) {
        for (std::size_t i = 0; i < next.size(); ++i) {
            if (limit.contains(i))
                next[i] = std::min(next[i], limit.next());
        }
    }
    // Rounding must not close all.
    const double least = std::min(1.0, *std::max_element(next.begin(), next.end()));
    Open open;
    for (const double value : next)
        open.push_back(value >= least);
    return open;
}

void ShareLimit::onSent(std::size_t region, Instant now)
{
    count(region, 1, now);
}

void ShareLimit::onNotRun(std::size_t region, Instant now)
{
    count(region, -1, now);
}

void ShareLimit::count(std::size_t region, int requests, Instant now)
{
    if (region >= regions_.size())
        return;
    Flow &flow = flowAt(now);
    flow.bins[positionOf(flow.newestBin)][region] += requests;
    for (SetLimit &limit : flow.limits) {
        const double change = limit.maxShare - (limit.contains(region) ? 1 : 0);
        limit.credit = std::clamp(limit.credit + requests * change, -maxDebt, flow.maxCredit);
    }
}

std::vector<std::uint32_t> ShareLimit::report(Instant now) const
{
    std::vector<std::uint32_t> requests;
    if (flow_.limits.empty())
        return requests;
    const RegionValues sent = countsInWindow(now);
    if (sum(sent) > 0)
        requests.assign(sent.begin(), sent.end());
    return requests;
}

} // namespace bluebellshift::gateway::regions
