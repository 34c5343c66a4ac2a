// Which targets of a restored store to use. Its copy may have targets that left in the seconds that
// were lost, and may call a target ready that has said since that it drains.
//
//   RestoredTargets restored;
//   if (auto used = restored.admit(target, known, now)) // for each entry of a restored store
//       pool.put(*used, now);
//   restored.onWritten(target.id);                      // for each later entry: it decides
//   for (const Target &target : restored.takeDue(now))  // at or after nextWake()
//       pool.put(target, now);
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "bluebellshift/gateway/registry.h"
#include "bluebellshift/gateway/store/deadlines.h"

namespace bluebellshift::gateway::store {

class RestoredTargets
{
public:
    // The store removes the entry of a target after three heartbeat intervals without a heartbeat
    // (4.5 s in the users' deployments). One that is still there after this time belongs to a
    // target that runs.
    static constexpr Duration maxStaleEntryTime = Duration::seconds(7);

    // Returns the target as it is to be used, or nothing if it is not to be used until its entry is
    // written again or has outlived maxStaleEntryTime. `known`: the target of that id that is in
    // use, or null. One that is not in use has left, also where this VM started after that.
    std::optional<Target> admit(Target target, const Target *known, Instant now);
    // The store returned at `at`, and counts missing heartbeats from then on.
    void postpone(Instant at) { heldUntil_.setAll(at + maxStaleEntryTime); }
    // The entry was written, or removed, after the store was restored.
    void onWritten(const TargetId &target);

    std::vector<Target> takeDue(Instant now);
    Instant nextWake() const { return heldUntil_.next(); }

private:
    std::map<TargetId, Target> held_;
    Deadlines<TargetId> heldUntil_;
};

} // namespace bluebellshift::gateway::store
