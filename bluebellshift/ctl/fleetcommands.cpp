// The commands for settings, recordings, targets, VMs and look-ups.
#include <fstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/reducer.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/shell/operators.h"
#include "bluebellshift/shell/peerkeys.h"
#include "bluebellshift/shell/recorder.h"
#include "bluebellshift/shell/settings.h"

namespace bluebellshift::ctl {
namespace {

using nlohmann::json;

// Longer than any VM runs: no heartbeat was ever received.
constexpr core::Duration neverHeardThreshold = core::Duration::seconds(100LL * 365 * 86400);

std::string formatAge(core::Duration age)
{
    if (age > neverHeardThreshold)
        return "never heard";
    return fmt::format("heard {} ms ago", age.toMillis());
}

int setLeaving(const CommandContext &context, const Arguments &arguments, bool isLeaving)
{
    const auto accepted = context.client.edit(
        core::kind::targets, arguments[0],
        [&](const std::string &value) -> absl::StatusOr<std::string> {
            json targets = json::parse(value, nullptr, false);
            if (!targets.is_array())
                return absl::NotFoundError(
                    fmt::format("service \"{}\" has no targets", arguments[0]));
            for (json &target : targets) {
                if (!target.is_object() || target.value("id", std::string()) != arguments[1])
                    continue;
                target["leaving"] = isLeaving;
                return targets.dump();
            }
            return absl::NotFoundError(
                fmt::format("service \"{}\" has no target \"{}\"", arguments[0], arguments[1]));
        });
    if (!accepted.ok())
        return reportFailure(context, accepted.status());
    context.print(fmt::format("accepted as revision {}", accepted->number()));
    return waitUntilInForce(context, *accepted);
}

} // namespace

int checkSettings(const CommandContext &context, const Arguments &arguments)
{
    const auto settings = shell::loadSettings(arguments[0]);
    if (!settings.ok())
        return reportFailure(context, settings.status());
    int code = exitOk;
    for (const absl::Status &status : { shell::loadPeerKeys(settings->peerKeysFile).status(),
                                        shell::loadOperators(settings->operatorsFile).status() }) {
        if (!status.ok())
            code = reportFailure(context, status);
    }
    if (code == exitOk)
        context.print(fmt::format("{}: no faults", arguments[0]));
    return code;
}

int checkRecording(const CommandContext &context, const Arguments &arguments)
{
    std::ifstream file(arguments[0], std::ios::binary);
    if (!file)
        return reportFailure(context,
                             absl::NotFoundError(fmt::format("cannot read \"{}\"", arguments[0])));
    const auto report = shell::replay(file, [](const core::CoreOptions &options) {
        core::View::Hooks hooks;
        hooks.parseBundle = [](std::string_view toml) { return core::parseBundle(toml); };
        hooks.parseRollout = [](const std::string &text) { return core::decodeRollout(text); };
        auto reducer = std::make_shared<core::Reducer>(options, hooks);
        return [reducer](const core::Event &event) { return reducer->reduce(event); };
    });
    if (!report.ok()) {
        context.printError(std::string(report.status().message()));
        return exitRefused;
    }
    context.print(
        fmt::format("{} events gave the same {} effects", report->events, report->effects));
    return exitOk;
}

int drainTarget(const CommandContext &context, const Arguments &arguments)
{
    return setLeaving(context, arguments, true);
}

int undrainTarget(const CommandContext &context, const Arguments &arguments)
{
    return setLeaving(context, arguments, false);
}

int printVmStatus(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto status = context.client.status();
    if (!status.ok())
        return reportFailure(context, status.status());
    context.print(fmt::format("{:<16} revision {:<8} {} {} bundle {}", status->vm.text(),
                              status->revision.number(), status->isFresh ? "fresh" : "stale",
                              status->isReady ? "ready" : "not ready (" + status->reason + ")",
                              status->bundle.empty() ? "none" : status->bundle));
    for (const PeerStatus &peer : status->peers)
        context.print(fmt::format("{:<16} revision {:<8} {}{}{} {}", peer.vm.text(),
                                  peer.revision.number(), peer.isAlive ? "alive" : "silent",
                                  peer.isReady ? " ready" : " not-ready",
                                  peer.isLeaving ? " leaving" : "", formatAge(peer.age)));
    return exitOk;
}

int lookUp(const CommandContext &context, const Arguments &arguments)
{
    std::string path = "/v1/lookup?service=" + percentEncode(arguments[0]);
    if (!context.clientAddress.empty())
        path += "&client=" + percentEncode(context.clientAddress);
    const auto reply = context.client.get(path);
    if (!reply.ok())
        return reportFailure(context, reply.status());
    context.print(reply->body);
    if (reply->status == 200)
        return exitOk;
    return reply->status == 404 ? exitNotFound : exitRefused;
}

} // namespace bluebellshift::ctl
