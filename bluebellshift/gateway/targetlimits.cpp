#include "bluebellshift/gateway/targetlimits.h"

#include <cmath>

#include <fmt/format.h>

namespace bluebellshift::gateway {
namespace {

std::string toText(const std::optional<double> &perSecond)
{
    return perSecond ? fmt::format("{:.2f}", *perSecond) : "none";
}

} // namespace

TargetLimits::TargetLimits(const VmId &self, std::function<void(core::LogRecord)> log)
    : self_(self)
    , log_(std::move(log))
{
}

void TargetLimits::onResponse(const TargetId &target, std::optional<double> perSecond, Instant now)
{
    if (!perSecond && entries_.count(target) == 0)
        return;
    Entry &entry = entries_[target];
    entry.perSecond = perSecond;
    entry.toldAt = now;
    logChange(target, entry, self_);
}

void TargetLimits::forget(const TargetId &target)
{
    entries_.erase(target);
}

std::optional<double> TargetLimits::limitOf(const TargetId &target) const
{
    const auto found = entries_.find(target);
    return found == entries_.end() ? std::nullopt : found->second.perSecond;
}

void TargetLimits::logChange(const TargetId &target, Entry &entry, const VmId &from)
{
    const std::optional<double> &logged = entry.loggedPerSecond;
    const std::optional<double> &named = entry.perSecond;
    if (logged.has_value() == named.has_value()
        && (!named || std::abs(*named - *logged) <= minLoggedChange * *logged))
        return;
    log_({ core::log::targetLimited,
           { { "target", target.text() },
             { "perSecond", toText(named) },
             { "previous", toText(logged) },
             { "from", from.text() } } });
    entry.loggedPerSecond = named;
}

} // namespace bluebellshift::gateway
