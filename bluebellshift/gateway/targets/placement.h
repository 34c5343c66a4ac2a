// Estimates where an object is warm, so that requests for it go to few targets.
//
//   Placement placement(/*byFailureDomain=*/true);
//   std::vector<PlacedTarget> candidates = ...; // all fields but `warmth`
//   const bool byDomain = placement.isByDomain(coldServiceTime, objective);
//   placement.estimateWarmth(service, byDomain, candidates); // sets `warmth`
//   placement.recordRequest(service, object, now);  // for each request sent
//   placement.recordOutcome(service, isWarm);       // of a response expected to be warm
//
// Objects are assigned to targets by rendezvous hashing, without messages: the targets with
// the lowest ranks are the object's preferred ones. All VMs of a region compute the same
// preferred targets. By failure domain, each domain of the region gets preferred targets of its
// own, so that few requests leave their domain, if a request meets its objective with a cold
// object.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/gateway/objectcount.h"

namespace bluebellshift::gateway::targets {

// A target that is considered for a request.
struct PlacedTarget
{
    std::uint64_t rank = 0;       // rendezvous hash for the object: lower is preferred
    std::uint64_t domain = 0;     // identifies its failure domain
    bool isLocal = false;         // in this VM's region
    bool wasSentRecently = false; // this VM sent the object there
    double warmth = 0;            // probability that the object is warm there, 0 to 1
};

class Placement
{
public:
    // Estimated number of objects that a target keeps warm; localRegionShare of them are
    // reserved for callers of its own region. The estimate is learned: where a warm
    // response was expected, a warm one raises it slightly and a cold one lowers it more.
    static constexpr double initialWarmObjects = 15;
    static constexpr double minWarmObjects = 8;
    static constexpr double maxWarmObjects = 120;
    static constexpr double warmObjectsGrowth = 1.004;
    static constexpr double warmObjectsDecay = 0.93;
    static constexpr double localRegionShare = 0.67;
    // Probability that an object is warm at its first preferred target, the decrease for
    // each following one, and the probability where this VM sent it recently.
    static constexpr double warmthAtFirstPreferred = 0.85;
    static constexpr double warmthDropPerRank = 0.15;
    static constexpr double warmthWhereSentRecently = 0.95;

    // The cost of a kilobyte that leaves the failure domain, in expected completion time.
    static constexpr double crossDomainMillisPerKilobyte = 2;

    // The fraction of a request's slack that it gives up to stay in its failure domain, if it and
    // its response are large, and the size at which it gives up half of that.
    static constexpr double localSlackFraction = 0.5;
    static constexpr double halfSlackKilobytes = 2;

    // A cold object leaves at least this fraction of the objective for all but the service.
    static constexpr double minColdSlack = 0.1;

    explicit Placement(bool byFailureDomain)
        : byFailureDomain_(byFailureDomain)
    {
    }

    // `object`: a hash that is not 0.
    void recordRequest(const core::ServiceId &service, std::uint64_t object, core::Instant now);
    void recordOutcome(const core::ServiceId &service, bool isWarm);

    void recordResponse(const std::string &route, std::size_t bytes);
    // The cost, in milliseconds, of sending a request to another failure domain.
    double crossDomainMillis(const std::string &route, std::size_t requestBytes) const;
    // What a free slot in this VM's failure domain is worth to a request, in milliseconds, if it
    // ends there with `slack` left of its latency objective.
    double localSlotMillis(const std::string &route, std::size_t requestBytes,
                           core::Duration slack) const;
    // Whether requests that take `coldServiceTime` with a cold object are placed by domain.
    bool isByDomain(core::Duration coldServiceTime, core::Duration objective) const;

    // The number of objects that one target of the service keeps warm.
    double warmObjectsPerTarget(const core::ServiceId &service) const;
    void estimateWarmth(const core::ServiceId &service, bool byDomain,
                        std::vector<PlacedTarget> &candidates) const;

private:
    struct ObjectStats
    {
        ObjectCount requested;                   // distinct objects that the service is asked for
        double warmObjects = initialWarmObjects; // number that one target keeps warm
    };

    using Group = std::vector<PlacedTarget *>;

    // The size of a request and its usual response, headers included.
    double kilobytesOf(const std::string &route, std::size_t requestBytes) const;
    double requestedObjects(const core::ServiceId &service) const;
    static std::size_t preferredCount(std::size_t targets, double share);
    static void setPreferredWarmth(Group &group, double share);
    static void setPreferredWarmthByDomain(Group &group, double share);

    const bool byFailureDomain_;
    std::unordered_map<core::ServiceId, ObjectStats> objects_;
    std::unordered_map<std::string, double> responseBytes_; // usual size, by route
};

} // namespace bluebellshift::gateway::targets
