#include "bluebellshift/gateway/teamquotas.h"

#include <algorithm>

namespace bluebellshift::gateway {

void TeamQuotas::setConfig(const TrafficConfig &config, Instant now)
{
    for (const Team &team : config.teams) {
        const auto [entry, isNew] = buckets_.try_emplace(team.id);
        Bucket &bucket = entry->second;
        if (isNew)
            bucket.filledAt = now;
        else
            fill(bucket, now);
        bucket.rate = team.ratePerSecond;
        bucket.burst = team.burst;
        bucket.tokens = std::min(bucket.tokens, sizeOf(bucket));
    }
    for (auto entry = buckets_.begin(); entry != buckets_.end();)
        entry = config.findTeam(entry->first) == nullptr ? buckets_.erase(entry) : std::next(entry);
}

void TeamQuotas::setShare(const TeamId &team, double share, Instant now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end())
        return;
    Bucket &bucket = found->second;
    fill(bucket, now);
    if (bucket.computedCount == 0)
        bucket.tokens = slackOf(bucket) * slackAtStart;
    bucket.computed[bucket.computedCount++ % sharesToGrow] = share;
    const std::size_t known = std::min(bucket.computedCount, sharesToGrow);
    bucket.share = *std::min_element(bucket.computed.begin(),
                                     bucket.computed.begin() + static_cast<std::ptrdiff_t>(known));
    bucket.tokens = std::min(bucket.tokens, sizeOf(bucket));
}

bool TeamQuotas::hasShare(const TeamId &team) const
{
    const auto found = buckets_.find(team);
    return found != buckets_.end() && found->second.computedCount > 0;
}

bool TeamQuotas::take(const TeamId &team, Instant now)
{
    Bucket *bucket = limited(team);
    if (bucket == nullptr)
        return true;
    fill(*bucket, now);
    if (bucket->tokens < 1)
        return false;
    bucket->tokens -= 1;
    return true;
}

void TeamQuotas::giveBack(const TeamId &team)
{
    if (Bucket *bucket = limited(team))
        bucket->tokens = std::min(bucket->tokens + 1, sizeOf(*bucket));
}

Duration TeamQuotas::untilNext(const TeamId &team, Instant now)
{
    Bucket *bucket = limited(team);
    if (bucket == nullptr)
        return Duration();
    fill(*bucket, now);
    if (bucket->tokens >= 1)
        return Duration();
    const double perSecond = bucket->rate * bucket->share;
    if (perSecond <= 0)
        return Duration::seconds(1);
    return Duration::micros(static_cast<std::int64_t>((1 - bucket->tokens) / perSecond * 1e6));
}

// The share of the burst and an even part of some slack; at least one request must fit.
double TeamQuotas::sizeOf(const Bucket &bucket) const
{
    return std::max(1.0, bucket.share * bucket.burst + slackOf(bucket));
}

double TeamQuotas::slackOf(const Bucket &bucket) const
{
    const double window = bucket.rate * bounds_.quotaWindow.toSeconds() + bucket.burst;
    const double slack = (window * bounds_.quotaOverage + bounds_.quotaSlack) * slackUsed;
    return slack / static_cast<double>(vms_);
}

void TeamQuotas::fill(Bucket &bucket, Instant now) const
{
    const double seconds = (now - bucket.filledAt).toSeconds();
    bucket.filledAt = now;
    bucket.tokens = std::min(sizeOf(bucket), bucket.tokens + seconds * bucket.rate * bucket.share);
}

TeamQuotas::Bucket *TeamQuotas::limited(const TeamId &team)
{
    const auto found = buckets_.find(team);
    return found == buckets_.end() || found->second.rate <= 0 ? nullptr : &found->second;
}

} // namespace bluebellshift::gateway
