// What the store's entries of targets, failure domains and VMs mean for this VM, also when the
// store has just returned and may lack entries of what is still there.
//
//   RegistryView view(options, store, pool, fleet, exchange, ownEntry, hooks);
//   view.onEntry(registry, entry, now); // for each entry that is new, changed or gone
//   view.onTimer(now);                  // at or after nextWake()
//
// After an outage of the store, entries may have lapsed that their owners could not renew; after
// it was restored from a copy, it lacks what was written since the copy was made, and has what
// was removed since. Both are written again by their owners within a known time, until which
// - a target that is missing stays in use, unless it drains, and until the store or a VM that
//   reads it has confirmed the registry after that time (LapsedTargets),
// - a target that left, or drains, is not used again (RestoredTargets),
// - a failure domain whose evacuation is missing stays evacuated,
// - a VM that is missing stays known, and longer while it reports,
// - a VM that was not known is live only once it reports.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/fleet.h"
#include "bluebellshift/gateway/store/deadlines.h"
#include "bluebellshift/gateway/store/lapsedtargets.h"
#include "bluebellshift/gateway/store/ownentry.h"
#include "bluebellshift/gateway/store/restoredtargets.h"
#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/vmexchange.h"

namespace bluebellshift::gateway::store {

class RegistryView
{
public:
    // For how long an evacuation that a restored store lacks stays in force: operators write theirs
    // again as soon as they see that it was lost.
    static constexpr Duration evacuationHold = Duration::seconds(5);
    // For how long a VM stays known that a restored store lacks: until it has noticed that
    // (StoreLink::watchWait and watchMargin) and has written its entry (OwnEntry::rewriteSpread).
    static constexpr Duration vmHold = Duration::seconds(5);

    struct Hooks
    {
        std::function<void(Effect)> perform;
        // Lists the targets as they are now.
        std::function<void()> listTargets;
        std::function<void(core::LogRecord)> log;
    };

    RegistryView(const GatewayOptions &options, const StoreLink &store, TargetPool &pool,
                 Fleet &fleet, VmExchange &exchange, OwnEntry &ownEntry, Hooks hooks);

    // An entry of the targets, the evacuations or the VMs.
    void onEntry(Registry registry, const RegistryEntry &entry, Instant now);
    // Call when a VM that reads the store for this one has told when the store returned to it, and
    // before its changes are applied.
    void onReaderReturned(Instant at) { readerReturnedAt_ = std::max(readerReturnedAt_, at); }
    // How long ago the store returned, if entries that are missing may still be written again.
    std::optional<Duration> returnAge(Instant now) const;
    // Call when the VMs have been listed completely.
    void onVmsListed(Instant now);
    void onTimer(Instant now);
    Instant nextWake() const;

    // The failure domains whose evacuation the store holds.
    std::vector<FailureDomainId> evacuatedDomains() const;

private:
    void onTarget(const RegistryEntry &entry, Instant now);
    void onTargetGone(const TargetId &id, Instant now);
    void removeTarget(const TargetId &id, const char *reason, Instant now);
    void onEvacuation(const RegistryEntry &entry, Instant now);
    void onVm(const RegistryEntry &entry, Instant now);
    void onOwnEntry(const RegistryEntry &entry, Instant now);
    void removeVm(const VmId &id, Instant now);
    // Removes the targets whose time had ended when the registry was last confirmed.
    void removeExpired(Instant now);
    // When the store, or a VM that reads it for this one, last confirmed the targets.
    Instant targetsConfirmedAt(Instant now) const;
    // Whether changes of the store reach this VM, directly or through those that it follows.
    bool hasStore() const;
    // Counts all deadlines from a return of the store.
    void postponeAll(Instant returnedAt);
    bool isRestoring(Registry registry) const { return store_.isRestoring(registry); }

    const GatewayOptions &options_;
    const StoreLink &store_;
    TargetPool &pool_;
    Fleet &fleet_;
    VmExchange &exchange_;
    OwnEntry &ownEntry_;
    const Hooks hooks_;
    RestoredTargets restoredTargets_;
    LapsedTargets lapsedTargets_;
    Deadlines<FailureDomainId> heldEvacuations_;
    Deadlines<VmId> heldVms_;
    Instant checkedAt_ = Instant::never();  // when onTimer() was last called with the store
    Instant returnedAt_ = Instant::never(); // of the store, when deadlines were last postponed
    Instant readerReturnedAt_ = Instant::never();
};

} // namespace bluebellshift::gateway::store
