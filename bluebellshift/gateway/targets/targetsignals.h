// What targets say of themselves in their responses: that they are about to stop, that they want
// no requests for a while, and how fast their machine works at this moment.
//
//   TargetSignals signals(log);
//   const TargetStart start { target.id, target.startUnixMillis };
//   if (signals.stateOf(start, now) == TargetSignals::State::Usable)
//       signals.onSent(start, now);
//   signals.onResponse(start, ended, now);           // for each response of a target
//   report.leavingTargets = signals.reports(now);    // goes to the other VMs
//   signals.onReport(start, age, from, now);         // what one of them reported
//
// Contracts:
//  - A target that said it leaves stays Leaving until it starts anew, whatever its registry entry
//    says and also if the entry disappears and returns.
//  - A target that asked for a pause is Paused until its end. After that it is Usable for one
//    request each probeInterval, until a response shows that it takes requests again.
//  - A pause concerns only this VM and is not reported.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/targetlimits.h"

namespace bluebellshift::gateway::targets {

// A target from one start to its end.
struct TargetStart
{
    TargetId id;
    std::int64_t startUnixMillis = 0;

    friend bool operator<(const TargetStart &a, const TargetStart &b)
    {
        return std::tie(a.id, a.startUnixMillis) < std::tie(b.id, b.startUnixMillis);
    }
};

class TargetSignals
{
public:
    static constexpr Duration maxPause = Duration::seconds(3600);
    static constexpr Duration probeInterval = Duration::seconds(1); // after a pause
    // How long the pace of a target's machine is expected to last.
    static constexpr Duration workAge = Duration::millis(600);
    static constexpr double minWorkFactor = 0.2;
    static constexpr double maxWorkFactor = 10;
    // How long a VM that heard of it first-hand reports a leaving target.
    static constexpr Duration reportTime = Duration::seconds(5);
    // How long the state of a target without responses is kept. A target that leaves exits long
    // before.
    static constexpr Duration memory = Duration::seconds(600);
    static constexpr std::size_t maxReported = 64;

    enum class State { Usable, Leaving, Paused };

    explicit TargetSignals(std::function<void(core::LogRecord)> log);

    void onResponse(const TargetStart &target, const AttemptEnded &ended, Instant now);
    void onSent(const TargetStart &target, Instant now);
    // `age`: time since `from` made its report.
    void onReport(const TargetStart &target, Duration age, const VmId &from, Instant now);

    State stateOf(const TargetStart &target, Instant now) const;
    // The end of a target's pause; nothing if it is not paused or if it leaves.
    std::optional<Instant> pauseEnd(const TargetStart &target, Instant now) const;
    // The expected service time relative to the usual one, from the machine's pace.
    double workFactor(const TargetStart &target, Instant now) const;

    // The targets that this VM's own responses have named of late.
    std::vector<LeavingTarget> reports(Instant now) const;
    // Drops what is older than `memory`. Call every few seconds.
    void prune(Instant now);
    std::size_t leavingCount() const;
    std::size_t pausedCount(Instant now) const;

private:
    struct Entry
    {
        bool isLeaving = false;
        Instant leavingHeardAt = Instant::never(); // in a response to this VM
        Instant pausedUntil = Instant::never();
        Instant probeSentAt = Instant::never(); // since the pause ended
        double work = 1;
        Instant workAt = Instant::never();
        Instant updatedAt;
    };

    const Entry *find(const TargetStart &target) const;
    Entry &entryOf(const TargetStart &target, Instant now);
    void setLeaving(const TargetStart &target, Entry &entry, const std::string &reason);
    void setPause(const TargetStart &target, Entry &entry, Duration pause, Instant now);

    const std::function<void(core::LogRecord)> log_;
    std::map<TargetStart, Entry> entries_;
};

} // namespace bluebellshift::gateway::targets
