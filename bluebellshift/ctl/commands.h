// The subcommands of bluebellctl.
//
//   CommandContext context { client, ... };
//   int exitCode = runCommand(context, { "keys", "give", "multan" });
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/ctl/adminclient.h"

namespace bluebellshift::ctl {

// Exit codes, one for each kind of failure.
inline constexpr int exitOk = 0;
inline constexpr int exitUsage = 2;
inline constexpr int exitRefused = 3; // a rule, an invalid file or a conflict
inline constexpr int exitNotFound = 4;
inline constexpr int exitUnreachable = 5; // nothing was changed
inline constexpr int exitUnknown = 6;     // the change may have been made, or is not in force yet
inline constexpr int exitNotAllowed = 7;

struct CommandContext
{
    AdminClient client;
    std::function<void(const std::string &line)> print;      // results
    std::function<void(const std::string &line)> printError; // errors
    std::function<std::string()> makeKey;                    // generates a caller key
    std::function<core::WallTime()> wallTime;
    std::function<void(core::Duration)> pause;
    core::Duration maxWait = core::Duration::seconds(15); // until a change is in force
    std::string clientAddress;                            // for lookup; empty: that of the tool
};

using Arguments = std::vector<std::string>;

// Runs one command and returns its exit code.
int runCommand(const CommandContext &context, const Arguments &arguments);

// Returns the help of the command that the arguments name, or of all commands.
std::string helpText(const Arguments &arguments);

int exitCodeOf(const absl::Status &status);

// The commands. Each receives the arguments after its name and returns its exit code.
int checkSettings(const CommandContext &context, const Arguments &arguments);
int issueKey(const CommandContext &context, const Arguments &arguments);
int revokeKey(const CommandContext &context, const Arguments &arguments);
int listKeys(const CommandContext &context, const Arguments &arguments);
int checkBundleFile(const CommandContext &context, const Arguments &arguments);
int diffBundle(const CommandContext &context, const Arguments &arguments);
int storeBundle(const CommandContext &context, const Arguments &arguments);
int signOffBundle(const CommandContext &context, const Arguments &arguments);
int rollOutBundle(const CommandContext &context, const Arguments &arguments);
int pauseBundle(const CommandContext &context, const Arguments &arguments);
int resumeBundle(const CommandContext &context, const Arguments &arguments);
int printBundleStatus(const CommandContext &context, const Arguments &arguments);
int printBundleHistory(const CommandContext &context, const Arguments &arguments);
int drainTarget(const CommandContext &context, const Arguments &arguments);
int undrainTarget(const CommandContext &context, const Arguments &arguments);
int checkRecording(const CommandContext &context, const Arguments &arguments);
int printVmStatus(const CommandContext &context, const Arguments &arguments);
int lookUp(const CommandContext &context, const Arguments &arguments);
int explainRequest(const CommandContext &context, const Arguments &arguments);

// Prints the error and returns its exit code.
int reportFailure(const CommandContext &context, const absl::Status &status);

// Waits until the view of every VM has reached the revision and prints a line for
// each VM. A VM without heartbeats counts as cut off once the longest freshness
// lease has expired. Returns exitUnknown after context.maxWait.
int waitUntilInForce(const CommandContext &context, core::Revision revision);

} // namespace bluebellshift::ctl
