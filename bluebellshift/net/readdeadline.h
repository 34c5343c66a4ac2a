// The time by which more of a response must have arrived.
//
//   ReadDeadline deadline(std::chrono::seconds(1), 16 * 1024);
//   deadline.onBytes(now, size);   // at each read
//   ...                            // the response has stalled at deadline.at()
//
// A response may be behind its minimum rate by the allowance and no more, however its bytes
// are spread: each byte adds the time that it takes at the minimum rate, up to the allowance
// from now. A pause as long as the allowance thus ends a response that has kept up, and a
// response that never keeps up ends soon after the allowance.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bluebellshift::net {

class ReadDeadline
{
public:
    using Clock = std::chrono::steady_clock;

    // Without a minimum rate (0) each byte allows for another pause.
    explicit ReadDeadline(Clock::duration allowance = Clock::duration::zero(),
                          std::size_t minBytesPerSecond = 0)
        : allowance_(allowance)
        , minBytesPerSecond_(minBytesPerSecond)
    {
    }

    void onBytes(Clock::time_point now, std::size_t bytes)
    {
        const Clock::time_point latest = now + allowance_;
        if (!hasStarted_ || minBytesPerSecond_ == 0) {
            hasStarted_ = true;
            at_ = latest;
            return;
        }
        const std::chrono::duration<double> gained(static_cast<double>(bytes)
                                                   / static_cast<double>(minBytesPerSecond_));
        at_ = std::min(latest, at_ + std::chrono::duration_cast<Clock::duration>(gained));
    }

    Clock::time_point at() const { return at_; }

private:
    Clock::duration allowance_;
    std::size_t minBytesPerSecond_;
    bool hasStarted_ = false;
    Clock::time_point at_;
};

} // namespace bluebellshift::net
