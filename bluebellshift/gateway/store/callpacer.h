// Spaces the calls of the store that fail or tell nothing new.
//
//   CallPacer pacer(random);
//   dueAt = now + pacer.nextWait(maxWait); // after a call that failed or told nothing new
//   pacer.reset();                         // after one that told something new
//
// The waits grow from minWait to the given maximum, and half of each is random, so that VMs whose
// calls fail at the same moment do not repeat them at the same moment.
#pragma once

#include <algorithm>
#include <cstdint>

#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway::store {

class CallPacer
{
public:
    static constexpr core::Duration minWait = core::Duration::millis(30);

    explicit CallPacer(std::uint64_t seed = 0)
        : seed_(seed)
    {
    }

    // Between a half and the whole of minWait * 2^n for the n-th such call in a row, at most
    // `maxWait`.
    core::Duration nextWait(core::Duration maxWait);
    // A random time of at most `most`, to spread calls that are all due at the same moment.
    core::Duration spread(core::Duration most);
    void reset() { unproductive_ = 0; }
    // Continues as after at least `calls` such calls.
    void setUnproductive(int calls) { unproductive_ = std::max(unproductive_, calls); }

private:
    std::uint64_t random();

    std::uint64_t seed_;
    std::uint64_t draws_ = 0;
    int unproductive_ = 0;
};

} // namespace bluebellshift::gateway::store
