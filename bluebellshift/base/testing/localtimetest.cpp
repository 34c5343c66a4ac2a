#include <CppUTest/TestHarness.h>

#include "bluebellshift/base/localtime.h"

using namespace bluebellshift;

namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

} // namespace

TEST_GROUP(LocalTime) {};

TEST(LocalTime, ResolvesToUtc)
{
    const struct
    {
        const char *localTime;
        const char *zone;
        std::int64_t seconds; // since 1970
    } cases[] = {
        { "2026-12-24T18:00", "Europe/Warsaw", 1798131600 }, // 17:00 UTC
        { "2026-07-01T18:00", "Europe/Warsaw", 1782921600 }, // 16:00 UTC
        { "2026-12-24T18:00", "Asia/Karachi", 1798117200 },  // 13:00 UTC
        { "2026-12-24T18:00", "UTC", 1798135200 },
        { "2026-10-25T02:30+02:00", "Europe/Warsaw", 1792888200 }, // the first occurrence
        { "2026-10-25T02:30+01:00", "Europe/Warsaw", 1792891800 }, // the second occurrence
    };
    for (const auto &c : cases) {
        const auto at = base::resolveLocalTime(c.localTime, c.zone);
        CHECK_TEXT(at.ok(), at.status().ToString().c_str());
        CHECK_EQUAL(c.seconds, at->toMicros() / microsPerSecond);
    }
}

TEST(LocalTime, RejectsTimesThatAreNotOneInstant)
{
    const struct
    {
        const char *localTime;
        const char *zone;
        const char *message;
    } cases[] = {
        { "2026-03-29T02:30", "Europe/Warsaw", "is skipped in Europe/Warsaw" },
        { "2026-10-25T02:30", "Europe/Warsaw",
          "occurs twice in Europe/Warsaw, where the clocks go back; say 2026-10-25T02:30+02:00 or "
          "2026-10-25T02:30+01:00" },
        { "2026-12-24T18:00+05:00", "Europe/Warsaw", "its clocks show 2026-12-24T14:00+01:00" },
        { "2026-12-24T18:00", "Europe/Krakau", "time zone \"Europe/Krakau\" does not exist" },
        { "tomorrow", "Europe/Warsaw", "is not a time in the form \"2026-12-24T18:00\"" },
        { "2026-13-24T18:00", "Europe/Warsaw", "is not a time in the form \"2026-12-24T18:00\"" },
        { "", "Europe/Warsaw", "is not a time in the form \"2026-12-24T18:00\"" },
    };
    for (const auto &c : cases) {
        const auto at = base::resolveLocalTime(c.localTime, c.zone);
        CHECK_TEXT(!at.ok(), c.localTime);
        STRCMP_CONTAINS(c.message, std::string(at.status().message()).c_str());
    }
}

TEST(LocalTime, ShowsBothTimesAndTheRules)
{
    const std::string shown = base::describeInstant(
        core::WallTime::fromMicros(1798131600 * microsPerSecond), "Europe/Warsaw");
    STRCMP_CONTAINS("2026-12-24 17:00:00 UTC = 2026-12-24 18:00:00 CET in Europe/Warsaw (rules 20",
                    shown.c_str());
}
