#include "bluebellshift/shell/logger.h"

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::core;
using namespace bluebellshift::shell;

TEST_GROUP(Logger)
{
    std::vector<std::string> lines;
    WallTime now = WallTime::fromMicros(1'796'367'132'031'000);

    Logger logger(int linesPerSecond)
    {
        return Logger(
            { linesPerSecond, LogLevel::Info },
            [this](const std::string &line) { lines.push_back(line); }, [this] { return now; });
    }
    void advance(std::int64_t millis)
    {
        now = WallTime::fromMicros(now.toMicros() + millis * 1000);
    }
};

TEST(Logger, WritesOneLineWithNamedFields)
{
    Logger log = logger(10);
    log.write({ log::requestRefused, { { "team", "multan" }, { "code", "over-rate" } } });
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("time=2026-12-04T06:52:12.031Z level=info event=502 name=request-refused "
                 "team=multan code=over-rate\n",
                 lines[0].c_str());
}

TEST(Logger, QuotesWhatCouldForgeAFieldOrALine)
{
    const struct
    {
        const char *value;
        const char *written;
    } cases[] = {
        { "plain", "v=plain" },
        { "", "v=\"\"" },
        { "a b", "v=\"a b\"" },
        { "a=b", "v=\"a=b\"" },
        { "say \"x\"", R"(v="say \"x\"")" },
        { "a\nevent=1", R"(v="a\x0aevent=1")" },
        { "back\\slash", R"(v="back\\slash")" },
        { "łódź", "v=\"łódź\"" },
    };
    for (const auto &c : cases) {
        const std::string line = formatLogLine({ log::peerAlive, { { "v", c.value } } }, now);
        STRCMP_CONTAINS(c.written, line.c_str());
        CHECK(line.find('\n') == std::string::npos);
    }
}

TEST(Logger, BoundsTheRateAndReportsDroppedLines)
{
    Logger log = logger(3);
    for (int i = 0; i < 10; ++i)
        log.write({ log::requestRouted, {} });
    LONGS_EQUAL(3, lines.size());
    LONGS_EQUAL(7, log.droppedInTotal());
    advance(1000);
    log.write({ log::requestRouted, {} });
    LONGS_EQUAL(5, lines.size());
    STRCMP_CONTAINS("event=104 name=lines-dropped count=7", lines[3].c_str());
    STRCMP_CONTAINS("event=501", lines[4].c_str());
}

TEST(Logger, ReportsDroppedLinesWhenFlushed)
{
    Logger log = logger(1);
    log.flushDropped();
    LONGS_EQUAL(0, lines.size());
    log.write({ log::requestRouted, {} });
    log.write({ log::requestRouted, {} });
    log.flushDropped();
    STRCMP_CONTAINS("count=1", lines.back().c_str());
}

TEST(Logger, LeavesOutLowerLevels)
{
    Logger log = logger(5);
    log.write({ { 999, LogLevel::Debug, "debugging" }, {} });
    LONGS_EQUAL(0, lines.size());
}
