#include "bluebellshift/gatewayd/logwriter.h"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace bluebellshift::gatewayd {

LogWriter::LogWriter(boost::asio::io_context &loop, int descriptor)
    : descriptor_(descriptor)
    , timer_(loop)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void LogWriter::append(const std::string &line)
{
    if (buffer_.size() + line.size() > maxBufferBytes) {
        ++linesDropped_;
        return;
    }
    buffer_ += line;
    if (buffer_.size() >= flushThresholdBytes)
        flush();
    else
        scheduleFlush();
}

void LogWriter::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        const ssize_t size = write(descriptor_, buffer_.data() + written, buffer_.size() - written);
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            break; // the rest is kept for the next flush
        written += static_cast<std::size_t>(size);
    }
    buffer_.erase(0, written);
    if (!buffer_.empty())
        scheduleFlush();
}

void LogWriter::scheduleFlush()
{
    if (isFlushScheduled_)
        return;
    isFlushScheduled_ = true;
    timer_.expires_after(std::chrono::milliseconds(flushIntervalMillis));
    timer_.async_wait([this](const boost::system::error_code &error) {
        isFlushScheduled_ = false;
        if (!error)
            flush();
    });
}

} // namespace bluebellshift::gatewayd
