// An entry of the copy and one that was written since can't be told apart by their revisions, as
// numbers are given out again. A target that starts writes its entry with each heartbeat while it
// warms up, so that a new one is held no longer than that.
#include "bluebellshift/gateway/store/restoredtargets.h"

namespace bluebellshift::gateway::store {

std::optional<Target> RestoredTargets::admit(Target target, const Target *known, Instant now)
{
    if (known == nullptr) {
        heldUntil_.set(target.id, now + maxStaleEntryTime);
        held_[target.id] = std::move(target);
        return std::nullopt;
    }
    if (target.startUnixMillis < known->startUnixMillis)
        return *known; // the entry is of an earlier run
    if (target.startUnixMillis == known->startUnixMillis)
        target.isDraining = target.isDraining || known->isDraining;
    return target;
}

void RestoredTargets::onWritten(const TargetId &target)
{
    held_.erase(target);
    heldUntil_.clear(target);
}

std::vector<Target> RestoredTargets::takeDue(Instant now)
{
    std::vector<Target> due;
    for (const TargetId &id : heldUntil_.takeDue(now)) {
        const auto held = held_.find(id);
        due.push_back(std::move(held->second));
        held_.erase(held);
    }
    return due;
}

} // namespace bluebellshift::gateway::store
