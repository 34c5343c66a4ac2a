// Decides how many slots of each target the less urgent requests of a service leave free.
//
//   UrgentRoom room(hooks);
//   room.onArrived(service, route, now);                   // for each admitted request
//   double share = room.reservedShare(service, route, priority, slots, now);
//   int slots = UrgentRoom::slotsFor(target.slots, share); // that such a request may use
//
// A target that is full of long requests can't serve a short, urgent one in time, and a slot that
// is taken stays so for the time of a long request. The room must be free before the urgent request
// arrives.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway::admission {

class UrgentRoom
{
public:
    static constexpr double maxReservedShare = 1.0 / 3;        // of a target's slots
    static constexpr Duration rateTime = Duration::seconds(4); // time constant of request rates
    // Time of a request with a warm object, against that with a cold one.
    static constexpr double warmTimeFactor = 0.3;

    // Routes of a service that are remembered. Idle ones make room for others; while none is idle,
    // a further route gets no room.
    static constexpr std::size_t maxRoutes = 64;
    static constexpr double minPerSecond = 0.02; // at this VM; below this a route is idle

    struct Hooks
    {
        std::function<Duration(const std::string &route)> serviceTime; // with a cold object
        std::function<int(const ServiceId &service, Instant now)> usableSlots;
        std::function<std::size_t()> vmCount; // that share the requests of a service evenly
    };

    explicit UrgentRoom(Hooks hooks);

    void onArrived(const ServiceId &service, const RouteRule &route, Instant now);
    // The share of each target's slots, 0 to maxReservedShare, that a request leaves to those of
    // more urgent routes. 0: none of them would miss its objective behind it. `priority`: of the
    // request, which its team may raise above that of its route.
    double reservedShare(const ServiceId &service, const RouteRule &route, int priority,
                         int slotsPerTarget, Instant now) const;
    // The slots of a target that a request may use which leaves `share` of them free; at least 1.
    static int slotsFor(int slots, double share);

private:
    // Requests of a route, decaying with rateTime.
    struct Flow
    {
        double requests = 0;
        Instant at = Instant::never();
        int priority = 0;
        Duration objective;

        double perSecond(Instant now) const;
    };

    using Flows = std::map<std::string, Flow>; // by route

    static void removeIdle(Flows &flows, Instant now);
    bool wouldDelay(const Flow &urgent, Duration urgentTime, Duration longTime,
                    int slotsPerTarget) const;

    const Hooks hooks_;
    std::unordered_map<ServiceId, Flows> flows_;
};

} // namespace bluebellshift::gateway::admission
