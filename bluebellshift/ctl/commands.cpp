#include "bluebellshift/ctl/commands.h"

#include <map>

#include <fmt/format.h>

namespace bluebellshift::ctl {
namespace {

constexpr core::Duration pollInterval = core::Duration::millis(100);
// Longer than any freshness lease that the settings allow, including clock drift.
constexpr core::Duration silentPeerTimeout = core::Duration::seconds(4);

struct Command
{
    const char *group;
    const char *name; // empty if the group is itself the command
    const char *arguments;
    std::size_t argumentCount;
    int (*run)(const CommandContext &, const Arguments &);
    const char *help;
    bool acceptsExtraArguments = false; // more than argumentCount
};

constexpr Command commands[] = {
    { "settings", "check", "FILE", 1, checkSettings,
      "Checks a daemon's settings, peer keys and operators." },
    { "keys", "give", "TEAM", 1, issueKey,
      "Creates a caller's key for a team and prints it once; only its digest is stored." },
    { "keys", "withdraw", "TEAM DIGEST", 2, revokeKey,
      "Withdraws a key and waits, VM by VM, until none accepts it.\n\n"
      "DIGEST is the start of its digest, 8 digits or more." },
    { "keys", "list", "TEAM", 1, listKeys, "Lists the digests of a team's keys." },
    { "bundle", "check", "FILE", 1, checkBundleFile, "Checks a bundle; prints every fault." },
    { "bundle", "diff", "FILE", 1, diffBundle, "Compares a bundle with the one in force." },
    { "bundle", "store", "FILE", 1, storeBundle, "Stores a bundle for sign-off, as its author." },
    { "bundle", "sign-off", "VERSION", 1, signOffBundle, "Signs off a stored bundle." },
    { "bundle", "roll-out", "VERSION", 1, rollOutBundle,
      "Puts a signed-off bundle in force; traffic moves in steps.\n\n"
      "Rolling out an earlier version withdraws a later one." },
    { "bundle", "pause", "REASON", 1, pauseBundle, "Pauses the steps of the roll-out." },
    { "bundle", "resume", "", 0, resumeBundle, "Resumes a paused roll-out." },
    { "bundle", "status", "", 0, printBundleStatus, "Shows the progress of the roll-out." },
    { "bundle", "history", "", 0, printBundleHistory, "Lists the stored bundles." },
    { "target", "drain", "SERVICE TARGET", 2, drainTarget,
      "Marks a target as leaving: it gets no new work." },
    { "target", "undrain", "SERVICE TARGET", 2, undrainTarget, "Lets a target serve again." },
    { "recording", "check", "FILE", 1, checkRecording,
      "Replays a recording of bluebellshiftd; shows where effects differ." },
    { "vm", "status", "", 0, printVmStatus, "Shows the status of the VM and its peers." },
    { "lookup", "", "SERVICE", 1, lookUp, "Asks which VMs a caller is sent to (--client)." },
    { "explain", "", "REQUEST-ID [LOG...]", 1, explainRequest,
      "Reconstructs a request's history from the logs of several VMs.\n\n"
      "Each LOG is one VM's log, named after the VM. Without LOG, lines are read from standard\n"
      "input, where the prefix of each line must end with the VM's name.",
      true },
};

std::size_t wordCount(const Command &command)
{
    return command.name[0] == '\0' ? 1 : 2;
}

bool matches(const Command &command, const Arguments &arguments)
{
    if (arguments.empty() || arguments[0] != command.group)
        return false;
    return wordCount(command) == 1 || (arguments.size() > 1 && arguments[1] == command.name);
}

std::string usageOf(const Command &command)
{
    std::string usage = command.group;
    for (const char *word : { command.name, command.arguments }) {
        if (word[0] != '\0')
            usage += std::string(" ") + word;
    }
    return usage;
}

} // namespace

std::string helpText(const Arguments &arguments)
{
    std::string text;
    for (const Command &command : commands) {
        if (matches(command, arguments))
            return fmt::format("bluebellctl {}\n\n{}\n", usageOf(command), command.help);
        const std::string help = command.help;
        const std::string firstLine = help.substr(0, help.find('\n'));
        if (arguments.empty() || arguments[0] == command.group)
            text += fmt::format("  {:<30} {}\n", usageOf(command), firstLine);
    }
    return text;
}

int runCommand(const CommandContext &context, const Arguments &arguments)
{
    for (const Command &command : commands) {
        if (!matches(command, arguments))
            continue;
        const Arguments rest(arguments.begin() + static_cast<std::ptrdiff_t>(wordCount(command)),
                             arguments.end());
        if (rest.size() == command.argumentCount
            || (command.acceptsExtraArguments && rest.size() > command.argumentCount))
            return command.run(context, rest);
        context.printError(fmt::format("usage: bluebellctl {}", usageOf(command)));
        return exitUsage;
    }
    context.printError("there is no such command; see bluebellctl --help");
    return exitUsage;
}

int exitCodeOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return exitOk;
    case absl::StatusCode::kNotFound:
        return exitNotFound;
    case absl::StatusCode::kUnavailable:
        return exitUnreachable;
    case absl::StatusCode::kUnauthenticated:
    case absl::StatusCode::kPermissionDenied:
        return exitNotAllowed;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kAborted:
        return exitRefused;
    default:
        return exitUnknown;
    }
}

int reportFailure(const CommandContext &context, const absl::Status &status)
{
    const int code = exitCodeOf(status);
    const char *prefix = code == exitUnknown ? "it is not known whether this was done: " : "";
    context.printError(prefix + std::string(status.message()));
    return code;
}

// Heartbeats carry the revision of their sender, so the status of one VM covers all
// peers that it receives heartbeats from. Any other peer may still reach the
// platform itself. The change is safe there only once the peer's lease, counted from
// the acceptance, has expired: by then the peer either has the revision or knows
// that its view is stale.
int waitUntilInForce(const CommandContext &context, core::Revision revision)
{
    std::map<core::VmId, bool> isConfirmed;
    absl::StatusOr<FleetStatus> status = absl::UnknownError("no VM was asked");
    const auto reportDone = [&](const core::VmId &vm, const std::string &what,
                                core::Duration since) {
        context.print(fmt::format("{:<16} {} after {:.1f} s", vm.text(), what, since.toSeconds()));
        isConfirmed[vm] = true;
    };
    core::Duration waited;
    for (; waited <= context.maxWait; waited = waited + pollInterval) {
        status = context.client.status();
        bool isAllConfirmed = status.ok();
        if (status.ok()) {
            status->peers.push_back(
                { status->vm, status->revision, true, status->isReady, false, core::Duration() });
            for (const PeerStatus &peer : status->peers) {
                if (isConfirmed[peer.vm])
                    continue;
                if (peer.revision >= revision)
                    reportDone(peer.vm, "in force", waited);
                else if (!peer.isAlive && peer.age >= silentPeerTimeout
                         && waited >= silentPeerTimeout)
                    reportDone(peer.vm, "cut off (up to date or serving no keyed request)", waited);
                else
                    isAllConfirmed = false;
            }
        }
        if (isAllConfirmed)
            return exitOk;
        context.pause(pollInterval);
    }
    if (!status.ok())
        return reportFailure(context, status.status());
    for (const auto &[vm, done] : isConfirmed) {
        if (!done)
            context.printError(
                fmt::format("{:<16} not in force after {:.1f} s", vm.text(), waited.toSeconds()));
    }
    return exitUnknown;
}

} // namespace bluebellshift::ctl
