// CLOCK_BOOTTIME advances while the machine is suspended or paused.
// CLOCK_MONOTONIC does not, so a lease that is checked against it could be used
// after it has expired.
#include "bluebellshift/base/clock.h"

#include <ctime>

#include "bluebellshift/base/secrets.h"

namespace bluebellshift::base {

namespace {

std::int64_t readMicros(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

} // namespace

Clock systemClock()
{
    Clock clock;
    clock.now = [] { return core::Instant::fromMicros(readMicros(CLOCK_BOOTTIME)); };
    clock.wallTime = [] { return core::WallTime::fromMicros(readMicros(CLOCK_REALTIME)); };
    clock.random = [] { return randomNumber(); };
    return clock;
}

} // namespace bluebellshift::base
