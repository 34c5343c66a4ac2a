// Tests parsing of log lines and the request histories reconstructed from them.
#include <cstdio>
#include <fstream>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/ctl/explainer.h"
#include "bluebellshift/shell/logger.h"

using namespace bluebellshift;
using namespace bluebellshift::ctl;

namespace {

constexpr std::int64_t begin = 1'796'367'132'000'000; // microseconds of Unix time

std::string lineAt(int millis, core::LogRecord record)
{
    return shell::formatLogLine(record,
                                core::WallTime::fromMicros(begin + std::int64_t { millis } * 1000));
}

core::LogRecord routed(const std::string &request)
{
    return { core::log::requestRouted,
             { { "request", request }, { "team", "multan" }, { "target", "t-1" } } };
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(Explain) {};

TEST(Explain, FormattedLineParsesBackUnchanged)
{
    const char *values[] = { "plain", "", "two words", "a \"quote\"", "back\\slash", "a=b" };
    for (const char *value : values) {
        const std::string text =
            "vm-7 " + lineAt(1, { core::log::targetGone, { { "target", value }, { "x", "y" } } });
        const auto line = shell::parseLogLine(text);
        CHECK(line.has_value());
        STRCMP_EQUAL(value, line->value("target").c_str());
        STRCMP_EQUAL("y", line->value("x").c_str());
        STRCMP_EQUAL("vm-7", line->prefix.c_str());
        STRCMP_EQUAL(core::log::targetGone.name, line->name.c_str());
        CHECK(line->at.toMicros() == begin + 1000);
    }
}

TEST(Explain, MalformedLinesAreRejected)
{
    const std::string whole = lineAt(1, routed("r"));
    const std::string cases[] = { "",
                                  "time=",
                                  "time=x name=a",
                                  whole.substr(0, 40),
                                  "time=2026-12-04T10:40:38.123Z level=info",
                                  "time=2026-12-04T10:40:38.123Z name=a x=\"open" };
    for (const std::string &text : cases)
        CHECK_TEXT(!shell::parseLogLine(text).has_value(), text.c_str());
}

TEST(Explain, TimelineIsOrderedAndShowsTheStateOfEachVm)
{
    Explainer explainer("r-1");
    // The log of the second VM is read first; the clocks of the VMs agree.
    explainer.read(
        "vm-2",
        lineAt(900,
               { core::log::requestRefused, { { "request", "r-1" }, { "code", "over-rate" } } }));
    const std::string first[] = {
        lineAt(0, { core::log::configInForce, { { "config", "4" } } }),
        lineAt(100, { core::log::configInForce, { { "config", "7" } } }),
        lineAt(200, { core::log::admissionMoved, { { "team", "multan" }, { "permille", "400" } } }),
        lineAt(210, { core::log::admissionMoved, { { "team", "lahore" }, { "permille", "1" } } }),
        lineAt(300, { core::log::targetJoined, { { "target", "t-1" } } }),
        lineAt(400, routed("another")),
        lineAt(500, routed("r-1")),
        lineAt(600, { core::log::targetLeaving, { { "target", "t-1" } } }),
        lineAt(700, { core::log::attemptFailed, { { "request", "r-1" }, { "target", "t-1" } } }),
    };
    for (const std::string &line : first)
        explainer.read("vm-1", line);
    const std::vector<std::string> timeline = explainer.timeline();
    const char *expected[] = {
        "vm-1 request-routed",
        "believed for 0.400 s: config-in-force config=7",
        "believed for 0.200 s: target-joined",
        "believed for 0.300 s: admission-moved team=multan",
        "vm-1 attempt-failed",
        "believed for 0.100 s: target-leaving",
        "vm-2 request-refused",
    };
    CHECK_EQUAL(std::size(expected), timeline.size());
    for (std::size_t i = 0; i < timeline.size(); ++i)
        CHECK_TEXT(contains(timeline[i], expected[i]), timeline[i].c_str());
}

TEST(Explain, CommandReadsOneLogFilePerVm)
{
    const std::string path = "explaintest-vm-9.log";
    std::ofstream(path) << "not a line\n" << lineAt(5, routed("r-2")) << '\n';
    std::vector<std::string> lines;
    std::vector<std::string> errors;
    const CommandContext context {
        AdminClient({}, "", {}),
        [&](const std::string &line) { lines.push_back(line); },
        [&](const std::string &line) { errors.push_back(line); },
        {},
        {},
        {},
    };
    CHECK_EQUAL(exitOk, runCommand(context, { "explain", "r-2", path }));
    CHECK_EQUAL(1U, lines.size());
    CHECK(contains(lines[0], "explaintest-vm-9 request-routed"));
    CHECK_EQUAL(exitNotFound, runCommand(context, { "explain", "r-3", path }));
    CHECK(contains(errors.back(), "none of 1 log lines names the request \"r-3\""));
    CHECK_EQUAL(exitUsage, runCommand(context, { "explain", "r-2", "missing.log" }));
    CHECK(contains(errors.back(), "missing.log"));
    CHECK_EQUAL(exitUsage, runCommand(context, { "explain" }));
    std::remove(path.c_str());
}
