// Targets whose entries the store lacks after an outage, and that stay in use until their owners
// have had time to write them again.
//
//   LapsedTargets lapsed;
//   lapsed.add(id, returnedAt, grace, now);    // the entry is missing after the store's return
//   lapsed.postpone(lostAt, returnedAt, grace); // the store was away again
//   if (lapsed.expire(now)) ...                 // at or after nextWake(): confirm the registry
//   for (const TargetId &id : lapsed.takeConfirmed(confirmedAt)) ... // these are gone
//
// A further outage counts the time anew, as owners can write only while the store is there. It
// does so only while the store has been there for less than maxGraces times the grace period since
// the entry was missing: an owner that has not written by then has left.
#pragma once

#include <map>
#include <vector>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway::store {

class LapsedTargets
{
public:
    static constexpr std::int64_t maxGraces = 2;

    void add(const TargetId &id, Instant returnedAt, Duration grace, Instant now);
    // The entry was written again, or the target is no longer in use.
    void clear(const TargetId &id) { lapses_.erase(id); }
    // The store was away from `lostAt` until `returnedAt`.
    void postpone(Instant lostAt, Instant returnedAt, Duration grace);
    // Ends the time of those that are due; returns whether there were any.
    bool expire(Instant now);
    // Removes and returns those whose time had ended when the registry was last confirmed.
    std::vector<TargetId> takeConfirmed(Instant confirmedAt);
    // Of the next that is due; never(): none. Those whose time has ended need no wake.
    Instant nextWake() const;

private:
    struct Lapse
    {
        Instant dueAt;
        bool hasExpired = false;
        Instant expiredAt;
        Duration presence; // of the store since the entry was missing, up to presentSince
        Instant presentSince;
    };

    std::map<TargetId, Lapse> lapses_;
};

} // namespace bluebellshift::gateway::store
