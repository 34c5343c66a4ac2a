// The slow, obvious model that FleetWorld is checked against: what all VMs spend
// of an account fits one token bucket, and no share exists twice.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "bluebellshift/core/testing/fleetworld.h"

namespace bluebellshift::core {

// Spending is within `burst + rate * t` for every window exactly when a bucket
// that starts full never runs below zero.
class FleetModel
{
public:
    explicit FleetModel(const std::vector<AccountLimit> &limits)
    {
        for (const AccountLimit &limit : limits)
            buckets_[limit.account] = Bucket { limit, limit.burst, Instant() };
    }

    void spend(const AccountId &account, double tokens, Instant now)
    {
        Bucket &bucket = buckets_[account];
        double minted = bucket.limit.ratePerSecond * (now - bucket.at).toSeconds();
        bucket.level = std::min(bucket.limit.burst, bucket.level + minted) - tokens;
        bucket.at = now;
        overspent_ = std::max(overspent_, -bucket.level);
    }
    void releaseTokens(const AccountId &account, double tokens)
    {
        buckets_[account].level += tokens;
    }

    // The most by which any window was exceeded, in tokens.
    double overspent() const { return overspent_; }

    // The sum of the shares that could be spent at this instant.
    static std::int64_t spendableShares(FleetWorld &world, const AccountId &account)
    {
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < world.size(); ++i) {
            if (world.isUp(i) && world.fleet(i).mayServe(world.localNow(i)))
                sum += world.fleet(i).ledger().share(account);
        }
        return sum;
    }

private:
    struct Bucket
    {
        AccountLimit limit;
        double level = 0;
        Instant at;
    };
    std::map<AccountId, Bucket> buckets_;
    double overspent_ = 0;
};

} // namespace bluebellshift::core
