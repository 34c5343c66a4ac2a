// The slots that are kept free for requests more urgent than a given one, over the whole fleet.
//
//   UrgencyLevels levels(hooks);
//   levels.recordArrival(service, priority, now);
//   report.demands = levels.demands(queues, now);            // goes to the other VMs
//   levels.onReport(from, region, report.demands, age, now); // what one of them reported
//   criteria.reserved = &levels.reservedFor(service, priority, now);
//
// All VMs compute the same reserves from the same reports, without further messages. In each
// region it is as many slots as the more urgent requests of the region's VMs are expected to
// need until a slot becomes free, and none if there are no such requests.
//
// A VM that receives no reports takes each VM's demand to be like its own.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellshift/gateway/admission/waitingqueues.h"
#include "bluebellshift/gateway/targets/serviceroom.h"

namespace bluebellshift::gateway::admission {

using core::ServiceDemand;

// Slots that each target of a region keeps free; the fraction: that part of the targets keeps
// one more.
using ReservedSlots = std::map<RegionId, double>;

// What the fleet expects of a service, for requests of one priority.
struct Outlook
{
    Duration wait;   // until those that wait now, and are at least as urgent, have a slot
    double load = 0; // demand relative to what the targets can serve
};

class UrgencyLevels
{
public:
    static constexpr Duration rateTime = Duration::seconds(2);   // time constant of the rates
    static constexpr Duration reportTime = Duration::seconds(4); // until a report is dropped
    static constexpr Duration updateInterval = Duration::millis(200);
    // Less urgent requests may always use the others, whatever VMs report.
    static constexpr double maxReservedPerTarget = 2;
    static constexpr std::size_t maxReported = 24;

    struct Hooks
    {
        std::function<targets::ServiceRoom(const ServiceId &service, Instant now)> roomOf;
        std::function<std::size_t()> vmCount; // registered ones
        RegionId ownRegion;
    };

    explicit UrgencyLevels(Hooks hooks);

    void recordArrival(const ServiceId &service, int priority, Instant now);
    std::vector<ServiceDemand> demands(const WaitingQueues &queues, Instant now) const;
    // `region`: of the VM. `age`: time since it made the report.
    void onReport(const VmId &from, const RegionId &region,
                  const std::vector<ServiceDemand> &demands, Duration age, Instant now);

    // What a request of this priority must leave free. The reference is valid until the next call.
    const ReservedSlots &reservedFor(const ServiceId &service, int priority, Instant now);
    Outlook outlook(const ServiceId &service, int priority, const WaitingQueues &queues,
                    Instant now) const;
    // Of all regions together, as computed last for any priority; for metrics.
    double reservedSlots() const;

private:
    struct Flow
    {
        double arrived = 0; // decaying with rateTime
        Instant at = Instant::never();
    };
    struct Report
    {
        RegionId region;
        Instant madeAt;
        std::vector<ServiceDemand> demands;
    };
    struct Reserve
    {
        Instant at = Instant::never();
        ReservedSlots perTarget;
        double slots = 0; // in all regions
    };
    struct Demand
    {
        double perSecond = 0;
        double waiting = 0;
    };

    static double ratePerSecond(const Flow &flow, Instant now);
    // The demand by requests more urgent than `priority`, by region.
    std::map<RegionId, Demand> moreUrgent(const ServiceId &service, int priority,
                                          Instant now) const;
    void update(Reserve &reserve, const ServiceId &service, int priority, Instant now) const;

    const Hooks hooks_;
    std::map<std::pair<ServiceId, int>, Flow> flows_;
    std::map<VmId, Report> reports_;
    std::map<std::pair<ServiceId, int>, Reserve> reserves_;
};

} // namespace bluebellshift::gateway::admission
