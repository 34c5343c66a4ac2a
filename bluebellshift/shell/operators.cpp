// A key's digest is looked up by comparing it with all entries in constant time,
// which is cheap because there are few operators. Values are decoded here as the
// view decodes them, so that no value is stored that a VM could not install.
#include "bluebellshift/shell/operators.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/rosterjson.h"
#include "bluebellshift/shell/crypto.h"

namespace bluebellshift::shell {
namespace {

using nlohmann::json;

constexpr char bearerPrefix[] = "Bearer ";
constexpr std::size_t maxKeyLength = 256;
constexpr std::size_t digestHexDigits = 64;

struct RoleName
{
    Role role;
    const char *name;
};

constexpr RoleName roleNames[] = { { Role::Viewer, "viewer" },
                                   { Role::KeyManager, "key-manager" },
                                   { Role::Author, "author" },
                                   { Role::Approver, "approver" },
                                   { Role::Roller, "roller" } };

const char *roleName(Role role)
{
    for (const RoleName &entry : roleNames) {
        if (entry.role == role)
            return entry.name;
    }
    return "";
}

std::optional<Role> findRole(const std::string &name)
{
    for (const RoleName &entry : roleNames) {
        if (name == entry.name)
            return entry.role;
    }
    return std::nullopt;
}

std::vector<Role> readRoles(TomlTable *table)
{
    std::vector<Role> roles;
    for (const std::string &name : table->texts("roles")) {
        const std::optional<Role> role = findRole(name);
        if (role)
            roles.push_back(*role);
        else
            table->fault("roles",
                         fmt::format("operator.roles holds \"{}\", which is not a role", name));
    }
    return roles;
}

std::string readDigest(TomlTable *table, const core::OperatorId &id)
{
    const auto bytes = fromHex(table->text("key_sha256"));
    if (bytes.ok() && bytes->size() == digestBytes)
        return toHex(*bytes);
    table->fault("key_sha256",
                 fmt::format("operator.key_sha256 of operator \"{}\" must be {} hexadecimal digits",
                             id.text(), digestHexDigits));
    return "";
}

absl::Status requireRole(const Operator &actor, Role role, const std::string &what)
{
    if (actor.has(role))
        return absl::OkStatus();
    return absl::PermissionDeniedError(fmt::format("operator \"{}\" lacks the role {}, needed {}",
                                                   actor.id.text(), roleName(role), what));
}

// The fields of a bundle's value that the rules refer to.
struct BundleRecord
{
    std::string toml;
    std::string author;
    std::vector<std::string> signedOffBy;
};

absl::StatusOr<BundleRecord> decodeBundleRecord(const std::string &value)
{
    const json document = json::parse(value, nullptr, false);
    BundleRecord bundle;
    const bool isWellFormed = document.is_object() && document.contains("toml")
        && document["toml"].is_string() && document.contains("author")
        && document["author"].is_string() && document.contains("signed_off_by")
        && document["signed_off_by"].is_array();
    if (!isWellFormed)
        return absl::InvalidArgumentError(
            "a bundle's value must hold the texts \"toml\" and \"author\" and the list "
            "\"signed_off_by\"");
    bundle.toml = document["toml"].get<std::string>();
    bundle.author = document["author"].get<std::string>();
    for (const json &name : document["signed_off_by"]) {
        if (!name.is_string())
            return absl::InvalidArgumentError("\"signed_off_by\" holds more than texts");
        bundle.signedOffBy.push_back(name.get<std::string>());
    }
    return bundle;
}

absl::Status checkNewBundle(const Operator &actor, const ProposedChange &change,
                            const BundleRecord &bundle)
{
    const absl::Status allowed = requireRole(actor, Role::Author, "to store a bundle");
    if (!allowed.ok())
        return allowed;
    if (bundle.author != actor.id.text() || !bundle.signedOffBy.empty())
        return absl::PermissionDeniedError(fmt::format(
            "a new bundle must name operator \"{}\" as author and no sign-off", actor.id.text()));
    const absl::StatusOr<core::Bundle> parsed = core::parseBundle(bundle.toml);
    if (!parsed.ok())
        return parsed.status();
    if (parsed->version != change.name)
        return absl::InvalidArgumentError(fmt::format(
            "bundle \"{}\" says that its version is \"{}\"", change.name, parsed->version));
    return absl::OkStatus();
}

absl::Status checkSignOff(const Operator &actor, const ProposedChange &change,
                          const BundleRecord &bundle)
{
    const absl::Status allowed = requireRole(actor, Role::Approver, "to sign a bundle off");
    if (!allowed.ok())
        return allowed;
    const absl::StatusOr<BundleRecord> stored = decodeBundleRecord(change.stored->value);
    if (!stored.ok())
        return stored.status();
    std::vector<std::string> expected = stored->signedOffBy;
    expected.push_back(actor.id.text());
    if (bundle.toml != stored->toml || bundle.author != stored->author
        || bundle.signedOffBy != expected)
        return absl::FailedPreconditionError(fmt::format(
            "bundle \"{}\" is stored; only the sign-off of operator \"{}\" may be added",
            change.name, actor.id.text()));
    const absl::StatusOr<core::Bundle> parsed = core::parseBundle(bundle.toml);
    if (!parsed.ok())
        return parsed.status();
    if (!parsed->authorMaySignOff && bundle.author == actor.id.text())
        return absl::PermissionDeniedError(
            fmt::format("bundle \"{}\" may not be signed off by its author \"{}\"", change.name,
                        bundle.author));
    return absl::OkStatus();
}

absl::Status checkBundle(const Operator &actor, const ProposedChange &change)
{
    const absl::StatusOr<BundleRecord> bundle = decodeBundleRecord(change.value);
    if (!bundle.ok())
        return bundle.status();
    return change.stored ? checkSignOff(actor, change, *bundle)
                         : checkNewBundle(actor, change, *bundle);
}

// Returns the parsed bundle of that version if it is stored and signed off.
absl::StatusOr<core::Bundle> findSignedOffBundle(const std::string &version,
                                                 const FindObject &findObject)
{
    const std::optional<core::Object> object = findObject(core::kind::bundle, version);
    if (!object)
        return absl::FailedPreconditionError(fmt::format("there is no bundle \"{}\"", version));
    const absl::StatusOr<BundleRecord> bundle = decodeBundleRecord(object->value);
    if (!bundle.ok())
        return bundle.status();
    if (bundle->signedOffBy.empty())
        return absl::FailedPreconditionError(
            fmt::format("bundle \"{}\" is not signed off", version));
    return core::parseBundle(bundle->toml);
}

// Checks that the proposed roll-out results from beginning, pausing or resuming the
// stored one, by recomputing each of these changes. Only VMs advance a roll-out by a
// step; otherwise a wrong value could shift more traffic than the cap allows.
absl::Status checkRolloutStep(const core::Rollout &proposed, const core::Bundle &next,
                              const std::optional<core::Object> &stored,
                              const FindObject &findObject)
{
    const std::string encoded = core::encodeRollout(proposed);
    const std::string &actor = proposed.changedBy;
    const core::WallTime at = proposed.changedAt;
    if (!stored) {
        if (encoded == core::encodeRollout(core::firstRollout(next, actor, at)))
            return absl::OkStatus();
        return absl::FailedPreconditionError("this is not the first roll-out of that bundle");
    }
    const absl::StatusOr<core::Rollout> current = core::decodeRollout(stored->value);
    if (!current.ok())
        return current.status();
    const absl::StatusOr<core::Bundle> currentBundle =
        findSignedOffBundle(current->bundle, findObject);
    if (!currentBundle.ok())
        return currentBundle.status();
    if (encoded == core::encodeRollout(core::pauseRollout(*current, proposed.reason, actor, at)))
        return absl::OkStatus();
    const absl::StatusOr<core::Rollout> resumed = core::resumeRollout(*current, actor, at);
    if (resumed.ok() && encoded == core::encodeRollout(*resumed))
        return absl::OkStatus();
    const absl::StatusOr<core::Rollout> started =
        core::beginRollout(*current, *currentBundle, next, actor, at);
    if (!started.ok())
        return started.status();
    if (encoded == core::encodeRollout(*started))
        return absl::OkStatus();
    return absl::FailedPreconditionError(
        "this neither begins, pauses nor resumes the stored roll-out");
}

absl::Status checkRollout(const Operator &actor, const ProposedChange &change,
                          const FindObject &findObject)
{
    const absl::Status allowed = requireRole(actor, Role::Roller, "to roll a bundle out");
    if (!allowed.ok())
        return allowed;
    if (change.name != core::rolloutName)
        return absl::InvalidArgumentError(fmt::format("there is no roll-out \"{}\", only \"{}\"",
                                                      change.name, core::rolloutName));
    const absl::StatusOr<core::Rollout> proposed = core::decodeRollout(change.value);
    if (!proposed.ok())
        return proposed.status();
    if (proposed->changedBy != actor.id.text())
        return absl::PermissionDeniedError(fmt::format(
            "the roll-out must name operator \"{}\" as who changed it", actor.id.text()));
    const absl::StatusOr<core::Bundle> next = findSignedOffBundle(proposed->bundle, findObject);
    if (!next.ok())
        return next.status();
    return checkRolloutStep(*proposed, *next, change.stored, findObject);
}

absl::Status checkTargets(const Operator &actor, const ProposedChange &change)
{
    const absl::Status allowed = requireRole(actor, Role::Roller, "to change targets");
    if (!allowed.ok())
        return allowed;
    return core::decodeTargetList(core::ServiceId(change.name), change.value).status();
}

absl::Status checkKeys(const Operator &actor, const ProposedChange &change)
{
    const absl::Status allowed = requireRole(actor, Role::KeyManager, "to change keys");
    if (!allowed.ok())
        return allowed;
    return core::decodeKeyDigests(change.value).status();
}

// Returns the number of entries in a value's list, or 0 if there is no list.
std::size_t listLength(const std::string &value, const char *member)
{
    const json document = json::parse(value, nullptr, false);
    if (document.is_array())
        return document.size();
    return document.is_object() && document.contains(member) ? document[member].size() : 0;
}

} // namespace

bool Operator::has(Role role) const
{
    return std::find(roles.begin(), roles.end(), role) != roles.end();
}

absl::StatusOr<Operator> Operators::authenticate(const std::string &authorization) const
{
    const std::size_t prefix = sizeof(bearerPrefix) - 1;
    if (authorization.compare(0, prefix, bearerPrefix) != 0
        || authorization.size() > prefix + maxKeyLength)
        return absl::UnauthenticatedError("an operator's key is needed: Authorization: Bearer KEY");
    const std::string digest = base::sha256Hex(authorization.substr(prefix));
    const Entry *found = nullptr;
    for (const Entry &entry : entries_) {
        if (equalConstantTime(entry.keyDigest, digest))
            found = &entry;
    }
    if (found == nullptr)
        return absl::UnauthenticatedError("the operator's key is not known");
    return found->identity;
}

absl::StatusOr<Operators> parseOperators(const std::string &file, const std::string &text,
                                         std::vector<SettingsFault> *faults)
{
    std::vector<SettingsFault> found;
    Operators operators;
    TomlDocument document(file, text, &found);
    if (document.isParsed()) {
        TomlTable root = document.root();
        for (TomlTable &table : root.tables("operator")) {
            Operators::Entry entry;
            entry.identity.id = core::OperatorId(table.text("id"));
            entry.identity.roles = readRoles(&table);
            entry.keyDigest = readDigest(&table, entry.identity.id);
            for (const Operators::Entry &other : operators.entries_) {
                if (other.identity.id == entry.identity.id)
                    table.fault("id", fmt::format("{} is not unique", table.describe("id")));
                if (other.keyDigest == entry.keyDigest && !entry.keyDigest.empty())
                    table.fault("key_sha256",
                                fmt::format("operators \"{}\" and \"{}\" have the same key",
                                            other.identity.id.text(), entry.identity.id.text()));
            }
            operators.entries_.push_back(std::move(entry));
        }
        root.finish();
    }
    if (faults != nullptr)
        *faults = found;
    if (!found.empty())
        return faultsToStatus(found);
    return operators;
}

absl::StatusOr<Operators> loadOperators(const std::string &path, std::vector<SettingsFault> *faults)
{
    std::string text;
    const absl::Status status = readTextFile(path, &text);
    if (!status.ok())
        return status;
    return parseOperators(path, text, faults);
}

absl::Status checkRead(const Operator &actor, const std::string &kind)
{
    if (kind != core::kind::keys)
        return absl::OkStatus();
    return requireRole(actor, Role::KeyManager, "to read key digests");
}

absl::Status checkChange(const Operator &actor, const ProposedChange &change,
                         const FindObject &findObject)
{
    if (change.name.empty())
        return absl::InvalidArgumentError("the object has no name");
    if (change.kind == core::kind::keys)
        return checkKeys(actor, change);
    if (change.kind == core::kind::targets)
        return checkTargets(actor, change);
    if (change.kind == core::kind::bundle)
        return checkBundle(actor, change);
    if (change.kind == core::kind::rollout)
        return checkRollout(actor, change, findObject);
    return absl::PermissionDeniedError(
        fmt::format("objects of kind \"{}\" are not changed by operators", change.kind));
}

std::string summarizeChange(const ProposedChange &change)
{
    const std::string before = change.stored ? change.stored->value : "";
    if (change.kind == core::kind::keys)
        return fmt::format("{} keys, before {}", listLength(change.value, "digests"),
                           listLength(before, "digests"));
    if (change.kind == core::kind::targets)
        return fmt::format("{} targets, before {}", listLength(change.value, ""),
                           listLength(before, ""));
    if (change.kind == core::kind::bundle)
        return fmt::format("{} sign-offs, before {}", listLength(change.value, "signed_off_by"),
                           listLength(before, "signed_off_by"));
    const absl::StatusOr<core::Rollout> rollout = core::decodeRollout(change.value);
    return rollout.ok()
        ? fmt::format("bundle \"{}\", before \"{}\"", rollout->bundle, rollout->previous)
        : std::string();
}

} // namespace bluebellshift::shell
