// The clocks and the random source of the process, as functions that tests can
// replace.
#pragma once

#include <cstdint>
#include <functional>

#include "bluebellshift/core/units.h"

namespace bluebellshift::base {

struct Clock
{
    std::function<core::Instant()> now; // includes time in which the VM was suspended
    std::function<core::WallTime()> wallTime;
    std::function<std::uint64_t()> random; // cryptographically secure
};

// Returns the clocks and the random source of this machine.
Clock systemClock();

} // namespace bluebellshift::base
