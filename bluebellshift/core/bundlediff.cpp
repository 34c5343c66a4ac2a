// The starting splits and the number of steps are read from a roll-out that is
// begun in memory only. For each team and service, the losses of regions are
// matched with the gains of others, in the order of the new bundle's regions.
// Only the sums are exact, not the movement of a single request.
#include "bluebellshift/core/bundlediff.h"

#include <algorithm>
#include <map>

#include "bluebellshift/core/capacity.h"
#include "fmt/format.h"

namespace bluebellshift::core {

namespace {

constexpr double minMoveRate = 1e-6; // requests a second
constexpr double bitsPerMegabit = 1e6;
constexpr double secondsPerMinute = 60;

using Settings = std::map<std::string, std::string>;

// Returns all settings that change without steps, by name.
Settings settingsOf(const Bundle &bundle)
{
    Settings settings;
    settings["time_zone"] = bundle.timeZone;
    settings["store_region"] = bundle.storeRegion.text();
    settings["author_may_sign_off"] = bundle.authorMaySignOff ? "true" : "false";
    for (const Region &region : bundle.regions) {
        const std::string name = fmt::format("region \"{}\" ", region.id.text());
        settings[name + "capacity_per_second"] = fmt::format("{:g}", region.capacityPerSecond);
        settings[name + "callers_percent"] = fmt::format("{:g}", region.callerFraction * 100);
    }
    for (const Link &link : bundle.links) {
        settings[fmt::format("link \"{}\" to \"{}\" megabits_per_second", link.from.text(),
                             link.to.text())] =
            fmt::format("{:g}", link.bitsPerSecond / bitsPerMegabit);
    }
    for (const TeamLimit &team : bundle.teams) {
        const std::string name = fmt::format("team \"{}\" ", team.team.text());
        settings[name + "rate_per_second"] = fmt::format("{:g}", team.ratePerSecond);
        settings[name + "burst"] = fmt::format("{:g}", team.burst);
    }
    settings["client_block count"] = fmt::format("{}", bundle.clientBlocks.size());
    return settings;
}

void addServiceSettings(const Bundle &bundle, Settings &settings)
{
    for (const Service &service : bundle.services) {
        const std::string name = fmt::format("service \"{}\" ", service.id.text());
        settings[name + "cache_time_ms"] = fmt::format("{}", service.cacheTime.toMillis());
        settings[name + "timeout_ms"] = fmt::format("{}", service.requestTimeout.toMillis());
        settings[name + "traffic_percent"] = fmt::format("{:g}", service.trafficFraction * 100);
        settings[name + "shift_cap_percent"] = fmt::format("{:g}", service.shiftCapFraction * 100);
        settings[name + "shift_window_seconds"] =
            fmt::format("{:g}", service.shiftWindow.toSeconds());
        for (const Route &route : service.routes) {
            settings[name + fmt::format("route \"{}\"", route.prefix)] =
                fmt::format("{}, {}", route.isOpen ? "open" : "keyed",
                            route.isIdempotent ? "repeatable" : "not repeatable");
        }
    }
}

std::vector<SettingChange> changesBetween(const Settings &before, const Settings &after)
{
    std::vector<SettingChange> changes;
    for (const auto &[what, value] : before) {
        const auto found = after.find(what);
        const std::string now = found == after.end() ? "" : found->second;
        if (now != value)
            changes.push_back({ what, value, now });
    }
    for (const auto &[what, value] : after) {
        if (before.count(what) == 0)
            changes.push_back({ what, "", value });
    }
    return changes;
}

// Matches the losses of regions with the gains of others.
void addMoves(const Service &service, const TeamId &team, double rate,
              const std::vector<RegionShare> &before, std::vector<TrafficMove> &moves)
{
    const std::vector<RegionShare> &after = splitOf(service, team);
    std::vector<RegionShare> losses = before;
    for (RegionShare &share : losses)
        share.fraction -= fractionOf(after, share.region);
    for (const RegionShare &share : after) {
        double gain = share.fraction - fractionOf(before, share.region);
        for (RegionShare &loss : losses) {
            const double part = std::min(gain, loss.fraction);
            if (part * rate < minMoveRate)
                continue;
            moves.push_back({ service.id, team, loss.region, share.region, part * rate });
            gain -= part;
            loss.fraction -= part;
        }
    }
}

double largestDistance(const Service &service, const ServiceShift &shift)
{
    double largest = splitDistance(shift.start, service.split);
    for (const TeamSplit &teamSplit : shift.teamStarts)
        largest =
            std::max(largest, splitDistance(teamSplit.split, splitOf(service, teamSplit.team)));
    return largest;
}

// Returns the requests a second that a region serves under the current splits.
double demandNow(const Rollout &current, const Bundle &inForce, const RegionId &region)
{
    double demand = 0;
    for (const Service &service : inForce.services) {
        const ServiceShift *shift = current.findService(service.id);
        for (const TeamLimit &team : inForce.teams) {
            demand += team.ratePerSecond * service.trafficFraction
                * fractionOf(splitInForce(service, shift, team.team), region);
        }
    }
    return demand;
}

std::string minutes(Duration duration)
{
    return fmt::format("{:.1f} min", duration.toSeconds() / secondsPerMinute);
}

std::string describeRegion(const RegionLoad &load)
{
    return fmt::format("region \"{}\": {:.1f} -> {:.1f} requests a second of {:.1f} ({:.1f}% "
                       "headroom left)",
                       load.region.text(), load.before, load.after, load.limit,
                       100 * (1 - load.after / load.limit));
}

std::string describeSetting(const SettingChange &change)
{
    if (change.before.empty())
        return fmt::format("new: {} = {}", change.what, change.after);
    if (change.after.empty())
        return fmt::format("gone: {} = {}", change.what, change.before);
    return fmt::format("at once: {} {} -> {}", change.what, change.before, change.after);
}

} // namespace

absl::StatusOr<BundleDiff> diffBundles(const Rollout &current, const Bundle &inForce,
                                       const Bundle &next)
{
    const absl::StatusOr<Rollout> rollout = beginRollout(current, inForce, next, "", {});
    if (!rollout.ok())
        return rollout.status();
    BundleDiff diff;
    for (const Service &service : next.services) {
        const ServiceShift &shift = *rollout->findService(service.id);
        for (const TeamLimit &team : next.teams) {
            // At step 0, splitInForce() returns the starting split of the
            // roll-out.
            addMoves(service, team.team, team.ratePerSecond * service.trafficFraction,
                     splitInForce(service, &shift, team.team), diff.moves);
        }
        if (shift.steps == 0)
            continue;
        const Duration wait = movementWait(service, &inForce, 0);
        const int waits = rollout->isSettled ? shift.steps - 1 : shift.steps;
        diff.services.push_back(
            { service.id, largestDistance(service, shift), shift.steps, wait * waits });
        diff.steps = std::max(diff.steps, shift.steps);
        diff.untilLastStep = std::max(diff.untilLastStep, wait * waits);
    }
    for (const CapacityLoad &load : capacityLoads(next)) {
        for (const Region &region : next.regions) {
            if (load.account == regionAccount(region.id))
                diff.regions.push_back(
                    { region.id, demandNow(current, inForce, region.id), load.demand, load.limit });
        }
    }
    Settings before = settingsOf(inForce);
    Settings after = settingsOf(next);
    addServiceSettings(inForce, before);
    addServiceSettings(next, after);
    diff.settings = changesBetween(before, after);
    return diff;
}

std::vector<std::string> describe(const BundleDiff &diff)
{
    std::vector<std::string> lines;
    for (const TrafficMove &move : diff.moves) {
        lines.push_back(fmt::format(
            "team \"{}\", service \"{}\": {:.1f} requests a second from \"{}\" to \"{}\"",
            move.team.text(), move.service.text(), move.requestsPerSecond, move.from.text(),
            move.to.text()));
    }
    for (const ServiceMove &service : diff.services) {
        lines.push_back(fmt::format("service \"{}\": {:.1f}% of the traffic moves in {} steps; "
                                    "the last is taken after {} at the earliest",
                                    service.service.text(), 100 * service.fraction, service.steps,
                                    minutes(service.untilLastStep)));
    }
    for (const RegionLoad &load : diff.regions)
        lines.push_back(describeRegion(load));
    for (const SettingChange &change : diff.settings)
        lines.push_back(describeSetting(change));
    if (diff.services.empty())
        lines.push_back("no traffic moves");
    return lines;
}

} // namespace bluebellshift::core
