// The clocks and the random source of the process, as hooks.
#pragma once

#include <cstdint>
#include <functional>

#include "bluebellshift/core/units.h"

namespace bluebellshift::base {

struct Clock
{
    std::function<core::Instant()> now; // counts the time in which the VM was suspended
    std::function<core::WallTime()> wallTime;
    std::function<std::uint64_t()> random; // from the system's secure source
};

// The clock of this machine.
Clock systemClock();

} // namespace bluebellshift::base
