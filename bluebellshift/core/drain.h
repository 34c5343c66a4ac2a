// The state of the graceful shutdown of this VM.
//
//   Drain drain(options);
//   drain.begin(acceptUntil, now);     // on the first ShutdownRequested
//   if (drain.mayExit(pending, now))   // after each event
//       ... Exit { 0 }
//   if (drain.mustExit(now))           // at the limit, or after drain.endNow()
//       ... Exit { pending }
//
// See docs/operators/draining.md for what callers observe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "bluebellshift/core/options.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

enum class DrainState {
    Serving,
    Leaving, // excluded from look-ups; still accepts requests
    Exited,  // accepts no requests
};

class Drain
{
public:
    explicit Drain(const CoreOptions &options)
        : maxDuration_(options.maxShutdownTime)
    {
    }

    // Starts the shutdown. Requests are accepted until `acceptUntil`, or until
    // the limit if that is earlier.
    void begin(Instant acceptUntil, Instant now)
    {
        state_ = DrainState::Leaving;
        limit_ = now + maxDuration_;
        acceptUntil_ = std::min(acceptUntil, limit_);
    }

    // Ends the shutdown now.
    void endNow(Instant now) { limit_ = now; }

    void markExited() { state_ = DrainState::Exited; }

    // No request is pending, and no caller may still be using an earlier look-up
    // answer.
    bool mayExit(std::size_t pending, Instant now) const
    {
        return state_ == DrainState::Leaving && pending == 0 && acceptUntil_ <= now;
    }

    bool mustExit(Instant now) const { return state_ == DrainState::Leaving && limit_ <= now; }

    DrainState state() const { return state_; }
    Instant acceptUntil() const { return acceptUntil_; }
    Instant limit() const { return limit_; }

private:
    Duration maxDuration_;
    DrainState state_ = DrainState::Serving;
    Instant acceptUntil_;
    Instant limit_;
};

} // namespace bluebellshift::core
