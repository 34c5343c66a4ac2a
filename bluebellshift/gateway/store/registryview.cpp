#include "bluebellshift/gateway/store/registryview.h"

#include <algorithm>

namespace bluebellshift::gateway::store {

RegistryView::RegistryView(const GatewayOptions &options, const StoreLink &store, TargetPool &pool,
                           Fleet &fleet, VmExchange &exchange, OwnEntry &ownEntry, Hooks hooks)
    : options_(options)
    , store_(store)
    , pool_(pool)
    , fleet_(fleet)
    , exchange_(exchange)
    , ownEntry_(ownEntry)
    , hooks_(std::move(hooks))
{
}

void RegistryView::onEntry(Registry registry, const RegistryEntry &entry, Instant now)
{
    switch (registry) {
    case Registry::Targets:
        onTarget(entry, now);
        break;
    case Registry::Evacuations:
        onEvacuation(entry, now);
        break;
    case Registry::Vms:
        onVm(entry, now);
        break;
    case Registry::Traffic:
    case Registry::PeerKeys:
        break;
    }
}

void RegistryView::onTarget(const RegistryEntry &entry, Instant now)
{
    const TargetId id(entry.name);
    if (entry.isGone || !isRestoring(Registry::Targets))
        restoredTargets_.onWritten(id);
    if (entry.isGone) {
        onTargetGone(id, now);
        return;
    }
    lapsedTargets_.clear(id);
    const auto *target = std::get_if<Target>(&entry.value);
    if (target == nullptr) {
        removeTarget(id, "its entry can't be read", now);
    } else if (!isRestoring(Registry::Targets)) {
        pool_.put(*target, now);
    } else if (const auto admitted = restoredTargets_.admit(*target, pool_.find(id), now)) {
        pool_.put(*admitted, now);
    } else {
        hooks_.log({ core::log::targetHeld, { { "target", id.text() } } });
    }
}

void RegistryView::onTargetGone(const TargetId &id, Instant now)
{
    const Target *known = pool_.find(id);
    if (known == nullptr)
        return;
    // A reader's return starts the time of what is missing then; it does not put off that of what
    // was missing before, as the store may have been away from that reader only.
    const Instant returnedAt = std::max(store_.returnedAt(), readerReturnedAt_);
    const Duration grace = options_.bounds.reregistrationGrace;
    const bool mayReturn = returnedAt != Instant::never() && now - returnedAt < grace;
    if (mayReturn && !known->isDraining) {
        lapsedTargets_.add(id, returnedAt, grace, now);
        hooks_.log({ core::log::targetLapsed,
                     { { "target", id.text() },
                       { "returnedMsAgo", std::to_string((now - returnedAt).toMillis()) } } });
        return;
    }
    removeTarget(id, "its entry is gone", now);
}

std::optional<Duration> RegistryView::returnAge(Instant now) const
{
    const Instant returnedAt = store_.returnedAt();
    if (returnedAt == Instant::never() || now - returnedAt >= options_.bounds.reregistrationGrace)
        return std::nullopt;
    return now - returnedAt;
}

void RegistryView::removeTarget(const TargetId &id, const char *reason, Instant now)
{
    lapsedTargets_.clear(id);
    hooks_.perform(ForgetTarget { id });
    pool_.remove(id, reason, now);
}

void RegistryView::onEvacuation(const RegistryEntry &entry, Instant now)
{
    const FailureDomainId domain(entry.name);
    heldEvacuations_.clear(domain);
    if (entry.isGone && isRestoring(Registry::Evacuations)) {
        heldEvacuations_.set(domain, now + evacuationHold);
        return;
    }
    pool_.setEvacuated(domain, !entry.isGone, now);
}

std::vector<FailureDomainId> RegistryView::evacuatedDomains() const
{
    std::vector<FailureDomainId> domains = pool_.evacuatedDomains();
    domains.erase(
        std::remove_if(domains.begin(), domains.end(),
                       [&](const auto &domain) { return heldEvacuations_.contains(domain); }),
        domains.end());
    return domains;
}

void RegistryView::onVm(const RegistryEntry &entry, Instant now)
{
    const VmId id(entry.name);
    if (id == options_.vm.id) {
        onOwnEntry(entry, now);
        return;
    }
    heldVms_.clear(id);
    const auto *vm = std::get_if<VmEntry>(&entry.value);
    const bool isRestored = isRestoring(Registry::Vms);
    if (entry.isGone && isRestored) {
        heldVms_.set(id, now + vmHold);
        return;
    }
    if (entry.isGone || vm == nullptr) {
        removeVm(id, now);
        return;
    }
    // The entry of an earlier run of a VM that reports from its present one.
    if (isRestored && fleet_.isLiveInOtherRun(*vm, now)) {
        fleet_.setRevision(id, entry.revision);
        return;
    }
    fleet_.put(*vm, entry.revision, now,
               isRestored ? Fleet::Origin::RestoredStore : Fleet::Origin::Store);
    exchange_.put(*vm, now);
}

void RegistryView::onOwnEntry(const RegistryEntry &entry, Instant now)
{
    if (!ownEntry_.isWritten())
        return;
    if (entry.isGone) {
        ownEntry_.onLost(OwnEntry::Loss::Missing,
                         isRestoring(Registry::Vms) ? OwnEntry::rewriteSpread : Duration(), now);
        return;
    }
    const auto *vm = std::get_if<VmEntry>(&entry.value);
    if (ownEntry_.isInDoubt() && (vm == nullptr || vm->incarnation != options_.vm.incarnation))
        ownEntry_.onLost(OwnEntry::Loss::Replaced, OwnEntry::rewriteSpread, now);
}

Instant RegistryView::targetsConfirmedAt(Instant now) const
{
    const Instant confirmedAt = store_.confirmedAt(Registry::Targets);
    return store_.mode() == StoreMode::Follows && !store_.misses(Registry::Targets)
        ? std::max(confirmedAt, fleet_.readersConfirmedAt(now))
        : confirmedAt;
}

// Without a confirmation the store may have been away again, and with it the entries.
void RegistryView::removeExpired(Instant now)
{
    for (const TargetId &id : lapsedTargets_.takeConfirmed(targetsConfirmedAt(now)))
        removeTarget(id, "its entry did not return within the grace period", now);
}

bool RegistryView::hasStore() const
{
    return !store_.isLost() || store_.mode() == StoreMode::Follows;
}

void RegistryView::onVmsListed(Instant now)
{
    // An entry that was written and lost before it was ever listed is not reported as gone.
    if (!ownEntry_.isInDoubt() || !ownEntry_.isWritten())
        return;
    if (store_.knows(Registry::Vms, options_.vm.id.text()))
        ownEntry_.onSeen();
    else
        ownEntry_.onLost(OwnEntry::Loss::Missing, OwnEntry::rewriteSpread, now);
}

void RegistryView::removeVm(const VmId &id, Instant now)
{
    fleet_.remove(id);
    exchange_.remove(id, now);
}

// Owners write their entries again only while the store is there.
void RegistryView::postponeAll(Instant returnedAt)
{
    lapsedTargets_.postpone(store_.lostAt(), returnedAt, options_.bounds.reregistrationGrace);
    restoredTargets_.postpone(returnedAt);
    heldEvacuations_.setAll(returnedAt + evacuationHold);
    heldVms_.setAll(returnedAt + vmHold);
}

void RegistryView::onTimer(Instant now)
{
    if (!hasStore())
        return;
    if (std::exchange(returnedAt_, store_.returnedAt()) != store_.returnedAt())
        postponeAll(store_.returnedAt());
    if (lapsedTargets_.expire(now) && store_.mode() != StoreMode::Follows)
        hooks_.listTargets();
    removeExpired(now);
    checkedAt_ = now;
    for (const Target &target : restoredTargets_.takeDue(targetsConfirmedAt(now)))
        pool_.put(target, now);
    for (const FailureDomainId &domain : heldEvacuations_.takeDue(now))
        pool_.setEvacuated(domain, false, now);
    for (const VmId &id : heldVms_.takeDue(now)) {
        if (fleet_.isLive(id, now))
            heldVms_.set(id, now + vmHold);
        else
            removeVm(id, now);
    }
}

Instant RegistryView::nextWake() const
{
    Instant next = Instant::never();
    if (!hasStore())
        return next;
    for (const Instant at : { lapsedTargets_.nextWake(), restoredTargets_.nextWake(),
                              heldEvacuations_.next(), heldVms_.next() }) {
        // A target that is due already waits for a confirmation.
        if (at != Instant::never() && at > checkedAt_)
            next = next == Instant::never() ? at : std::min(next, at);
    }
    return next;
}

} // namespace bluebellshift::gateway::store
