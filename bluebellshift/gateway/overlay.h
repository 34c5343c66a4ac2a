// Chooses the VMs that this VM is connected to and the ones that forward messages, so that
// the number of a VM's connections does not grow with the fleet.
//
//   Overlay overlay(options.vm);
//   overlay.put(entry);                             // for each registered VM
//   if (overlay.update(isUsable, now))              // several times a second
//       ... // connect to overlay.neighbours()
//   overlay.onReport(vm, now);                      // for each message from a VM itself
//   overlay.onRelayed(vm, now);
//
// A fleet of fewer than minVmsForRelays VMs is a full mesh. In a larger one, the first VMs of
// each failure domain by hash that are usable are relays. A VM is connected to the relays of
// its own domain, and a relay to all other relays. A message reaches every VM in at most three
// hops: to a relay of the sender's domain, to the relays of the other domains, to their VMs.
//
// No election is needed: a VM forwards for whoever reports to it. A relay that is silent is
// replaced by the next VM of its domain for those that it does not reach.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

class Overlay
{
public:
    static constexpr std::size_t minVmsForRelays = 20;
    static constexpr std::size_t minRelaysPerDomain = 2;
    static constexpr std::size_t minRelays = 6; // in all domains together
    // A neighbour that sent nothing for this long is replaced.
    static constexpr Duration silenceTimeout = Duration::millis(1700);
    // After this time, a neighbour that was replaced is tried again.
    static constexpr Duration retryInterval = Duration::seconds(4);
    // A VM that this VM has heard from within this time is sent messages.
    static constexpr Duration contactTimeout = Duration::millis(3200);

    explicit Overlay(const VmEntry &self);

    // Adds or replaces a VM other than this one.
    void put(const VmEntry &vm);
    void remove(const VmId &vm);

    // Call for each message that a VM sent to this VM: its own report, or those of others.
    void onReport(const VmId &vm, bool wantsReports, Instant now)
    {
        contacts_[vm] = { Role::Leaf, wantsReports, now };
    }
    void onRelayed(const VmId &vm, Instant now) { contacts_[vm] = { Role::Relay, false, now }; }
    void onDisconnected(const VmId &vm, Instant now);

    // Chooses relays and neighbours again. `isUsable` tells whether a VM may be a relay as far
    // as the reports show. Returns whether the neighbours or the relays have changed.
    bool update(const std::function<bool(const VmId &)> &isUsable, bool isSelfUsable, Instant now);

    bool usesRelays() const { return vms_.size() + 1 >= minVmsForRelays; }
    // The VMs to be connected to.
    const std::vector<VmEntry> &neighbours() const { return neighbours_; }
    bool isNeighbour(const VmId &vm) const;
    // The relays of all domains, possibly with this VM.
    const std::vector<VmId> &relays() const { return relays_; }
    // This VM's rank, from 0, among the relays by hash. Empty: it is no relay.
    std::optional<std::size_t> relayRank(std::uint64_t seed) const;

    // Whether this VM forwards messages of others: it is a relay, or is used as one.
    bool isForwarding(Instant now) const;
    // The VMs that report to this VM, and those of them that this VM sends all reports to: of
    // its relays, a leaf takes them from one.
    std::vector<VmId> leaves(Instant now) const;
    std::vector<VmId> receivingLeaves(Instant now) const;
    // The neighbour that is to send all reports to this VM: one that this VM hears. Half of a
    // domain's VMs use one relay, half the other. Empty if there are no neighbours.
    std::optional<VmId> sendingRelay() const;
    // The VMs that forward messages as well.
    std::vector<VmId> otherRelays(Instant now) const;

private:
    enum class Role { Leaf, Relay };
    struct Member
    {
        VmEntry entry;
        std::uint64_t hash = 0;
    };
    struct Contact
    {
        Role role = Role::Leaf; // according to its latest message
        bool wantsReports = false;
        Instant heardAt = Instant::never();
    };
    // How the connection to a neighbour goes.
    struct Attempt
    {
        Instant since;          // it began, was last heard, or failed
        bool isFailing = false; // it is silent, or its connection ended
        bool isRetry = false;   // it failed before and has not been heard since
    };

    void judgeAttempts(Instant now);
    void rememberAttempts(Instant now);
    std::size_t relaysPerDomain() const;
    std::vector<VmId> relaysOf(const std::vector<Member> &domain,
                               const std::function<bool(const Member &)> &mayRelay) const;
    void addNeighboursOf(const std::vector<Member> &domain, std::vector<VmEntry> *all) const;

    const VmEntry self_;
    std::map<VmId, FailureDomainId> vms_;                     // the other VMs
    std::map<FailureDomainId, std::vector<Member>> byDomain_; // with this VM, by hash
    std::map<VmId, Contact> contacts_;
    std::map<VmId, Attempt> attempts_; // neighbours, and those that were replaced
    std::vector<VmEntry> neighbours_;
    std::vector<VmId> relays_;
};

} // namespace bluebellshift::gateway
