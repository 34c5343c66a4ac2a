// Limits the rate with a counter that is reset every second (a fixed window). This
// costs one comparison per line, and under overload it keeps the first lines of each
// second, which show how the overload began. A token bucket would spread the kept
// lines over the second, but would make it harder to explain which lines are missing.
#include "bluebellshift/shell/logger.h"

#include <cstdio>
#include <ctime>

#include <fmt/format.h>

namespace bluebellshift::shell {
namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

const char *levelName(core::LogLevel level)
{
    switch (level) {
    case core::LogLevel::Debug:
        return "debug";
    case core::LogLevel::Info:
        return "info";
    case core::LogLevel::Warning:
        return "warning";
    case core::LogLevel::Error:
        return "error";
    }
    return "unknown";
}

bool needsQuotes(const std::string &value)
{
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || byte >= 0x7f || c == '"' || c == '=' || c == '\\')
            return true;
    }
    return value.empty();
}

void appendQuoted(const std::string &value, std::string *line)
{
    *line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            *line += '\\';
            *line += c;
        } else if (byte < ' ' || byte == 0x7f) {
            *line += fmt::format("\\x{:02x}", byte);
        } else {
            *line += c;
        }
    }
    *line += '"';
}

std::string formatTime(core::WallTime time)
{
    const std::time_t seconds = time.toMicros() / microsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900,
                       parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                       time.toMicros() % microsPerSecond / 1000);
}

} // namespace

std::string formatLogLine(const core::LogRecord &record, core::WallTime time)
{
    std::string line =
        fmt::format("time={} level={} event={} name={}", formatTime(time),
                    levelName(record.event.level), record.event.number, record.event.name);
    for (const core::LogField &field : record.fields) {
        line += ' ';
        line += field.name;
        line += '=';
        if (needsQuotes(field.value))
            appendQuoted(field.value, &line);
        else
            line += field.value;
    }
    return line;
}

void writeToStandardError(const std::string &line)
{
    // A single call, so that lines of several processes do not interleave.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

Logger::Logger(LoggerOptions options, LogSink sink, WallClock clock)
    : options_(options)
    , sink_(std::move(sink))
    , clock_(std::move(clock))
{
}

void Logger::write(const core::LogRecord &record)
{
    if (record.event.level < options_.minLevel)
        return;
    const std::lock_guard<std::mutex> lock(mutex_);
    const core::WallTime now = clock_();
    startSecond(now.toMicros() / microsPerSecond);
    if (linesThisSecond_ >= options_.linesPerSecond) {
        ++unreportedDropped_;
        ++droppedInTotal_;
        return;
    }
    ++linesThisSecond_;
    sink_(formatLogLine(record, now) + "\n");
}

void Logger::flushDropped()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (unreportedDropped_ == 0)
        return;
    const core::LogRecord record { core::log::linesDropped,
                                   { { "count", std::to_string(unreportedDropped_) } } };
    sink_(formatLogLine(record, clock_()) + "\n");
    unreportedDropped_ = 0;
}

std::uint64_t Logger::droppedInTotal() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return droppedInTotal_;
}

// The wall clock may step back, so any different second resets the counter.
void Logger::startSecond(std::int64_t second)
{
    if (second == second_)
        return;
    second_ = second;
    linesThisSecond_ = 0;
    if (unreportedDropped_ == 0)
        return;
    ++linesThisSecond_;
    const core::LogRecord record { core::log::linesDropped,
                                   { { "count", std::to_string(unreportedDropped_) } } };
    sink_(formatLogLine(record, core::WallTime::fromMicros(second * microsPerSecond)) + "\n");
    unreportedDropped_ = 0;
}

} // namespace bluebellshift::shell
