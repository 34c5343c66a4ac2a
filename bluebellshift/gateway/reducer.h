// The gateway's reducer: makes all decisions of one gateway VM in response to events.
//
//   Reducer reducer(options);
//   for (Effect &effect : reducer.start(now, random)) perform(effect);
//   Event event { clock(), random(), RequestArrived { ... } };
//   for (Effect &effect : reducer.reduce(event)) perform(effect);
//   sleepUntil(reducer.nextWake()); // then reduce TimerFired
//
// The reducer has no clock, random source, input or output. The same options and events
// produce the same effects in the same order.
//
// Contract for the caller:
// - `now` never decreases.
// - TimerFired is reduced at or soon after nextWake(), which is read after each event.
// - Each effect that documents a final event is followed by exactly one such event,
// unless it is cancelled.
// - Each RequestId is unique, and ends with exactly one of ForwardResponse, RefuseRequest
// and DropRequest.
#pragma once

#include <array>
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

    // Replaces the bounds; may be called at any time.
    void setBounds(const FleetBounds &bounds);

    // Whether the gateway serves requests.
    bool isReady() const;
    const CallerLimits &callerLimits() const;
    // Endpoints that callers in the given region and failure domain may connect to. Empty: no
    // VM is known to serve yet.
    std::vector<Endpoint> addressesFor(const RegionId &region, const FailureDomainId &domain,
                                       Instant now) const;
    Duration lookupTtl() const;

    struct Readings
    {
        std::size_t pending = 0;
        std::size_t vms = 0;
        std::size_t liveVms = 0;
        std::size_t targets = 0;
        std::size_t limitedTargets = 0; // that name a limit on their requests
        std::size_t leavingTargets = 0; // that said that they are about to stop
        std::size_t pausedTargets = 0;  // that asked for no requests for a while
        std::uint64_t configVersion = 0;
        std::uint64_t configRevision = 0;        // of the store, at which it was received
        std::uint64_t reportedConfigVersion = 0; // the highest in force at another live VM
        std::uint64_t storeEra = 0;              // that the store's last response told
        std::uint64_t ignoredStoreData = 0;      // lists and entries older than what is known
        Duration storeAge;                       // since the store's last response
        // Since each registry was last confirmed, by the store or a VM that reads it.
        std::array<Duration, registryCount> registryAges;
        bool isStoreLost = false;
        std::size_t unreadableEntries = 0; // of the store
    };
    Readings readings(Instant now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace bluebellshift::gateway
