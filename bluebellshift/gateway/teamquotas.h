// Holds each team to its rate and burst over all VMs together: this VM's side.
//
//   TeamQuotas quotas(bounds);
//   quotas.setConfig(*config, now);
//   quotas.setAdmission(admission);          // the VM that keeps the team's account says so
//   if (!quotas.take(team, now))
//       ... // over the limit; quotas.timeUntilNext(team, now) says when to come back
//   for (const TeamSpending &spending : quotas.takeSpending(now))
//       ... // goes to the VM that keeps that team's account
//
// Of the requests that arrive, the part is admitted that the account's keeper allows;
// what was admitted is told to it soon after. While no keeper has spoken, the VM holds
// the team to an even share of its rate, burst and slack: all VMs together stay within
// the bound without a message.
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
    static constexpr double slackFraction = 0.5; // part of the bounds' slack, for even shares
    // Of its part of the slack, that a VM begins with: one that was killed may have
    // spent the same just before.
    static constexpr double initialSlackFraction = 0.5;
    // Advice to a caller of a team whose requests are admitted in part.
    static constexpr Duration throttledRetryAfter = Duration::seconds(1);

    explicit TeamQuotas(const FleetBounds &bounds)
        : bounds_(bounds)
    {
    }

    // Limits of teams that stay are changed at once; a bucket keeps what it holds, up
    // to its new size. The bucket of a new team is empty until the VMs are counted.
    void setConfig(const TrafficConfig &config, Instant now);
    // All VMs of the registry, this one included.
    void setVmCount(std::size_t vms, Instant now);

    void setAdmission(const TeamAdmission &admission);
    // Nobody keeps the team's account any more, as far as is known.
    void dropAdmission(TeamHash team);

    // Counts a request and takes its token. True for a team without a limit.
    bool take(const TeamId &team, Instant now);
    // When take() may succeed again; zero: now.
    Duration timeUntilNext(const TeamId &team, Instant now);

    // The teams with a limit.
    std::vector<TeamHash> limitedTeams() const;
    TeamId nameOf(TeamHash team) const; // empty: it has no limit
    bool hasSpending() const { return !changed_.empty(); }
    // The totals of the teams of which requests arrived since the last call.
    std::vector<TeamSpending> takeSpending(Instant now);
    // The team's totals are told again; to a new keeper.
    void markForReport(TeamHash team);

private:
    static constexpr std::size_t windowSlots = 10; // of the quota window
    struct Slot
    {
        std::int64_t number = -1;
        std::uint32_t admitted = 0;
    };
    struct Bucket
    {
        TeamId team;
        double rate = 0;   // of the whole fleet, tokens a second
        double burst = 0;  // likewise, tokens
        double tokens = 0; // of the even share
        Instant filledAt;
        std::optional<TeamAdmission> admission;
        double credit = 0.5;             // of the admitted part, for the next request
        std::uint32_t admittedSince = 0; // since the last admission was told
        std::uint64_t arrived = 0;
        std::uint64_t admitted = 0;
        std::array<Slot, windowSlots> slots {};
        bool isChanged = false;
    };

    static bool admit(Bucket &bucket);
    double capacityOf(const Bucket &bucket) const;
    double slackOf(const Bucket &bucket) const;
    void fill(Bucket &bucket, Instant now) const;
    std::int64_t slotNumber(Instant now) const;
    Bucket *findLimited(TeamHash team);

    const FleetBounds &bounds_;
    std::size_t vms_ = 0;                          // 0: not counted yet
    std::unordered_map<TeamHash, Bucket> buckets_; // of teams with a limit
    std::vector<TeamHash> changed_;
};

} // namespace bluebellshift::gateway
