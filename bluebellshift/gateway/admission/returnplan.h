// When a refused caller is asked to return, and which callers have returned.
//
//   ReturnPlan plan;
//   request.hasReturned = plan.recordDeadline(route, arrived.deadline, now);
//   retryAfter = plan.wait({ timeLeft, outlook, random });
//
// A caller that returns has a new request id and may reach another VM. What tells it apart is the
// time until its deadline, which it sends: a caller that has waited before has less of it than
// the others of its route. Callers that send no deadline, or ever different ones, are at most
// given the preference that AdmissionPlan bounds.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bluebellshift/gateway/admission/urgencylevels.h"

namespace bluebellshift::gateway::admission {

struct RefusedCaller
{
    Duration timeLeft; // until its deadline
    Duration objective;
    Outlook outlook;
    std::uint64_t random = 0;
};

class ReturnPlan
{
public:
    // Callers wait for at most this fraction of their time left, whatever Retry-After says.
    static constexpr double maxWaitFraction = 1.0 / 3;
    static constexpr Duration minWait = Duration::millis(100);
    // A deadline that is shorter than the longest of its route by more than this much and this
    // fraction was sent by a caller that has waited. Less than minWait, so that all of them show.
    static constexpr Duration minShortening = Duration::millis(80);
    static constexpr double minShorteningFraction = 0.015;
    static constexpr Duration period = Duration::seconds(30); // in which the longest is kept
    // From this load on, returns are spread over this fraction of the objective.
    static constexpr double fullLoad = 0.95;
    static constexpr double spreadFraction = 0.5;

    // Returns whether the caller has returned. Zero: it sent no deadline.
    bool recordDeadline(const std::string &route, Duration deadline, Instant now);
    static Duration wait(const RefusedCaller &caller);

private:
    struct Longest
    {
        Duration earlier; // in the period before
        Duration current;
        Instant since;
    };

    std::unordered_map<std::string, Longest> longest_; // by route
};

} // namespace bluebellshift::gateway::admission
