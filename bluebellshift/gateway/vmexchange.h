// Carries reports, spending and changes of targets between this VM and the others, directly or
// through relays (overlay.h).
//
//   VmExchange exchange(options, fleet, hooks);
//   exchange.put(entry);                              // for each registered VM
//   exchange.send(report, VmExchange::Reach::All, now);
//   auto result = exchange.onReport(received, now);   // passes it on if this VM is a relay
//   exchange.onTimer(now);                            // at or after nextWake()
//
// A relay passes on the reports of its leaves and its own to the other relays, and all new
// reports to its leaves, in batches: every relayInterval, or urgentInterval after the last
// one if a report is urgent. A report that is replaced by a newer one meanwhile is not sent.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/fleet.h"
#include "bluebellshift/gateway/overlay.h"

namespace bluebellshift::gateway {

class VmExchange
{
public:
    static constexpr Duration relayInterval = Duration::millis(500);
    static constexpr Duration urgentInterval = Duration::millis(100);
    static constexpr Duration overlayInterval = Duration::millis(250); // between its updates

    enum class Reach { Region, All };

    struct Hooks
    {
        std::function<void(Effect)> perform;
        // The report to send to a VM that reports for the first time.
        std::function<VmReport()> makeReport;
        std::function<void(core::LogRecord)> log;
    };

    VmExchange(const GatewayOptions &options, Fleet &fleet, Hooks hooks);

    // The secret that VMs authenticate each other with; nothing is sent before it is known.
    void setSecret(const std::string &secretHex);
    void put(const VmEntry &vm, Instant now);
    void remove(const VmId &vm, Instant now);
    void setLeaving() { isLeaving_ = true; }

    // Whether messages go through relays.
    bool usesRelays() const { return overlay_.usesRelays(); }
    // This VM's rank, from 0, among those that may read the store for all. Empty: it may not.
    std::optional<std::size_t> readerRank(std::uint64_t seed, Instant now) const;

    // Sends this VM's report. Without relays, `reach` limits it to its own region.
    void send(const VmReport &report, Reach reach, Instant now);
    void sendSpending(const SendSpending &spending);
    // Changes that this VM has read from the store for all.
    void sendTargetUpdate(TargetUpdate update, Instant now);
    void sendVmUpdate(VmUpdate update, Instant now);

    Fleet::ReportResult onReport(const PeerReportReceived &event, Instant now);
    // Returns the reports that are new to this VM.
    std::vector<RelayedReport> onRelayed(PeerReportsRelayed event, Instant now);
    // Returns whether the spending is for this VM; otherwise passes it on.
    bool onSpending(const PeerSpendingRelayed &event);
    // Passes an update on to this VM's leaves.
    void onTargetUpdate(const PeerTargetUpdateReceived &event, Instant now);
    void onVmUpdate(const PeerVmUpdateReceived &event, Instant now);
    void onDisconnected(const VmId &vm, Instant now);

    void onTimer(Instant now);
    Instant nextWake() const;

private:
    struct Pending
    {
        RelayedReport relayed;
        Instant madeAt; // as far as its age is known here
    };
    using Batch = std::map<VmId, Pending>;

    void updateOverlay(Instant now);
    void sendAsLeaf(VmReport report);
    void sendAsRelay(const RelayedReport &own, Instant now);
    void add(Batch &batch, const RelayedReport &relayed, Instant now);
    void scheduleFlush(bool isUrgent, Instant now);
    void flush(Instant now);
    // The VMs that this VM sends its own updates to.
    std::vector<VmId> directReceivers(Instant now) const;
    void sendBatch(Batch &batch, std::vector<VmId> to, Instant now);

    const GatewayOptions &options_;
    Fleet &fleet_;
    const Hooks hooks_;
    Overlay overlay_;
    std::string secretHex_; // empty until it is known
    bool isLeaving_ = false;
    Batch toRelays_; // of this VM and its leaves
    Batch toLeaves_;
    Instant flushedAt_ = Instant::never();
    Instant flushAt_ = Instant::never();
    Instant overlayAt_ = Instant::never();
    StoreRevision targetsForwardedUpTo_; // to the leaves
    StoreRevision vmsForwardedUpTo_;
};

} // namespace bluebellshift::gateway
