// Holds the targets of every service with this VM's estimates of each, and selects a
// target for a request.
//
//   TargetPool pool(options, hooks);
//   pool.put(target, now);                       // for each entry of the registry
//   TargetSelection selection = pool.select(criteria, random, now);
//   if (selection.target != nullptr && selection.timeToFinish <= objective) {
//       pool.onPlanned(service, *selection.plannedRegion, now); // the first time, if it is set
//       pool.onSent(selection.target->id, criteria, now);
//       ... // pool.onEnded(id, criteria, ended, elapsed, now)
//   }
//
// A request for an object goes to one of the object's homes (targets/placement.h) in the region
// that the service's plan names (regions/regionplan.h), while any may take it. Among the targets
// that are left, the selected one has the lowest expected completion time: the round trip time, the
// wait for a slot, the service time, which is far shorter where the object is warm, and the cost of
// recent failures there. docs/design/platform.md describes the alternatives and their measured
// results.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/options.h"
#include "bluebellshift/gateway/regionflow.h"
#include "bluebellshift/gateway/regions/faultwatch.h"
#include "bluebellshift/gateway/regions/serviceplans.h"
#include "bluebellshift/gateway/regions/sharelimit.h"
#include "bluebellshift/gateway/registry.h"
#include "bluebellshift/gateway/targetlimits.h"
#include "bluebellshift/gateway/targets/coldsenders.h"
#include "bluebellshift/gateway/targets/placement.h"
#include "bluebellshift/gateway/targets/targetobservation.h"
#include "bluebellshift/gateway/targets/targetsignals.h"

namespace bluebellshift::gateway {

// What a request requires of a target.
struct TargetCriteria
{
    ServiceId service;
    const std::vector<RegionId> *routeRegions = nullptr; // null or empty: any region
    const std::vector<RegionId> *teamRegions = nullptr;
    std::uint64_t object = 0; // hash of the route and affinity key; 0: none
    const std::vector<TargetId> *tried = nullptr;
    std::string route; // name of the route, by which service times are learned
    std::size_t bodyBytes = 0;
    double reservedShare = 0;     // of each target's slots, left to more urgent requests
    bool foundFreeSlot = false;   // when it was sent: its duration contains no queueing
    std::int64_t targetStart = 0; // start time, in Unix milliseconds, of the target it was sent to
    // Index of the region that an earlier selection planned for it.
    std::optional<std::size_t> plannedRegion;
};

struct TargetSelection
{
    const Target *target = nullptr; // null: no target is usable now
    Duration timeToFinish;          // expected time until the response, from now
    int ownInFlight = 0;
    int othersInFlight = 0;
    int slots = 0;     // that the request may use
    double warmth = 0; // probability that the object is warm there, 0 to 1
    targets::ExpectedWarmth expectedWarmth = targets::ExpectedWarmth::NoObject;
    std::string exclusionCounts;              // number of targets excluded, by reason
    std::optional<std::size_t> plannedRegion; // whose homes of the object the request is to use
    // If all targets leave or are paused: when the first pause ends, or never().
    bool isUnavailable = false;
    Instant availableAt = Instant::never();
};

struct PoolHooks
{
    // Requests that the other VMs have in flight at a target, according to their latest reports.
    std::function<int(std::uint32_t target, Instant now)> othersInFlight;
    // The mean age of these reports.
    std::function<Duration(Instant now)> reportAge;
    // This VM's rank among those that may send to a cold target. All VMs compute the same ranks
    // without exchanging messages.
    std::function<ColdSenderRank(std::uint64_t target, Instant now)> coldSenderRank;
    // The VMs that may share a target's limit.
    std::function<SenderRank(TargetHash target, const RegionId &region, Instant now)> senderRank;
    // Number of live VMs in this VM's region, including itself.
    std::function<std::size_t(Instant now)> vmsInRegion;
    // Each region's share of all registered VMs.
    std::function<std::map<RegionId, double>()> regionShares;
    // Requests that the other VMs of this VM's region reported that they sent to each region.
    std::function<std::vector<double>(Instant now)> regionRequests;
    // Requests that arrived at the other VMs of each region, according to their latest reports.
    std::function<std::map<RegionId, double>(Instant now)> requestsByRegion;
    std::function<void(core::LogRecord)> log;
};

class TargetPool
{
public:
    static constexpr double coldServiceTimeFactor = 2; // cold target against a warm one
    static constexpr double ownObjectShare = 0.6;      // that this VM remembers sending
    // A home of an object that fails more often gets a substitute.
    static constexpr double maxHomeFailureRate = 0.5;
    static constexpr double warmServiceTimeFactor = 0.3; // against a cold object
    static constexpr Duration recentObjectAge = Duration::seconds(15);
    static constexpr Duration initialServiceTime = Duration::millis(600); // until measured
    // Slowness within these limits is treated as 1, since service times vary by themselves.
    static constexpr double minUsualSlowness = 0.6;
    static constexpr double maxUsualSlowness = 1.5;
    static constexpr Duration failureHalfLife = Duration::seconds(3);
    static constexpr Duration failureCost = Duration::millis(900); // at a failure rate of 1
    static constexpr Duration ejectionTime = Duration::millis(500);
    static constexpr Duration maxEjectionTime = Duration::seconds(4);
    // The load that a target reports is used alone up to the first age, and together with
    // the reports of other VMs up to the second.
    static constexpr Duration freshLoadReportAge = Duration::millis(200);
    static constexpr Duration maxLoadReportAge = Duration::millis(600);
    // When most slots are in use, service time that a warm target would save also delays
    // other requests, so that it is counted up to twice.
    static constexpr double minCongestedUtilization = 0.5; // of all slots
    static constexpr double fullCongestedUtilization = 0.9;
    static constexpr Duration congestionInterval = Duration::millis(100);
    static constexpr double congestionSmoothing = 0.2; // weight of the newest sample
    // Round trip times until one has been measured by a connection.
    static constexpr Duration defaultRttInRegion = Duration::millis(8);
    static constexpr Duration defaultRttBetweenRegions = Duration::millis(90);
    // Bytes of a request that a connection carries in one round trip.
    static constexpr double bytesPerRoundTrip = 16 * 1024;
    static constexpr double crossDomainMillisPerKilobyte = 2; // cost of billed traffic in the score

    TargetPool(const GatewayOptions &options, regions::FaultWatch &faults, PoolHooks hooks);
    TargetPool(const TargetPool &) = delete; // its parts refer to it
    TargetPool &operator=(const TargetPool &) = delete;

    // Adds or updates a target. A target that restarted loses all earlier estimates.
    void put(const Target &target, Instant now);
    void remove(const TargetId &target, const char *reason, Instant now);
    // Excludes or readmits all targets of a failure domain.
    void setEvacuated(const FailureDomainId &domain, bool isEvacuated, Instant now);
    std::vector<FailureDomainId> evacuatedDomains() const
    {
        return { evacuated_.begin(), evacuated_.end() };
    }
    // Replaces the configuration that holds the services' policies.
    void setConfig(TrafficConfigPointer config) { config_ = std::move(config); }

    const Target *find(const TargetId &target) const;
    std::vector<TargetId> targetIds() const;

    TargetSelection select(const TargetCriteria &criteria, std::uint64_t random, Instant now) const;

    void onSent(const TargetId &target, const TargetCriteria &criteria, Instant now);
    // `elapsed` is the time since the request was sent; zero excludes it from learning.
    targets::FoundWarmth onEnded(const TargetId &target, const TargetCriteria &criteria,
                                 const AttemptEnded &ended, Duration elapsed, Instant now);
    void onCancelled(const TargetId &target, Instant now);

    // The limits that targets have named of late to this VM, and to another one, whose report is
    // `age` old.
    std::vector<TargetLimitReport> limitReports(Instant now) const { return limits_.reports(now); }
    void onLimitsReported(const VmId &from, const std::vector<TargetLimitReport> &reported,
                          Duration age, Instant now);
    std::size_t limitedTargets() const { return limits_.limitedCount(); }
    // The same for targets that said that they leave.
    std::vector<LeavingTarget> leavingReports(Instant now) const { return signals_.reports(now); }
    void onLeavingReported(const VmId &from, const std::vector<LeavingTarget> &reported,
                           Duration age, Instant now);
    // Call once for each request with the first region that was planned for it.
    void onPlanned(const ServiceId &service, std::size_t region, Instant now);
    // Call for each request that is admitted.
    void onArrived(Instant now) { plans_.onArrived(now); }
    std::uint32_t arrivedRequests(Instant now) const { return plans_.arrivedRequests(now); }
    const targets::TargetSignals &signals() const { return signals_; }
    // The number of objects that a target of the service is taken to keep warm.
    double warmObjectsPerTarget(const ServiceId &service) const
    {
        return placement_.warmObjectsPerTarget(service);
    }
    const regions::ShareLimit &shareLimit() const { return shareLimit_; }
    void logRegionShares(Instant now)
    {
        if (auto record = flow_.logRecord(now))
            hooks_.log(std::move(*record));
    }
    // Drops old state. Call every few seconds.
    void prune(Instant now) { signals_.prune(now); }

    std::vector<TargetUse> uses() const;
    // Number of the service's slots that are usable now. A named limit counts as the slots that
    // its requests need.
    int usableSlots(const ServiceId &service, Instant now) const;
    // The mean number of slots of the service's targets; at least 1.
    int slotsPerTarget(const ServiceId &service) const;
    Duration expectedServiceTime(const std::string &route) const;

private:
    struct State
    {
        Target target;
        std::uint64_t hash = 0;
        RegionId region;
        std::size_t regionIndex = 0; // of ShareLimit
        int inFlight = 0;
        Instant coldUntil = Instant::never();
        mutable targets::ColdUse coldUse;
        double failureRate = 0; // decaying share of failed requests, 0 to 1
        Instant failureUpdatedAt = Instant::never();
        int consecutiveConnectFailures = 0;
        Instant ejectedUntil = Instant::never();
        double slowness = 1; // its service time relative to the route's usual one
        int reportedOthersInFlight = 0;
        Instant reportedAt = Instant::never();
        std::vector<std::pair<std::uint64_t, Instant>> objects; // sent by this VM, latest last
    };
    struct Congestion
    {
        Instant at = Instant::never();
        Duration reportAge;     // of the other VMs' reports, on average
        double utilization = 0; // of the service's slots
        double level = 0;       // weight of the additional service time, 0 to 1
        // Requests that the other VMs of this region have in flight at each target of a
        // region that names no limit, assuming that they behave like this VM. In a large fleet
        // their reports are too old to rely on alone.
        std::map<RegionId, double> expectedOthers;
    };

    enum class Exclusion {
        None,
        Draining,
        Evacuated,
        Region,
        Tried,
        Ejected,
        Cold,
        Limited,
        Leaving,
        Paused,
        Shift,
        NotHome // of the object, and one of its homes may take the request
    };
    static constexpr std::size_t exclusionCount = 12;
    using ExclusionCounts = std::array<int, exclusionCount>;

    // Why a target must not be used, and why it must not be used at this moment.
    Exclusion lastingExclusion(const State &state, const TargetCriteria &criteria,
                               Instant now) const;
    Exclusion currentExclusion(const State &state, const TargetCriteria &criteria,
                               Instant now) const;
    bool isCold(const State &state, Instant now) const { return now < state.coldUntil; }
    void makeCold(State &state, Duration time, Instant now);
    bool mayUseCold(const State &state, Instant now) const;
    double failureRateOf(const State &state, Instant now) const;
    static double slownessOf(const State &state);
    static targets::TargetStart startOf(const Target &target)
    {
        return { target.id, target.startUnixMillis };
    }
    double slotsOf(const State &state) const;
    int othersAt(const State &state, const Congestion &congestion, Instant now) const;
    int agedOthersAt(const State &state, const Congestion &congestion, Instant now) const;
    double ownRegionShare() const;
    regions::RegionValues plannedSlots(const std::vector<State *> &targets) const;
    std::vector<const State *> candidatesFor(const TargetCriteria &criteria,
                                             ExclusionCounts *counts, Instant now) const;
    // Where the requested object is kept warm; empty if the request names none.
    std::vector<targets::PlacedTarget> placedTargets(const TargetCriteria &criteria,
                                                     const std::vector<const State *> &candidates,
                                                     const std::vector<Exclusion> &exclusions,
                                                     const Congestion &congestion,
                                                     Instant now) const;
    bool canBeHome(const State &state, Exclusion exclusion, Instant now) const;
    std::optional<std::size_t> homeRegionFor(const TargetCriteria &criteria,
                                             const std::vector<targets::PlacedTarget> &placed,
                                             const std::vector<Exclusion> &exclusions) const;
    targets::ExpectedWarmth expectedWarmthAt(const State &state, const TargetCriteria &criteria,
                                             bool isHome, Instant now) const;
    const Congestion &congestionOf(const ServiceId &service, Instant now) const;
    void updateExpectedOthers(const std::vector<State *> &targets, Congestion &congestion,
                              Instant now) const;
    bool wasSentRecently(const State &state, std::uint64_t object, Instant now) const;
    void recordObject(State &state, const TargetCriteria &criteria, Instant now);
    std::map<RegionId, double> expectedRegionShares(Instant now) const;
    // Slots in each region that are usable now, of all services.
    regions::RegionValues slotsByRegion(Instant now) const;
    bool isUsable(const State &state, Instant now) const;
    Duration rttTo(const State &state) const;
    // Round trips until a request has arrived and its response has returned, without service.
    Duration transferTime(const State &state, const TargetCriteria &criteria) const;
    double serviceTimeMsAt(const State &state, const TargetCriteria &criteria, double warmth,
                           Instant now) const;
    Duration timeToFinishAt(const State &state, const TargetCriteria &criteria, int others,
                            double serviceTimeMs, Instant now) const;
    double coldObjectServiceTimeMs(const State &state, const TargetCriteria &criteria,
                                   Instant now) const;
    void recordOutcome(State &state, bool isFailed, double weight, Instant now);
    void learnRtt(const State &state, Duration connectTime);
    targets::FoundWarmth foundWarmth(const State &state, const TargetCriteria &criteria,
                                     const AttemptEnded &ended, Duration elapsed,
                                     Instant now) const;
    void learnServiceTime(State &state, const TargetCriteria &criteria, const AttemptEnded &ended,
                          targets::FoundWarmth found, Duration elapsed, Instant now);
    State *findState(const TargetId &target);

    const GatewayOptions &options_;
    regions::FaultWatch &faults_;
    const PoolHooks hooks_;
    TrafficConfigPointer config_;
    RegionFlow flow_;
    regions::ShareLimit shareLimit_;
    mutable regions::ServicePlans plans_;
    targets::Placement placement_;
    TargetLimits limits_;
    targets::TargetSignals signals_;
    std::unordered_map<TargetId, State> states_;
    std::unordered_map<ServiceId, std::vector<State *>> byService_; // into states_
    std::unordered_map<TargetHash, State *> byHash_;                // into states_
    std::unordered_set<FailureDomainId> evacuated_;
    std::unordered_map<FailureDomainId, Duration> rtts_;           // measured round trip times
    std::unordered_map<std::string, double> serviceTimesMs_;       // cold object, by route
    std::unordered_map<ServiceId, double> meanTimesMs_;            // of all requests, at the target
    mutable std::unordered_map<ServiceId, Congestion> congestion_; // cached for congestionInterval
};

} // namespace bluebellshift::gateway
