// What a VM knows of one registry of the store, and the only place that decides whether an entry
// is newer than that.
//
//   KnownEntries known;
//   known.apply(entry, at, KnownEntries::Source::Watch); // Changed: use it
//   known.beginList(); ... apply(..., Source::List) ...  // all pages of a list
//   known.takeUnlisted(at);                              // names that the list no longer has
//
// All entries of a later era are newer than those of an earlier one, so that the first list of
// a restored store replaces all that is known.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway::store {

class KnownEntries
{
public:
    // The number of removed entries that are remembered: more than the targets of a large
    // deployment, of which all may be replaced at once.
    static constexpr std::size_t maxGoneEntries = 1024;

    enum class Source { Watch, List };
    enum class Verdict {
        Changed,   // it replaces what is known
        Unchanged, // it is known already, or its removal is
        Outdated,  // a newer state of it is known
    };
    struct Outcome
    {
        Verdict verdict = Verdict::Unchanged;
        StoreRevision known; // Outdated: of the newer state
    };

    // Records an entry of a response as of `at` unless it is older than what is known. An
    // unreadable entry without a revision gets that of the response.
    Outcome apply(RegistryEntry &entry, StoreRevision at, Source source);

    void beginList() { listed_.clear(); }
    // Treats all known entries as listed, for a list whose further pages can't be requested.
    void keepUnlisted();
    // Removes the entries that the list did not contain although it is as new as they are, and
    // returns their names. Ends the list.
    std::vector<std::string> takeUnlisted(StoreRevision listedAt);

    bool contains(const std::string &name) const { return entries_.count(name) != 0; }
    bool isEmpty() const { return entries_.empty(); }
    std::size_t unreadableCount() const;
    std::size_t goneCount() const { return gone_.size(); }

private:
    struct Entry
    {
        StoreRevision revision;
        bool isUnreadable = false;
    };
    struct Gone
    {
        StoreRevision revision; // of the removal, or of the entry's last change
        StoreRevision at;       // of the response that showed the removal
        std::uint64_t number = 0;
    };

    void rememberGone(const std::string &key, StoreRevision revision, StoreRevision at);

    std::unordered_map<std::string, Entry> entries_; // by key
    std::unordered_set<std::string> listed_;         // keys in the current list
    // Removed entries, so that an outdated response does not bring them back.
    std::unordered_map<std::string, Gone> gone_;
    std::deque<std::pair<std::uint64_t, std::string>> goneKeys_; // the oldest first
    std::uint64_t goneNumber_ = 0;
};

} // namespace bluebellshift::gateway::store
