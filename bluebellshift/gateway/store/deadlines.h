// Ids that expire, each at a time of its own.
//
//   Deadlines<TargetId> lapsed;
//   lapsed.set(id, now + grace);
//   for (const TargetId &id : lapsed.takeDue(now)) ... // at or after lapsed.next()
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway::store {

template<typename Id> class Deadlines
{
public:
    void set(const Id &id, core::Instant at) { times_[id] = at; }
    // Postpones all times to `at`.
    void setAll(core::Instant at)
    {
        for (auto &[id, time] : times_)
            time = at;
    }
    void clear(const Id &id) { times_.erase(id); }
    bool contains(const Id &id) const { return times_.count(id) != 0; }

    // Removes and returns the ids whose time has come.
    std::vector<Id> takeDue(core::Instant now)
    {
        std::vector<Id> due;
        for (auto entry = times_.begin(); entry != times_.end();) {
            if (now < entry->second) {
                ++entry;
                continue;
            }
            due.push_back(entry->first);
            entry = times_.erase(entry);
        }
        return due;
    }
    // never(): there is none.
    core::Instant next() const
    {
        core::Instant next = core::Instant::never();
        for (const auto &[id, at] : times_)
            next = next == core::Instant::never() ? at : std::min(next, at);
        return next;
    }

private:
    std::map<Id, core::Instant> times_;
};

} // namespace bluebellshift::gateway::store
