// While demand exceeds the capacity, no time is better than another, and callers that return
// together are refused together: their returns are spread over all the time that they wait. A
// short queue is gone within its expected time, so that returns are spread over just as long
// after it.
#include "bluebellshift/gateway/admission/returnplan.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::admission {
namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration::micros(
        static_cast<std::int64_t>(static_cast<double>(duration.toMicros()) * factor));
}

} // namespace

bool ReturnPlan::recordDeadline(const std::string &route, Duration deadline, Instant now)
{
    if (deadline <= Duration())
        return false;
    const auto [found, isNew] = longest_.try_emplace(route, Longest { Duration(), deadline, now });
    Longest &longest = found->second;
    if (now - longest.since > period) {
        longest.earlier = now - longest.since > period * 2 ? Duration() : longest.current;
        longest.current = deadline;
        longest.since = now;
    }
    longest.current = std::max(longest.current, deadline);
    const Duration usual = std::max(longest.current, longest.earlier);
    return usual - deadline > std::max(minShortening, scaled(usual, minShorteningFraction));
}

Duration ReturnPlan::wait(const RefusedCaller &caller)
{
    const Duration most = scaled(std::max(caller.timeLeft, Duration()), maxWaitFraction);
    const Duration expected = std::max(caller.outlook.wait, minWait);
    const Duration spread = caller.outlook.load >= fullLoad
        ? std::max(expected, scaled(caller.objective, spreadFraction))
        : expected;
    // Capacity that is expected later than callers wait still needs them at different times.
    const Duration span = std::min(spread, most / 2);
    return std::min(expected, most - span) + scaled(span, toFraction(caller.random));
}

} // namespace bluebellshift::gateway::admission
