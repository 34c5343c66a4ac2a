// The operator's traffic configuration: which requests go to which service, from which
// teams, and within which limits.
//
//   TrafficConfigPointer config = ...;
//   const RouteRule *route = config->findRoute("tickets.example", "/hold/2");
// const Team *team = config->findTeamByKey(key);
//
// A configuration is immutable after index(). A newer one replaces it as a whole.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway {

using ConfigVersion = core::NumberId<struct ConfigVersionTag>; // only grows
using core::Duration;
using core::FailureDomainId;
using core::Instant;
using core::RegionId;
using core::ServiceId;
using core::TargetId;
using core::TeamId;
using core::VmId;

// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
    Duration headerTimeout = Duration::seconds(3);
    Duration idleTimeout = Duration::seconds(15);
};

struct WeightedService
{
    ServiceId service;
    double weight = 1; // relative to the route's other services
};

struct RouteRule
{
    std::string name;
    std::string pathPrefix;    // begins and ends with '/'
    bool isIdempotent = false; // may run more than once
    bool isOpen = false;       // needs no key
    bool isSticky = false;     // targets are faster with an object that they have cached
    int priority = 0;          // lower is more urgent
    Duration latencyObjective = Duration::seconds(1);
    Duration timeout = Duration::seconds(10); // maximum time until the caller gets a response
    int maxAttempts = 1;                      // number of targets that one request may be sent to
    std::vector<WeightedService> services;    // not empty
    std::vector<RegionId> allowedRegions;     // empty: all
};

struct HostRoutes
{
    std::string host;
    std::vector<RouteRule> rules; // sorted by descending prefix length
};

struct ServicePolicy
{
    ServiceId id;
    std::string healthPath;
    int maxConnections = 0;           // to one target, from all VMs together
    Duration warmup;                  // how long a target stays cold
    double coldRequestsPerSecond = 0; // limit for a cold target; 0: no limit
};

struct Team
{
    TeamId id;
    std::vector<std::string> keys;
    std::optional<int> priority;          // overrides the route's
    double ratePerSecond = 0;             // over all VMs together; 0: no limit
    double burst = 0;                     // requests
    std::vector<RegionId> allowedRegions; // empty: all
};

struct TrafficConfig
{
    ConfigVersion version;
    CallerLimits limits;
    std::vector<HostRoutes> hosts;
    std::vector<ServicePolicy> services;
    std::vector<Team> teams;

    // Builds the indexes that the look-ups below use. Call once, after all fields are set.
    void index();

    // Returns the rule with the longest prefix of `path` for `host`, or null. The host's port
    // and letter case are ignored.
    const RouteRule *findRoute(const std::string &host, const std::string &path) const;
    const Team *findTeamByKey(const std::string &key) const;
    const ServicePolicy *findService(const ServiceId &service) const;
    const Team *findTeam(const TeamId &team) const;

private:
    std::unordered_map<std::string, std::size_t> hostIndex_;
    std::unordered_map<std::string, std::size_t> keyIndex_;
    std::unordered_map<ServiceId, std::size_t> serviceIndex_;
    std::unordered_map<TeamId, std::size_t> teamIndex_;
};

using TrafficConfigPointer = std::shared_ptr<const TrafficConfig>;

} // namespace bluebellshift::gateway
