// Structured log: writes each event as one line of key=value fields to a sink,
// such as writeToStandardError.
//
//   Logger logger({ 2000 }, writeToStandardError, clock);
//   logger.write({ core::log::requestRefused, { { "team", "a b" }, { "code", "over-rate" } } });
//   // time=2026-12-04T06:55:12.031Z level=info event=502 name=request-refused
//   //     team="a b" code=over-rate                          (on one line)
//
// At most `linesPerSecond` lines are written per second. Lines over the limit are
// dropped and counted, and the first line of a later second reports the count.
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
    core::LogLevel minLevel = core::LogLevel::Info; // lower levels are not written
};

using LogSink = std::function<void(const std::string &line)>; // including the newline
using WallClock = std::function<core::WallTime()>;

class Logger
{
public:
    Logger(LoggerOptions options, LogSink sink, WallClock clock);

    void write(const core::LogRecord &record);
    // Writes the count of dropped lines immediately, if any; called at shutdown.
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
    std::uint64_t unreportedDropped_ = 0; // not yet reported
    std::uint64_t droppedInTotal_ = 0;
};

// Returns one line without the newline. Values with a space, quote, `=`, backslash,
// control or non-ASCII character are quoted, so that no value can forge a field or a
// line.
std::string formatLogLine(const core::LogRecord &record, core::WallTime time);

void writeToStandardError(const std::string &line);

} // namespace bluebellshift::shell
