// A gateway as a process of its own on the loopback address, with low limits, and what the
// system reports of its memory and descriptors.
//
//   GatewayProcess gateway(loop, storeEndpoint);
//   CHECK(gateway.start());
//   gateway.callers();           // port at which it serves callers
//   gateway.peakResidentBytes(); // 0 once the process has ended
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <sys/types.h>

#include "bluebellshift/core/roster.h"

namespace bluebellshift::gatewayd::testing {

inline constexpr int limitMegabytes = 64;     // limits.memory_mb
inline constexpr int limitDescriptors = 1400; // limits.descriptors

// Where a gateway stands in its fleet, and what differs from the default settings.
struct GatewayPlace
{
    std::string vm = "vm-1";
    std::string failureDomain = "near-1";
    std::map<std::string, std::string> regionOf = { { "near-1", "near" } }; // by failure domain
    int memoryMegabytes = limitMegabytes;
    int logLinesPerSecond = 200;
};

class GatewayProcess
{
public:
    GatewayProcess(boost::asio::io_context &loop, core::Endpoint store,
                   int memoryMegabytes = limitMegabytes);
    GatewayProcess(boost::asio::io_context &loop, core::Endpoint store, GatewayPlace place);
    ~GatewayProcess(); // kills the process if it is still running
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Starts the process and waits until it serves; returns false if it doesn't.
    bool start();
    // Starts the process, at other ports than before, and doesn't wait. The log is continued.
    bool launch();
    // Whether the process that was launched last serves.
    bool isServing() const;
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
    boost::asio::io_context &loop_;
    const core::Endpoint store_;
    const GatewayPlace place_;
    std::string folder_;
    std::uint16_t ports_[5] = {};
    std::size_t logBegin_ = 0; // of the process that was launched last
    pid_t process_ = 0;
    bool hasEnded_ = false;
};

} // namespace bluebellshift::gatewayd::testing
