// Decides, together with the other VMs, which VMs are alive, how long this VM's view
// is valid, and how much of every limit this VM may spend.
//
//   Fleet fleet(options, [&] { return nextCall(); });
//   append(effects, fleet.onViewInstalled(view, now));
//   fleet.setLimits(limits, now);
//   BudgetHooks hooks = fleet.hooks();
//   if (fleet.mayServe(now) && !hooks.acquireTokens(debits, now))
//       forward(request, fleet.validUntil(now));
//   append(effects, fleet.flush(now)); // after each event that used the hooks
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/freshness.h"
#include "bluebellshift/core/ledger.h"
#include "bluebellshift/core/membership.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/reclaim.h"
#include "bluebellshift/core/roster.h"

namespace bluebellshift::core {

// The parts of a view that membership, freshness, ledger and reclaim need.
struct FleetView
{
    Revision revision;
    Instant asOf;
    std::optional<Object> members; // ledger/members; nullopt: it does not exist
    std::vector<Vm> vms;           // the platform's list
    RegionId storeRegion;
};

class Fleet
{
public:
    Fleet(const CoreOptions &options, std::function<CallId()> nextCall);

    void setLimits(const std::vector<AccountLimit> &limits, Instant now);

    // A view from the platform or a peer was installed. Its revision must not
    // decrease. If the members object doesn't decode, the function fails and uses
    // nothing of the view.
    absl::Status onViewInstalled(const FleetView &view, Instant now, Effects *effects);
    // The platform, or a peer's whole ViewReply, confirms that nothing newer
    // than `revision` existed at `asOf` on this VM's own clock.
    void onViewConfirmed(Revision revision, Instant asOf);
    // A watch or read that began at `begunAt` failed, or is overdue.
    void onPlatformFailed(Instant begunAt);
    // A watch or read succeeded, so that the platform is no longer failing.
    void onPlatformAnswered();

    // Returns false when the call is not one of this module's.
    bool onPlatformReplied(const PlatformReplied &reply, Instant now, std::uint64_t random,
                           Effects *effects);
    Effects onHeartbeat(const VmId &from, Incarnation incarnation, const Heartbeat &heartbeat,
                        Instant now);
    Effects onBorrowRequest(const VmId &from, Incarnation incarnation, const BorrowRequest &request,
                            Instant now);
    Effects onBorrowReply(const VmId &from, Incarnation incarnation, const BorrowReply &reply,
                          Instant now);
    void onPeerLost(const VmId &vm);
    // To be called at every TimerFired; the effects set the next timer.
    Effects onTimer(Instant now, std::uint64_t random);
    // Returns the borrow requests for what the hooks have requested since the last call.
    Effects flush(Instant now);

    // Removes this VM from the steering answers of other VMs and transfers its idle
    // shares. The daemon exits when its requests are done; shares that it still holds
    // are reclaimed.
    Effects beginLeaving(Instant now);

    // The hooks refer to this object and must not outlive it. acquireTokens fails
    // while mayServe is false.
    BudgetHooks hooks();

    // True while the view is fresh and this VM is a member of the ledger.
    bool mayServe(Instant now) const;
    // Keyed requests must not be sent at or after this instant.
    Instant validUntil(Instant now) const;
    // Returns the VMs that steering answers may name, this one included.
    std::vector<VmId> serving(Instant now) const;
    // Sets the load that this VM reports to other VMs; steering uses it too.
    void setRequestsInFlight(std::uint32_t requests) { requestsInFlight_ = requests; }
    // Returns true once a peer has acknowledged a view of at least this revision; false
    // for VMs from which no heartbeat has arrived.
    bool hasAcknowledged(const VmId &vm, Revision revision) const;
    // See Reclaim::isHeldByQuorum.
    bool isHeldByQuorum(Revision revision) const;

    const Membership &membership() const { return membership_; }
    const Ledger &ledger() const { return ledger_; }
    const Freshness &freshness() const { return freshness_; }

private:
    static void logExpulsions(const MemberList &before, const MemberList &after, Effects *effects);
    void installMembers(const MemberList &list, Instant now, Effects *effects);
    void updatePeers(Instant now);
    void sendHeartbeats(Instant now, Effects *effects);
    Heartbeat buildHeartbeat(const VmId &to, Instant now);
    void stepReclaim(Instant now, std::uint64_t random, Effects *effects);

    CoreOptions options_;
    Freshness freshness_;
    Membership membership_;
    Ledger ledger_;
    Reclaim reclaim_;
    RegionId storeRegion_;
    bool isLeaving_ = false;
    std::uint32_t requestsInFlight_ = 0;
    Instant nextHeartbeatAt_ = Instant::never();
    Instant nextBorrowAt_ = Instant::never(); // of the check for shares to borrow
};

} // namespace bluebellshift::core
