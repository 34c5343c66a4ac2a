// The gateway's reducer: every decision of one VM between callers and targets, driven
// event by event.
//
//   Reducer reducer(options);
//   for (Effect &effect : reducer.start(now, random)) perform(effect);
//   Event event { clock(), random(), RequestArrived { ... } };
//   for (Effect &effect : reducer.reduce(event)) perform(effect);
//   sleepUntil(reducer.nextWake()); // then reduce TimerFired
//
// It has no clock, no random source and no input or output: the same options and
// events give the same effects, in the same order.
//
// Contract for whoever drives it:
//  - `now` never goes back.
//  - TimerFired comes at or soon after nextWake(), which is read after each event.
//  - Each effect that names an event as its end is followed by exactly one such event,
//    unless it is cancelled.
//  - Each RequestId is new, and is ended by exactly one of ForwardResponse, RefuseRequest and
//    DropRequest.
#pragma once

#include <memory>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/options.h"

namespace bluebellshift::gateway {

class Reducer
{
public:
    explicit Reducer(const GatewayOptions &options);
    ~Reducer();
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;

    Effects start(Instant now, std::uint64_t random);
    Effects reduce(const Event &event);
    Instant nextWake() const;

    // Bounds may change while the gateway runs.
    void setBounds(const FleetBounds &bounds);

    // Whether requests are served.
    bool isReady() const;
    const CallerLimits &callerLimits() const;
    // Where callers of that place may connect; empty: nothing is known yet.
    std::vector<Endpoint> addressesFor(const RegionId &region, const FailureDomainId &domain,
                                       Instant now) const;
    Duration lookupTtl() const;

    struct Readings
    {
        std::size_t pending = 0;
        std::size_t vms = 0;
        std::size_t liveVms = 0;
        std::size_t targets = 0;
        std::uint64_t configVersion = 0;
        Duration storeAge; // since an answer of the store came
        bool isStoreLost = false;
    };
    Readings readings(Instant now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace bluebellshift::gateway
