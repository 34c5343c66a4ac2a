// The view: all objects of the platform at one store revision, decoded, without the
// audit trail.
//
//   View view({ parseBundle, parseRollout });
//   switch (view.install(revision, isComplete, objects)) { ... }
//   std::optional<TeamId> team = view.teamOf(digest);
//
// The revision of a view never decreases. If an object can't be decoded, its last
// valid version stays in force, except for a team's keys, which fail closed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/roster.h"

namespace bluebellshift::core {

class View
{
public:
    struct Hooks
    {
        std::function<absl::StatusOr<Bundle>(std::string_view toml)> parseBundle;
        std::function<absl::StatusOr<Rollout>(const std::string &json)> parseRollout;
    };

    enum class InstallResult {
        Newer, // the view advanced
        Same,  // nothing changed; the view was confirmed
        Older, // ignored: older than this view, or a delta that doesn't apply to it
    };

    explicit View(Hooks hooks);

    // Applies the result of a watch, a list or a peer's reply. `after` is the revision
    // that the request named as this view's; a delta from a revision that this view
    // has not reached is ignored as Older.
    InstallResult install(Revision after, Revision revision, bool isComplete,
                          const std::vector<Object> &objects);

    // 0 until the first install.
    Revision revision() const { return revision_; }

    // Returns the bundle that the roll-out names; null before the first one.
    BundlePointer bundle() const { return bundle_; }
    // Returns the bundle from which traffic moves away; null when no traffic moves.
    BundlePointer previousBundle() const { return previousBundle_; }
    const Rollout &rollout() const { return rollout_; }
    Revision rolloutVersion() const { return rolloutVersion_; }

    std::optional<TeamId> teamOf(const KeyDigest &digest) const;
    const std::vector<Vm> &vms() const { return vms_; }
    const std::vector<Target> &targetsOf(const ServiceId &service) const;
    const std::map<ServiceId, std::vector<Target>> &targets() const { return targets_; }

    // Returns the stored object, or null if it doesn't exist or is deleted.
    const Object *find(const std::string &kind, const std::string &name) const;

    // Returns the objects changed after a revision, deleted ones included.
    std::vector<Object> changedSince(Revision after) const;

    // Returns one message for each object that failed to decode since the last call.
    std::vector<std::string> takeDecodeErrors();

private:
    using Key = std::pair<std::string, std::string>;

    void removeUnlisted(Revision revision, const std::vector<Object> &objects);
    bool store(const Object &object);
    void decode(const Object &object);
    void decodeKeys(const Object &object);
    void decodeTargets(const Object &object);
    void decodeVms(const Object &object);
    void decodeRollout(const Object &object);
    void resolveBundles();
    BundlePointer findBundle(const std::string &version);

    Hooks hooks_;
    Revision revision_;
    std::map<Key, Object> objects_;
    std::unordered_map<KeyDigest, TeamId> teams_;
    std::map<ServiceId, std::vector<Target>> targets_;
    std::vector<Vm> vms_;
    Rollout rollout_;
    Revision rolloutVersion_;
    BundlePointer bundle_;
    BundlePointer previousBundle_;
    std::map<std::string, BundlePointer> parsedBundles_; // by bundle version
    std::vector<std::string> decodeErrors_;
};

} // namespace bluebellshift::core
