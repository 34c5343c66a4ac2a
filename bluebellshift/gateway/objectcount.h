// Estimates how many distinct objects all callers of a service request, from the few
// requests that one VM of a large fleet receives.
//
//   ObjectCount objects;
//   objects.record(object, now);
//   double all = objects.estimate(); // of the whole fleet, at least 1
//
// The number of distinct objects seen underestimates it: of 340 objects, 100 requests show
// 87. The estimate inverts the expected number of distinct objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway {

class ObjectCount
{
public:
    // How long requests are counted. Meanwhile the previous generation's estimate applies.
    static constexpr core::Duration generation = core::Duration::seconds(10);
    static constexpr std::size_t maxObjects = 4096; // counted in one generation
    static constexpr std::size_t minRequests = 40;  // until a generation has an estimate

    void record(std::uint64_t object, core::Instant now);
    double estimate() const { return estimate_; }

    // Returns the number of equally likely objects, at most maxObjects, for which `requests`
    // requests are expected to be for `seen` distinct ones.
    static double estimateObjects(std::size_t requests, std::size_t seen);

private:
    std::unordered_set<std::uint64_t> seen_;
    std::size_t requests_ = 0;
    core::Instant startedAt_ = core::Instant::never();
    double estimate_ = 1;
};

} // namespace bluebellshift::gateway
