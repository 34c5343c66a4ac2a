// The reserve is the slots that the urgent requests use on average, with cold objects, which they
// need where they come in a burst. Each VM derives it from its own requests, taken as an even share
// of all.
//
// Waiting in the order of priority does not help: a VM's queue orders only its own requests, and
// what delays an urgent one is a request that another VM sent to the same target earlier.
#include "bluebellshift/gateway/admission/urgentroom.h"

#include <algorithm>
#include <cmath>

namespace bluebellshift::gateway::admission {

UrgentRoom::UrgentRoom(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

double UrgentRoom::Flow::perSecond(Instant now) const
{
    if (at == Instant::never())
        return 0;
    return requests * std::exp(-(now - at).toSeconds() / rateTime.toSeconds())
        / rateTime.toSeconds();
}

void UrgentRoom::onArrived(const ServiceId &service, const RouteRule &route, Instant now)
{
    Flows &flows = flows_[service];
    if (flows.size() >= maxRoutes && flows.count(route.name) == 0) {
        removeIdle(flows, now);
        if (flows.size() >= maxRoutes)
            return;
    }
    Flow &flow = flows[route.name];
    flow.requests = flow.perSecond(now) * rateTime.toSeconds() + 1;
    flow.at = now;
    flow.priority = route.priority;
    flow.objective = route.latencyObjective;
}

void UrgentRoom::removeIdle(Flows &flows, Instant now)
{
    for (auto flow = flows.begin(); flow != flows.end();)
        flow = flow->second.perSecond(now) < minPerSecond ? flows.erase(flow) : std::next(flow);
}

// Whether an urgent request misses its objective if it has to wait for the first of a target's
// slots that are all taken by long requests.
bool UrgentRoom::wouldDelay(const Flow &urgent, Duration urgentTime, Duration longTime,
                            int slotsPerTarget) const
{
    const double slack = urgent.objective.toSeconds() - warmTimeFactor * urgentTime.toSeconds();
    return slack < longTime.toSeconds() / std::max(1, slotsPerTarget);
}

double UrgentRoom::reservedShare(const ServiceId &service, const RouteRule &route, int priority,
                                 int slotsPerTarget, Instant now) const
{
    const auto flows = flows_.find(service);
    if (flows == flows_.end() || flows->second.size() < 2)
        return 0;
    const int rank = std::min(route.priority, priority);
    double busy = 0; // slots in use by the more urgent requests of all VMs
    const Duration longTime = hooks_.serviceTime(route.name);
    for (const auto &[name, flow] : flows->second) {
        if (flow.priority >= rank)
            continue;
        const Duration urgentTime = hooks_.serviceTime(name);
        if (wouldDelay(flow, urgentTime, longTime, slotsPerTarget))
            busy += flow.perSecond(now) * urgentTime.toSeconds();
    }
    if (busy <= 0)
        return 0;
    const int slots = hooks_.usableSlots(service, now);
    if (slots <= 0)
        return maxReservedShare;
    return std::min(maxReservedShare, busy * static_cast<double>(hooks_.vmCount()) / slots);
}

int UrgentRoom::slotsFor(int slots, double share)
{
    if (share <= 0)
        return slots;
    const int most = static_cast<int>(maxReservedShare * slots + 1e-9);
    const int reserved = std::min(most, static_cast<int>(std::ceil(share * slots)));
    return std::max(1, slots - reserved);
}

} // namespace bluebellshift::gateway::admission
