// A gateway as a process of its own on the loopback address, with low limits, and what the
// system reports of its memory and descriptors.
//
//   GatewayProcess gateway(loop, storeEndpoint);
//   CHECK(gateway.start());
//   gateway.callers();           // port at which it serves callers
//   gateway.peakResidentBytes(); // 0 once the process has ended
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <sys/types.h>

#include "bluebellshift/core/roster.h"

namespace bluebellshift::gatewayd::testing {

inline constexpr int limitMegabytes = 64;     // limits.memory_mb
inline constexpr int limitDescriptors = 1400; // limits.descriptors

class GatewayProcess
{
public:
    GatewayProcess(boost::asio::io_context &loop, core::Endpoint store,
                   int memoryMegabytes = limitMegabytes);
    ~GatewayProcess(); // kills the process if it is still running
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Starts the process and waits until it serves; returns false if it doesn't.
    bool start();
    void signal(int number) const;

    bool isAlive();
    std::size_t peakResidentBytes() const;
    std::size_t descriptors() const;
    // What it has written to its log so far.
    std::string log() const;

    std::uint16_t callers() const { return ports_[0]; }
    std::uint16_t ready() const { return ports_[1]; }
    std::uint16_t lookups() const { return ports_[2]; }
    std::uint16_t metrics() const { return ports_[3]; }

private:
    bool spawn();
    bool isServing();

    boost::asio::io_context &loop_;
    const core::Endpoint store_;
    const int memoryMegabytes_;
    std::string folder_;
    std::uint16_t ports_[5] = {};
    pid_t process_ = 0;
    bool hasEnded_ = false;
};

} // namespace bluebellshift::gatewayd::testing
