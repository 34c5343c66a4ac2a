// Objects are stored both encoded, by kind and name, and decoded: peers are sent the
// encoded objects, and decisions use the decoded ones. Applying a delta costs one map
// insertion and one decoding for each changed object; only a change of a team's keys
// rebuilds that team's part of the digest index.
#include "bluebellshift/core/view.h"

#include <memory>
#include <set>

#include "bluebellshift/core/rosterjson.h"

namespace bluebellshift::core {

View::View(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

View::InstallResult View::install(Revision after, Revision revision, bool isComplete,
                                  const std::vector<Object> &objects)
{
    if (revision < revision_)
        return InstallResult::Older;
    if (!isComplete && revision_ < after)
        return InstallResult::Older;

    bool changed = false;
    for (const Object &object : objects) {
        if (store(object)) {
            decode(object);
            changed = true;
        }
    }
    if (isComplete)
        removeUnlisted(revision, objects);
    if (revision == revision_ && !changed)
        return InstallResult::Same;
    revision_ = revision;
    resolveBundles();
    return InstallResult::Newer;
}

// A complete list omits deleted objects, so objects missing from it are deleted.
void View::removeUnlisted(Revision revision, const std::vector<Object> &objects)
{
    std::set<Key> listed;
    for (const Object &object : objects)
        listed.insert({ object.kind, object.name });
    std::vector<Object> unlisted;
    for (const auto &[key, object] : objects_) {
        if (!object.deleted && listed.count(key) == 0)
            unlisted.push_back(object);
    }
    for (Object &object : unlisted) {
        object.deleted = true;
        object.version = revision;
        object.value.clear();
        store(object);
        decode(object);
    }
}

// Returns whether the object was newer than the stored one. The audit trail is not
// stored: no decision reads it, and it grows without bound.
bool View::store(const Object &object)
{
    if (object.kind == kind::audit)
        return false;
    Object &stored = objects_[{ object.kind, object.name }];
    if (object.version <= stored.version)
        return false;
    stored = object;
    return true;
}

void View::decode(const Object &object)
{
    if (object.kind == kind::keys)
        decodeKeys(object);
    else if (object.kind == kind::targets)
        decodeTargets(object);
    else if (object.kind == kind::vms)
        decodeVms(object);
    else if (object.kind == kind::rollout)
        decodeRollout(object);
    else if (object.kind == kind::bundle)
        parsedBundles_.erase(object.name);
}

void View::decodeKeys(const Object &object)
{
    const TeamId team(object.name);
    for (auto it = teams_.begin(); it != teams_.end();) {
        if (it->second == team)
            it = teams_.erase(it);
        else
            ++it;
    }
    if (object.deleted)
        return;
    absl::StatusOr<std::vector<KeyDigest>> digests = decodeKeyDigests(object.value);
    if (!digests.ok()) {
        decodeErrors_.push_back("keys of team \"" + object.name
                                + "\": " + std::string(digests.status().message()));
        return;
    }
    for (const KeyDigest &digest : *digests)
        teams_[digest] = team;
}

void View::decodeTargets(const Object &object)
{
    const ServiceId service(object.name);
    if (object.deleted) {
        targets_.erase(service);
        return;
    }
    absl::StatusOr<std::vector<Target>> targets = decodeTargetList(service, object.value);
    if (!targets.ok()) {
        decodeErrors_.push_back("targets of service \"" + object.name
                                + "\": " + std::string(targets.status().message()));
        return;
    }
    targets_[service] = *std::move(targets);
}

void View::decodeVms(const Object &object)
{
    if (object.deleted)
        return;
    absl::StatusOr<std::vector<Vm>> vms = decodeVmList(object.value);
    if (!vms.ok()) {
        decodeErrors_.push_back("list of VMs: " + std::string(vms.status().message()));
        return;
    }
    vms_ = *std::move(vms);
}

void View::decodeRollout(const Object &object)
{
    if (object.deleted)
        return;
    absl::StatusOr<Rollout> rollout = hooks_.parseRollout(object.value);
    if (!rollout.ok()) {
        decodeErrors_.push_back("rollout \"" + object.name
                                + "\": " + std::string(rollout.status().message()));
        return;
    }
    rollout_ = *std::move(rollout);
    rolloutVersion_ = object.version;
}

// A roll-out may arrive before the bundle that it names; the last bundle stays in
// force until both have arrived.
void View::resolveBundles()
{
    if (rollout_.bundle.empty())
        return;
    BundlePointer named = findBundle(rollout_.bundle);
    if (named == nullptr)
        return;
    bundle_ = named;
    previousBundle_ = rollout_.previous.empty() ? nullptr : findBundle(rollout_.previous);
}

BundlePointer View::findBundle(const std::string &version)
{
    auto cached = parsedBundles_.find(version);
    if (cached != parsedBundles_.end())
        return cached->second;
    const Object *object = find(kind::bundle, version);
    if (object == nullptr)
        return nullptr;
    absl::StatusOr<std::string> toml = decodeBundleText(object->value);
    absl::StatusOr<Bundle> bundle = toml.ok() ? hooks_.parseBundle(*toml) : toml.status();
    BundlePointer result;
    if (bundle.ok()) {
        bundle->version = version;
        result = std::make_shared<const Bundle>(*std::move(bundle));
    } else {
        decodeErrors_.push_back("bundle \"" + version
                                + "\": " + std::string(bundle.status().message()));
    }
    parsedBundles_[version] = result;
    return result;
}

std::optional<TeamId> View::teamOf(const KeyDigest &digest) const
{
    auto found = teams_.find(digest);
    if (found == teams_.end())
        return std::nullopt;
    return found->second;
}

const std::vector<Target> &View::targetsOf(const ServiceId &service) const
{
    static const std::vector<Target> none;
    auto found = targets_.find(service);
    return found == targets_.end() ? none : found->second;
}

const Object *View::find(const std::string &kind, const std::string &name) const
{
    auto found = objects_.find({ kind, name });
    if (found == objects_.end() || found->second.deleted)
        return nullptr;
    return &found->second;
}

std::vector<Object> View::changedSince(Revision after) const
{
    std::vector<Object> changed;
    for (const auto &[key, object] : objects_) {
        if (object.version > after)
            changed.push_back(object);
    }
    return changed;
}

std::vector<std::string> View::takeDecodeErrors()
{
    return std::exchange(decodeErrors_, {});
}

} // namespace bluebellshift::core
