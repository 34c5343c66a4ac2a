// The first request waits, too: an earlier run of a VM that was killed may have sent one just
// before, and so may a VM whose place this one has taken. VMs that are cut off from each other all
// notice it at the same time, so that each of them waits for a random part of its interval.
//
// A VM that the others do not count is one sender more than they expect, and all VMs of a fleet
// that has just registered are such VMs to each other. It waits until they have listed it.
#include "bluebellshift/gateway/targets/coldsenders.h"

#include <algorithm>

namespace bluebellshift::gateway::targets {
namespace {

// Interval of one of `senders` that share this rate. In a second, each of them sends at most one
// request more than on average.
Duration intervalOf(std::size_t senders, double perSecond)
{
    return Duration::micros(
        static_cast<std::int64_t>(1e6 * static_cast<double>(senders) / perSecond));
}

} // namespace

bool ColdSenders::mayUse(ColdUse &use, double perSecond, const ColdSenderRank &rank, double phase,
                         Instant now)
{
    const bool isMostOfFleet = rank.fleetShare >= minShareOfMost;
    std::size_t senders = maxSenders;
    if (!isMostOfFleet) {
        const double part = static_cast<double>(maxSenders) * rank.fleetShare;
        senders = std::max<std::size_t>(1, static_cast<std::size_t>(part));
    }
    if (rank.position >= senders || !rank.isKnown) {
        use.barredAt = now;
        return false;
    }
    if (perSecond <= 0)
        return true;
    const double fraction = isMostOfFleet ? boundFraction : partFraction;
    const Duration interval = intervalOf(senders, perSecond * fraction * rank.fleetShare);
    const Duration usual = intervalOf(maxSenders, perSecond * boundFraction);
    Duration firstWait = usual;
    if (!isMostOfFleet) {
        const auto micros = static_cast<double>(interval.toMicros()) * phase;
        firstWait = std::max(usual, Duration::micros(static_cast<std::int64_t>(micros)));
    }
    return now - use.sentAt >= interval && now - use.barredAt >= usual
        && now - std::max(use.since, rank.since) >= firstWait;
}

} // namespace bluebellshift::gateway::targets
