// What this VM knows of the limits that targets name: the requests a second that a target takes
// from all VMs together, for as long as its responses say so.
//
//   TargetLimits limits(self, log);
//   limits.onResponse(target, 7.5, now);         // a response named a limit
//   limits.onResponse(target, std::nullopt, now); // a later one named none
#pragma once

#include <functional>
#include <optional>
#include <unordered_map>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

class TargetLimits
{
public:
    // A change of the limit by less than this fraction is not logged.
    static constexpr double minLoggedChange = 0.1;

    TargetLimits(const VmId &self, std::function<void(core::LogRecord)> log);

    // `perSecond`: as the response named it; nothing: it named none.
    void onResponse(const TargetId &target, std::optional<double> perSecond, Instant now);
    // Drops all that is known of a target that left or restarted.
    void forget(const TargetId &target);

    // The limit as last named; nothing: none.
    std::optional<double> limitOf(const TargetId &target) const;

private:
    struct Entry
    {
        std::optional<double> perSecond;
        Instant toldAt;
        std::optional<double> loggedPerSecond;
    };

    void logChange(const TargetId &target, Entry &entry, const VmId &from);

    const VmId self_;
    const std::function<void(core::LogRecord)> log_;
    std::unordered_map<TargetId, Entry> entries_;
};

} // namespace bluebellshift::gateway
