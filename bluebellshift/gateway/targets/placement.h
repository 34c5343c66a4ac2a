// Estimates where an object is warm, so that requests for it go to few targets.
//
//   Placement placement;
//   std::vector<PlacedTarget> candidates = ...; // with rank, locality and wasSentRecently
//   placement.estimateWarmth(service, candidates);  // sets `warmth`
//   placement.recordRequest(service, object, now);  // for each request sent
//   placement.recordOutcome(service, isWarm);       // of a response expected to be warm
//
// Objects are assigned to targets by rendezvous hashing, without messages: the targets with
// the lowest ranks are the object's preferred ones. All VMs of a region compute the same
// preferred targets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/gateway/objectcount.h"

namespace bluebellshift::gateway::targets {

// A target that is considered for a request.
struct PlacedTarget
{
    std::uint64_t rank = 0;       // rendezvous hash for the object: lower is preferred
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

    // `object`: a hash that is not 0.
    void recordRequest(const core::ServiceId &service, std::uint64_t object, core::Instant now);
    void recordOutcome(const core::ServiceId &service, bool isWarm);

    // The number of objects that one target of the service keeps warm.
    double warmObjectsPerTarget(const core::ServiceId &service) const;
    void estimateWarmth(const core::ServiceId &service,
                        std::vector<PlacedTarget> &candidates) const;

private:
    struct ObjectStats
    {
        ObjectCount requested;                   // distinct objects that the service is asked for
        double warmObjects = initialWarmObjects; // number that one target keeps warm
    };

    double requestedObjects(const core::ServiceId &service) const;
    static void setPreferredWarmth(std::vector<PlacedTarget *> &group, double share);

    std::unordered_map<core::ServiceId, ObjectStats> objects_;
};

} // namespace bluebellshift::gateway::targets
