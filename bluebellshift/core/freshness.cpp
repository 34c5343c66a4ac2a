// Ages are counted on this VM's own clock, from the message that the peer's report
// echoes, so a delayed or repeated report can only shorten the lease.
//
// The extension needs more than half of the members, this VM included, because
// a writer of ledger/members waits until at least half of them have installed
// the previous version. Any majority of an expelled VM therefore contains a member
// with a newer revision, whose report does not count. One voter must be
// in the store's region and outside this VM's failure domain, so that a region
// that is cut off can't extend its own lease. Cost: O(members) for each query.
#include "bluebellshift/core/freshness.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

// A failed call counts as evidence of an outage for this many leases, since the
// next call may not have timed out yet.
constexpr std::int64_t failureEvidenceLeases = 2;

// Also reported for a view that was never confirmed.
constexpr Duration maxViewAge = Duration::seconds(365 * 86'400);

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
    newestKnownRevision_ = std::max(newestKnownRevision_, revision);
}

void Freshness::confirm(Revision revision, Instant asOf)
{
    newestKnownRevision_ = std::max(newestKnownRevision_, revision);
    if (revision > revision_ || revision_ == Revision())
        return; // refers to a revision that this VM has not installed
    asOf_ = std::max(asOf_, asOf);
}

void Freshness::platformFailed(Instant begunAt)
{
    isFailing_ = true;
    failedCallBeganAt_ = std::max(failedCallBeganAt_, begunAt);
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
    otherVoters_.clear();
    for (const Voter &voter : voters) {
        if (voter == self) {
            isVoter_ = true;
            continue;
        }
        VoterLocation location;
        for (const Vm &vm : vms) {
            if (vm.id == voter.vm)
                location.isNearStore =
                    vm.region == storeRegion && vm.failureDomain != options_.failureDomain;
        }
        otherVoters_[voter] = location;
    }
    for (auto it = reports_.begin(); it != reports_.end();)
        it = otherVoters_.count(it->first) == 0 ? reports_.erase(it) : std::next(it);
}

Instant Freshness::reportValidUntil(const FreshnessReport &report) const
{
    if (!report.platformFailing || report.revision > revision_)
        return Instant::never();
    Duration failureAge = scaled(report.platformFailureAge, 1 + options_.clockDrift);
    return std::min(report.sentAfter + lease_,
                    report.sentAfter - failureAge + lease_ * failureEvidenceLeases);
}

Instant Freshness::extendedValidUntil() const
{
    if (!isVoter_ || !isFailing_ || newestKnownRevision_ > revision_ || asOf_ == Instant::never())
        return Instant::never();
    std::vector<Instant> expiries;
    Instant nearStoreValidUntil = Instant::never();
    for (const auto &[voter, location] : otherVoters_) {
        auto report = reports_.find(voter);
        if (report == reports_.end())
            continue;
        Instant end = reportValidUntil(report->second);
        expiries.push_back(end);
        if (location.isNearStore)
            nearStoreValidUntil = std::max(nearStoreValidUntil, end);
    }
    std::size_t needed = voterCount_ / 2; // with this VM, more than half
    if (expiries.size() < needed)
        return Instant::never();
    Instant end =
        std::min(failedCallBeganAt_ + lease_ * failureEvidenceLeases, nearStoreValidUntil);
    if (needed == 0)
        return end;
    std::sort(expiries.begin(), expiries.end(), [](Instant a, Instant b) { return a > b; });
    return std::min(end, expiries[needed - 1]);
}

Instant Freshness::freshUntil(Instant now) const
{
    if (asOf_ == Instant::never())
        return Instant::never();
    return std::max(asOf_ + lease_, extendedValidUntil());
}

Duration Freshness::viewAge(Instant now) const
{
    return std::min(now - asOf_, maxViewAge);
}

Duration Freshness::platformFailureAge(Instant now) const
{
    return isFailing_ ? now - failedCallBeganAt_ : Duration();
}

} // namespace bluebellshift::core
