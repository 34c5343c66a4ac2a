// Priority inside one VM's queue is not enough: an urgent request finds the slots of its targets
// taken by less urgent ones that other VMs have sent. Slots are therefore kept free at the
// targets. Each kept slot costs capacity while nobody needs it, so that the number follows from
// the arrivals in the time that a busy target takes to free a slot, after which the urgent
// request gets that one. A margin for arrivals at random served the urgent a little better in the
// model and cost the others more than it gained (docs/design/admission.md).
#include "bluebellshift/gateway/admission/urgencylevels.h"

#include <algorithm>
#include <climits>
#include <cmath>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway::admission {
namespace {

constexpr double minReportedPerSecond = 0.01;

std::uint32_t hashOfService(const ServiceId &service)
{
    return static_cast<std::uint32_t>(hashText(service.text()));
}

} // namespace

UrgencyLevels::UrgencyLevels(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

double UrgencyLevels::ratePerSecond(const Flow &flow, Instant now)
{
    return flow.arrived * std::exp(-(now - flow.at).toSeconds() / rateTime.toSeconds())
        / rateTime.toSeconds();
}

void UrgencyLevels::recordArrival(const ServiceId &service, int priority, Instant now)
{
    Flow &flow = flows_[{ service, priority }];
    if (flow.at != Instant::never())
        flow.arrived = ratePerSecond(flow, now) * rateTime.toSeconds();
    ++flow.arrived;
    flow.at = now;
}

std::vector<ServiceDemand> UrgencyLevels::demands(const WaitingQueues &queues, Instant now) const
{
    std::vector<ServiceDemand> demands;
    for (const auto &[key, flow] : flows_) {
        const double perSecond = ratePerSecond(flow, now);
        const std::size_t waiting = queues.size(key.first, key.second);
        if ((perSecond < minReportedPerSecond && waiting == 0) || demands.size() >= maxReported)
            continue;
        demands.push_back({ hashOfService(key.first), static_cast<std::uint32_t>(key.second),
                            static_cast<std::uint32_t>(std::lround(perSecond * 1000)),
                            static_cast<std::uint32_t>(waiting) });
    }
    return demands;
}

void UrgencyLevels::onReport(const VmId &from, const RegionId &region,
                             const std::vector<ServiceDemand> &demands, Duration age, Instant now)
{
    reports_[from] = { region, now - age, demands };
    if (reports_.size() <= hooks_.vmCount())
        return;
    for (auto report = reports_.begin(); report != reports_.end();)
        report =
            now - report->second.madeAt > reportTime ? reports_.erase(report) : std::next(report);
}

std::map<RegionId, UrgencyLevels::Demand> UrgencyLevels::moreUrgent(const ServiceId &service,
                                                                    int priority, Instant now) const
{
    std::map<RegionId, Demand> demand;
    Demand &own = demand[hooks_.ownRegion];
    for (auto flow = flows_.lower_bound({ service, INT_MIN });
         flow != flows_.end() && flow->first.first == service && flow->first.second < priority;
         ++flow)
        own.perSecond += ratePerSecond(flow->second, now);
    const std::uint32_t hash = hashOfService(service);
    std::size_t heard = 0;
    const double ownPerSecond = own.perSecond;
    for (const auto &[vm, report] : reports_) {
        if (now - report.madeAt > reportTime)
            continue;
        ++heard;
        Demand &ofRegion = demand[report.region];
        for (const ServiceDemand &one : report.demands) {
            if (one.service != hash || static_cast<std::int64_t>(one.priority) >= priority)
                continue;
            ofRegion.perSecond += one.millisPerSecond / 1000.0;
            ofRegion.waiting += one.waiting;
        }
    }
    if (heard == 0)
        own.perSecond =
            ownPerSecond * static_cast<double>(std::max<std::size_t>(1, hooks_.vmCount()));
    return demand;
}

void UrgencyLevels::update(Reserve &reserve, const ServiceId &service, int priority,
                           Instant now) const
{
    reserve.at = now;
    reserve.perTarget.clear();
    reserve.slots = 0;
    const std::map<RegionId, Demand> demands = moreUrgent(service, priority, now);
    const bool isNone = std::all_of(demands.begin(), demands.end(), [](const auto &one) {
        return one.second.perSecond < minReportedPerSecond && one.second.waiting == 0;
    });
    if (isNone)
        return;
    const targets::ServiceRoom room = hooks_.roomOf(service, now);
    for (const auto &[region, demand] : demands) {
        const auto targets = room.targets.find(region);
        if (targets == room.targets.end() || targets->second <= 0)
            continue;
        const double expected = demand.perSecond * room.slotTime.toSeconds() + demand.waiting;
        const double perTarget = std::min(expected / targets->second, maxReservedPerTarget);
        if (perTarget <= 0)
            continue;
        reserve.perTarget[region] = perTarget;
        reserve.slots += perTarget * targets->second;
    }
}

const ReservedSlots &UrgencyLevels::reservedFor(const ServiceId &service, int priority, Instant now)
{
    Reserve &reserve = reserves_[{ service, priority }];
    if (reserve.at == Instant::never() || now - reserve.at >= updateInterval)
        update(reserve, service, priority, now);
    return reserve.perTarget;
}

Outlook UrgencyLevels::outlook(const ServiceId &service, int priority, const WaitingQueues &queues,
                               Instant now) const
{
    const targets::ServiceRoom room = hooks_.roomOf(service, now);
    double targets = 0;
    for (const auto &[region, count] : room.targets)
        targets += count;
    if (targets == 0 || room.slotTime <= Duration())
        return {};
    double demanded = 0;
    for (const auto &[region, demand] : moreUrgent(service, INT_MAX, now))
        demanded += demand.perSecond;
    double waiting = 0;
    for (const auto &[region, demand] : moreUrgent(service, priority + 1, now))
        waiting += demand.waiting;
    waiting += static_cast<double>(queues.size(service));
    const double servedPerSecond = targets / room.slotTime.toSeconds();
    const Duration wait =
        Duration::micros(static_cast<std::int64_t>(1e6 * waiting / servedPerSecond));
    return { room.slotTime + wait, demanded / servedPerSecond };
}

double UrgencyLevels::reservedSlots() const
{
    double most = 0;
    for (const auto &[key, reserve] : reserves_)
        most = std::max(most, reserve.slots);
    return most;
}

} // namespace bluebellshift::gateway::admission
