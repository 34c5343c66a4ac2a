// Chooses among the targets of a service in one region.
//
//   TargetChooser chooser(budget);
//   chooser.update(targets, now);              // the platform's list changed
//   Ranking ranking = chooser.rank(targets, region, tried, random, now);
//   for (const Target *target : ranking.usable) // the best first
//       ...
//   chooser.onSent(target->id, now);
//   chooser.onEnded(target->id, sentAt, ended, now);
//   for (const Target *target : chooser.startDueProbes(targets, now))
//       ... // probe it; then chooser.onProbeEnded(probed, now)
//
// What this VM has in flight itself counts first. A target's load report is a
// hint that loses its weight within reportDecayTime. A target that leaves gets
// no new work from the moment that this VM knows of it, by whatever way.
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

// Why a target may not be chosen now.
enum class Exclusion {
    None,
    Leaving,
    AlreadyTried,
    Ejected,
    Shedding,
    Warming, // cold, and has as many requests as its ramp allows
    Slow,    // a shorter wait than its extra time may free another
    NoSlot,  // this VM holds no slot of it
};

const char *toText(Exclusion reason);

struct TargetEvaluation
{
    const Target *target = nullptr;
    Exclusion exclusion = Exclusion::None;
    double score = 0; // lower is better; set when not ruled out
};

struct Ranking
{
    std::vector<const Target *> usable; // the best first
    std::vector<TargetEvaluation> considered;
};

class TargetChooser
{
public:
    static constexpr Duration reportDecayTime = Duration::seconds(2);
    static constexpr Duration rampTime = Duration::seconds(30);
    static constexpr double rampStart = 0.1;  // of a warm target's share
    static constexpr int failuresToEject = 5; // one after another
    static constexpr Duration ejectedFirst = Duration::seconds(5);
    static constexpr Duration ejectedMost = Duration::seconds(60);
    static constexpr Duration baseShedBackoff = Duration::millis(100);
    static constexpr Duration shedMost = Duration::seconds(2);
    static constexpr double slowFrom = 2; // times what is usual
    static constexpr Duration waitForFasterMost = Duration::millis(150);
    static constexpr Duration timeBetweenProbes = Duration::seconds(2);
    static constexpr Duration probeRoundInterval =
        Duration::millis(500); // between calls of startDueProbes
    static constexpr std::size_t candidatesMost = 64;

    explicit TargetChooser(BudgetHooks budget);

    // Takes in the targets of one service. Those of the first list that this VM
    // sees count as warm; later arrivals are ramped up.
    void update(const std::vector<Target> &targets, Instant now);

    // Ranks the service's targets in `region`, but for those in `tried`.
    // `waited` is how long the request has waited for a slot.
    Ranking rank(const std::vector<Target> &targets, const RegionId &region,
                 const std::vector<TargetId> &tried, std::uint64_t random, Duration waited,
                 Instant now) const;

    void onSent(const TargetId &target, Instant now);

    // `changes` gets the log records of what this made known.
    void onEnded(const TargetId &target, Instant sentAt, const AttemptEnded &ended,
                 const std::vector<Target> &targets, Instant now, std::vector<LogRecord> &changes);
    void onProbeEnded(const ProbeEnded &probe, Instant now, std::vector<LogRecord> &changes);

    // The targets to probe now: ejected ones, and those of which this VM holds a
    // slot, if the last probe ended timeBetweenProbes ago. An answer to a request is
    // no substitute, as it need not tell that the target leaves. Call every
    // probeRoundInterval.
    std::vector<const Target *> startDueProbes(const std::vector<Target> &targets, Instant now);

    // Forgets targets that no list has named for a while.
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
        bool saysLeaving = false;
        std::vector<Instant> sent; // of the requests in flight
        double latency = 0;        // seconds, smoothed; 0 before the first answer
        Instant latencyAt;
        int reportedOthers = 0; // busy slots in the last report beyond our own
        Instant reportAt = Instant::never();
        int failures = 0; // one after another
        int ejections = 0;
        Instant ejectedUntil = Instant::never();
        int sheds = 0; // one after another
        Instant shedUntil = Instant::never();
        Instant probeEndedAt = Instant::never();
        Instant probedAt = Instant::never();
    };

    const State *find(const TargetId &target) const;
    Exclusion ruleOut(const Target &target, const std::vector<TargetId> &tried, bool mayUseEjected,
                      Instant now) const;
    double score(const Target &target, Instant now) const;
    double typicalLatency(const State &state) const;
    double slowness(const State &state, Instant now) const;
    bool isWorthWaiting(const Target &target, Duration waited, Instant now) const;
    void ruleOutSlow(std::vector<TargetEvaluation> &considered, Duration waited, Instant now) const;
    double ramp(const State &state, Instant now) const;
    bool allEjected(const std::vector<Target> &targets, const RegionId &region, Instant now) const;
    bool mayEject(const State &state, const std::vector<Target> &targets, Instant now) const;
    void noteFailure(const TargetId &target, State &state, const std::vector<Target> &targets,
                     Instant now, std::vector<LogRecord> &changes);
    void noteSuccess(const TargetId &target, State &state, Duration took, Instant now,
                     std::vector<LogRecord> &changes);
    void noteReport(State &state, int busySlots, Instant now);
    void noteLeaving(const TargetId &target, State &state, bool isLeaving,
                     std::vector<LogRecord> &changes);

    BudgetHooks budget_;
    std::unordered_map<TargetId, State> states_;
    // Seconds, smoothed; apart for each region, as the way there takes its time.
    std::map<std::pair<ServiceId, RegionId>, double> typicalLatency_;
    std::unordered_set<ServiceId> listedServices_;
};

} // namespace bluebellshift::core
