// Each value below 2^subBucketBits microseconds has its own bucket. Above, each power
// of two is divided into 2^subBucketBits buckets of equal width, so that the relative
// width stays below 2^-subBucketBits. add() is O(1); quantile() is O(buckets), about
// 2,000 for durations up to an hour.
#include "bluebellshift/load/histogram.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::load {

using core::Duration;

namespace {

constexpr int subBucketBits = 6;
constexpr std::uint64_t subBuckets = 1ULL << subBucketBits;

int highestBit(std::uint64_t value)
{
    int bit = 0;
    while (value >>= 1)
        ++bit;
    return bit;
}

std::size_t bucketOf(std::uint64_t micros)
{
    if (micros < subBuckets)
        return micros;
    const int shift = highestBit(micros) - subBucketBits;
    return static_cast<std::size_t>(shift) * subBuckets + (micros >> shift);
}

// Returns the largest value of the bucket.
std::uint64_t upperEdge(std::size_t bucket)
{
    if (bucket < 2 * subBuckets)
        return bucket;
    const std::uint64_t shift = bucket / subBuckets - 1;
    const std::uint64_t mantissa = bucket % subBuckets + subBuckets;
    return ((mantissa + 1) << shift) - 1;
}

} // namespace

void Histogram::add(Duration duration)
{
    const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.toMicros()));
    const std::size_t bucket = bucketOf(micros);
    if (bucket >= buckets_.size())
        buckets_.resize(bucket + 1);
    ++buckets_[bucket];
    ++count_;
    sumMicros_ += static_cast<std::int64_t>(micros);
    largest_ = std::max(largest_, duration);
}

void Histogram::add(const Histogram &other)
{
    if (other.buckets_.size() > buckets_.size())
        buckets_.resize(other.buckets_.size());
    for (std::size_t i = 0; i < other.buckets_.size(); ++i)
        buckets_[i] += other.buckets_[i];
    count_ += other.count_;
    sumMicros_ += other.sumMicros_;
    largest_ = std::max(largest_, other.largest_);
}

Duration Histogram::mean() const
{
    return count_ == 0 ? Duration()
                       : Duration::micros(sumMicros_) / static_cast<std::int64_t>(count_);
}

Duration Histogram::quantile(double q) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        cumulative += buckets_[i];
        if (cumulative >= std::max<std::uint64_t>(1, rank))
            return std::min(largest_, Duration::micros(static_cast<std::int64_t>(upperEdge(i))));
    }
    return largest_;
}

} // namespace bluebellshift::load
