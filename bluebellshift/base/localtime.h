// Local times of operators, as instants in UTC and back.
//
//   absl::StatusOr<core::WallTime> at = resolveLocalTime("2026-12-24T18:00", "Europe/Warsaw");
//   fmt::print("{}\n", describeInstant(*at, "Europe/Warsaw"));
//   // 2026-12-24 17:00:00 UTC = 2026-12-24 18:00:00 CET in Europe/Warsaw (rules 2025b)
//
// Reads the machine's time zone data. The daemons need none: objects hold UTC.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::base {

// Takes "YYYY-MM-DDTHH:MM", or with an offset at its end, as in
// "2026-10-25T02:30+02:00". Without an offset, an hour that is skipped or occurs
// twice when the clocks change is refused, and the message names the choices.
// With one, an offset that the zone does not have at that time is refused.
absl::StatusOr<core::WallTime> resolveLocalTime(const std::string &localTime,
                                                const std::string &timeZone);

// Shows an instant in UTC and in the zone, and names the version of the rules.
std::string describeInstant(core::WallTime at, const std::string &timeZone);

// Returns the version of the time zone data, for example "2025b".
std::string timeZoneRules();

} // namespace bluebellshift::base
