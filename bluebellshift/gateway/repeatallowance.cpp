#include "bluebellshift/gateway/repeatallowance.h"

#include <algorithm>

namespace bluebellshift::gateway {
namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

} // namespace

void RepeatAllowance::noteRequest(Instant now)
{
    ++secondAt(now).requests;
}

bool RepeatAllowance::take(std::size_t vms, Instant now)
{
    const std::int64_t current = now.toMicros() / microsPerSecond;
    const std::int64_t window = bounds_->retryWindow.toMicros() / microsPerSecond;
    int requests = 0;
    int repeats = 0;
    for (const Second &second : seconds_) {
        if (second.number < 0 || current - second.number > window)
            continue;
        // Requests are counted over the window, repeats over one second more.
        repeats += second.repeats;
        if (current - second.number < window)
            requests += second.requests;
    }
    const double slack = bounds_->retrySlack / static_cast<double>(std::max<std::size_t>(1, vms));
    if (repeats + 1 > boundUsed * (bounds_->retryRatio * requests + slack))
        return false;
    ++secondAt(now).repeats;
    return true;
}

RepeatAllowance::Second &RepeatAllowance::secondAt(Instant now)
{
    const std::int64_t number = now.toMicros() / microsPerSecond;
    Second &second = seconds_[static_cast<std::size_t>(number) % secondsKept];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

} // namespace bluebellshift::gateway
