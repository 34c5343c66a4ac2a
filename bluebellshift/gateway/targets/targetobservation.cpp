#include "bluebellshift/gateway/targets/targetobservation.h"

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

} // namespace bluebellshift::gateway::targets
