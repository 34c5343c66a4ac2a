// The objects of the platform with one revision counter for all of them.
//
//   PlatformStore store(1000);
//   StoreWriteResult first = store.write("keys", "multan", Revision(0), "[]");
//   StoreChanges since = store.changesAfter(first.object.version);
//
// Pure logic: no threads, no clock, no network. Copying it takes a replica.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/object.h"

namespace bluebellshift::standin {

struct StoreWriteResult
{
    bool isDone = false;
    core::Object object; // as stored now; version 0 when there is none
};

struct StoreChanges
{
    core::Revision revision;
    bool isComplete = false; // `objects` is all of them, not only those changed
    std::vector<core::Object> objects;
};

class PlatformStore
{
public:
    // Remembers the newest `maxTombstones` deletions.
    explicit PlatformStore(std::size_t maxTombstones);

    core::Revision revision() const { return revision_; }

    // Returns nothing when the object does not exist.
    std::optional<core::Object> read(const std::string &kind, const std::string &name) const;

    // Writes if the object's version is `expected`; 0: if it does not exist.
    StoreWriteResult write(const std::string &kind, const std::string &name,
                           core::Revision expected, const std::string &value);

    // Deletes if the object exists with the version `expected`.
    StoreWriteResult remove(const std::string &kind, const std::string &name,
                            core::Revision expected);

    // Returns what changed after `after`, oldest first. Returns all objects
    // when `after` is 0, newer than the store, or older than a forgotten
    // deletion.
    StoreChanges changesAfter(core::Revision after) const;

    // Returns all objects.
    StoreChanges list() const;

private:
    using Key = std::pair<std::string, std::string>; // kind and name

    StoreWriteResult current(const std::string &kind, const std::string &name) const;
    void put(core::Object object);
    void dropOldTombstones();

    const std::size_t maxTombstones_;
    core::Revision revision_;
    core::Revision newestDroppedTombstone_;    // the newest deletion forgotten
    std::map<Key, core::Object> objects_;      // with those deleted
    std::map<core::Revision, Key> byVersion_;  // every entry of objects_
    std::map<core::Revision, Key> tombstones_; // entries of objects_ that are deleted
};

} // namespace bluebellshift::standin
