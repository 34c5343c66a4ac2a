// Ages are counted on this VM's own clock from before the peer was asked, so a
// delayed or repeated message can only shorten the lease.
//
// The extension needs more than half of the members, this VM included, because
// a writer of ledger/members waits until at least half of them have installed
// the version before. An expelled VM's majority therefore always contains one
// that holds a newer revision, and its report does not count. One voter has to
// be near the store but not share this VM's failure domain: a region that is
// cut off cannot extend its own lease. Cost: O(members) for each question.
#include "bluebellshift/core/freshness.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

// A failed call stays evidence of an outage for this many leases, since its
// successor may still be waiting for its time-out.
constexpr std::int64_t failureLeases = 2;

constexpr Duration maxViewAge = Duration::seconds(365 * 86'400); // also when never confirmed

Duration scaled(Duration duration, double factor)
{
    return Duration::micros(static_cast<std::int64_t>(duration.toMicros() * factor));
}

} // namespace

Freshness::Freshness(const CoreOptions &options)
    : options_(options)
    , lease_(scaled(options.freshnessLease, 1 - options.clockDrift))
{
}

void Freshness::install(Revision revision)
{
    if (revision > revision_)
        revision_ = revision;
    newestHeard_ = std::max(newestHeard_, revision);
}

void Freshness::confirm(Revision revision, Instant asOf)
{
    newestHeard_ = std::max(newestHeard_, revision);
    if (revision > revision_ || revision_ == Revision())
        return; // refers to a revision that this VM has not installed
    asOf_ = std::max(asOf_, asOf);
}

void Freshness::platformFailed(Instant begunAt)
{
    isFailing_ = true;
    failedCallBegan_ = std::max(failedCallBegan_, begunAt);
}

void Freshness::platformAnswered()
{
    isFailing_ = false;
}

void Freshness::recordPeerReport(const Voter &peer, const FreshnessReport &report)
{
    Duration age = scaled(report.viewAge, 1 + options_.clockDrift);
    confirm(report.revision, report.sentAfter - age);
    auto [it, isNew] = reports_.try_emplace(peer, report);
    if (!isNew && it->second.sentAfter <= report.sentAfter)
        it->second = report;
}

void Freshness::setVoters(const MemberList &list, const std::vector<Vm> &vms,
                          const RegionId &storeRegion)
{
    Voter self { options_.vm, options_.incarnation };
    std::vector<Voter> voters = list.voters();
    voterCount_ = voters.size();
    isVoter_ = false;
    others_.clear();
    for (const Voter &voter : voters) {
        if (voter == self) {
            isVoter_ = true;
            continue;
        }
        Place place;
        for (const Vm &vm : vms) {
            if (vm.id == voter.vm)
                place.isNearStore =
                    vm.region == storeRegion && vm.failureDomain != options_.failureDomain;
        }
        others_[voter] = place;
    }
    for (auto it = reports_.begin(); it != reports_.end();)
        it = others_.count(it->first) == 0 ? reports_.erase(it) : std::next(it);
}

Instant Freshness::reportValidUntil(const FreshnessReport &report) const
{
    if (!report.platformFailing || report.revision > revision_)
        return Instant::never();
    Duration failureAge = scaled(report.platformFailureAge, 1 + options_.clockDrift);
    return std::min(report.sentAfter + lease_,
                    report.sentAfter - failureAge + lease_ * failureLeases);
}

Instant Freshness::extendedUntil() const
{
    if (!isVoter_ || !isFailing_ || newestHeard_ > revision_ || asOf_ == Instant::never())
        return Instant::never();
    std::vector<Instant> ends;
    Instant nearStore = Instant::never();
    for (const auto &[voter, place] : others_) {
        auto report = reports_.find(voter);
        if (report == reports_.end())
            continue;
        Instant end = reportValidUntil(report->second);
        ends.push_back(end);
        if (place.isNearStore)
            nearStore = std::max(nearStore, end);
    }
    std::size_t needed = voterCount_ / 2; // with this VM, more than half
    if (ends.size() < needed)
        return Instant::never();
    Instant end = std::min(failedCallBegan_ + lease_ * failureLeases, nearStore);
    if (needed == 0)
        return end;
    std::sort(ends.begin(), ends.end(), [](Instant a, Instant b) { return a > b; });
    return std::min(end, ends[needed - 1]);
}

Instant Freshness::freshUntil(Instant now) const
{
    if (asOf_ == Instant::never())
        return Instant::never();
    return std::max(asOf_ + lease_, extendedUntil());
}

Duration Freshness::viewAge(Instant now) const
{
    return std::min(now - asOf_, maxViewAge);
}

Duration Freshness::platformFailureAge(Instant now) const
{
    return isFailing_ ? now - failedCallBegan_ : Duration();
}

} // namespace bluebellshift::core
