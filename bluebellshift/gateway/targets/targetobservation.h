// What was expected of a target when a request was sent to it, beside what its response shows.
#pragma once

#include <optional>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::targets {

// Why a request's object was expected to be warm at its target, or that it was not.
enum class ExpectedWarmth { NoObject, Cold, Preferred, SentRecently };
// What the time of the response shows. Unknown: without success, or a wait may explain the time.
enum class FoundWarmth { Unknown, Cold, Warm };

// Loads count requests for each slot of the target.
struct TargetObservation
{
    double expectedLoad = 0;             // running and waiting, when the request was sent
    std::optional<double> reportedLoad;  // the same, in the response, if the target reports it
    std::optional<double> reportedQueue; // waiting only, in the response
    ExpectedWarmth expectedWarmth = ExpectedWarmth::NoObject;
    FoundWarmth foundWarmth = FoundWarmth::Unknown;

    // Begins the observation of an attempt.
    void setExpected(int inFlight, int slots, ExpectedWarmth warmth);
    void setReported(const LoadReport &load);
    // Appends the fields for the log lines of an attempt's end.
    void appendTo(std::vector<core::LogField> *fields) const;
};

const char *toText(ExpectedWarmth warmth);
const char *toText(FoundWarmth warmth);

} // namespace bluebellshift::gateway::targets
