#include "bluebellshift/gateway/regionflow.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bluebellshift::gateway {

void RegionFlow::Counts::decay(Instant now)
{
    if (at != Instant::never()) {
        const double seconds = (now - at).toSeconds();
        recent *= std::exp(-seconds / RegionFlow::recentTime.toSeconds());
        baseline *= std::exp(-seconds / RegionFlow::baselineTime.toSeconds());
    }
    at = now;
}

void RegionFlow::begin(const std::map<RegionId, double> &expected, Instant now)
{
    for (const auto &[region, share] : expected)
        regions_[region] = { 0, expectedWeight * share, now, 0 };
    total_ = { 0, expectedWeight, now, 0 };
}

void RegionFlow::record(const RegionId &region, Instant now)
{
    for (Counts *counts : { &total_, &regions_[region] }) {
        counts->decay(now);
        counts->recent += 1;
        counts->baseline += 1;
        ++counts->sinceLogged;
    }
}

double RegionFlow::penaltyMs(const RegionId &region, Instant now) const
{
    Counts total = total_;
    total.decay(now);
    if (total.recent < 1)
        return 0;
    Counts counts;
    if (const auto found = regions_.find(region); found != regions_.end())
        counts = found->second;
    counts.decay(now);
    const double change = counts.recent / total.recent - counts.baseline / total.baseline;
    const double allowed = tolerance + randomTolerance / std::sqrt(total.recent);
    const double beyond = std::max(0.0, std::abs(change) - allowed);
    const double size = std::min(maxPenaltyMs, penaltyMsPerShare * beyond);
    return change > 0 ? size : -size;
}

std::optional<core::LogRecord> RegionFlow::logRecord(Instant now)
{
    const bool isDue = loggedAt_ == Instant::never() || now - loggedAt_ >= logInterval;
    if (!isDue || total_.sinceLogged == 0)
        return std::nullopt;
    loggedAt_ = now;
    total_.sinceLogged = 0;
    total_.decay(now);
    std::string sent;
    std::string recent;
    std::string baseline;
    std::string penalty;
    for (auto &[region, counts] : regions_) {
        counts.decay(now);
        const auto append = [&, name = region.text()](std::string &list, const std::string &value) {
            list += (list.empty() ? "" : ",") + name + ':' + value;
        };
        append(sent, std::to_string(std::exchange(counts.sinceLogged, 0)));
        append(recent, fmt::format("{:.2f}", counts.recent / std::max(1e-9, total_.recent)));
        append(baseline, fmt::format("{:.2f}", counts.baseline / std::max(1e-9, total_.baseline)));
        append(penalty, fmt::format("{:.0f}", penaltyMs(region, now)));
    }
    return core::LogRecord { core::log::regionShares,
                             { { "sent", sent },
                               { "recent", recent },
                               { "baseline", baseline },
                               { "penaltyMs", penalty } } };
}

} // namespace bluebellshift::gateway
