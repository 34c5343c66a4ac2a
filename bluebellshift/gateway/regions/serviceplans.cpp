#include "bluebellshift/gateway/regions/serviceplans.h"

#include <fmt/format.h>

namespace bluebellshift::gateway::regions {

ServicePlans::ServicePlans(std::vector<RegionId> regions, std::size_t own, std::uint64_t seed,
                           Hooks hooks)
    : regions_(std::move(regions))
    , own_(own)
    , seed_(seed)
    , hooks_(std::move(hooks))
{
}

ServicePlans::State &ServicePlans::stateOf(const ServiceId &service)
{
    const auto [found, isNew] = states_.try_emplace(service);
    if (isNew) {
        found->second.plan = RegionPlan(seed_);
        found->second.byRegion.resize(regions_.size());
    }
    return found->second;
}

void ServicePlans::onReport(const ServiceId &service, std::size_t region, const LoadReport &load,
                            Instant now)
{
    State &state = stateOf(service);
    state.reportsLoad = true;
    state.all.onReport(load, now);
    if (region < state.byRegion.size())
        state.byRegion[region].onReport(load, now);
}

void ServicePlans::update(const ServiceId &service, const RegionValues &slots, Instant now)
{
    updateDemand(now);
    State &state = stateOf(service);
    std::vector<std::optional<double>> loads;
    for (const targets::Utilization &region : state.byRegion)
        loads.push_back(region.load(now));
    state.plan.update(RegionPlan::sharesFor(slots, demand_.shares(), own_), slots, loads,
                      hooks_.isNearFault(now), now);
    log(service, slots, state, now);
}

void ServicePlans::updateDemand(Instant now)
{
    if (demandAt_ != Instant::never() && now - demandAt_ < demandInterval)
        return;
    demandAt_ = now;
    RegionValues arrived = valuesOf(hooks_.othersArrived(now));
    arrived[own_] += demand_.arrivedRequests(now);
    demand_.update(valuesOf(hooks_.vmShares()), arrived, now);
}

RegionValues ServicePlans::valuesOf(const std::map<RegionId, double> &byRegion) const
{
    RegionValues values(regions_.size(), 0);
    for (std::size_t i = 0; i < regions_.size(); ++i) {
        if (const auto value = byRegion.find(regions_[i]); value != byRegion.end())
            values[i] = value->second;
    }
    return values;
}

std::string ServicePlans::text(const RegionValues &values) const
{
    std::string list;
    for (std::size_t i = 0; i < values.size(); ++i)
        list += fmt::format("{}{}:{:.2f}", i == 0 ? "" : ",", regions_[i].text(), values[i]);
    return list;
}

void ServicePlans::log(const ServiceId &service, const RegionValues &slots, State &state,
                       Instant now) const
{
    const bool isDue = state.loggedAt == Instant::never() || now - state.loggedAt >= logInterval;
    const std::string shares = text(state.plan.shares());
    if (!isDue || shares == state.loggedShares)
        return;
    state.loggedAt = now;
    state.loggedShares = shares;
    hooks_.log({ core::log::regionPlanned,
                 { { "service", service.text() },
                   { "shares", shares },
                   { "slots", text(slots) },
                   { "demand", text(demand_.shares()) } } });
}

} // namespace bluebellshift::gateway::regions
