// A histogram of durations with buckets of bounded relative width.
//
//   Histogram latency;
//   latency.add(Duration::micros(830));
//   Duration p99 = latency.quantile(0.99);
//
// A quantile is the upper edge of its bucket, at most 1/64 above the true value,
// and never above the largest duration added.
#pragma once

#include <cstdint>
#include <vector>

#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

class Histogram
{
public:
    // Negative durations count as zero.
    void add(core::Duration duration);
    void add(const Histogram &other);

    std::uint64_t count() const { return count_; }
    core::Duration largest() const { return largest_; }
    // Returns zero if nothing was added.
    core::Duration mean() const;
    // Returns the smallest duration that at least the fraction `q` (0 to 1) of all does not
    // exceed, or zero if nothing was added.
    core::Duration quantile(double q) const;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::int64_t sumMicros_ = 0;
    core::Duration largest_;
};

} // namespace bluebellshift::load
