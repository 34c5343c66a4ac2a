// Stores the platform's objects, with one revision counter for all of them.
//
//   PlatformStore store(1000);
//   StoreWriteResult first = store.write("keys", "multan", Revision(0), "[]");
//   StoreChanges since = store.changesAfter(first.object.version);
//
// Pure logic without threads, clock or network. A copy is an independent replica.
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
    core::Object object; // as now stored; version 0 if it does not exist
};

struct StoreChanges
{
    core::Revision revision;
    bool isComplete = false; // `objects` has all objects, not only the changed ones
    std::vector<core::Object> objects;
};

class PlatformStore
{
public:
    // Keeps the tombstones of the newest `maxTombstones` deletions.
    explicit PlatformStore(std::size_t maxTombstones);

    core::Revision revision() const { return revision_; }

    // Returns nullopt if the object does not exist.
    std::optional<core::Object> read(const std::string &kind, const std::string &name) const;

    // Writes if the object's version is `expected`; 0 means that it does not exist.
    StoreWriteResult write(const std::string &kind, const std::string &name,
                           core::Revision expected, const std::string &value);

    // Deletes the object if it exists with the version `expected`.
    StoreWriteResult remove(const std::string &kind, const std::string &name,
                            core::Revision expected);

    // Returns the changes after `after`, oldest first. Returns all objects if
    // `after` is 0, newer than the store, or older than a dropped tombstone.
    StoreChanges changesAfter(core::Revision after) const;

    // Returns all objects that exist.
    StoreChanges list() const;

private:
    using Key = std::pair<std::string, std::string>; // kind and name

    StoreWriteResult current(const std::string &kind, const std::string &name) const;
    void put(core::Object object);
    void dropOldTombstones();

    const std::size_t maxTombstones_;
    core::Revision revision_;
    core::Revision newestDroppedTombstone_;    // the version of that deletion
    std::map<Key, core::Object> objects_;      // including tombstones
    std::map<core::Revision, Key> byVersion_;  // every entry of objects_
    std::map<core::Revision, Key> tombstones_; // the tombstones in objects_
};

} // namespace bluebellshift::standin
