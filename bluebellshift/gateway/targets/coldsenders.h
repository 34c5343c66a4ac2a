// Decides when this VM may send a request to a cold target, so that all VMs together keep the
// bound on its requests without messages.
//
//   ColdUse use;
//   use.since = now;                        // the target became cold
//   if (ColdSenders::mayUse(use, perSecond, rank, phase, now))
//       use.sentAt = now;
//
// Contracts:
//  - At most maxSenders VMs of a fleet whose VMs know each other send, at even intervals.
//  - A VM that counts only a part of the registered VMs uses no more than that part of the bound.
//  - A VM that has become a sender waits for one interval first.
//  - A VM that the others do not know yet is no sender.
#pragma once

#include "bluebellshift/core/units.h"
#include "bluebellshift/gateway/targetlimits.h"

namespace bluebellshift::gateway::targets {

struct ColdUse
{
    Instant since = Instant::never();    // when the target became cold
    Instant sentAt = Instant::never();   // latest request while it was cold
    Instant barredAt = Instant::never(); // latest time at which this VM was no sender
};

class ColdSenders
{
public:
    // Number of VMs that may send to one cold target. Its rate bound is divided among them.
    static constexpr std::size_t maxSenders = 3;
    static constexpr double boundFraction = 0.75; // the rest: VMs whose ranks differ
    // The same for VMs that count less than minShareOfMost of the fleet: more sides of a partition
    // have senders, whose requests may coincide. At 0.5, 12 isolated VMs exceeded the bound.
    static constexpr double partFraction = 0.33;
    static constexpr double minShareOfMost = 0.75;

    // `perSecond`: the bound over all VMs; 0: none. `phase`: in [0, 1), differs between VMs.
    static bool mayUse(ColdUse &use, double perSecond, const ColdSenderRank &rank, double phase,
                       Instant now);
};

} // namespace bluebellshift::gateway::targets
