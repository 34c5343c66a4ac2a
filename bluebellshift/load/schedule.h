// When each request is due, fixed before the first one is sent, so that slow
// answers can't slow down the arrivals.
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
    double ratePerSecond = 0;                // offered
    double limitPerSecond = 0;               // allowed; 0: no limit
    double burst = 0;                        // allowed
    std::string clientAddress = "127.0.0.1"; // for look-ups
    int vm = anyVm;                          // position in the list of VMs, or any
};

struct ServiceLoad
{
    core::ServiceId service;
    double weight = 1;    // of the requests, among the services
    std::string path;     // repeatable
    std::string oncePath; // may not be repeated
};

// From `at` on, a team offers `factor` times its rate, to the VM `vm`.
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
    double onceFraction = 0; // of the requests: may not be repeated
    core::Duration duration = core::Duration::seconds(10);
    std::size_t requestsMost = SIZE_MAX; // the schedule ends with this one
    std::uint64_t seed = 1;
};

struct Arrival
{
    core::Duration at;         // since the start
    std::uint32_t team = 0;    // position in ScheduleOptions::teams
    std::uint32_t service = 0; // position in ScheduleOptions::services
    bool isOnce = false;       // may not be repeated
    int vm = anyVm;
};

// Returns the arrivals in the order of time. The same options give the same
// arrivals. Needs at least one service.
std::vector<Arrival> makeSchedule(const ScheduleOptions &options);

} // namespace bluebellshift::load
