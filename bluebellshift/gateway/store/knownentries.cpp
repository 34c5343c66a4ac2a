#include "bluebellshift/gateway/store/knownentries.h"

#include <algorithm>

namespace bluebellshift::gateway::store {
namespace {

// The key of an entry in a registry. A legible part must not hide the entry that has it as its
// name; 0xFF occurs in no UTF-8 text.
std::string keyOf(const RegistryEntry &entry)
{
    return entry.isNamed ? entry.name : '\xff' + entry.name;
}

bool isUnreadable(const RegistryEntry &entry)
{
    return !entry.isGone && std::holds_alternative<UnreadableEntry>(entry.value);
}

} // namespace

// A watch starts from a list's first page, so that its events may be older than the last page.
KnownEntries::Outcome KnownEntries::apply(RegistryEntry &entry, StoreRevision at, Source source)
{
    const std::string key = keyOf(entry);
    if (source == Source::List)
        listed_.insert(key);
    const auto known = entries_.find(key);
    if (isUnreadable(entry) && entry.revision == Revision()) {
        // Its revision can't be read either. It replaces what is known, once.
        if (known != entries_.end() && known->second.isUnreadable
            && known->second.revision.era() == at.era())
            return {};
        entry.revision = at.number();
    }
    const StoreRevision revision(at.era(), entry.revision);
    if (known != entries_.end()) {
        const StoreRevision &other = known->second.revision;
        if (other.isNewerThan(revision))
            return { Verdict::Outdated, other };
        if (!entry.isGone && other == revision)
            return {};
    }
    if (entry.isGone) {
        rememberGone(key, revision, at);
        return { entries_.erase(key) > 0 ? Verdict::Changed : Verdict::Unchanged, {} };
    }
    // A late response of a watch or an older update of a reader must not bring back an entry.
    // A list that is newer than the removal decides.
    const auto gone = gone_.find(key);
    if (gone != gone_.end() && !revision.isNewerThan(gone->second.revision)
        && (source != Source::List || !at.isNewerThan(gone->second.at)))
        return { Verdict::Outdated, gone->second.revision };
    gone_.erase(key);
    entries_[key] = { revision, isUnreadable(entry) };
    return { Verdict::Changed, {} };
}

void KnownEntries::keepUnlisted()
{
    for (const auto &[key, entry] : entries_)
        listed_.insert(key);
}

std::vector<std::string> KnownEntries::takeUnlisted(StoreRevision listedAt)
{
    std::vector<std::string> unlisted;
    for (const auto &[key, entry] : entries_) {
        // A list that may be stale lacks entries that are newer than it.
        if (listed_.count(key) == 0 && !entry.revision.isNewerThan(listedAt))
            unlisted.push_back(key);
    }
    for (const std::string &key : unlisted) {
        entries_.erase(key);
        rememberGone(key, listedAt, listedAt);
    }
    listed_.clear();
    return unlisted;
}

std::size_t KnownEntries::unreadableCount() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto &entry) { return entry.second.isUnreadable; }));
}

void KnownEntries::rememberGone(const std::string &key, StoreRevision revision, StoreRevision at)
{
    Gone &gone = gone_[key];
    gone.revision = core::newerOf(gone.revision, revision);
    gone.at = core::newerOf(gone.at, at);
    gone.number = ++goneNumber_;
    goneKeys_.emplace_back(gone.number, key);
    while (goneKeys_.size() > maxGoneEntries) {
        const auto &[number, oldest] = goneKeys_.front();
        const auto found = gone_.find(oldest);
        if (found != gone_.end() && found->second.number == number)
            gone_.erase(found);
        goneKeys_.pop_front();
    }
}

} // namespace bluebellshift::gateway::store
