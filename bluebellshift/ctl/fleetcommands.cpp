// Commands on settings, targets, VMs and look-ups.
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/core/object.h"
#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/shell/operators.h"
#include "bluebellshift/shell/peerkeys.h"
#include "bluebellshift/shell/settings.h"

namespace bluebellshift::ctl {
namespace {

using nlohmann::json;

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
        return fail(context, accepted.status());
    context.print(fmt::format("accepted as revision {}", accepted->number()));
    return waitInForce(context, *accepted);
}

} // namespace

int checkSettings(const CommandContext &context, const Arguments &arguments)
{
    const auto settings = shell::loadSettings(arguments[0]);
    if (!settings.ok())
        return fail(context, settings.status());
    int code = exitOk;
    for (const absl::Status &status : { shell::loadPeerKeys(settings->peerKeysFile).status(),
                                        shell::loadOperators(settings->operatorsFile).status() }) {
        if (!status.ok())
            code = fail(context, status);
    }
    if (code == exitOk)
        context.print(fmt::format("{}: no faults", arguments[0]));
    return code;
}

int drainTarget(const CommandContext &context, const Arguments &arguments)
{
    return setLeaving(context, arguments, true);
}

int undrainTarget(const CommandContext &context, const Arguments &arguments)
{
    return setLeaving(context, arguments, false);
}

int tellVmStatus(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto status = context.client.status();
    if (!status.ok())
        return fail(context, status.status());
    context.print(fmt::format("{:<16} revision {:<8} {} {} bundle {}", status->vm.text(),
                              status->revision.number(), status->isFresh ? "fresh" : "stale",
                              status->isReady ? "ready" : "not ready (" + status->reason + ")",
                              status->bundle.empty() ? "none" : status->bundle));
    for (const PeerStatus &peer : status->peers)
        context.print(fmt::format("{:<16} revision {:<8} {}{}{} heard {} ms ago", peer.vm.text(),
                                  peer.revision.number(), peer.isAlive ? "alive" : "silent",
                                  peer.isReady ? " ready" : " not-ready",
                                  peer.isLeaving ? " leaving" : "", peer.age.toMillis()));
    return exitOk;
}

int lookUp(const CommandContext &context, const Arguments &arguments)
{
    std::string path = "/v1/lookup?service=" + percentEncode(arguments[0]);
    if (!context.clientAddress.empty())
        path += "&client=" + percentEncode(context.clientAddress);
    const auto reply = context.client.get(path);
    if (!reply.ok())
        return fail(context, reply.status());
    context.print(reply->body);
    if (reply->status == 200)
        return exitOk;
    return reply->status == 404 ? exitNotFound : exitRefused;
}

} // namespace bluebellshift::ctl
