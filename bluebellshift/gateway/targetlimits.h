// Keeps the limits that targets name: the requests a second that a target takes from all VMs
// together, for as long as its responses say so.
//
//   TargetLimits limits(self, hooks);
//   limits.onResponse(target, region, 7.5, now);   // a response named a limit, or none
//   if (limits.mayConsider(target, now))            // in the choice of a target
//       limits.onSent(target, now);
//   report.targetLimits = limits.reports(now);      // goes to the other VMs
//   limits.onReport(target, region, reported, age, from, now); // what one of them reported
//
// A few VMs, the senders, share a limit evenly, so that each may send about one request a
// second or more. All VMs find the same senders without messages; the others send nothing
// to that target. Reports only tell which targets are limited and which no longer are.
//
// Contracts:
//  - What all senders together send in a time t is at most limit * t + maxTokens * limit, or
//    maxTokens below a limit of one a second, while they agree on the senders.
//  - The newest response counts, whichever VM got it.
//  - A limit that no response has confirmed for staleAge is tried again by one VM after the other,
//    with one request each.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

// Identifies a target in messages between VMs.
using TargetHash = std::uint32_t;
TargetHash hashOf(const TargetId &target);

// The VMs that may share a target's limit, and this VM's place among them.
struct SenderRank
{
    std::size_t inRegion = 0;  // number of VMs in the target's region
    std::size_t elsewhere = 0; // and in the others
    bool isInRegion = false;   // where this VM is
    std::size_t position = 0;  // its rank, from 0, among the VMs there
};

// This VM's place among those that may send to a cold target.
struct ColdSenderRank
{
    std::size_t position = 0; // its rank, from 0, among the VMs that it counts
    // Fraction of the registered VMs that it counts, including itself. The others may be serving
    // callers behind a partition and keep their part of the bound.
    double fleetShare = 1;
    Instant since = Instant::never(); // when it stopped counting the latest of the others
    bool isKnown = true;              // the others count it
};

struct TargetLimitHooks
{
    // Ranks by a hash of target and VM: the same on all VMs.
    std::function<SenderRank(TargetHash target, const RegionId &region, Instant now)> senderRank;
    std::function<void(core::LogRecord)> log;
};

class TargetLimits
{
public:
    // Rate of one sender, below which fewer VMs share the limit. Requests a second.
    static constexpr double minSenderRate = 1;
    // Fraction of the senders from outside the target's region.
    static constexpr double outsideFraction = 0.25;
    // Requests that a sender may save up.
    static constexpr double maxTokens = 1.5;
    static constexpr Duration rankAge = Duration::seconds(1);   // until it is computed again
    static constexpr Duration reportAge = Duration::seconds(4); // a response is reported
    static constexpr Duration staleAge = Duration::seconds(6);
    // A change of the limit by less than this fraction is not logged.
    static constexpr double minLoggedChange = 0.1;

    TargetLimits(const VmId &self, TargetLimitHooks hooks);

    // `perSecond`: as the response named it; nothing: it named none.
    void onResponse(const TargetId &target, const RegionId &region, std::optional<double> perSecond,
                    Instant now);
    // `age`: time since `from` made the report.
    void onReport(const TargetId &target, const RegionId &region, const TargetLimitReport &reported,
                  Duration age, const VmId &from, Instant now);
    // The limits, and the ends of limits, that this VM's own responses have named of late.
    std::vector<TargetLimitReport> reports(Instant now) const;
    // Drops all that is known of a target that left or restarted.
    void forget(const TargetId &target) { entries_.erase(target); }

    // Whether this VM may send a request there now as far as limits go.
    bool mayConsider(const TargetId &target, Instant now) const;
    void onSent(const TargetId &target, Instant now);

    // The limit as last named; nothing: none.
    std::optional<double> limitOf(const TargetId &target) const;
    // Number of targets with a limit.
    std::size_t limitedCount() const;

private:
    struct Entry
    {
        TargetHash hash = 0;
        RegionId region;
        std::optional<double> perSecond;
        Instant toldAt = Instant::never();        // of the newest response that is known
        Instant ownResponseAt = Instant::never(); // of this VM's newest response
        Instant liftedAt = Instant::never();      // when the limit ended
        Instant sentAt = Instant::never();        // of this VM's newest request
        double tokens = 0;
        Instant filledAt;
        mutable SenderRank rank; // cached for rankAge
        mutable Instant rankedAt = Instant::never();
        std::optional<double> loggedPerSecond;
    };

    Entry &entryOf(const TargetId &target, const RegionId &region, Instant now);
    void setLimit(const TargetId &target, Entry &entry, std::optional<double> perSecond,
                  const VmId &from, Instant now);
    const SenderRank &rankOf(const Entry &entry, Instant now) const;
    // This VM's part of the limit, requests a second; 0: it is no sender.
    double shareOf(const Entry &entry, Instant now) const;
    double tokensAt(const Entry &entry, Instant now) const;
    bool mayProbe(const Entry &entry, Instant now) const;
    void logChange(const TargetId &target, Entry &entry, const VmId &from);

    const VmId self_;
    const TargetLimitHooks hooks_;
    std::unordered_map<TargetId, Entry> entries_;
};

} // namespace bluebellshift::gateway
