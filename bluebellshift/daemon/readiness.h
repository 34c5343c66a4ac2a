// Whether the daemon can serve requests now, and if not, the reason.
#pragma once

#include <string>

namespace bluebellshift::daemon {

struct Readiness
{
    bool isReady = false;
    std::string reason; // empty if ready
};

} // namespace bluebellshift::daemon
