// Writes log lines to a descriptor without blocking on its reader.
//
//   LogWriter writer(loop, STDOUT_FILENO);
//   writer.append(line);          // written within flushIntervalMillis
//   writer.flush();               // at process exit
//
// Lines are buffered and written in batches, which saves a system call per line. If the
// reader stops, lines are dropped and counted, so that the service doesn't block.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bluebellshift::gatewayd {

class LogWriter
{
public:
    static constexpr std::size_t maxBufferBytes = 1024 * 1024; // lines that don't fit are dropped
    static constexpr std::size_t flushThresholdBytes = 32 * 1024;
    static constexpr int flushIntervalMillis = 100;

    LogWriter(boost::asio::io_context &loop, int descriptor);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void append(const std::string &line);
    void flush();
    std::uint64_t linesDropped() const { return linesDropped_; }

private:
    void scheduleFlush();

    const int descriptor_;
    boost::asio::steady_timer timer_;
    std::string buffer_;
    bool isFlushScheduled_ = false;
    std::uint64_t linesDropped_ = 0;
};

} // namespace bluebellshift::gatewayd
