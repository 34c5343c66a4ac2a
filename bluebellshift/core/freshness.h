// How long this VM's view may be trusted.
//
//   freshness.confirm(revision, asOf);
//   if (now < freshness.freshUntil(now))
//       serve();
//
// A view is fresh for a lease after the instant at which it was known to be the
// newest. While the platform is down for everybody, the word of a majority of
// the ledger's members extends the lease; docs/design/view.md says why that is
// safe and what is assumed.
#pragma once

#include <map>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/members.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// What a peer says of its view and of the platform.
struct PeerWord
{
    Instant sentAfter; // on this VM's clock: the peer said it later than this
    Revision revision;
    Duration viewAge;
    bool platformFailing = false;
    Duration platformFailureAge;
};

class Freshness
{
public:
    explicit Freshness(const CoreOptions &options);

    // A view of this revision was installed. Older revisions are ignored.
    void install(Revision revision);
    // Nothing newer than `revision` existed at `asOf`.
    void confirm(Revision revision, Instant asOf);
    void platformFailed(Instant begunAt);
    void platformAnswered();
    void peerSaid(const Voter &peer, const PeerWord &word);
    // Who may extend the lease: the incarnations in the ledger's member list.
    void setVoters(const MemberList &list, const std::vector<Vm> &vms, const RegionId &storeRegion);

    // The view may be used before this instant.
    Instant freshUntil(Instant now) const;
    bool isFresh(Instant now) const { return now < freshUntil(now); }

    Revision revision() const { return revision_; }
    Revision newestHeard() const { return newestHeard_; }
    // Since the view was last confirmed; never counts an extension.
    Duration viewAge(Instant now) const;
    bool isPlatformFailing() const { return isFailing_; }
    Duration platformFailureAge(Instant now) const;

private:
    struct Place
    {
        bool isNearStore = false; // in the store's region, outside this VM's failure domain
    };
    Instant wordValidUntil(const PeerWord &word) const;
    Instant extendedUntil() const;

    CoreOptions options_;
    Duration lease_; // shortened by the greatest drift
    Revision revision_;
    Revision newestHeard_;
    Instant asOf_ = Instant::never();
    bool isFailing_ = false;
    Instant failedCallBegan_ = Instant::never();
    bool isVoter_ = false;
    std::size_t voterCount_ = 0;
    std::map<Voter, Place> others_;
    std::map<Voter, PeerWord> words_;
};

} // namespace bluebellshift::core
