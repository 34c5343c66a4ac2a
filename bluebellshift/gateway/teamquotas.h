// Holds each team to its rate and burst over all VMs together.
//
//   TeamQuotas quotas(bounds);
//   quotas.setConfig(*config, now);
//   quotas.setShare(team, 0.25, now);   // this VM's part of the team's limit
//   if (!quotas.take(team, now))
//       ... // over the limit; quotas.untilNext(team, now) says when to come back
//
// Each VM runs a token bucket with its share of the rate and the burst. While the
// shares add up to one, all VMs together admit at most burst + rate x time in any
// window. Part of the slack beyond that is divided evenly, whatever the shares: it lets
// a VM bear the chance arrivals of a small team. The rest is for shares on the move.
#pragma once

#include <array>
#include <unordered_map>

#include "bluebellshift/gateway/options.h"
#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

class TeamQuotas
{
public:
    static constexpr double slackUsed = 0.5; // part of the bounds' slack
    // A share shrinks at once and grows only when that many computations agree: by then
    // the others have heard of the demand that it grows for, and have shrunk theirs.
    static constexpr std::size_t sharesToGrow = 4;
    // Of its part of the slack, that a VM begins with: one that was killed may have
    // spent the same just before.
    static constexpr double slackAtStart = 0.5;

    explicit TeamQuotas(const FleetBounds &bounds)
        : bounds_(bounds)
    {
    }

    // Limits of teams that stay are changed at once; a bucket keeps what it holds, up
    // to its new size. The bucket of a team that is new is
    // empty until its first share is set, and then holds little.
    void setConfig(const TrafficConfig &config, Instant now);
    // The share as computed anew from the newest reports.
    void setShare(const TeamId &team, double share, Instant now);
    void setVmCount(std::size_t vms) { vms_ = vms; }
    bool hasShare(const TeamId &team) const; // one was ever set

    // Takes one request's token. True for a team without a limit.
    bool take(const TeamId &team, Instant now);
    // Gives a token back for a request that certainly was not run.
    void giveBack(const TeamId &team);
    // When take() may succeed again; zero: now.
    Duration untilNext(const TeamId &team, Instant now);

private:
    struct Bucket
    {
        double rate = 0;  // of the whole fleet, tokens a second; 0: no limit
        double burst = 0; // likewise, tokens
        double share = 0; // this VM's part, 0 to 1
        std::array<double, sharesToGrow> computed {}; // the last ones
        std::size_t computedCount = 0;
        double tokens = 0;
        Instant filledAt;
    };

    double sizeOf(const Bucket &bucket) const;
    double slackOf(const Bucket &bucket) const;
    void fill(Bucket &bucket, Instant now) const;
    Bucket *limited(const TeamId &team);

    const FleetBounds &bounds_;
    std::size_t vms_ = 1;
    std::unordered_map<TeamId, Bucket> buckets_;
};

} // namespace bluebellshift::gateway
