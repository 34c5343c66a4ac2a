// Limits retries to a fraction of the requests, so that a failing service is
// not sent a multiple of its load.
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

    void noteRequest() { saved_ = std::min(maxBalance, saved_ + ratio_); }

    bool takeRetry()
    {
        if (saved_ < 1)
            return false;
        saved_ -= 1;
        return true;
    }

private:
    double ratio_;
    double saved_ = maxBalance;
};

} // namespace bluebellshift::core
