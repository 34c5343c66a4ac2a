// This VM's view of the other gateway VMs: which are registered, which are live, and what
// each last reported of the targets it uses and the team accounts it owns.
//
//   Fleet fleet(options, log);
//   fleet.put(entry, revision, now);              // for each entry of the registry
//   fleet.onReport(vm, incarnation, report, now); // for each report received
//   for (const Endpoint &address : fleet.addressesFor(region, domain, now))
//       ... // endpoints for callers in that region and failure domain
//
// A VM is live while its connection is open and its reports arrive. A VM that is not live
// is left out of look-ups, unless this VM receives reports from almost no other and no response
// of the store: then this VM is itself partitioned and can't judge. A registered VM that is not
// live still counts in every team's limit, as it may still be serving callers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/gateway/options.h"
#include "bluebellshift/gateway/targetlimits.h"

namespace bluebellshift::gateway {

class Fleet
{
public:
    static constexpr Duration livenessTimeout = Duration::millis(3200); // two slow reports
    static constexpr Duration newVmGrace = Duration::seconds(3);        // for its first report
    static constexpr Duration reconnectTime = Duration::millis(1500);
    // Fraction of the other VMs. While fewer are live, this VM counts as partitioned.
    static constexpr double minLiveFraction = 0.34;
    static constexpr Duration senderTimeout = Duration::seconds(6);
    static constexpr std::size_t maxAddresses = 64;
    static constexpr std::size_t minAddressesInDomain = 2; // otherwise those of the region are used

    Fleet(const GatewayOptions &options, std::function<void(core::LogRecord)> log);

    enum class Origin {
        Store,
        RestoredStore, // it may be older than the VM's end: only a report shows that the VM lives
    };
    void put(const VmEntry &entry, Revision revision, Instant now, Origin origin = Origin::Store);
    // The store's entry of a known VM has another revision.
    void setRevision(const VmId &vm, Revision revision);
    void remove(const VmId &vm);
    enum class ReportResult {
        Ignored, // from a VM that is not registered, or not newer than the last one
        Accepted,
        First, // accepted; the first of that incarnation
    };
    // `age`: of a report that another VM passed on.
    ReportResult onReport(const VmId &from, Incarnation incarnation, const VmReport &report,
                          Instant now, Duration age = Duration());
    // The connection to a VM closed, over which alone its reports arrive.
    void onDisconnected(const VmId &vm, Instant now);
    // The connection to a VM closed whose reports may still arrive through others: without one
    // within reconnectTime, it is no longer live.
    void onContactLost(const VmId &vm, Instant now);
    // Marks VMs without recent reports as not live. Call several times a second.
    void onTimer(Instant now);

    // The other registered VMs.
    std::vector<VmEntry> peers() const;
    // The live VMs among them.
    std::vector<VmId> livePeers(Instant now) const;
    bool isLive(const VmId &vm, Instant now) const;
    // Whether the VM is live in another run than the one that the entry names.
    bool isLiveInOtherRun(const VmEntry &entry, Instant now) const;
    // Whether a VM is live, or too new to have reported, and is not leaving.
    bool isUsable(const VmId &vm, Instant now) const;
    // The latest reports of all live VMs, for a VM that knows none.
    RelayedReports latestReports(Instant now) const;
    std::size_t vmCount() const { return entries_.size() + 1; }
    // Entries of VMs that have not reported for `silence`. Empty if this VM is partitioned.
    std::vector<std::pair<VmId, Revision>> staleEntries(Duration silence, Instant now) const;

    std::vector<Endpoint> addressesFor(const RegionId &region, const FailureDomainId &domain,
                                       bool isSelfReady, bool isStoreLost, Instant now) const;

    // Number of VMs that read the store for others and had its response within `maxAge`, and
    // the newest revision of a registry that any VM reported.
    std::size_t freshReaders(Duration maxAge, Instant now) const;
    // When the last of them ceases to be one; never(): there is none.
    Instant freshReadersEnd(Duration maxAge, Instant now) const;
    // The latest time at which the store confirmed all watched data to one of them, by its reports;
    // never(): there is none.
    Instant readersConfirmedAt(Instant now) const;
    // Whether no such VM comes before this one in the order of readers by `seed`.
    bool isFirstReader(std::uint64_t seed, Duration maxAge, Instant now) const;
    // A report that tells no era is taken for one of `era`.
    StoreRevision changeRevision(std::size_t registry, StoreEra era, Instant now) const;

    // The highest version of the configuration that a live VM reported; 0: none did.
    std::uint64_t newestConfigVersion(Instant now) const;

    int othersInFlight(std::uint32_t target) const;
    // The mean age of the latest reports of all other live VMs; zero if there is none.
    Duration meanReportAge(Instant now) const;
    // Requests that the other live VMs of this VM's region sent to each region, according to their
    // latest reports.
    std::vector<double> regionRequests(Instant now) const;
    // Requests that arrived at the other live VMs of each region, according to their latest
    // reports.
    std::map<RegionId, double> requestsByRegion(Instant now) const;
    // The requests of all other live VMs that ended without a response.
    double failedRequests(Instant now) const;
    // Number of live VMs in this VM's region, including itself.
    std::size_t liveVmsInRegion(Instant now) const;
    // Each region's share of all registered VMs.
    std::map<RegionId, double> regionShares() const;
    // This VM's rank, from 0, among the live VMs by rendezvous hashing with the seed.
    std::size_t rankFor(std::uint64_t seed, Instant now) const;
    // The same among the VMs that may send to a cold target. A registered VM that is not live, or
    // has not reported yet, still counts for senderTimeout, as it may be sending.
    ColdSenderRank coldSenderRank(std::uint64_t target, Instant now) const;
    // The VMs that may share a target's limit. A registered VM that is not live still counts for
    // senderTimeout, as it may still be sending.
    SenderRank senderRank(std::uint32_t target, const RegionId &region, Instant now) const;
    // The VM that owns a team's account: the first by rendezvous hashing among the live VMs
    // that are not leaving. Empty: this VM, unless it is leaving and another can take over.
    std::optional<VmId> accountOwner(std::uint32_t team, bool isSelfLeaving, Instant now) const;
    // The VMs that may own accounts while one of them is live. Default: all.
    void setOwnerCandidates(std::vector<VmId> candidates);
    // The admission that `owner` last reported for the team, or null.
    const TeamAdmission *admissionOf(const VmId &owner, std::uint32_t team) const;
    // Number of times that a VM was lost or began to stop.
    std::uint64_t lossCount() const { return lossCount_; }
    // Increases whenever the result of accountOwner() may have changed.
    std::uint64_t version() const { return version_; }
    // Shares of all VMs, including this one, that are live, and that are live and have been
    // running for longer than the quota window.
    double liveShare(Instant now) const;
    double settledShare(bool isSelfYoung, Instant now) const;

private:
    struct Peer
    {
        VmEntry entry;
        Revision revision;
        std::uint64_t hash = 0;
        Instant listedAt;
        Instant reportedAt = Instant::never();
        Incarnation incarnation; // of the last report
        Incarnation earlierIncarnation;
        VmReport report;
        bool isDisconnected = false; // its connection closed, and no report came since
        bool wasLive = false;        // liveness as last logged
    };
    bool isLive(const Peer &peer, Instant now) const;
    bool isFreshReader(const Peer &peer, Duration maxAge, Instant now) const;
    bool isPartitioned(Instant now) const;
    void replaceUses(Peer &peer, const std::vector<TargetUse> &uses);
    void setLive(Peer &peer, bool isLive, const char *reason);

    const GatewayOptions &options_;
    const std::function<void(core::LogRecord)> log_;
    std::map<VmId, Peer> entries_;
    std::unordered_map<std::uint32_t, int> inFlight_; // of all other VMs, by target
    std::optional<std::vector<VmId>> ownerCandidates_;
    std::uint64_t version_ = 0;
    std::uint64_t lossCount_ = 0;
};

} // namespace bluebellshift::gateway
