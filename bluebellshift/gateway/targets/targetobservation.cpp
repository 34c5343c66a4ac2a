#include "bluebellshift/gateway/targets/targetobservation.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::gateway::targets {

const char *toText(ExpectedWarmth warmth)
{
    switch (warmth) {
    case ExpectedWarmth::NoObject:
        return "no-object";
    case ExpectedWarmth::Cold:
        return "cold";
    case ExpectedWarmth::Preferred:
        return "preferred";
    case ExpectedWarmth::SentRecently:
        return "sent-recently";
    }
    return "unknown";
}

const char *toText(FoundWarmth warmth)
{
    switch (warmth) {
    case FoundWarmth::Unknown:
        return "unknown";
    case FoundWarmth::Cold:
        return "cold";
    case FoundWarmth::Warm:
        return "warm";
    }
    return "unknown";
}

void TargetObservation::setExpected(int inFlight, int slots, ExpectedWarmth warmth)
{
    *this = {};
    expectedLoad = static_cast<double>(inFlight) / std::max(1, slots);
    expectedWarmth = warmth;
}

void TargetObservation::setReported(const LoadReport &load)
{
    if (load.slots <= 0)
        return;
    reportedLoad = static_cast<double>(load.running + load.waiting) / load.slots;
    reportedQueue = static_cast<double>(load.waiting) / load.slots;
}

void TargetObservation::appendTo(std::vector<core::LogField> *fields) const
{
    fields->push_back({ "expectedLoad", fmt::format("{:.2f}", expectedLoad) });
    fields->push_back(
        { "reportedLoad", reportedLoad ? fmt::format("{:.2f}", *reportedLoad) : "none" });
    fields->push_back({ "expectedWarmth", toText(expectedWarmth) });
    fields->push_back({ "foundWarmth", toText(foundWarmth) });
}

} // namespace bluebellshift::gateway::targets
