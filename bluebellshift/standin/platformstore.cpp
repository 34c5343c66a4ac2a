// Only the newest state of each object is kept and indexed by version, so that the
// changes after a revision are a range of the index: O(log n + changes). A
// deleted object stays as a tombstone; the oldest tombstones are dropped above the
// limit. A client whose revision is older than a dropped tombstone would miss that
// deletion, and gets all objects instead.
#include "bluebellshift/standin/platformstore.h"

namespace bluebellshift::standin {

using core::Object;
using core::Revision;

PlatformStore::PlatformStore(std::size_t maxTombstones)
    : maxTombstones_(maxTombstones)
{
}

std::optional<Object> PlatformStore::read(const std::string &kind, const std::string &name) const
{
    const auto found = objects_.find({ kind, name });
    if (found == objects_.end() || found->second.deleted)
        return std::nullopt;
    return found->second;
}

StoreWriteResult PlatformStore::current(const std::string &kind, const std::string &name) const
{
    StoreWriteResult result;
    result.object.kind = kind;
    result.object.name = name;
    if (const std::optional<Object> stored = read(kind, name))
        result.object = *stored;
    return result;
}

StoreWriteResult PlatformStore::write(const std::string &kind, const std::string &name,
                                      Revision expected, const std::string &value)
{
    StoreWriteResult result = current(kind, name);
    if (result.object.version != expected)
        return result;
    result.object.value = value;
    put(result.object);
    result.object.version = revision_;
    result.isDone = true;
    return result;
}

StoreWriteResult PlatformStore::remove(const std::string &kind, const std::string &name,
                                       Revision expected)
{
    StoreWriteResult result = current(kind, name);
    if (result.object.version == Revision() || result.object.version != expected)
        return result;
    result.object.value.clear();
    result.object.deleted = true;
    put(result.object);
    result.object.version = revision_;
    result.isDone = true;
    dropOldTombstones();
    return result;
}

void PlatformStore::put(Object object)
{
    const Key key { object.kind, object.name };
    const auto old = objects_.find(key);
    if (old != objects_.end()) {
        byVersion_.erase(old->second.version);
        tombstones_.erase(old->second.version);
    }
    revision_ = Revision(revision_.number() + 1);
    object.version = revision_;
    byVersion_[revision_] = key;
    if (object.deleted)
        tombstones_[revision_] = key;
    objects_[key] = std::move(object);
}

void PlatformStore::dropOldTombstones()
{
    while (tombstones_.size() > maxTombstones_) {
        const auto oldest = tombstones_.begin();
        newestDroppedTombstone_ = oldest->first;
        byVersion_.erase(oldest->first);
        objects_.erase(oldest->second);
        tombstones_.erase(oldest);
    }
}

StoreChanges PlatformStore::changesAfter(Revision after) const
{
    if (after == Revision() || after < newestDroppedTombstone_ || after > revision_)
        return list();
    StoreChanges changes;
    changes.revision = revision_;
    for (auto it = byVersion_.upper_bound(after); it != byVersion_.end(); ++it)
        changes.objects.push_back(objects_.at(it->second));
    return changes;
}

StoreChanges PlatformStore::list() const
{
    StoreChanges changes;
    changes.revision = revision_;
    changes.isComplete = true;
    for (const auto &[version, key] : byVersion_) {
        const Object &object = objects_.at(key);
        if (!object.deleted)
            changes.objects.push_back(object);
    }
    return changes;
}

} // namespace bluebellshift::standin
