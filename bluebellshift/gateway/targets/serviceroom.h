#pragma once

#include <map>

#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway::targets {

// The targets of a service that are usable now.
struct ServiceRoom
{
    std::map<RegionId, int> targets; // their number
    Duration slotTime;               // expected time until a busy target has a free slot
};

} // namespace bluebellshift::gateway::targets
