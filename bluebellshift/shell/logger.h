// The log: one line an event, key=value, on standard error unless told
// otherwise.
//
//   Logger logger({ 2000 }, writeToStandardError, clock);
//   logger.write({ core::log::requestRefused, { { "team", "a b" }, { "code", "over-rate" } } });
//   // time=2026-12-04T06:55:12.031Z level=info event=502 name=request-refused
//   //     team="a b" code=over-rate                          (on one line)
//
// At most `linesPerSecond` lines are written in a second. Those beyond are
// counted, and the first line of a later second tells how many were dropped.
// Thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::shell {

struct LoggerOptions
{
    int linesPerSecond = 2000;
    core::LogLevel least = core::LogLevel::Info; // lower levels are not written
};

using LogSink = std::function<void(const std::string &line)>; // with its line end
using WallClock = std::function<core::WallTime()>;

class Logger
{
public:
    Logger(LoggerOptions options, LogSink sink, WallClock clock);

    void write(const core::LogRecord &record);
    // Writes the count of dropped lines, if any, at once; for the daemon's end.
    void flushDropped();
    std::uint64_t droppedInTotal() const;

private:
    void startSecond(std::int64_t second);

    const LoggerOptions options_;
    const LogSink sink_;
    const WallClock clock_;
    mutable std::mutex mutex_;
    std::int64_t second_ = 0;
    int linesThisSecond_ = 0;
    std::uint64_t dropped_ = 0; // not yet reported
    std::uint64_t droppedInTotal_ = 0;
};

// One line without its end. Values with a space, quote, `=` or control
// character are quoted, so that no value can forge a field or a line.
std::string formatLogLine(const core::LogRecord &record, core::WallTime time);

void writeToStandardError(const std::string &line);

} // namespace bluebellshift::shell
