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

// The values of a bundle by property, for comparison.
using Properties = std::map<std::string, std::string>;

void addSplit(const std::string &property, const std::vector<core::RegionShare> &split,
              Properties *properties)
{
    for (const core::RegionShare &share : split)
        (*properties)[fmt::format("{} to {}", property, share.region.text())] =
            fmt::format("{:g}%", share.fraction * 100);
}

void addService(const core::Service &service, Properties *properties)
{
    const std::string name = "service " + service.id.text();
    (*properties)[name + " traffic"] = fmt::format("{:g}%", service.trafficFraction * 100);
    (*properties)[name + " typical answer"] = fmt::format("{:g} bytes", service.answerBytes);
    (*properties)[name + " shift cap"] = fmt::format(
        "{:g}% in {} s", service.shiftCapFraction * 100, service.shiftWindow.toMillis() / 1000);
    (*properties)[name + " cache time"] = fmt::format("{} ms", service.cacheTime.toMillis());
    (*properties)[name + " timeout"] = fmt::format("{} ms", service.requestTimeout.toMillis());
    addSplit(name, service.split, properties);
    for (const core::TeamSplit &split : service.teamSplits)
        addSplit(name + " team " + split.team.text(), split.split, properties);
    for (const core::Route &route : service.routes)
        (*properties)[name + " route " + route.prefix] =
            fmt::format("{}, {}", route.isOpen ? "open" : "keyed",
                        route.isIdempotent ? "repeatable" : "not repeatable");
}

Properties describe(const Bundle &bundle)
{
    Properties properties;
    properties["time zone"] = bundle.timeZone;
    properties["store region"] = bundle.storeRegion.text();
    properties["author may sign off"] = bundle.authorMaySignOff ? "yes" : "no";
    for (const core::Region &region : bundle.regions) {
        const std::string name = "region " + region.id.text();
        properties[name + " capacity"] = fmt::format("{:g}/s", region.capacityPerSecond);
        properties[name + " callers"] = fmt::format("{:g}%", region.callerFraction * 100);
        for (const core::FailureDomainId &domain : region.failureDomains)
            properties[name + " failure domain " + domain.text()] = "yes";
    }
    for (const core::Link &link : bundle.links)
        properties[fmt::format("link {} to {}", link.from.text(), link.to.text())] =
            fmt::format("{:g} Mbit/s", link.bitsPerSecond / 1e6);
    for (const core::TeamLimit &team : bundle.teams)
        properties["team " + team.team.text()] =
            fmt::format("{:g}/s, burst {:g}", team.ratePerSecond, team.burst);
    for (const core::Service &service : bundle.services)
        addService(service, &properties);
    for (const core::ClientBlock &block : bundle.clientBlocks)
        properties[fmt::format("client block {:x}/{}", block.address, block.prefixLength)] =
            block.region.text();
    return properties;
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

// Returns the next roll-out, derived from the stored one if there is one.
using NextRollout = std::function<absl::StatusOr<Rollout>(const std::optional<Rollout> &current,
                                                          const std::string &by)>;

int editRollout(const CommandContext &context, const NextRollout &next)
{
    const auto by = operatorId(context);
    if (!by.ok())
        return reportFailure(context, by.status());
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
        return reportFailure(context, accepted.status());
    context.print(fmt::format("accepted as revision {}", accepted->number()));
    return waitUntilInForce(context, *accepted);
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
        return reportFailure(context, status);
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
        return reportFailure(context, proposed.status());
    const auto rollout = readRollout(context);
    if (!rollout.ok())
        return reportFailure(context, rollout.status());
    const auto inForce = readBundle(context, rollout->bundle);
    if (!inForce.ok())
        return reportFailure(context, inForce.status());
    const Properties before = describe(*inForce);
    Properties after = describe(*proposed);
    context.print(fmt::format("from bundle {} to bundle {}", inForce->version, proposed->version));
    for (const auto &[property, value] : before) {
        const auto found = after.find(property);
        if (found == after.end())
            context.print(fmt::format("- {}: {}", property, value));
        else if (found->second != value)
            context.print(fmt::format("~ {}: {} -> {}", property, value, found->second));
    }
    for (const auto &[property, value] : after) {
        if (before.count(property) == 0)
            context.print(fmt::format("+ {}: {}", property, value));
    }
    return exitOk;
}

int storeBundle(const CommandContext &context, const Arguments &arguments)
{
    std::string toml;
    const auto bundle = loadBundle(arguments[0], &toml);
    if (!bundle.ok())
        return reportFailure(context, bundle.status());
    const auto by = operatorId(context);
    if (!by.ok())
        return reportFailure(context, by.status());
    const json value = { { "toml", toml }, { "author", *by }, { "signed_off_by", json::array() } };
    const auto accepted =
        context.client.write(core::kind::bundle, bundle->version, core::Revision(), value.dump());
    if (absl::IsAborted(accepted.status()))
        return reportFailure(
            context,
            absl::AbortedError(fmt::format(
                "bundle \"{}\" is stored already; give yours another version", bundle->version)));
    if (!accepted.ok())
        return reportFailure(context, accepted.status());
    context.print(fmt::format("bundle {} stored as revision {}; it needs a sign-off",
                              bundle->version, accepted->number()));
    return exitOk;
}

int signOffBundle(const CommandContext &context, const Arguments &arguments)
{
    const auto by = operatorId(context);
    if (!by.ok())
        return reportFailure(context, by.status());
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
        return reportFailure(context, accepted.status());
    context.print(fmt::format("bundle {} signed off by {}", arguments[0], *by));
    return exitOk;
}

int rollOutBundle(const CommandContext &context, const Arguments &arguments)
{
    const auto next = readBundle(context, arguments[0]);
    if (!next.ok())
        return reportFailure(context, next.status());
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

int printBundleStatus(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto rollout = readRollout(context);
    if (!rollout.ok())
        return reportFailure(context, rollout.status());
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

int printBundleHistory(const CommandContext &context, const Arguments & /*arguments*/)
{
    const auto bundles = context.client.list(core::kind::bundle);
    if (!bundles.ok())
        return reportFailure(context, bundles.status());
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
