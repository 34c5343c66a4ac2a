#include "bluebellshift/gateway/retrybudget.h"

#include <algorithm>

namespace bluebellshift::gateway {
namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

} // namespace

void RetryBudget::recordRequest(Instant now)
{
    ++secondAt(now).requests;
}

bool RetryBudget::take(std::size_t vms, Instant now)
{
    const std::int64_t current = now.toMicros() / microsPerSecond;
    const std::int64_t window = bounds_->retryWindow.toMicros() / microsPerSecond;
    int requests = 0;
    int retries = 0;
    for (const Second &second : seconds_) {
        if (second.number < 0 || current - second.number > window)
            continue;
        // Requests are counted over the window, retries over one more second.
        retries += second.retries;
        if (current - second.number < window)
            requests += second.requests;
    }
    const double slack = bounds_->retrySlack / static_cast<double>(std::max<std::size_t>(1, vms));
    // Retries of an earlier run count for one more second, as above.
    const bool isFirstWindow = now - startedAt_ < bounds_->retryWindow + Duration::seconds(1);
    const double slackFraction = isFirstWindow ? firstWindowFraction : boundFraction;
    if (retries + 1 > boundFraction * bounds_->retryRatio * requests + slackFraction * slack)
        return false;
    ++secondAt(now).retries;
    return true;
}

RetryBudget::Second &RetryBudget::secondAt(Instant now)
{
    const std::int64_t number = now.toMicros() / microsPerSecond;
    Second &second = seconds_[static_cast<std::size_t>(number) % countedSeconds];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

} // namespace bluebellshift::gateway
