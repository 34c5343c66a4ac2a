#include "bluebellshift/gateway/store/lapsedtargets.h"

#include <algorithm>

namespace bluebellshift::gateway::store {

void LapsedTargets::add(const TargetId &id, Instant returnedAt, Duration grace, Instant now)
{
    Lapse lapse;
    lapse.dueAt = returnedAt + grace;
    lapse.presentSince = now;
    lapses_[id] = lapse;
}

void LapsedTargets::postpone(Instant lostAt, Instant returnedAt, Duration grace)
{
    for (auto &[id, lapse] : lapses_) {
        // Without a loss since then, the store has returned from a copy.
        const Instant presentUntil = lostAt > lapse.presentSince ? lostAt : returnedAt;
        lapse.presence = lapse.presence + (std::min(presentUntil, returnedAt) - lapse.presentSince);
        lapse.presentSince = returnedAt;
        const bool isOver = lapse.presence >= grace * maxGraces;
        lapse.dueAt = isOver ? returnedAt : returnedAt + grace;
        lapse.hasExpired = false;
    }
}

bool LapsedTargets::expire(Instant now)
{
    bool hasAny = false;
    for (auto &[id, lapse] : lapses_) {
        if (lapse.hasExpired || now < lapse.dueAt)
            continue;
        lapse.hasExpired = true;
        lapse.expiredAt = now;
        hasAny = true;
    }
    return hasAny;
}

std::vector<TargetId> LapsedTargets::takeConfirmed(Instant confirmedAt)
{
    std::vector<TargetId> gone;
    for (auto lapse = lapses_.begin(); lapse != lapses_.end();) {
        const bool isConfirmed = lapse->second.hasExpired && confirmedAt >= lapse->second.expiredAt;
        if (isConfirmed)
            gone.push_back(lapse->first);
        lapse = isConfirmed ? lapses_.erase(lapse) : std::next(lapse);
    }
    return gone;
}

Instant LapsedTargets::nextWake() const
{
    Instant next = Instant::never();
    for (const auto &[id, lapse] : lapses_) {
        if (!lapse.hasExpired)
            next = next == Instant::never() ? lapse.dueAt : std::min(next, lapse.dueAt);
    }
    return next;
}

} // namespace bluebellshift::gateway::store
