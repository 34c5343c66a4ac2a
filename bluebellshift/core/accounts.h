// Names of the quantities that the ledger divides between VMs, and the hooks
// by which other modules spend them.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// A rate account mints tokens; a count account (rate 0) gets its tokens back.
struct AccountLimit
{
    AccountId account;
    double ratePerSecond = 0;     // tokens
    double burst = 0;             // tokens; the whole quantity of a count account
    bool isSharedByTeams = false; // a region or a link: every VM keeps a part while it is plentiful

    bool isCount() const { return ratePerSecond == 0; }
};

inline AccountId teamAccount(const TeamId &team)
{
    return AccountId("team/" + team.text());
}
inline AccountId slotAccount(const TargetId &target)
{
    return AccountId("slots/" + target.text());
}
inline AccountId connectionAccount(const TargetId &target)
{
    return AccountId("connections/" + target.text());
}
inline AccountId regionAccount(const RegionId &region)
{
    return AccountId("region/" + region.text());
}
inline AccountId linkAccount(const RegionId &from, const RegionId &to)
{
    return AccountId("link/" + from.text() + "/" + to.text());
}

struct Debit
{
    AccountId account;
    double tokens = 1;
};

// How a module spends from this VM's shares.
struct BudgetHooks
{
    // Takes every debit or none. Returns the first account that lacks tokens,
    // or nothing when all were taken. An account without a limit is never short.
    std::function<std::optional<AccountId>(const std::vector<Debit> &, Instant now)> acquireTokens;
    // Returns tokens of a count account, or of a debit whose request never left.
    std::function<void(const Debit &, Instant now)> releaseTokens;
    // Sets the tokens for which requests wait, so that shares are borrowed.
    std::function<void(const Debit &, Instant now)> want;
    // Tokens that could be taken now.
    std::function<double(const AccountId &, Instant now)> available;
    // Spare tokens last reported by other VMs; may be unset.
    std::function<double(const AccountId &)> borrowable;
};

} // namespace bluebellshift::core
