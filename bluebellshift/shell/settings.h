// The settings of one daemon, read from TOML. docs/operators/settings.md lists
// every key.
//
//   absl::StatusOr<Settings> settings = loadSettings("vm-01.toml");
//   if (!settings.ok())
//       fmt::print(stderr, "{}\n", settings.status().message()); // every fault
//
// Reading is strict: an unknown key, a duration without a unit, and a missing or
// contradictory value are faults; each fault names the line, the key and the value.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/shell/tomlreader.h"

namespace bluebellshift::shell {

struct PlatformSettings
{
    core::Endpoint endpoint;
    core::Duration connectTimeout = core::Duration::millis(500);
    core::Duration callTimeout = core::Duration::millis(1500);
};

// Limits on the data that the daemon accepts, stores and writes.
struct LimitSettings
{
    std::size_t bodyBytes = 256 * 1024;
    std::size_t headerCount = 64;
    std::size_t headerBytes = 16 * 1024;
    std::size_t answerBytes = core::CoreOptions().maxAnswerBytes;
    std::size_t recordBytes = core::CoreOptions().maxRecordBytes;
    int logLinesPerSecond = 2000;
};

struct Settings
{
    // Identity, seeds and durations. The daemon sets `incarnation` and `ticketSecret`
    // itself.
    core::CoreOptions core;
    core::Endpoint callers;
    core::Endpoint peers;
    std::string peerKeysFile;  // relative paths are resolved against the settings file's directory
    std::string operatorsFile; // likewise
    PlatformSettings platform;
    LimitSettings limits;
};

// Reads settings from `text`; `file` is the name used in fault messages. On failure,
// the status lists all faults; `faults`, if given, receives them one by one.
absl::StatusOr<Settings> parseSettings(const std::string &file, const std::string &text,
                                       std::vector<SettingsFault> *faults = nullptr);

// Reads settings from a file; may also return NotFound or PermissionDenied.
absl::StatusOr<Settings> loadSettings(const std::string &path,
                                      std::vector<SettingsFault> *faults = nullptr);

} // namespace bluebellshift::shell
