// Tells whether a fault is near, from what this VM and the others have noticed.
//
//   FaultWatch faults(hooks);
//   faults.onSign(FaultSign::TargetLost, now);
//   faults.onFailure(now);                        // a request ended without a response
//   faults.onReported(age, now);                  // another VM noticed a sign
//   if (faults.isNear(now)) ...
//   report.faultAgeMillis = ...faults.signAge(now)  // for the other VMs
//
// Targets, VMs and the store fail for some VMs before others notice, while the requests of all of
// them have to move. A sign that one VM noticed therefore counts for the whole fleet.
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway::regions {

using core::Duration;
using core::Instant;

enum class FaultSign {
    StoreLost,
    VmStarted,
    VmLost,          // or one that stops
    TargetLost,      // without draining, or restarted
    DomainEvacuated, // or used again
    RequestsFailed,
};

const char *toText(FaultSign sign);

class FaultWatch
{
public:
    // A fault counts as near for this time after its latest sign.
    static constexpr Duration memory = Duration::seconds(4);
    static constexpr Duration failureWindow = Duration::seconds(2);
    // Requests of all VMs together, within the window. Single ones fail without a fault, as a
    // target may close a connection while a request is on its way.
    static constexpr std::size_t minFailures = 8;
    static constexpr std::size_t maxCounted = 1000; // of this VM's failures

    struct Hooks
    {
        // The failures that the other VMs reported.
        std::function<double(Instant now)> othersFailures;
        std::function<void(core::LogRecord)> log;
    };

    explicit FaultWatch(Hooks hooks);

    void onSign(FaultSign sign, Instant now);
    void onFailure(Instant now);
    // Another VM noticed a sign `age` ago.
    void onReported(Duration age, Instant now);

    bool isNear(Instant now) const;
    // Time since the latest sign that this VM noticed itself, if that is not longer than `memory`.
    std::optional<Duration> signAge(Instant now) const;
    // This VM's failures within the window.
    std::size_t failures(Instant now) const;

private:
    const Hooks hooks_;
    mutable std::deque<Instant> failures_; // oldest first
    Instant ownSignAt_ = Instant::never();
    Instant latestSignAt_ = Instant::never(); // of any VM
};

} // namespace bluebellshift::gateway::regions
