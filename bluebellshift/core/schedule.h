// The object `rollout/next`: a roll-out that begins at an instant.
//
//   ScheduledRollout schedule;
//   schedule.bundle = "8";
//   schedule.afterSerial = current.serial; // void once another roll-out began
//   schedule.at = ...;                     // UTC; what counts
//   schedule.localTime = "2026-12-24T18:00";
//   schedule.timeZone = "Europe/Warsaw";
//   schedule.rules = "2025b";              // by which `at` was worked out
//
// Local time and zone are stored with the instant, so that a tool with newer time
// zone rules can detect that the local time now denotes another instant.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

inline constexpr char scheduleName[] = "next";

struct ScheduledRollout
{
    std::string bundle;
    std::uint64_t afterSerial = 0; // begins only while this roll-out is the newest
    WallTime at;
    std::string localTime; // as the operator wrote it
    std::string timeZone;  // IANA name
    std::string rules;     // version of the time zone data
    std::string scheduledBy;
};

std::string encodeSchedule(const ScheduledRollout &schedule);
// Returns InvalidArgument that names the field which is missing, unknown or wrong.
absl::StatusOr<ScheduledRollout> decodeSchedule(std::string_view json);

} // namespace bluebellshift::core
