// Computes how long this VM's view is valid.
//
//   freshness.confirm(revision, asOf);
//   if (now < freshness.freshUntil(now))
//       serve();
//
// A view is fresh for a lease after the instant at which it was known to be the
// newest. While the platform is down for all VMs, reports of a majority of the
// ledger's members extend the lease; docs/design/view.md explains why that is safe
// and under which assumptions.
#pragma once

#include <map>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/members.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// A peer's report on its view and on the platform.
struct FreshnessReport
{
    Instant sentAfter; // on this VM's clock; the report was sent after it
    Revision revision;
    Duration viewAge;
    bool platformFailing = false;
    Duration platformFailureAge;
};

class Freshness
{
public:
    explicit Freshness(const CoreOptions &options);

    // Records that a view of this revision was installed. Ignores older revisions.
    void install(Revision revision);
    // Records that `revision` was the newest at `asOf`.
    void confirm(Revision revision, Instant asOf);
    void platformFailed(Instant begunAt);
    void platformAnswered();
    void recordPeerReport(const Voter &peer, const FreshnessReport &report);
    // Sets the voters, whose reports may extend the lease: the incarnations in the
    // ledger's member list.
    void setVoters(const MemberList &list, const std::vector<Vm> &vms, const RegionId &storeRegion);

    // Returns the instant before which the view may be used.
    Instant freshUntil(Instant now) const;
    bool isFresh(Instant now) const { return now < freshUntil(now); }

    Revision revision() const { return revision_; }
    Revision newestKnownRevision() const { return newestKnownRevision_; }
    // Returns the time since the view was last confirmed; extensions don't count.
    Duration viewAge(Instant now) const;
    bool isPlatformFailing() const { return isFailing_; }
    Duration platformFailureAge(Instant now) const;

private:
    struct VoterLocation
    {
        bool isNearStore = false; // in the store's region, outside this VM's failure domain
    };
    Instant reportValidUntil(const FreshnessReport &report) const;
    Instant extendedValidUntil() const;

    CoreOptions options_;
    Duration lease_; // shortened by the maximum clock drift
    Revision revision_;
    Revision newestKnownRevision_;
    Instant asOf_ = Instant::never();
    bool isFailing_ = false;
    Instant failedCallBeganAt_ = Instant::never();
    bool isVoter_ = false;
    std::size_t voterCount_ = 0;
    std::map<Voter, VoterLocation> otherVoters_;
    std::map<Voter, FreshnessReport> reports_;
};

} // namespace bluebellshift::core
