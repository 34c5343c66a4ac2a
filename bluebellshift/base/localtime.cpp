// Abseil's civil time reports whether a local time is unique, skipped or repeated,
// and its instants by the offsets before and after the change of the clocks.
#include "bluebellshift/base/localtime.h"

#include <cstdlib>
#include <fstream>

#include "absl/time/civil_time.h"
#include "absl/time/time.h"
#include "fmt/format.h"

namespace bluebellshift::base {

namespace {

constexpr char defaultZoneDirectory[] = "/usr/share/zoneinfo";

std::string text(const absl::Time &time, const char *format, const absl::TimeZone &zone)
{
    return absl::FormatTime(format, time, zone);
}

std::string alternatives(const absl::TimeZone::TimeInfo &info, const absl::TimeZone &zone)
{
    constexpr char format[] = "%Y-%m-%dT%H:%M%Ez";
    return fmt::format("{} or {}", text(info.pre, format, zone), text(info.post, format, zone));
}

core::WallTime toWallTime(const absl::Time &time)
{
    return core::WallTime::fromMicros(absl::ToUnixMicros(time));
}

// A time with an offset identifies one instant. The offset must be the one that the
// zone has at that instant.
absl::StatusOr<core::WallTime> withOffset(const std::string &localTime, const absl::Time &time,
                                          const absl::TimeZone &zone)
{
    const std::string shown = text(time, "%Y-%m-%dT%H:%M%Ez", zone);
    if (shown != localTime)
        return absl::InvalidArgumentError(fmt::format(
            "\"{}\" does not occur in {}; its clocks show {} then", localTime, zone.name(), shown));
    return toWallTime(time);
}

} // namespace

absl::StatusOr<core::WallTime> resolveLocalTime(const std::string &localTime,
                                                const std::string &timeZone)
{
    absl::TimeZone zone;
    if (!absl::LoadTimeZone(timeZone, &zone))
        return absl::NotFoundError(fmt::format("time zone \"{}\" does not exist", timeZone));
    std::string error;
    absl::Time instant;
    if (absl::ParseTime("%Y-%m-%dT%H:%M%Ez", localTime, &instant, &error))
        return withOffset(localTime, instant, zone);
    absl::CivilMinute civil;
    if (!absl::ParseCivilTime(localTime, &civil))
        return absl::InvalidArgumentError(
            fmt::format("\"{}\" is not a time in the form \"2026-12-24T18:00\"", localTime));

    const absl::TimeZone::TimeInfo info = zone.At(absl::CivilSecond(civil));
    switch (info.kind) {
    case absl::TimeZone::TimeInfo::UNIQUE:
        return toWallTime(info.pre);
    case absl::TimeZone::TimeInfo::SKIPPED:
        return absl::InvalidArgumentError(
            fmt::format("\"{}\" is skipped in {}, where the clocks go forward; say {}", localTime,
                        timeZone, alternatives(info, zone)));
    case absl::TimeZone::TimeInfo::REPEATED:
        return absl::InvalidArgumentError(
            fmt::format("\"{}\" occurs twice in {}, where the clocks go back; say {}", localTime,
                        timeZone, alternatives(info, zone)));
    }
    return absl::InternalError("unknown kind of local time");
}

std::string describeInstant(core::WallTime at, const std::string &timeZone)
{
    const absl::Time time = absl::FromUnixMicros(at.toMicros());
    const std::string utc = text(time, "%Y-%m-%d %H:%M:%S UTC", absl::UTCTimeZone());
    absl::TimeZone zone;
    if (!absl::LoadTimeZone(timeZone, &zone))
        return fmt::format("{} (time zone \"{}\" does not exist here)", utc, timeZone);
    return fmt::format("{} = {} in {} (rules {})", utc, text(time, "%Y-%m-%d %H:%M:%S %Z", zone),
                       timeZone, timeZoneDataVersion());
}

// The first line of the time zone data in source form is "# version 2025b".
std::string timeZoneDataVersion()
{
    const char *directory = std::getenv("TZDIR");
    std::ifstream file(std::string(directory == nullptr ? defaultZoneDirectory : directory)
                       + "/tzdata.zi");
    std::string hash;
    std::string word;
    std::string version;
    file >> hash >> word >> version;
    return word == "version" ? version : "unknown";
}

} // namespace bluebellshift::base
