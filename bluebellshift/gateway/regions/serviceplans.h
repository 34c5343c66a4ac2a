// Keeps the RegionPlan of each service, with what it is computed from: the demand of the regions
// and the load that their targets report.
//
//   ServicePlans plans(regions, own, seed, hooks);
//   plans.onArrived(now);                            // for each request at this VM
//   plans.onReport(service, region, load, now);      // for each response with a load
//   plans.update(service, slots, now);               // several times a second
//   RegionPlan &plan = plans.of(service);
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/regions/demandestimate.h"
#include "bluebellshift/gateway/regions/regionplan.h"
#include "bluebellshift/gateway/targets/utilization.h"

namespace bluebellshift::gateway::regions {

class ServicePlans
{
public:
    static constexpr Duration demandInterval = Duration::millis(500);
    static constexpr Duration logInterval = Duration::seconds(1);

    struct Hooks
    {
        // Each region's share of all registered VMs.
        std::function<std::map<RegionId, double>()> vmShares;
        // Requests that arrived at the other VMs of each region, according to their latest reports.
        std::function<std::map<RegionId, double>(Instant now)> othersArrived;
        std::function<bool(Instant now)> isNearFault;
        std::function<void(core::LogRecord)> log;
    };

    // `own`: index of this VM's region. `seed`: differs between VMs.
    ServicePlans(std::vector<RegionId> regions, std::size_t own, std::uint64_t seed, Hooks hooks);

    void onArrived(Instant now) { demand_.onArrived(now); }
    // This VM's requests within the latest ShareLimit::window, for the other VMs.
    std::uint32_t arrivedRequests(Instant now) const { return demand_.arrivedRequests(now); }
    void onReport(const ServiceId &service, std::size_t region, const LoadReport &load,
                  Instant now);
    // Brings the plan up to date. `slots`: that each region has for the service.
    void update(const ServiceId &service, const RegionValues &slots, Instant now);

    RegionPlan &of(const ServiceId &service) { return stateOf(service).plan; }
    // Whether any target of the service has reported its load.
    bool reportsLoad(const ServiceId &service) { return stateOf(service).reportsLoad; }
    // Share of the service's slots in use, or nothing if it is not known.
    std::optional<double> utilization(const ServiceId &service, Instant now)
    {
        return stateOf(service).all.estimate(now);
    }
    // The share of all requests that come from this VM's region; 0 before the first update.
    double ownDemand() const { return demand_.shares().empty() ? 0 : demand_.shares()[own_]; }

private:
    struct State
    {
        RegionPlan plan;
        bool reportsLoad = false;
        targets::Utilization all;
        std::vector<targets::Utilization> byRegion;
        Instant loggedAt = Instant::never();
        std::string loggedShares;
    };

    State &stateOf(const ServiceId &service);
    void updateDemand(Instant now);
    RegionValues valuesOf(const std::map<RegionId, double> &byRegion) const;
    std::string text(const RegionValues &values) const;
    void log(const ServiceId &service, const RegionValues &slots, State &state, Instant now) const;

    const std::vector<RegionId> regions_;
    const std::size_t own_;
    const std::uint64_t seed_;
    const Hooks hooks_;
    DemandEstimate demand_;
    Instant demandAt_ = Instant::never();
    std::unordered_map<ServiceId, State> states_;
};

} // namespace bluebellshift::gateway::regions
