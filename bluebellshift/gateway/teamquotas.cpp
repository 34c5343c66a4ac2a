// Admitting a fraction of the requests works equally well for VMs that get few requests of
// a team and VMs that get many. A token bucket with a share of the rate does not: with 87
// VMs and 5 requests a second, the second request that reaches a VM within 15 s would be
// refused for lack of a token.
#include "bluebellshift/gateway/teamquotas.h"

#include <algorithm>
#include <cmath>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

void TeamQuotas::setConfig(const TrafficConfig &config, Instant now)
{
    std::unordered_map<TeamHash, Bucket> next;
    for (const Team &team : config.teams) {
        if (team.ratePerSecond <= 0)
            continue;
        const TeamHash hash = hashOf(team.id);
        const auto known = buckets_.find(hash);
        Bucket bucket;
        if (known != buckets_.end()) {
            bucket = known->second;
            fill(bucket, now);
        }
        bucket.filledAt = now;
        bucket.team = team.id;
        bucket.rate = team.ratePerSecond;
        bucket.burst = team.burst;
        if (known == buckets_.end())
            bucket.tokens = vms_ > 0 ? initialTokensOf(bucket) : 0;
        bucket.tokens = std::min(bucket.tokens, capacityOf(bucket));
        next.emplace(hash, bucket);
    }
    buckets_ = std::move(next);
}

void TeamQuotas::setVmCount(std::size_t vms, Instant now)
{
    if (vms == vms_)
        return;
    for (auto &[team, bucket] : buckets_)
        fill(bucket, now);
    const bool isFirst = vms_ == 0;
    vms_ = vms;
    for (auto &[team, bucket] : buckets_) {
        bucket.filledAt = now;
        if (isFirst)
            bucket.tokens = initialTokensOf(bucket);
        bucket.tokens = std::min(bucket.tokens, capacityOf(bucket));
    }
}

void TeamQuotas::setAdmission(const TeamAdmission &admission, Instant until, Instant now)
{
    Bucket *bucket = findLimited(admission.team);
    if (bucket == nullptr)
        return;
    fill(*bucket, now);
    bucket->admission = admission;
    bucket->admittedUntil = until;
    bucket->admittedSince = 0;
    // At least what it has saved up of its even share, but not both: when all VMs' demand jumps at
    // once, they would exceed the bound before the owner's next word.
    bucket->leaseRequests =
        std::max(std::floor(bucket->tokens),
                 leaseRequests(admission, bucket->demand, std::max<std::size_t>(1, vms_)));
}

void TeamQuotas::dropAdmission(TeamHash team)
{
    if (Bucket *bucket = findLimited(team))
        endAdmission(*bucket);
}

// The burst may have been spent by other VMs on the owner's word: what this VM saved up
// meanwhile is no part of the even share.
void TeamQuotas::endAdmission(Bucket &bucket) const
{
    if (!bucket.admission)
        return;
    bucket.admission.reset();
    bucket.tokens = std::min(bucket.tokens, phaseOf(bucket));
}

bool TeamQuotas::take(const TeamId &team, Instant now)
{
    const TeamHash hash = hashOf(team);
    Bucket *bucket = findLimited(hash);
    if (bucket == nullptr)
        return true;
    if (!bucket->isChanged) {
        bucket->isChanged = true;
        changed_.push_back(hash);
    }
    ++bucket->arrived;
    fill(*bucket, now);
    bucket->demand += 1;
    if (!admit(*bucket, now))
        return false;
    bucket->tokens = std::max(0.0, bucket->tokens - 1);
    ++bucket->admitted;
    ++bucket->admittedSince;
    const std::int64_t number = slotNumber(now);
    Slot &slot = bucket->slots[static_cast<std::size_t>(number) % windowSlots];
    if (slot.number != number)
        slot = { number, 0 };
    ++slot.admitted;
    return true;
}

bool TeamQuotas::admit(Bucket &bucket, Instant now) const
{
    if (bucket.admission && now >= bucket.admittedUntil)
        endAdmission(bucket);
    if (!bucket.admission)
        return bucket.tokens >= 1;
    if (bucket.admittedSince + 1 > bucket.leaseRequests)
        return false;
    bucket.credit = std::min(2.0, bucket.credit + bucket.admission->permille / 1000.0);
    if (bucket.credit < 1)
        return false;
    bucket.credit -= 1;
    return true;
}

Duration TeamQuotas::timeUntilNext(const TeamId &team, Instant now)
{
    Bucket *bucket = findLimited(hashOf(team));
    if (bucket == nullptr)
        return Duration();
    if (bucket->admission)
        return throttledRetryAfter;
    fill(*bucket, now);
    if (bucket->tokens >= 1)
        return Duration();
    const double perSecond = vms_ == 0 ? 0 : bucket->rate / static_cast<double>(vms_);
    if (perSecond <= 0)
        return throttledRetryAfter;
    return Duration::micros(static_cast<std::int64_t>((1 - bucket->tokens) / perSecond * 1e6));
}

std::vector<TeamHash> TeamQuotas::limitedTeams() const
{
    std::vector<TeamHash> teams;
    teams.reserve(buckets_.size());
    for (const auto &[team, bucket] : buckets_)
        teams.push_back(team);
    return teams;
}

TeamId TeamQuotas::nameOf(TeamHash team) const
{
    const auto found = buckets_.find(team);
    return found == buckets_.end() ? TeamId() : found->second.team;
}

std::vector<TeamSpending> TeamQuotas::takeSpending(Instant now)
{
    std::vector<TeamSpending> all;
    const std::int64_t current = slotNumber(now);
    for (const TeamHash team : std::exchange(changed_, {})) {
        Bucket *bucket = findLimited(team);
        if (bucket == nullptr)
            continue; // its limit was removed
        bucket->isChanged = false;
        TeamSpending spending { team, bucket->arrived, bucket->admitted, 0 };
        for (const Slot &slot : bucket->slots) {
            if (slot.number >= 0 && current - slot.number < static_cast<std::int64_t>(windowSlots))
                spending.admittedInWindow += slot.admitted;
        }
        all.push_back(spending);
    }
    return all;
}

void TeamQuotas::markForReport(TeamHash team)
{
    Bucket *bucket = findLimited(team);
    if (bucket == nullptr || bucket->isChanged || bucket->arrived == 0)
        return;
    bucket->isChanged = true;
    changed_.push_back(team);
}

// The even share of the burst and the used slack, but at least one request.
double TeamQuotas::capacityOf(const Bucket &bucket) const
{
    if (vms_ == 0)
        return 0;
    return std::max(1.0, bucket.burst / static_cast<double>(vms_) + slackOf(bucket));
}

double TeamQuotas::slackOf(const Bucket &bucket) const
{
    const double window = bucket.rate * bounds_.quotaWindow.toSeconds() + bucket.burst;
    const double slack = (window * bounds_.quotaOverage + bounds_.quotaSlack) * slackFraction;
    return slack / static_cast<double>(vms_);
}

// With a random phase in [0, 1), the first requests of all VMs are spread over the time in which
// each may send one: together they admit no more than the rate.
double TeamQuotas::initialTokensOf(const Bucket &bucket) const
{
    return std::max(slackOf(bucket) * initialSlackFraction, phaseOf(bucket));
}

double TeamQuotas::phaseOf(const Bucket &bucket) const
{
    return toFraction(mixHashes(phaseSeed_, hashOf(bucket.team)));
}

void TeamQuotas::fill(Bucket &bucket, Instant now) const
{
    const double seconds = (now - bucket.filledAt).toSeconds();
    bucket.filledAt = now;
    bucket.demand *= std::exp(-seconds / TeamAccounts::demandTimeConstant.toSeconds());
    if (vms_ == 0)
        return;
    const double perSecond = bucket.rate / static_cast<double>(vms_);
    bucket.tokens = std::min(capacityOf(bucket), bucket.tokens + seconds * perSecond);
}

std::int64_t TeamQuotas::slotNumber(Instant now) const
{
    const auto slots = static_cast<std::int64_t>(windowSlots);
    return now.toMicros() / std::max<std::int64_t>(1, bounds_.quotaWindow.toMicros() / slots);
}

TeamQuotas::Bucket *TeamQuotas::findLimited(TeamHash team)
{
    const auto found = buckets_.find(team);
    return found == buckets_.end() ? nullptr : &found->second;
}

} // namespace bluebellshift::gateway
