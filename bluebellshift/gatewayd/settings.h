// The settings of one gateway, from TOML. docs/operators/gateway.md shows every key.
//
//   absl::StatusOr<GatewaySettings> settings = loadGatewaySettings("gateway.toml");
//   if (!settings.ok())
//       fmt::print(stderr, "{}\n", settings.status().message()); // every fault
//
// Parsing is strict, as for the daemon's settings (shell/settings.h).
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/gateway/options.h"
#include "bluebellshift/shell/tomlreader.h"

namespace bluebellshift::gatewayd {

struct GatewaySettings
{
    gateway::GatewayOptions gateway; // the caller fills in incarnation and peerKeyCandidate
    core::Endpoint readyEndpoint;    // for the platform's readiness checks
    core::Endpoint lookupEndpoint;   // for callers' look-ups of VMs
    core::Endpoint metricsEndpoint;
    core::Endpoint storeEndpoint;
    core::Duration stopGrace = core::Duration::seconds(6); // between SIGTERM and SIGKILL
    int logLinesPerSecond = 4000;
    std::size_t maxConnections = 2000;      // from callers
    std::size_t maxServiceConnections = 64; // at each of the other three addresses
    std::size_t maxRequestsInProgress = 700;
    std::size_t maxIdleTargetConnections = 200;
    std::uint32_t maxTrailerBytes = 16 * 1024;         // or of a chunk's size and extensions
    std::size_t maxUnwrittenBytes = 256 * 1024;        // responses of one connection
    std::size_t memoryBytes = 256 * 1024 * 1024;       // that the process may use
    std::size_t controlMemoryBytes = 16 * 1024 * 1024; // for the store's responses
};

absl::StatusOr<GatewaySettings>
parseGatewaySettings(const std::string &file, const std::string &text,
                     std::vector<shell::SettingsFault> *faults = nullptr);

// Reads and parses a file; also returns NotFound or PermissionDenied.
absl::StatusOr<GatewaySettings>
loadGatewaySettings(const std::string &path, std::vector<shell::SettingsFault> *faults = nullptr);

} // namespace bluebellshift::gatewayd
