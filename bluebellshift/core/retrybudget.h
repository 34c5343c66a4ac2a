// Limits retries to a fraction of the requests, so that retries don't multiply the
// load of a failing service.
//
//   RetryBudget budget(0.1);
//   budget.noteRequest();
//   if (budget.takeRetry()) ...
#pragma once

#include <algorithm>

namespace bluebellshift::core {

class RetryBudget
{
public:
    static constexpr double maxBalance = 10; // retries

    explicit RetryBudget(double ratio)
        : ratio_(ratio)
    {
    }

    void noteRequest() { balance_ = std::min(maxBalance, balance_ + ratio_); }

    bool takeRetry()
    {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

private:
    double ratio_;
    double balance_ = maxBalance;
};

} // namespace bluebellshift::core
