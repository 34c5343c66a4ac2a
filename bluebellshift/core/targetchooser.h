// Load balancing among the targets of a service in one region.
//
//   TargetChooser chooser(budget);
//   chooser.update(targets, now);              // the platform's list changed
//   Ranking ranking = chooser.rank(targets, region, tried, random, waited, now);
//   for (const Target *target : ranking.usable) // best first
//       ...
//   chooser.onSent(target->id, now);
//   chooser.onEnded(target->id, sentAt, ended, targets, now, logRecords);
//   for (const Target *target : chooser.startDueProbes(targets, now))
//       ... // probe it; then chooser.onProbeEnded(probe, now, logRecords)
//
// The requests that this VM has in flight count first. A target's load report is
// a hint whose weight decays to zero within reportDecayTime. A target that is
// leaving gets no new requests from the moment this VM learns of it, whether from
// the list, a response or a probe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "bluebellshift/core/accounts.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// Why a target is excluded from selection.
enum class Exclusion {
    None,
    Leaving,
    AlreadyTried,
    Ejected,
    Shedding,
    Warming, // cold, and its ramp allows no further request
    Slow,    // waiting for a faster target costs less than its extra latency
    NoSlot,  // this VM holds no free slot of the target
};

const char *toText(Exclusion reason);

struct TargetEvaluation
{
    const Target *target = nullptr;
    Exclusion exclusion = Exclusion::None;
    double score = 0; // lower is better; set only when not excluded
};

struct Ranking
{
    std::vector<const Target *> usable; // best first
    std::vector<TargetEvaluation> considered;
};

class TargetChooser
{
public:
    static constexpr Duration reportDecayTime = Duration::seconds(2);
    static constexpr Duration rampTime = Duration::seconds(30);
    static constexpr double rampStart = 0.1;  // of a warm target's load
    static constexpr int failuresToEject = 5; // consecutive
    static constexpr Duration baseEjectionTime = Duration::seconds(5);
    static constexpr Duration maxEjectionTime = Duration::seconds(60);
    static constexpr Duration baseShedBackoff = Duration::millis(100);
    static constexpr Duration maxShedBackoff = Duration::seconds(2);
    static constexpr double slownessThreshold = 2; // ratio to the typical latency
    static constexpr Duration maxWaitForFasterTarget = Duration::millis(150);
    static constexpr Duration targetProbeInterval = Duration::seconds(2);
    static constexpr Duration probeRoundInterval =
        Duration::millis(500); // interval of calls to startDueProbes
    static constexpr std::size_t maxCandidates = 64;

    explicit TargetChooser(BudgetHooks budget);

    // Updates the targets of one service. Targets of the first list that this VM
    // receives count as warm; targets added later are ramped up.
    void update(const std::vector<Target> &targets, Instant now);

    // Ranks the targets of the service in `region`, except those in `tried`.
    // `waited` is how long the request has waited for a slot.
    Ranking rank(const std::vector<Target> &targets, const RegionId &region,
                 const std::vector<TargetId> &tried, std::uint64_t random, Duration waited,
                 Instant now) const;

    void onSent(const TargetId &target, Instant now);

    // Appends log records of ejections, returns and departures to `logRecords`.
    void onEnded(const TargetId &target, Instant sentAt, const AttemptEnded &ended,
                 const std::vector<Target> &targets, Instant now,
                 std::vector<LogRecord> &logRecords);
    void onProbeEnded(const ProbeEnded &probe, Instant now, std::vector<LogRecord> &logRecords);

    // Returns the targets whose probe is due, and records the probes as started.
    // A probe is due for ejected targets and for those that this VM uses or holds
    // a slot of, once targetProbeInterval has passed since the last probe ended.
    // Responses to requests don't replace probes because they need not report
    // that the target is leaving. Call every probeRoundInterval.
    std::vector<const Target *> startDueProbes(const std::vector<Target> &targets, Instant now);

    // Drops the state of targets that have not been listed for a while.
    void prune(Instant now);

    int inFlight(const TargetId &target) const;
    bool isEjected(const TargetId &target, Instant now) const;

private:
    struct State
    {
        ServiceId service;
        RegionId region;
        Instant listedAt;
        Instant coldSince = Instant::never();
        bool hasReportedLeaving = false;
        std::vector<Instant> sendTimes;    // of the requests in flight, oldest first
        double smoothedLatencySeconds = 0; // exponential mean; 0 before the first response
        Instant latencyAt;
        int reportedBusyElsewhere = 0; // busy slots of the last report not used by this VM
        Instant reportAt = Instant::never();
        int consecutiveFailures = 0; // resets on success
        int ejections = 0;
        Instant ejectedUntil = Instant::never();
        int consecutiveSheds = 0; // resets on success
        Instant shedUntil = Instant::never();
        Instant probeEndedAt = Instant::never();
        Instant probedAt = Instant::never();
    };

    const State *find(const TargetId &target) const;
    Exclusion findExclusion(const Target &target, const std::vector<TargetId> &tried,
                            bool mayUseEjected, Instant now) const;
    double score(const Target &target, Instant now) const;
    double typicalLatencySeconds(const State &state) const;
    double slowness(const State &state, Instant now) const;
    bool isWorthWaiting(const Target &target, Duration waited, Instant now) const;
    void excludeSlowTargets(std::vector<TargetEvaluation> &considered, Duration waited,
                            Instant now) const;
    double rampFactor(const State &state, Instant now) const;
    bool allEjected(const std::vector<Target> &targets, const RegionId &region, Instant now) const;
    bool mayEject(const State &state, const std::vector<Target> &targets, Instant now) const;
    void recordFailure(const TargetId &target, State &state, const std::vector<Target> &targets,
                       Instant now, std::vector<LogRecord> &logRecords);
    void recordSuccess(const TargetId &target, State &state, Duration took, Instant now,
                       std::vector<LogRecord> &logRecords);
    void recordLoadReport(State &state, int busySlots, Instant now);
    void recordLeaving(const TargetId &target, State &state, bool isLeaving,
                       std::vector<LogRecord> &logRecords);

    BudgetHooks budget_;
    std::unordered_map<TargetId, State> states_;
    // Exponential mean. Kept for each region, since the round trip time differs.
    std::map<std::pair<ServiceId, RegionId>, double> typicalLatencySeconds_;
    std::unordered_set<ServiceId> listedServices_;
};

} // namespace bluebellshift::core
