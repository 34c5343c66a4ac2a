// The graceful shutdown of this VM, as a state.
//
//   Drain drain(options);
//   drain.begin(stayUntil, now);       // the first ShutdownRequested
//   if (drain.mayExit(pending, now))   // after each event
//       ... Exit { 0 }
//   if (drain.mustExit(now))           // the limit, or drain.hurry()
//       ... Exit { pending }
//
// docs/operators/draining.md tells what callers see meanwhile.
#pragma once

#include <algorithm>
#include <cstddef>

#include "bluebellshift/core/options.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

enum class DrainState {
    Serving,
    Leaving, // named in no look-up; still serves who comes
    Exited,  // accepts nothing
};

class Drain
{
public:
    explicit Drain(const CoreOptions &options)
        : most_(options.maxShutdownTime)
    {
    }

    // Starts to leave. Callers may come until `stayUntil`; the limit cuts it short.
    void begin(Instant stayUntil, Instant now)
    {
        state_ = DrainState::Leaving;
        limit_ = now + most_;
        stayUntil_ = std::min(stayUntil, limit_);
    }

    // Ends it now.
    void hurry(Instant now) { limit_ = now; }

    void noteExit() { state_ = DrainState::Exited; }

    // Everything is finished and no caller may be on its way here.
    bool mayExit(std::size_t pending, Instant now) const
    {
        return state_ == DrainState::Leaving && pending == 0 && stayUntil_ <= now;
    }

    bool mustExit(Instant now) const { return state_ == DrainState::Leaving && limit_ <= now; }

    DrainState state() const { return state_; }
    Instant stayUntil() const { return stayUntil_; }
    Instant limit() const { return limit_; }

private:
    Duration most_;
    DrainState state_ = DrainState::Serving;
    Instant stayUntil_;
    Instant limit_;
};

} // namespace bluebellshift::core
