// Keeps this VM's copies of the store's registries: which call to make next, and what
// its result means.
//
//   StoreLink link(options, hooks);
//   link.start(now);                    // hooks.perform gets ListRegistry effects
//   link.onListed(listed, now);         // hooks.onEntry gets each entry that changed
//   link.onTimer(now);                  // at or after link.nextWake()
//
// A registry is listed once and watched from there. A watch whose history is gone is
// followed by a new list. After two failures one after another the store counts as
// lost: one call at a time asks whether it is back, so that an outage costs little.
// While it is lost nothing that is known is forgotten.
//
// In a large fleet a few VMs read for all: they watch with short waits and tell the
// others which revision changed, and one of them what changed of the targets. A VM that
// follows them calls the store only for what it isn't told.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"

namespace bluebellshift::gateway {

// How a VM learns of changes.
enum class StoreMode {
    Watches, // by its own watches
    Reads,   // likewise, with short waits, so that others can rely on it
    Follows, // from VMs that read; it asks the store when they tell of a change
};

struct StoreLinkHooks
{
    std::function<void(Effect)> perform;
    // An entry is new, changed or gone.
    std::function<void(Registry, const RegistryEntry &)> onEntry;
    // A registry has been listed in full.
    std::function<void(Registry)> onListed;
    std::function<void(core::LogRecord)> log;
};

class StoreLink
{
public:
    static constexpr Duration callTimeout = Duration::millis(1000);
    // A watch that the store has forgotten is found out after this and watchMargin,
    // which must stay under the users' contact time.
    static constexpr Duration watchWait = Duration::millis(2800);
    static constexpr Duration watchMargin = Duration::millis(600); // for the answer to come
    static constexpr Duration readerWatchWait =
        Duration::millis(900); // of a VM that reads for others
    static constexpr Duration readerWatchMargin = Duration::millis(500);
    static constexpr Duration pollInterval = Duration::seconds(4); // of what is not watched
    // While lists of it still bring new entries: a fleet that starts finds itself soon, and
    // most of its VMs then stop watching for themselves.
    static constexpr Duration pollIntervalWhileGrowing = Duration::millis(700);
    static constexpr Duration initialRetryDelay = Duration::millis(30);
    // With probeTimeout, the store's return is noticed within 0.8 s: what lapsed meanwhile
    // must be given its two seconds within the users' contact time.
    static constexpr Duration maxRetryDelay = Duration::millis(300);
    static constexpr Duration probeTimeout = Duration::millis(500); // while it is lost
    // A VM that follows waits this long after hearing that targets changed to be told how.
    static constexpr Duration targetUpdateWait = Duration::millis(350);
    // After a change, the next watch begins this much later: changes come in groups.
    static constexpr Duration changeBatchTime = Duration::millis(300);
    static constexpr int maxConsecutiveFailures = 2; // one after another

    explicit StoreLink(StoreLinkHooks hooks);

    void start(std::uint64_t random, Instant now);
    void onListed(const RegistryListed &listed, Instant now);
    void onChanged(const RegistryChanged &changed, Instant now);
    void onFailed(const RegistryFailed &failed, std::uint64_t random, Instant now);
    void onTimer(Instant now);
    Instant nextWake() const;

    void setMode(StoreMode mode, Instant now);
    StoreMode mode() const { return mode_; }
    // A VM that reads has seen a change of that revision.
    void onReportedRevision(Registry registry, Revision revision, Instant now);
    // It has told what changed after a revision.
    void onReportedChanges(const RegistryChanged &changed, Revision after, Instant now);
    // Where the registry's watch continues from.
    Revision revision(Registry registry) const { return stateOf(registry).revision; }
    // The revision of the last change that was seen.
    Revision lastChangeRevision(Registry registry) const { return stateOf(registry).lastChange; }
    // Since when the store's last confirmation of each watched registry is the oldest.
    Instant confirmedAt() const;

    // Lists a registry again as soon as may be; for one that isn't watched.
    void refresh(Registry registry, Instant now);

    bool isListed(Registry registry) const { return stateOf(registry).isListed; }
    bool isLost() const { return isLost_; }
    // When the store last came back; never if it was not lost yet.
    Instant regainedAt() const { return regainedAt_; }
    // When an answer last came.
    Instant lastResponseAt() const { return lastResponseAt_; }

private:
    struct State
    {
        bool isListed = false;
        bool isBusy = false;              // a call is under way
        Instant dueAt = Instant::never(); // of the next call, if not busy; never: none
        bool mustList = true;
        bool hasNewEntries = false; // the list under way brought an entry that was not known
        std::string listedUpTo;     // the last name of the pages so far
        bool isFirstPage = true;
        Revision listedAt;   // of the first page
        Revision revision;   // to watch from
        Revision lastChange; // of the last change
        Instant confirmedAt = Instant::never();
        std::unordered_set<std::string> listedNames; // by the list under way
        std::unordered_map<std::string, Revision> known;
    };

    State &stateOf(Registry registry) { return states_[static_cast<std::size_t>(registry)]; }
    const State &stateOf(Registry registry) const
    {
        return states_[static_cast<std::size_t>(registry)];
    }
    static bool isWatched(Registry registry);

    void call(Registry registry, Instant now);
    void apply(Registry registry, const RegistryEntry &entry);
    void finishList(Registry registry, Instant now);
    void recordResponse(Instant now);

    const StoreLinkHooks hooks_;
    std::array<State, registryCount> states_;
    StoreMode mode_ = StoreMode::Watches;
    int consecutiveFailures_ = 0; // one after another, over all registries
    bool isLost_ = false;
    Instant lostAt_ = Instant::never();
    Instant regainedAt_ = Instant::never();
    Instant lastResponseAt_ = Instant::never();
};

} // namespace bluebellshift::gateway
