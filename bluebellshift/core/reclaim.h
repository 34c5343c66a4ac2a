// Keeps the object ledger/members consistent with the live VMs: adds and expels
// members, and merges the shares of expelled VMs into those of the live ones.
//
//   std::optional<Effect> effect = reclaim.step(facts, now, random);
//
// Every change is one conditional write. The desired list is computed anew from
// the current one each time, so a lost reply is resolved by reading the object:
// a change that took effect is no longer part of the difference.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/ledger.h"
#include "bluebellshift/core/members.h"
#include "bluebellshift/core/membership.h"
#include "bluebellshift/core/options.h"

namespace bluebellshift::core {

// A peer's report of its closing with one expelled membership.
struct ClosingKey
{
    VmId expelled;
    std::uint64_t expelledEpoch = 0;
    VmId reporter;
    std::uint64_t reporterEpoch = 0;

    friend bool operator<(const ClosingKey &a, const ClosingKey &b);
};

class Reclaim
{
public:
    Reclaim(const CoreOptions &options, std::function<CallId()> nextCall);

    // Sets the newest list that this VM has received. Ignores older lists.
    void setMembers(const MemberList &list);
    // Sets the view revision that this VM's heartbeats report.
    void setViewRevision(Revision revision) { viewRevision_ = revision; }
    const MemberList &members() const { return list_; }
    void onClosings(const VmId &from, std::uint64_t epoch, const std::vector<Closing> &closings);

    // Returns the next read or write, or nullopt. Writes only when at least half of the
    // current and of the previous voters have installed the current version.
    std::optional<Effect> step(const Membership &membership, const Ledger &ledger, Instant now,
                               std::uint64_t random);
    // Sets `object` after a successful read or write, else leaves it empty.
    // Returns false when the call is not one of this module's.
    bool onReply(const PlatformReplied &reply, Instant now, std::uint64_t random,
                 std::optional<Object> *object);

    // Returns the members that have restarted under another incarnation, and those that
    // this VM suspects along with more than half of the active members other than the
    // suspected one, this VM included.
    std::vector<Member> membersToExpel(const Membership &membership, Instant now) const;

    // Returns true if at least half of the voters, of this version and of the one before,
    // are known to have installed a revision. One lease later, reports of peers can't
    // extend the lease of a VM without that revision.
    bool isHeldByQuorum(Revision revision, const Membership &membership) const;

private:
    bool hasInstalled(const Voter &voter, Revision revision, const Membership &membership) const;
    bool hasQuorum(const Membership &membership) const;
    bool isQuorumOf(const std::vector<Voter> &voters, Revision revision,
                    const Membership &membership) const;
    bool haveAllClosed(const Ledger &ledger) const;
    bool mayMergeExpelled(const Membership &membership, const Ledger &ledger, Instant now);
    MemberList planMembers(const Membership &membership, const Ledger &ledger, Instant now);
    void planJoins(const Membership &membership, Instant now, MemberList &list) const;
    void mergeExpelled(const Ledger &ledger, MemberList &list) const;
    Duration turnDelay(const Membership &membership, Instant now) const;
    void backOff(Instant now, std::uint64_t random);

    CoreOptions options_;
    std::function<CallId()> nextCall_;
    MemberList list_;
    bool isListKnown_ = false;
    Revision viewRevision_;
    std::map<ClosingKey, std::vector<ClosedAccount>> closings_;
    Instant mergeableSince_ = Instant::never();
    Instant changeNeededSince_ = Instant::never();
    std::optional<CallId> call_;
    bool needsRead_ = false;
    Instant nextCallAt_ = Instant::never();
    Duration retryDelay_;
};

} // namespace bluebellshift::core
