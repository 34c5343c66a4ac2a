// The bundle: the traffic splits of services and teams, and limits on how much
// traffic may move at once. A bundle is immutable once stored; its versions are
// identified by name.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// The rate limit of a team over all VMs together.
struct TeamLimit
{
    TeamId team;
    double ratePerSecond = 0; // requests a second
    double burst = 0;         // requests
};

// A path prefix of a service. The longest matching prefix applies.
struct Route
{
    std::string prefix;       // starts with '/'
    bool isOpen = false;      // needs no key
    bool isIdempotent = true; // may be retried
};

struct RegionShare
{
    RegionId region;
    double fraction = 0; // of the service's traffic; the fractions sum to 1
};

// The split of one team, if it differs from that of the service.
struct TeamSplit
{
    TeamId team;
    std::vector<RegionShare> split;
};

struct Service
{
    ServiceId id;
    std::vector<Route> routes;
    std::vector<RegionShare> split;
    std::vector<TeamSplit> teamSplits;
    double trafficFraction = 1;  // of all requests; the services' fractions sum to 1
    double answerBytes = 16384;  // typical, for the links
    double shiftCapFraction = 1; // of the traffic; maximum that may move in one window
    Duration shiftWindow = Duration::seconds(60);
    Duration cacheTime = Duration::seconds(5); // how long a caller may keep a look-up's answer
    Duration requestTimeout = Duration::seconds(10); // if the caller sets no deadline
};

struct Region
{
    RegionId id;
    double capacityPerSecond = 0; // requests a second
    double callerFraction = 0;    // of all requests; they enter at this region's VMs
    std::vector<FailureDomainId> failureDomains;
};

// The bandwidth limit from one region to another.
struct Link
{
    RegionId from;
    RegionId to;
    double bitsPerSecond = 0;
};

// The nearest region of callers that share an IPv4 prefix.
struct ClientBlock
{
    std::uint32_t address = 0; // host byte order
    int prefixLength = 0;      // bits, 0 to 32
    RegionId region;
};

struct Bundle
{
    std::string version;
    std::string timeZone; // IANA name, for schedules
    RegionId storeRegion; // the region that holds the platform's store
    bool authorMaySignOff = true;
    std::vector<Region> regions;
    std::vector<Link> links;
    std::vector<TeamLimit> teams;
    std::vector<Service> services;
    std::vector<ClientBlock> clientBlocks;

    // Return null if there is no such entry.
    const Service *findService(const ServiceId &id) const;
    const TeamLimit *findTeam(const TeamId &id) const;
    const Region *findRegion(const RegionId &id) const;
};

using BundlePointer = std::shared_ptr<const Bundle>;

// Returns the route with the longest prefix of `path`, or null.
const Route *findRoute(const Service &service, const std::string &path);

} // namespace bluebellshift::core
