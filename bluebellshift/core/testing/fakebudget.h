// Budget hooks for tests, backed by a token count per account. An account that
// was never set has no limit.
#pragma once

#include <map>
#include <set>

#include "bluebellshift/core/accounts.h"

namespace bluebellshift::core::testing {

class FakeBudget
{
public:
    void set(const AccountId &account, double tokens) { tokens_[account] = tokens; }
    double tokens(const AccountId &account) const { return tokens_.at(account); }
    bool wasWanted(const AccountId &account) const { return wanted_.count(account) > 0; }

    BudgetHooks hooks()
    {
        BudgetHooks hooks;
        hooks.acquireTokens = [this](const std::vector<Debit> &debits, Instant) {
            return acquireTokens(debits);
        };
        hooks.releaseTokens = [this](const Debit &debit, Instant) {
            if (const auto entry = tokens_.find(debit.account); entry != tokens_.end())
                entry->second += debit.tokens;
        };
        hooks.want = [this](const Debit &debit, Instant) { wanted_.insert(debit.account); };
        hooks.available = [this](const AccountId &account, Instant) {
            const auto entry = tokens_.find(account);
            return entry == tokens_.end() ? 1e9 : entry->second;
        };
        return hooks;
    }

private:
    std::optional<AccountId> acquireTokens(const std::vector<Debit> &debits)
    {
        for (const Debit &debit : debits) {
            const auto entry = tokens_.find(debit.account);
            if (entry != tokens_.end() && entry->second < debit.tokens)
                return debit.account;
        }
        for (const Debit &debit : debits) {
            if (const auto entry = tokens_.find(debit.account); entry != tokens_.end())
                entry->second -= debit.tokens;
        }
        return std::nullopt;
    }

    std::map<AccountId, double> tokens_;
    std::set<AccountId> wanted_;
};

} // namespace bluebellshift::core::testing
