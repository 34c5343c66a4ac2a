// Converts local times, as operators enter them, to UTC and back.
//
//   absl::StatusOr<core::WallTime> at = resolveLocalTime("2026-12-24T18:00", "Europe/Warsaw");
//   fmt::print("{}\n", describeInstant(*at, "Europe/Warsaw"));
//   // 2026-12-24 17:00:00 UTC = 2026-12-24 18:00:00 CET in Europe/Warsaw (rules 2025b)
//
// Uses the machine's time zone data. Daemons don't need it: stored objects hold UTC.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::base {

// Converts "YYYY-MM-DDTHH:MM", optionally followed by an offset as in
// "2026-10-25T02:30+02:00". Returns InvalidArgument if the text is malformed, if a
// time without an offset is skipped or occurs twice when the clocks change (the
// message names the alternatives), or if the zone does not have the given offset
// at that time. Returns NotFound if the time zone does not exist.
absl::StatusOr<core::WallTime> resolveLocalTime(const std::string &localTime,
                                                const std::string &timeZone);

// Formats an instant in UTC and in the zone, with the version of the time zone
// data.
std::string describeInstant(core::WallTime at, const std::string &timeZone);

// Returns the version of the time zone data, for example "2025b", or "unknown".
std::string timeZoneDataVersion();

} // namespace bluebellshift::base
