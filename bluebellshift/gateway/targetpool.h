// The targets of every service, what this VM believes of each, and the choice
// among them.
//
//   TargetPool pool(options, hooks);
//   pool.put(target, now);                       // the registry named it
//   Choice choice = pool.choose(wish, now);
//   if (choice.target != nullptr && choice.finish <= hoped) {
//       pool.onSent(choice.target->id, wish, now);
//       ... // pool.onEnded(id, ended, now)
//   }
//
// A choice is the target at which the request is expected to finish first: the way
// there and back, the wait for a slot, the work, which is far shorter where the
// request's object is warm, and what recent failures there have cost.
// docs/design/platform.md gives the ways weighed and their figures.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/objectcount.h"
#include "bluebellshift/gateway/options.h"
#include "bluebellshift/gateway/regionflow.h"
#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

// What a request needs of a target.
struct TargetCriteria
{
    ServiceId service;
    const std::vector<RegionId> *routeRegions = nullptr; // null or empty: all
    const std::vector<RegionId> *teamRegions = nullptr;
    std::uint64_t object = 0; // hash of its route and affinity key; 0: none
    const std::vector<TargetId> *tried = nullptr;
    std::string route; // the name under which work times are learned
    std::size_t bodyBytes = 0;
    bool foundFreeSlot = false; // when it was sent: its time tells of the work alone
};

struct TargetSelection
{
    const Target *target = nullptr; // null: none may be used now
    Duration timeToFinish;          // expected, from now
    int ownInFlight = 0;
    int othersInFlight = 0;
    double warmth = 0;           // how likely its object is warm there, 0 to 1
    std::string exclusionCounts; // counts of the targets ruled out, by reason
};

struct PoolHooks
{
    // How many requests the other VMs have at a target, as far as they told.
    std::function<int(std::uint32_t target, Instant now)> othersInFlight;
    // This VM's place among those that may send to a cold target, from 0; the others
    // agree on it without a message.
    std::function<std::size_t(std::uint64_t target, Instant now)> rankForColdTarget;
    // VMs of this VM's region, itself included.
    std::function<std::size_t(Instant now)> vmsInRegion;
    // The region's part of all VMs that the registry names, and so of all requests.
    std::function<double()> regionShare;
    std::function<void(core::LogRecord)> log;
};

class TargetPool
{
public:
    // VMs that may send to one cold target, so that few need to keep to its bound.
    static constexpr std::size_t maxColdSenders = 3;
    static constexpr double coldBoundFraction = 0.75;  // the rest is for VMs that disagree
    static constexpr double coldServiceTimeFactor = 2; // a cold target's work against a warm one's
    // Objects that a target is taken to keep warm, of which localRegionShare are for
    // callers of its own region. How many it keeps is learned: each warm answer where
    // one was expected raises the number a little, each cold one lowers it more.
    static constexpr double initialWarmObjects = 15;
    static constexpr double minWarmObjects = 8;
    static constexpr double maxWarmObjects = 120;
    static constexpr double warmObjectsGrowth = 1.004;
    static constexpr double warmObjectsDecay = 0.93;
    static constexpr double localRegionShare = 0.67;
    static constexpr double ownObjectShare = 0.6;        // of them, that this VM remembers sending
    static constexpr double warmServiceTimeFactor = 0.3; // of the work, with a warm object
    // How likely an object is warm at the first of its homes, and how much less so at
    // each one after it; and where this VM sent it lately.
    static constexpr double warmthAtFirstPreferred = 0.85;
    static constexpr double warmthDropPerRank = 0.15;
    static constexpr double warmthWhereSentRecently = 0.95;
    static constexpr Duration recentObjectAge = Duration::seconds(15);
    static constexpr Duration initialServiceTime = Duration::millis(600); // before any was measured
    // Work this near to the usual says nothing of the target: it varies by itself.
    static constexpr double minUsualSlowness = 0.6;
    static constexpr double maxUsualSlowness = 1.5;
    static constexpr Duration failureHalfLife = Duration::seconds(3);
    static constexpr Duration failureCost = Duration::millis(900); // of a request sent in vain
    static constexpr Duration ejectionTime = Duration::millis(500);
    static constexpr Duration maxEjectionTime = Duration::seconds(4);
    // A target's own word of its load is used alone while it is this fresh, and beside
    // what the other VMs told while it is that fresh.
    static constexpr Duration freshLoadReportAge = Duration::millis(200);
    static constexpr Duration maxLoadReportAge = Duration::millis(600);
    // While most slots are in use, work that a warm target would spare is work that
    // others wait for: it then counts once more.
    static constexpr double minCongestedUtilization = 0.5; // of all slots
    static constexpr double fullCongestedUtilization = 0.9;
    static constexpr Duration congestionInterval = Duration::millis(100);
    static constexpr double congestionSmoothing = 0.2; // weight of the newest check
    // The part of all slots that is taken to be in use before any request was seen.
    static constexpr double expectedUtilization = 0.6;
    // There and back, until connections have shown it.
    static constexpr Duration defaultRttInRegion = Duration::millis(8);
    static constexpr Duration defaultRttBetweenRegions = Duration::millis(90);
    static constexpr double crossDomainMillisPerKilobyte = 2; // weight of traffic that costs

    TargetPool(const GatewayOptions &options, PoolHooks hooks);

    // The registry named a target. One with a newer start replaces what was known.
    void put(const Target &target, Instant now);
    void remove(const TargetId &target, const char *reason, Instant now);
    // Nothing more is sent to the targets of these failure domains.
    void setEvacuated(const FailureDomainId &domain, bool isEvacuated, Instant now);
    // The services' policies may have changed.
    void setConfig(TrafficConfigPointer config) { config_ = std::move(config); }

    const Target *find(const TargetId &target) const;
    std::vector<TargetId> targetIds() const;

    TargetSelection select(const TargetCriteria &criteria, std::uint64_t random, Instant now) const;

    void onSent(const TargetId &target, const TargetCriteria &criteria, Instant now);
    // `took` is since it was sent; zero: not to be learned from.
    void onEnded(const TargetId &target, const TargetCriteria &criteria, const AttemptEnded &ended,
                 Duration took, Instant now);
    void onCancelled(const TargetId &target, Instant now);

    std::vector<TargetUse> uses() const;
    // Slots of the service that may be used now, and how many this VM uses.
    int usableSlots(const ServiceId &service, Instant now) const;
    Duration expectedServiceTime(const std::string &route) const;

private:
    struct State
    {
        Target target;
        std::uint64_t hash = 0;
        RegionId region;
        int inFlight = 0;
        Instant coldUntil = Instant::never();
        Instant coldSentAt = Instant::never(); // the last request while it was cold
        double failureRate = 0;                // part of recent requests that failed, 0 to 1
        Instant failureUpdatedAt = Instant::never();
        int consecutiveConnectFailures = 0; // connections that failed one after another
        Instant ejectedUntil = Instant::never();
        double slowness = 1; // its work against the route's usual
        int reportedOthersInFlight = 0;
        Instant reportedAt = Instant::never();
        std::vector<std::pair<std::uint64_t, Instant>> objects; // sent by this VM, latest last
    };
    // A target that may be chosen, while a choice is made.
    struct Candidate
    {
        const State *state = nullptr;
        std::uint64_t rank = 0; // among the homes of the wish's object: lower is earlier
        double warmth = 0;
    };
    struct ObjectStats
    {
        ObjectCount requested;                   // of the service
        double warmObjects = initialWarmObjects; // by one target
    };
    struct Congestion
    {
        Instant at = Instant::never();
        double level = 0; // of work, 0 to 1
        // Requests that the other VMs of this region have at a target of a region, if
        // they do as this VM does: what each told is old in a large fleet.
        std::map<RegionId, double> expectedOthers;
    };

    enum class Exclusion { None, Draining, Evacuated, Region, Tried, Ejected, Cold };

    // Why a target may not be used at all, and not at this moment.
    Exclusion lastingExclusion(const State &state, const TargetCriteria &criteria) const;
    Exclusion currentExclusion(const State &state, const TargetCriteria &criteria,
                               Instant now) const;
    bool isCold(const State &state, Instant now) const { return now < state.coldUntil; }
    Duration coldSpacing(const State &state) const;
    double failureRateOf(const State &state, Instant now) const;
    static double slownessOf(const State &state);
    int othersAt(const State &state, const Congestion &congestion, Instant now) const;
    std::vector<Candidate> candidatesFor(const TargetCriteria &criteria, std::array<int, 7> *counts,
                                         Instant now) const;
    void estimateWarmth(const TargetCriteria &criteria, std::vector<Candidate> &candidates,
                        Instant now) const;
    static void setPreferredWarmth(std::vector<Candidate *> &group, double share);
    double requestedObjects(const ServiceId &service) const;
    double warmObjectsPerTarget(const ServiceId &service) const;
    const Congestion &congestionOf(const ServiceId &service, Instant now) const;
    void updateExpectedOthers(const std::vector<State *> &targets, Congestion &congestion,
                              Instant now) const;
    bool wasSentRecently(const State &state, std::uint64_t object, Instant now) const;
    void recordObject(State &state, const TargetCriteria &criteria, Instant now);
    std::map<RegionId, double> expectedRegionShares() const;
    Duration rttTo(const State &state) const;
    double serviceTimeMsAt(const State &state, const TargetCriteria &criteria, double warmth,
                           Instant now) const;
    Duration timeToFinishAt(const State &state, const TargetCriteria &criteria, int others,
                            double serviceTimeMs, Instant now) const;
    double coldObjectServiceTimeMs(const State &state, const TargetCriteria &criteria,
                                   Instant now) const;
    void recordOutcome(State &state, bool isFailed, double weight, Instant now);
    void learnRtt(const State &state, Duration connectTime);
    void learnServiceTime(State &state, const TargetCriteria &criteria, Duration took, Instant now);
    State *findState(const TargetId &target);

    const GatewayOptions &options_;
    const PoolHooks hooks_;
    TrafficConfigPointer config_;
    RegionFlow flow_;
    std::unordered_map<TargetId, State> states_;
    std::unordered_map<ServiceId, std::vector<State *>> byService_; // into states_
    std::unordered_set<FailureDomainId> evacuated_;
    std::unordered_map<FailureDomainId, Duration> rtts_; // there and back, as measured
    std::unordered_map<std::string, double>
        serviceTimesMs_; // milliseconds of a cold object, by route
    std::unordered_map<ServiceId, ObjectStats> objects_;
    mutable std::unordered_map<ServiceId, Congestion> congestion_; // computed seldom
};

} // namespace bluebellshift::gateway
