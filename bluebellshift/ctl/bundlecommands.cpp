#include <map>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/rosterjson.h"
#include "bluebellshift/ctl/commands.h"
#include "bluebellshift/shell/tomlreader.h"

namespace bluebellshift::ctl {
namespace {

using core::Bundle;
using core::Rollout;
using nlohmann::json;

// What a bundle says, one entry for each thing that can differ.
using Lines = std::map<std::string, std::string>;

void addSplit(const std::string &what, const std::vector<core::RegionShare> &split, Lines *lines)
{
    for (const core::RegionShare &share : split)
        (*lines)[fmt::format("{} to {}", what, share.region.text())] =
            fmt::format("{:g}%", share.fraction * 100);
}

void addService(const core::Service &service, Lines *lines)
{
    const std::string name = "service " + service.id.text();
    (*lines)[name + " traffic"] = fmt::format("{:g}%", service.trafficFraction * 100);
    (*lines)[name + " typical answer"] = fmt::format("{:g} bytes", service.answerBytes);
    (*lines)[name + " shift cap"] = fmt::format("{:g}% in {} s", service.shiftCapFraction * 100,
                                                service.shiftWindow.toMillis() / 1000);
    (*lines)[name + " cache time"] = fmt::format("{} ms", service.cacheTime.toMillis());
    (*lines)[name + " timeout"] = fmt::format("{} ms", service.requestTimeout.toMillis());
    addSplit(name, service.split, lines);
    for (const core::TeamSplit &split : service.teamSplits)
        addSplit(name + " team " + split.team.text(), split.split, lines);
    for (const core::Route &route : service.routes)
        (*lines)[name + " route " + route.prefix] =
            fmt::format("{}, {}", route.isOpen ? "open" : "keyed",
                        route.isIdempotent ? "repeatable" : "not repeatable");
}

Lines describe(const Bundle &bundle)
{
    Lines lines;
    lines["time zone"] = bundle.timeZone;
    lines["store region"] = bundle.storeRegion.text();
    lines["author may sign off"] = bundle.authorMaySignOff ? "yes" : "no";
    for (const core::Region &region : bundle.regions) {
        const std::string name = "region " + region.id.text();
        lines[name + " capacity"] = fmt::format("{:g}/s", region.capacityPerSecond);
        lines[name + " callers"] = fmt::format("{:g}%", region.callerFraction * 100);
        for (const core::FailureDomainId &domain : region.failureDomains)
            lines[name + " failure domain " + domain.text()] = "yes";
    }
    for (const core::Link &link : bundle.links)
        lines[fmt::format("link {} to {}", link.from.text(), link.to.text())] =
            fmt::format("{:g} Mbit/s", link.bitsPerSecond / 1e6);
    for (const core::TeamLimit &team : bundle.teams)
        lines["team " + team.team.text()] =
            fmt::format("{:g}/s, burst {:g}", team.ratePerSecond, team.burst);
    for (const core::Service &service : bundle.services)
        addService(service, &lines);
    for (const core::ClientBlock &block : bundle.clientBlocks)
        lines[fmt::format("client block {:x}/{}", block.address, block.prefixLength)] =
            block.region.text();
    return lines;
}

absl::StatusOr<Bundle> loadBundle(const std::string &path, std::string *toml)
{
    const absl::Status status = shell::readTextFile(path, toml);
    if (!status.ok())
        return status;
    return core::parseBundle(*toml);
}

absl::StatusOr<Bundle> readBundle(const CommandContext &context, const std::string &version)
{
    const auto object = context.client.read(core::kind::bundle, version);
    if (!object.ok())
        return object.status();
    const auto toml = core::decodeBundleText(object->value);
    if (!toml.ok())
        return toml.status();
    return core::parseBundle(*toml);
}

absl::StatusOr<Rollout> readRollout(const CommandContext &context)
{
    const auto object = context.client.read(core::kind::rollout, core::rolloutName);
    if (!object.ok())
        return object.status();
    return core::decodeRollout(object->value);
}

absl::StatusOr<std::string> operatorId(const CommandContext &context)
{
    const auto status = context.client.status();
    if (!status.ok())
        return status.status();
    return status->operatorId.text();
}

// The next roll-out, from the stored one if there is any.
using NextRollout = std::function<absl::StatusOr<Rollout>(const std::optional<Rollout> &current,
                                                          const std::string &by)>;

int editRollout(const CommandContext &context, const NextRollout &next)
{
    const auto by = operatorId(context);
    if (!by.ok())
        return fail(context, by.status());
    const auto accepted =
        context.client.edit(core::kind::rollout, core::rolloutName,
                            [&](const std::string &value) -> absl::StatusOr<std::string> {
                                std::optional<Rollout> current;
                                if (!value.empty()) {
                                    const auto decoded = core::decodeRollout(value);
                                    if (!decoded.ok())
                                        return decoded.status();
                                    current = *decoded;
                                }
                                const auto changed = next(current, *by);
                                if (!changed.ok())
                                    return changed.status();
                                return core::encodeRollout(*changed);
                            });
    if (!accepted.ok())
        return fail(context, accepted.status());
    context.print(fmt::format("accepted as revision {}", accepted->number()));
    return waitInForce(context, *accepted);
}

absl::Status noRollout()
{
    return absl::NotFoundError("no bundle was rolled out yet");
}

} // namespace

int checkBundleFile(const CommandContext &context, const Arguments &arguments)
{
    std::string toml;
    const absl::Status status = shell::readTextFile(arguments[0], &toml);
    if (!status.ok())
        return fail(context, status);
    const auto faults = core::checkBundle(toml);
    for (const core::BundleFault &fault : faults)
        context.printError(fmt::format("{}:{}: {}", arguments[0], fault.line, fault.message));
    if (!faults.empty())
        return exitRefused;
    context.print(fmt::format("{}: no faults", arguments[0]));
    return exitOk;
}

int diffBundle(const CommandContext &context, const Arguments &arguments)
{
    std::string toml;
    const auto proposed = loadBundle(arguments[0], &toml);
    if (!proposed.ok())
        return fail(context, proposed.status());
    const auto rollout = readRollout(context);
    if (!rollout.ok())
        return fail(context, rollout.status());
    const auto inForce = readBundle(context, rollout->bundle);
    if (!inForce.ok())
        return fail(context, inForce.status());
    const Lines before = describe(*inForce);
    Lines after = describe(*proposed);
    context.print(fmt::format("from bundle {} to bundle {}", inForce->version, proposed->version));
    for (const auto &[what, value] : before) {
        const auto found = after.find(what);
        if (found == after.end())
            context.print(fmt::format("- {}: {}", what, value));
        else if (found->second != value)
            context.print(fmt::format("~ {}: {} -> {}", what, value, found->second));
    }
    for (const auto &[what, value] : after) {
        if (before.count(what) == 0)
            context.print(fmt::format("+ {}: {}", what, value));
    }
    return exitOk;
}

int storeBundle(const CommandContext &context, const Arguments &arguments)
{
    std::string toml;
    const auto bundle = loadBundle(arguments[0], &toml);
    if (!bundle.ok())
        return fail(context, bundle.status());
    const auto by = operatorId(context);
    if (!by.ok())
        return fail(context, by.status());
    const json value = { { "toml", toml }, { "author", *by }, { "signed_off_by", json::array() } };
    const auto accepted =
        context.client.write(core::kind::bundle, bundle->version, core::Revision(), value.dump());
    if (absl::IsAborted(accepted.status()))
        return fail(
            context,
            absl::AbortedError(fmt::format(
                "bundle \"{}\" is stored already; give yours another version", bundle->version)));
    if (!accepted.ok())
        return fail(context, accepted.status());
    context.print(fmt::format("bundle {} stored as revision {}; it needs a sign-off",
                              bundle->version, accepted->number()));
    return exitOk;
}

int signOffBundle(const CommandContext &context, const Arguments &arguments)
{
    const auto by = operatorId(context);
    if (!by.ok())
        return fail(context, by.status());
    const auto accepted = context.client.edit(
        core::kind::bundle, arguments[0],
        [&](const std::string &value) -> absl::StatusOr<std::string> {
            json document = json::parse(value, nullptr, false);
            if (!document.is_object() || !document.contains("signed_off_by"))
                return absl::NotFoundError(fmt::format("there is no bundle \"{}\"", arguments[0]));
            document["signed_off_by"].push_back(*by);
            return document.dump();
        });
    if (!accepted.ok())
        return fail(context, accepted.status());
    context.print(fmt::format("bundle {} signed off by {}", arguments[0], *by));
    return exitOk;
}

int rollOutBundle(const CommandContext &context, const Arguments &arguments)
{
    const auto next = readBundle(context, arguments[0]);
    if (!next.ok())
        return fail(context, next.status());
    return editRollout(context,
                       [&](const std::optional<Rollout> &current,
                           const std::string &by) -> absl::StatusOr<Rollout> {
                           if (!current)
                               return core::firstRollout(*next, by, context.wallTime());
                           const auto inForce = readBundle(context, current->bundle);
                           if (!inForce.ok())
                               return inForce.status();
                           return core::beginRollout(*current, *inForce, *next, by,
                                                     context.wallTime());
                       });
}

int pauseBundle(const CommandContext &context, const Arguments &arguments)
{
    return editRollout(context,
                       [&](const std::optional<Rollout> &current,
                           const std::string &by) -> absl::StatusOr<Rollout> {
                           if (!current)
                               return noRollout();
                           return core::pauseRollout(*current, arguments[0], by,
                                                     context.wallTime());
                       });
}

int resumeBundle(const CommandContext &context, const Arguments & /*arguments*/)
{
    return editRollout(context,
                       [&](const std::optional<Rollout> &current,
                           const std::string &by) -> absl::StatusOr<Rollout> {
                           if (!current)
                               return noRollout();
                           return core::resumeRollout(*current, by, context.wallTime());
                       });
}

int tellBundleStatus(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto rollout = readRollout(context);
    if (!rollout.ok())
        return fail(context, rollout.status());
    const char *states[] = { "moving", "paused", "done" };
    context.print(fmt::format("bundle {} in force, {}{}", rollout->bundle,
                              states[static_cast<int>(rollout->state)],
                              rollout->reason.empty() ? "" : ": " + rollout->reason));
    for (const core::ServiceShift &shift : rollout->services)
        context.print(fmt::format("service {:<16} step {} of {}", shift.service.text(), shift.step,
                                  shift.steps));
    for (const core::RegionId &region : rollout->unsettledRegions)
        context.print(fmt::format("region {} is unsettled; no step is taken", region.text()));
    return exitOk;
}

int tellBundleHistory(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto bundles = context.client.list(core::kind::bundle);
    if (!bundles.ok())
        return fail(context, bundles.status());
    for (const core::Object &object : *bundles) {
        const json document = json::parse(object.value, nullptr, false);
        if (!document.is_object())
            continue;
        std::string signers;
        for (const json &name : document.value("signed_off_by", json::array()))
            signers += (signers.empty() ? "" : ", ") + name.get<std::string>();
        context.print(fmt::format("{:<16} revision {:<8} author {:<12} signed off by {}",
                                  object.name, object.version.number(),
                                  document.value("author", std::string("unknown")),
                                  signers.empty() ? "nobody" : signers));
    }
    return exitOk;
}

} // namespace bluebellshift::ctl
