// Estimates how many different objects a service is asked for, from the few requests
// that one VM of a large fleet gets.
//
//   ObjectCount objects;
//   objects.note(object, now);
//   double all = objects.estimate(); // of the whole fleet, at least 1
//
// Counting the objects that were seen falls short: of 340 objects, 100 requests show
// 87. What they show depends on how many there are, and is turned round.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway {

class ObjectCount
{
public:
    // Requests are counted for this long; what the generation before told holds meanwhile.
    static constexpr core::Duration generation = core::Duration::seconds(10);
    static constexpr std::size_t maxObjects = 4096; // counted in a generation
    static constexpr std::size_t minRequests = 40;  // before a generation tells anything

    void record(std::uint64_t object, core::Instant now);
    double estimate() const { return estimate_; }

    // How many equally likely objects there are if that many requests showed `seen`
    // different ones; at most maxObjects.
    static double estimateObjects(std::size_t requests, std::size_t seen);

private:
    std::unordered_set<std::uint64_t> seen_;
    std::size_t requests_ = 0;
    core::Instant startedAt_ = core::Instant::never();
    double estimate_ = 1;
};

} // namespace bluebellshift::gateway
