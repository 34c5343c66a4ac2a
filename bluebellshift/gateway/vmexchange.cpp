// Why whole reports in batches rather than sums by failure domain: a receiver drops a report
// that it has by its sequence, so that two relays may send the same without harm, and each VM
// can still tell who is live. A relay of a domain with n VMs sends n reports to each of r
// relays and all N reports to n VMs, twice a second: the bytes between regions grow with N
// and the number of relays, not with N squared.
#include "bluebellshift/gateway/vmexchange.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

VmExchange::VmExchange(const GatewayOptions &options, Fleet &fleet, Hooks hooks)
    : options_(options)
    , fleet_(fleet)
    , hooks_(std::move(hooks))
    , overlay_(options.vm)
{
}

void VmExchange::setSecret(const std::string &secretHex)
{
    secretHex_ = secretHex;
    hooks_.perform(SetPeers { overlay_.neighbours(), secretHex_ });
}

void VmExchange::put(const VmEntry &vm, Instant now)
{
    overlay_.put(vm);
    overlayAt_ = now; // a list brings many at once
}

void VmExchange::remove(const VmId &vm, Instant now)
{
    overlay_.remove(vm);
    overlayAt_ = now;
}

void VmExchange::updateOverlay(Instant now)
{
    overlayAt_ = usesRelays() ? now + overlayInterval : Instant::never();
    const auto isUsable = [&](const VmId &vm) { return fleet_.isUsable(vm, now); };
    if (!overlay_.update(isUsable, !isLeaving_, now))
        return;
    if (usesRelays())
        fleet_.setOwnerCandidates(overlay_.relays());
    hooks_.log({ core::log::neighboursChanged,
                 { { "neighbours", std::to_string(overlay_.neighbours().size()) },
                   { "relays", std::to_string(overlay_.relays().size()) },
                   { "isRelay", overlay_.isForwarding(now) ? "yes" : "no" },
                   { "vms", std::to_string(fleet_.vmCount()) } } });
    if (!secretHex_.empty())
        hooks_.perform(SetPeers { overlay_.neighbours(), secretHex_ });
}

std::optional<std::size_t> VmExchange::readerRank(std::uint64_t seed, Instant now) const
{
    return usesRelays() ? overlay_.relayRank(seed) : fleet_.rankFor(seed, now);
}

void VmExchange::send(const VmReport &report, Reach reach, Instant now)
{
    if (overlay_.isForwarding(now)) {
        const RelayedReport own { options_.vm.id, options_.vm.incarnation, 0, report };
        add(toRelays_, own, now);
        add(toLeaves_, own, now);
        scheduleFlush(report.isUrgent, now);
        return;
    }
    if (usesRelays()) {
        sendAsLeaf(report);
        return;
    }
    std::vector<VmId> to;
    for (const VmEntry &peer : overlay_.neighbours()) {
        if (reach == Reach::All || peer.region == options_.vm.region)
            to.push_back(peer.id);
    }
    if (!to.empty())
        hooks_.perform(SendReport { std::move(to), report });
}

void VmExchange::sendAsLeaf(VmReport report)
{
    const std::optional<VmId> sender = overlay_.sendingRelay();
    std::vector<VmId> others;
    for (const VmEntry &peer : overlay_.neighbours()) {
        if (peer.id != sender)
            others.push_back(peer.id);
    }
    if (!others.empty())
        hooks_.perform(SendReport { std::move(others), report });
    report.wantsReports = true;
    if (sender)
        hooks_.perform(SendReport { { *sender }, std::move(report) });
}

void VmExchange::sendSpending(const SendSpending &spending)
{
    if (overlay_.isNeighbour(spending.to) || overlay_.neighbours().empty()) {
        hooks_.perform(spending);
        return;
    }
    RelayedSpending relayed { spending.to, options_.vm.id, options_.vm.incarnation,
                              spending.spending };
    hooks_.perform(SendRelayedSpending { *overlay_.sendingRelay(), std::move(relayed) });
}

bool VmExchange::onSpending(const PeerSpendingRelayed &event)
{
    if (event.relayed.to == options_.vm.id)
        return true;
    // Dropped if the addressee is no neighbour: totals are reported again with the next request.
    if (overlay_.isNeighbour(event.relayed.to))
        hooks_.perform(SendRelayedSpending { event.relayed.to, event.relayed });
    return false;
}

std::vector<VmId> VmExchange::directReceivers(Instant now) const
{
    if (!usesRelays())
        return fleet_.livePeers(now);
    std::vector<VmId> to = overlay_.otherRelays(now);
    for (VmId &leaf : overlay_.leaves(now))
        to.push_back(std::move(leaf));
    return to;
}

void VmExchange::sendTargetUpdate(TargetUpdate update, Instant now)
{
    std::vector<VmId> to = directReceivers(now);
    if (!to.empty())
        hooks_.perform(SendTargetUpdate { std::move(to), std::move(update) });
}

void VmExchange::sendVmUpdate(VmUpdate update, Instant now)
{
    std::vector<VmId> to = directReceivers(now);
    if (!to.empty())
        hooks_.perform(SendVmUpdate { std::move(to), std::move(update) });
}

void VmExchange::onTargetUpdate(const PeerTargetUpdateReceived &event, Instant now)
{
    std::vector<VmId> leaves = overlay_.leaves(now);
    const StoreRevision upTo(event.update.era, event.update.upTo);
    if (leaves.empty() || !upTo.isNewerThan(targetsForwardedUpTo_))
        return;
    targetsForwardedUpTo_ = upTo;
    hooks_.perform(SendTargetUpdate { std::move(leaves), event.update });
}

void VmExchange::onVmUpdate(const PeerVmUpdateReceived &event, Instant now)
{
    std::vector<VmId> leaves = overlay_.leaves(now);
    const StoreRevision upTo(event.update.era, event.update.upTo);
    if (leaves.empty() || !upTo.isNewerThan(vmsForwardedUpTo_))
        return;
    vmsForwardedUpTo_ = upTo;
    hooks_.perform(SendVmUpdate { std::move(leaves), event.update });
}

Fleet::ReportResult VmExchange::onReport(const PeerReportReceived &event, Instant now)
{
    const Fleet::ReportResult result =
        fleet_.onReport(event.from, event.incarnation, event.report, now);
    if (!usesRelays()) {
        if (result == Fleet::ReportResult::First) // it needs this VM's state at once
            hooks_.perform(SendReport { { event.from }, hooks_.makeReport() });
        return result;
    }
    overlay_.onReport(event.from, event.report.wantsReports, now);
    if (result == Fleet::ReportResult::Ignored)
        return result;
    const RelayedReport relayed { event.from, event.incarnation, 0, event.report };
    add(toRelays_, relayed, now);
    add(toLeaves_, relayed, now);
    scheduleFlush(event.report.isUrgent, now);
    if (result == Fleet::ReportResult::First) { // it knows no other VM's state
        RelayedReports latest = fleet_.latestReports(now);
        latest.reports.push_back(
            { options_.vm.id, options_.vm.incarnation, 0, hooks_.makeReport() });
        hooks_.perform(SendRelayedReports { { event.from }, std::move(latest) });
    }
    return result;
}

std::vector<RelayedReport> VmExchange::onRelayed(PeerReportsRelayed event, Instant now)
{
    overlay_.onRelayed(event.from, now);
    const bool hasLeaves = !overlay_.leaves(now).empty();
    bool isUrgent = false;
    std::vector<RelayedReport> accepted;
    for (RelayedReport &one : event.relayed.reports) {
        const Duration age = Duration::millis(one.ageMillis);
        if (one.vm == options_.vm.id
            || fleet_.onReport(one.vm, one.incarnation, one.report, now, age)
                == Fleet::ReportResult::Ignored)
            continue;
        if (hasLeaves)
            add(toLeaves_, one, now);
        isUrgent = isUrgent || one.report.isUrgent;
        accepted.push_back(std::move(one));
    }
    if (hasLeaves && !accepted.empty())
        scheduleFlush(isUrgent, now);
    return accepted;
}

void VmExchange::add(Batch &batch, const RelayedReport &relayed, Instant now)
{
    batch[relayed.vm] = { relayed, now - Duration::millis(relayed.ageMillis) };
}

void VmExchange::scheduleFlush(bool isUrgent, Instant now)
{
    const Duration interval = isUrgent ? urgentInterval : relayInterval;
    const Instant at = flushedAt_ == Instant::never() ? now : std::max(now, flushedAt_ + interval);
    flushAt_ = flushAt_ == Instant::never() ? at : std::min(flushAt_, at);
}

void VmExchange::flush(Instant now)
{
    flushAt_ = Instant::never();
    flushedAt_ = now;
    const auto own = toRelays_.find(options_.vm.id);
    if (own != toRelays_.end())
        sendAsRelay(own->second.relayed, now);
    sendBatch(toRelays_, overlay_.otherRelays(now), now);
    sendBatch(toLeaves_, overlay_.receivingLeaves(now), now);
}

// Tells the leaves that take the reports from another relay that this one is reachable.
void VmExchange::sendAsRelay(const RelayedReport &own, Instant now)
{
    std::vector<VmId> to = overlay_.leaves(now);
    const std::vector<VmId> receiving = overlay_.receivingLeaves(now);
    to.erase(std::remove_if(to.begin(), to.end(),
                            [&](const VmId &vm) {
                                return std::find(receiving.begin(), receiving.end(), vm)
                                    != receiving.end();
                            }),
             to.end());
    if (!to.empty())
        hooks_.perform(SendRelayedReports { std::move(to), { { own } } });
}

void VmExchange::sendBatch(Batch &batch, std::vector<VmId> to, Instant now)
{
    RelayedReports relayed;
    for (auto &[vm, pending] : std::exchange(batch, {})) {
        pending.relayed.ageMillis = static_cast<std::uint32_t>((now - pending.madeAt).toMillis());
        relayed.reports.push_back(std::move(pending.relayed));
    }
    if (!relayed.reports.empty() && !to.empty())
        hooks_.perform(SendRelayedReports { std::move(to), std::move(relayed) });
}

void VmExchange::onDisconnected(const VmId &vm, Instant now)
{
    overlay_.onDisconnected(vm, now);
    if (usesRelays())
        fleet_.onContactLost(vm, now);
    else
        fleet_.onDisconnected(vm, now);
    updateOverlay(now);
}

void VmExchange::onTimer(Instant now)
{
    if (overlayAt_ != Instant::never() && now >= overlayAt_)
        updateOverlay(now);
    if (flushAt_ != Instant::never() && now >= flushAt_)
        flush(now);
}

Instant VmExchange::nextWake() const
{
    Instant next = flushAt_;
    if (overlayAt_ != Instant::never())
        next = next == Instant::never() ? overlayAt_ : std::min(next, overlayAt_);
    return next;
}

} // namespace bluebellshift::gateway
