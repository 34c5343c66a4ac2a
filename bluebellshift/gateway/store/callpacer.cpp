#include "bluebellshift/gateway/store/callpacer.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::store {
namespace {

constexpr int maxDoublings = 16; // minWait * 2^16 is over half an hour

} // namespace

core::Duration CallPacer::nextWait(core::Duration maxWait)
{
    unproductive_ = std::min(unproductive_ + 1, maxDoublings);
    const core::Duration full = std::min(maxWait, minWait * (1LL << unproductive_));
    return full / 2 + spread(full / 2);
}

core::Duration CallPacer::spread(core::Duration most)
{
    const auto range = static_cast<std::uint64_t>(most.toMicros()) + 1;
    return core::Duration::micros(static_cast<std::int64_t>(random() % range));
}

std::uint64_t CallPacer::random()
{
    return mixHashes(seed_, ++draws_);
}

} // namespace bluebellshift::gateway::store
