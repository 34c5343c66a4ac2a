// Enforces each team's rate and burst over all VMs together: the part that runs on every VM.
//
//   TeamQuotas quotas(bounds, phaseSeed);
//   quotas.setConfig(*config, now);
//   quotas.setAdmission(admission);          // from the VM that owns the team's account
//   if (!quotas.take(team, now))
//       ... // over the limit; quotas.timeUntilNext(team, now) is the Retry-After
//   for (const TeamSpending &spending : quotas.takeSpending(now))
//       ... // goes to the VM that owns that team's account
//
// Of the arriving requests, the VM admits the fraction that the account's owner allows and
// reports the admitted ones to it soon after. An admission is a lease: it ends a short time after
// the owner's report and allows no more than this VM's part of what is left, so that VMs that
// are cut off from the owner can't spend what it gives to others. Without an admission, the VM
// limits the team to an even share of its rate, burst and slack: then all VMs together stay
// within the bound without messages. In a large fleet that share is a fraction of a request:
// each VM starts at a random phase between two requests, so that all VMs together admit the
// team's rate from the start.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellshift/gateway/teamaccounts.h"

namespace bluebellshift::gateway {

class TeamQuotas
{
public:
    static constexpr double slackFraction = 0.5; // fraction of the bounds' slack that is used
    // Fraction of its share of the slack that a VM starts with. A killed VM that it replaces
    // may have spent as much just before.
    static constexpr double initialSlackFraction = 0.5;
    // Retry-After for teams whose requests are admitted in part.
    static constexpr Duration throttledRetryAfter = Duration::seconds(1);

    // `phaseSeed` differs between VMs and between the starts of one.
    TeamQuotas(const FleetBounds &bounds, std::uint64_t phaseSeed)
        : bounds_(bounds)
        , phaseSeed_(phaseSeed)
    {
    }

    // New limits apply at once. The bucket of a known team keeps its tokens, up to its new
    // capacity. The bucket of a new team is empty until setVmCount() was called.
    void setConfig(const TrafficConfig &config, Instant now);
    // Number of registered VMs, including this one.
    void setVmCount(std::size_t vms, Instant now);

    // The admission holds until `until`: then the owner's word is too old, and the even share
    // applies.
    void setAdmission(const TeamAdmission &admission, Instant until, Instant now);
    // The team's account has no known owner: falls back to the even share.
    void dropAdmission(TeamHash team);

    // Counts a request and takes a token for it. Returns whether the request is admitted;
    // always true for a team without a limit.
    bool take(const TeamId &team, Instant now);
    // Time until take() may succeed again.
    Duration timeUntilNext(const TeamId &team, Instant now);

    // The teams with a limit.
    std::vector<TeamHash> limitedTeams() const;
    TeamId nameOf(TeamHash team) const; // empty: no limit
    bool hasSpending() const { return !changed_.empty(); }
    // The totals of the teams with requests since the last call.
    std::vector<TeamSpending> takeSpending(Instant now);
    // Includes the team's totals in the next takeSpending(), for a new owner.
    void markForReport(TeamHash team);

private:
    static constexpr std::size_t windowSlots = 10; // that the quota window is divided into
    struct Slot
    {
        std::int64_t number = -1;
        std::uint32_t admitted = 0;
    };
    struct Bucket
    {
        TeamId team;
        double rate = 0;   // of the whole fleet, tokens per second
        double burst = 0;  // of the whole fleet, tokens
        double tokens = 0; // of the even share
        Instant filledAt;
        std::optional<TeamAdmission> admission;
        Instant admittedUntil;
        double leaseRequests = 0; // that this VM may admit by that admission
        double demand = 0;        // arrivals, decaying with TeamAccounts::demandTimeConstant
        double credit = 0.5;             // accumulated admitted fractions
        std::uint32_t admittedSince = 0; // since the last setAdmission()
        std::uint64_t arrived = 0;
        std::uint64_t admitted = 0;
        std::array<Slot, windowSlots> slots {};
        bool isChanged = false;
    };

    bool admit(Bucket &bucket, Instant now) const;
    void endAdmission(Bucket &bucket) const;
    double capacityOf(const Bucket &bucket) const;
    double slackOf(const Bucket &bucket) const;
    double initialTokensOf(const Bucket &bucket) const;
    double phaseOf(const Bucket &bucket) const;
    void fill(Bucket &bucket, Instant now) const;
    std::int64_t slotNumber(Instant now) const;
    Bucket *findLimited(TeamHash team);

    const FleetBounds &bounds_;
    const std::uint64_t phaseSeed_;
    std::size_t vms_ = 0;                          // 0: not known yet
    std::unordered_map<TeamHash, Bucket> buckets_; // of teams with a limit
    std::vector<TeamHash> changed_;
};

} // namespace bluebellshift::gateway
