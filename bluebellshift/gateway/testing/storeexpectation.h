// What a VM in touch must know of the store, from the writes that the store acknowledged to others
// than the VMs and still has. Obvious and slow.
//
//   StoreExpectation expected;
//   expected.onConfig(2, now);
//   expected.onRestored(copiedAt);                   // what came since is lost
//   expected.oldestVersion(applyBound, laterOn);     // that may be in force
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway::testing {

class StoreExpectation
{
public:
    // The store acknowledged a version, that a target drains or left, or an evacuation.
    void onConfig(std::uint64_t version, Instant now) { configs_.push_back({ now, version }); }
    // A leaving binds from `since` on.
    void onLeaving(const TargetId &target, Instant now, Instant since)
    {
        leaving_[target].push_back({ now, since });
    }
    void onEvacuation(const FailureDomainId &domain, bool isEvacuated, Instant now)
    {
        auto &writes = evacuations_[domain];
        if (isEvacuated)
            writes.push_back({ now, now });
        else
            writes.clear(); // holds for the operator also where the store loses it
    }
    // The store lost what was acknowledged from `copiedAt` on.
    void onRestored(Instant copiedAt)
    {
        lose(configs_, copiedAt);
        for (auto &[target, writes] : leaving_)
            lose(writes, copiedAt);
        for (auto &[domain, writes] : evacuations_)
            lose(writes, copiedAt);
    }

    std::uint64_t oldestVersion(Duration bound, Instant now) const
    {
        std::uint64_t oldest = 0;
        for (const Config &one : configs_) {
            if (now - one.at > bound)
                oldest = std::max(oldest, one.version);
        }
        return oldest;
    }
    bool mustBeUnused(const TargetId &target, Duration bound, Instant now) const
    {
        return isDue(leaving_, target, bound, now);
    }
    bool mustBeEvacuated(const FailureDomainId &domain, Duration bound, Instant now) const
    {
        return isDue(evacuations_, domain, bound, now);
    }

private:
    struct Write
    {
        Instant at;
        Instant since;
    };
    struct Config
    {
        Instant at;
        std::uint64_t version;
    };

    template<typename Writes> static void lose(Writes &writes, Instant copiedAt)
    {
        writes.erase(std::remove_if(writes.begin(), writes.end(),
                                    [&](const auto &one) { return one.at >= copiedAt; }),
                     writes.end());
    }
    template<typename Id>
    static bool isDue(const std::map<Id, std::vector<Write>> &all, const Id &id, Duration bound,
                      Instant now)
    {
        const auto found = all.find(id);
        return found != all.end()
            && std::any_of(found->second.begin(), found->second.end(),
                           [&](const Write &one) { return now - one.since > bound; });
    }

    std::vector<Config> configs_;
    std::map<TargetId, std::vector<Write>> leaving_;
    std::map<FailureDomainId, std::vector<Write>> evacuations_;
};

} // namespace bluebellshift::gateway::testing
