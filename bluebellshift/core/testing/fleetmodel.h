// A simple reference model for FleetWorld: the spending of all VMs from an account
// must fit one token bucket, and no share may exist twice.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "bluebellshift/core/testing/fleetworld.h"

namespace bluebellshift::core {

// One token bucket per account, full at the start. Spending stays within
// `burst + rate * t` in every window if and only if the level never falls below 0.
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
        double refilled = bucket.limit.ratePerSecond * (now - bucket.at).toSeconds();
        bucket.level = std::min(bucket.limit.burst, bucket.level + refilled) - tokens;
        bucket.at = now;
        overspent_ = std::max(overspent_, -bucket.level);
    }
    void releaseTokens(const AccountId &account, double tokens)
    {
        buckets_[account].level += tokens;
    }

    // The largest overdraft of any account so far, in tokens; 0 if none.
    double overspent() const { return overspent_; }

    // The sum of the shares of all VMs that may serve at this instant.
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
