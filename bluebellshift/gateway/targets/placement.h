// Decides which targets are to keep an object warm, so that requests for it go to few of them.
//
//   Placement placement;
//   std::vector<PlacedTarget> candidates = ...; // with hash, region, slots and isUsable
//   placement.place(service, use, candidates);      // sets isHome and warmth
//   placement.recordRequest(service, object, now);  // for each request sent
//   placement.recordOutcome(service, isWarm);       // of a response expected to be warm
//
// An object has one or two homes, in regions that are drawn in proportion to what they serve of the
// requests from this VM's region. In a region, the usable targets that come first in the object's
// order are its homes. The order is by weighted rendezvous hashing, without messages, and the same
// at all VMs; a target gets objects in proportion to its slots.
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
    std::uint64_t hash = 0; // of the target and the object
    std::size_t region = 0; // index of its region
    int slots = 1;
    bool isUsable = true; // it may take the request at this moment
    bool isHome = false;  // it is to keep the object warm
    double warmth = 0;    // probability that the object is warm there, 0 to 1
};

// The request, and how its service is used at the moment.
struct ServiceUse
{
    std::uint64_t object = 0;         // hash of the requested object
    double ownRequestShare = 0;       // of all requests, from this VM's region, 0 to 1
    std::vector<double> regionShares; // of the latter, that each region is to serve, 0 to 1
    double utilization = 0;           // of the service's slots, 0 to 1
};

class Placement
{
public:
    // Estimated number of objects that a target keeps warm. The estimate is learned: where a
    // warm response was expected, a warm one raises it slightly and a cold one lowers it more.
    static constexpr double initialWarmObjects = 60;
    static constexpr double minWarmObjects = 8;
    static constexpr double maxWarmObjects = 120;
    static constexpr double warmObjectsGrowth = 1.004;
    static constexpr double warmObjectsDecay = 0.96;
    // More homes even out the load of the targets. Each has to load the object once, and again
    // after each restart.
    static constexpr std::size_t maxHomes = 2;
    // Probability that an object is warm at a home, and at a target that stands in for one.
    static constexpr double homeWarmth = 0.9;
    static constexpr double substituteWarmth = 0.5;
    // The decrease for the second home while the service is idle: few targets then load a rarely
    // requested object. It ends with the utilization at which both are to be used alike.
    static constexpr double idleWarmthDrop = 0.15;
    static constexpr double evenUtilization = 0.3;

    // `object`: a hash that is not 0.
    void recordRequest(const core::ServiceId &service, std::uint64_t object, core::Instant now);
    void recordOutcome(const core::ServiceId &service, bool isWarm);

    // The number of objects that one target of the service keeps warm.
    double warmObjectsPerTarget(const core::ServiceId &service) const;
    // Sets isHome and warmth.
    void place(const core::ServiceId &service, const ServiceUse &use,
               std::vector<PlacedTarget> &candidates) const;

private:
    struct ObjectStats
    {
        ObjectCount requested;                   // distinct objects that this VM is asked for
        double warmObjects = initialWarmObjects; // number that one target keeps warm
    };
    struct Ranked
    {
        double key; // lowest first
        PlacedTarget *target;
    };

    double requestedObjects(const core::ServiceId &service) const;
    double copiesOf(const core::ServiceId &service, double ownRequestShare,
                    std::size_t targets) const;
    static double drawn(const PlacedTarget &target);
    static std::vector<std::size_t> homeCounts(const ServiceUse &use, double copies);
    static bool placeIn(std::vector<Ranked> &targets, std::size_t count, double drop);

    std::unordered_map<core::ServiceId, ObjectStats> objects_;
};

} // namespace bluebellshift::gateway::targets
