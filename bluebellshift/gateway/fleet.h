// This VM's view of the other VMs: who is there, who is heard, and what each told of
// the targets it uses and of the teams whose accounts it keeps.
//
//   Fleet fleet(options, log);
//   fleet.put(entry, revision, now);              // the registry named a VM
//   fleet.onReport(vm, incarnation, report, now); // it spoke
//   for (const Endpoint &address : fleet.addressesFor(region, domain, now))
//       ... // where callers of that place may connect
//
// A VM that is not heard is left out of look-ups, unless this VM hears almost nobody:
// then it is itself cut off and can't tell. A VM that is not heard counts in every
// team's limit while the registry names it, as it may still serve callers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/vmreport.h"
#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

class Fleet
{
public:
    static constexpr Duration livenessTimeout = Duration::millis(3200); // two slow reports
    static constexpr Duration newVmGrace = Duration::seconds(3);        // to be heard first
    static constexpr double minLiveFraction = 0.34; // of the others; below, this VM is cut off
    static constexpr std::size_t maxAddresses = 64;
    static constexpr std::size_t minAddressesInDomain =
        2; // in a failure domain, or its region counts

    Fleet(const GatewayOptions &options, std::function<void(core::LogRecord)> log);

    void put(const VmEntry &entry, Revision revision, Instant now);
    void remove(const VmId &vm);
    // Whether it is the first report of that incarnation.
    bool onReport(const VmId &from, Incarnation incarnation, const VmReport &report, Instant now);
    void onDisconnected(const VmId &vm, Instant now);
    // Forgets what has grown old; call several times a second.
    void onTimer(Instant now);

    // The other VMs that the registry names.
    std::vector<VmEntry> peers() const;
    // Those of them that are heard.
    std::vector<VmId> livePeers(Instant now) const;
    std::size_t vmCount() const { return entries_.size() + 1; }
    // Entries that nobody has been heard under for that long.
    std::vector<std::pair<VmId, Revision>> staleEntries(Duration silence, Instant now) const;

    std::vector<Endpoint> addressesFor(const RegionId &region, const FailureDomainId &domain,
                                       bool isSelfReady, Instant now) const;

    // How many VMs watch the store for others and have heard it lately, and the newest
    // change of a registry that any VM told of.
    std::size_t freshReaders(Duration maxAge, Instant now) const;
    std::uint64_t changeRevision(std::size_t registry, Instant now) const;

    int othersInFlight(std::uint32_t target) const;
    // VMs of this VM's region that are heard, itself included.
    std::size_t liveVmsInRegion(Instant now) const;
    // The part of all VMs, heard or not, that are in this VM's region.
    double regionShare() const;
    // This VM's place, from 0, in an order of the VMs that are heard; each target has
    // an order of its own.
    std::size_t rankFor(std::uint64_t target, Instant now) const;
    // The VM that keeps a team's account: the first by a hash among those that are heard
    // and stay. Empty: this VM, unless it leaves and others are there.
    std::optional<VmId> accountOwner(std::uint32_t team, bool isSelfLeaving, Instant now) const;
    // What that VM last told of the team; null: nothing.
    const TeamAdmission *admissionOf(const VmId &owner, std::uint32_t team) const;
    // Grows whenever the answers of accountOwner() may change.
    std::uint64_t version() const { return version_; }
    // Parts of all VMs, this one included: those that are heard, and those of them that
    // have been running for longer than the quota window.
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
        VmReport report;
        bool isDisconnected = false; // its connection ended, and nothing came since
        bool wasLive = false;        // as last logged
    };
    bool isLive(const Peer &peer, Instant now) const;
    bool isPartitioned(Instant now) const;
    void replaceUses(Peer &peer, const std::vector<TargetUse> &uses);
    void setLive(Peer &peer, bool isLive, const char *reason);

    const GatewayOptions &options_;
    const std::function<void(core::LogRecord)> log_;
    std::map<VmId, Peer> entries_;
    std::unordered_map<std::uint32_t, int> inFlight_; // of all others, by target
    std::uint64_t version_ = 0;
};

} // namespace bluebellshift::gateway
