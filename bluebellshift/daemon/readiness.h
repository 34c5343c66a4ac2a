// Whether the daemon serves now, and if not, why.
#pragma once

#include <string>

namespace bluebellshift::daemon {

struct Readiness
{
    bool isReady = false;
    std::string reason; // why not
};

} // namespace bluebellshift::daemon
