// The object keys/<team> stores a team's keys as a list of digests. Unknown members
// are preserved.
#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/ctl/commands.h"

namespace bluebellshift::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t minDigestPrefixLength = 8;

absl::StatusOr<json> parseKeys(const std::string &value)
{
    if (value.empty())
        return json { { "digests", json::array() } };
    json document = json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("digests") || !document["digests"].is_array())
        return absl::InvalidArgumentError("the stored keys are malformed");
    return document;
}

std::string digestOf(const json &entry)
{
    return entry.is_object() ? entry.value("digest", std::string()) : std::string();
}

// Removes the only digest with the prefix and returns the new value. Sets `removed` to
// the digest.
absl::StatusOr<std::string> removeDigest(const std::string &value, const std::string &prefix,
                                         std::string *removed)
{
    absl::StatusOr<json> document = parseKeys(value);
    if (!document.ok())
        return document.status();
    json remaining = json::array();
    int found = 0;
    for (const json &entry : (*document)["digests"]) {
        if (digestOf(entry).compare(0, prefix.size(), prefix) != 0) {
            remaining.push_back(entry);
            continue;
        }
        *removed = digestOf(entry);
        ++found;
    }
    if (found == 0)
        return absl::NotFoundError(fmt::format("no key's digest starts with \"{}\"", prefix));
    if (found > 1)
        return absl::InvalidArgumentError(
            fmt::format("{} keys' digests start with \"{}\"", found, prefix));
    (*document)["digests"] = remaining;
    return document->dump();
}

} // namespace

int issueKey(const CommandContext &context, const Arguments &arguments)
{
    const absl::StatusOr<FleetStatus> status = context.client.status();
    if (!status.ok())
        return reportFailure(context, status.status());
    const std::string key = context.makeKey();
    const std::string digest = base::sha256Hex(key);
    const auto accepted =
        context.client.edit(core::kind::keys, arguments[0],
                            [&](const std::string &value) -> absl::StatusOr<std::string> {
                                absl::StatusOr<json> document = parseKeys(value);
                                if (!document.ok())
                                    return document.status();
                                (*document)["digests"].push_back(
                                    { { "digest", digest },
                                      { "given_at", context.wallTime().toMicros() / 1'000'000 },
                                      { "by", status->operatorId.text() } });
                                return document->dump();
                            });
    if (!accepted.ok()) {
        const int code = reportFailure(context, accepted.status());
        if (code == exitUnknown)
            context.printError(fmt::format("see whether digest {} is listed, withdraw it, and give "
                                           "another key",
                                           digest));
        return code;
    }
    context.print(fmt::format("key    {}", key));
    context.print(fmt::format("digest {}", digest));
    return waitUntilInForce(context, *accepted);
}

int revokeKey(const CommandContext &context, const Arguments &arguments)
{
    if (arguments[1].size() < minDigestPrefixLength) {
        context.printError(fmt::format("digest \"{}\" is shorter than {} digits", arguments[1],
                                       minDigestPrefixLength));
        return exitUsage;
    }
    std::string removed;
    const auto accepted =
        context.client.edit(core::kind::keys, arguments[0], [&](const std::string &value) {
            return removeDigest(value, arguments[1], &removed);
        });
    if (!accepted.ok())
        return reportFailure(context, accepted.status());
    context.print(
        fmt::format("withdrawal of {} accepted as revision {}", removed, accepted->number()));
    return waitUntilInForce(context, *accepted);
}

int listKeys(const CommandContext &context, const Arguments &arguments)
{
    const auto object = context.client.read(core::kind::keys, arguments[0]);
    if (!object.ok())
        return reportFailure(context, object.status());
    const absl::StatusOr<json> document = parseKeys(object->value);
    if (!document.ok())
        return reportFailure(context, document.status());
    for (const json &entry : (*document)["digests"])
        context.print(fmt::format("{} given by {} at {}", digestOf(entry),
                                  entry.value("by", std::string("unknown")),
                                  entry.value("given_at", std::int64_t { 0 })));
    return exitOk;
}

} // namespace bluebellshift::ctl
