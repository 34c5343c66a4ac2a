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

// Exit codes by kind of failure.
inline constexpr int exitOk = 0;
inline constexpr int exitUsage = 2;
inline constexpr int exitRefused = 3; // by a rule, a fault in a file, or a conflict
inline constexpr int exitNotFound = 4;
inline constexpr int exitUnreachable = 5; // nothing was done
inline constexpr int exitUnknown = 6;     // it may have been done, or is not in force yet
inline constexpr int exitNotAllowed = 7;

struct CommandContext
{
    AdminClient client;
    std::function<void(const std::string &line)> print;      // results
    std::function<void(const std::string &line)> printError; // what went wrong
    std::function<std::string()> makeKey;                    // a new caller's key
    std::function<core::WallTime()> wallTime;
    std::function<void(core::Duration)> pause;
    core::Duration waitMost = core::Duration::seconds(15); // for a change to be in force
    std::string clientAddress;                             // for lookup; empty: the tool's own
};

using Arguments = std::vector<std::string>;

// Runs one command; returns its exit code.
int runCommand(const CommandContext &context, const Arguments &arguments);

// The help of the command that the arguments name, or of all.
std::string helpText(const Arguments &arguments);

int exitCodeOf(const absl::Status &status);

// The commands by group. Each takes the words after its name.
int checkSettings(const CommandContext &context, const Arguments &arguments);
int giveKey(const CommandContext &context, const Arguments &arguments);
int withdrawKey(const CommandContext &context, const Arguments &arguments);
int listKeys(const CommandContext &context, const Arguments &arguments);
int checkBundleFile(const CommandContext &context, const Arguments &arguments);
int diffBundle(const CommandContext &context, const Arguments &arguments);
int storeBundle(const CommandContext &context, const Arguments &arguments);
int signOffBundle(const CommandContext &context, const Arguments &arguments);
int rollOutBundle(const CommandContext &context, const Arguments &arguments);
int pauseBundle(const CommandContext &context, const Arguments &arguments);
int resumeBundle(const CommandContext &context, const Arguments &arguments);
int tellBundleStatus(const CommandContext &context, const Arguments &arguments);
int tellBundleHistory(const CommandContext &context, const Arguments &arguments);
int drainTarget(const CommandContext &context, const Arguments &arguments);
int undrainTarget(const CommandContext &context, const Arguments &arguments);
int checkRecording(const CommandContext &context, const Arguments &arguments);
int tellVmStatus(const CommandContext &context, const Arguments &arguments);
int lookUp(const CommandContext &context, const Arguments &arguments);
int explainRequest(const CommandContext &context, const Arguments &arguments);

// Prints a failure and returns its exit code.
int fail(const CommandContext &context, const absl::Status &status);

// Waits until each VM's view has reached a revision, and prints it VM by VM. A
// VM that is not heard counts as cut off once a freshness lease has passed.
int waitInForce(const CommandContext &context, core::Revision revision);

} // namespace bluebellshift::ctl
