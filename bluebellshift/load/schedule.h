// The schedule of an open-loop load: the instant of each request is fixed before the
// first one is sent, so that slow answers do not delay later arrivals.
//
//   ScheduleOptions options;
//   options.teams = { { TeamId("multan"), "key", 400, 400, 800 } };
//   std::vector<Arrival> arrivals = makeSchedule(options);
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::load {

inline constexpr int anyVm = -1;

struct TeamLoad
{
    core::TeamId team;
    std::string key;
    double ratePerSecond = 0;                // offered load
    double limitPerSecond = 0;               // rate limit; 0: no limit
    double burst = 0;                        // of the rate limit
    std::string clientAddress = "127.0.0.1"; // client address of look-ups
    int vm = anyVm;                          // position in the list of VMs, or anyVm
};

struct ServiceLoad
{
    core::ServiceId service;
    double weight = 1;             // relative share of the requests
    std::string path;              // of idempotent requests
    std::string nonIdempotentPath; // of non-idempotent requests
};

// From `at` on, the team offers `factor` times its rate to the VM `vm`.
struct LoadChange
{
    core::TeamId team;
    core::Duration at;
    double factor = 1;
    int vm = anyVm;
};

struct ScheduleOptions
{
    std::vector<TeamLoad> teams;
    std::vector<ServiceLoad> services;
    std::vector<LoadChange> changes;
    double nonIdempotentFraction = 0; // of the requests
    core::Duration duration = core::Duration::seconds(10);
    std::size_t maxRequests = SIZE_MAX; // limits the length of the schedule
    std::uint64_t seed = 1;
};

struct Arrival
{
    core::Duration at;         // since the start
    std::uint32_t team = 0;    // position in ScheduleOptions::teams
    std::uint32_t service = 0; // position in ScheduleOptions::services
    bool isNonIdempotent = false;
    int vm = anyVm;
};

// Returns the arrivals in order of time. The same options give the same arrivals.
// Requires at least one service.
std::vector<Arrival> makeSchedule(const ScheduleOptions &options);

} // namespace bluebellshift::load
