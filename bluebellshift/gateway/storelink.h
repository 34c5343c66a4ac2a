// Maintains this VM's copies of the store's registries: decides which call to make next and
// applies the results.
//
//   StoreLink link(hooks);
//   link.start(random, now);            // hooks.perform gets ListRegistry effects
//   link.onListed(listed, now);         // hooks.onEntry gets each entry that changed
//   link.onTimer(now);                  // at or after link.nextWake()
//
// A registry is listed once and then watched. If the history that a watch needs has been
// discarded, the registry is listed again. After several failures in a row the store counts as
// lost: then one call at a time probes whether it has returned, so that an outage causes
// little load (store/outagedetector.h). While the store is lost, all known entries are kept. A call
// that fails or tells nothing new is followed by a wait that grows (store/callpacer.h).
//
// When a response of the store, or a report of another VM, tells a later era, the store has been
// restored from an older copy. All registries are then listed again. Known entries stay in use
// until the list of their registry is complete; isRestoring() tells which are still to come, and
// which entries come from such a list. Responses of earlier eras are dropped.
//
// A watch returns each version since its revision. The configuration is therefore listed wherever
// several may have been missed: after a change, after the store was lost, and by a VM that begins
// to watch after it has followed others.
//
// In a large fleet a few VMs read the store for all. They use short watches and report the
// revisions of changes to the other VMs; one of them also sends the changes of targets. A
// VM that follows them calls the store only for changes that it was not sent.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"
#include "bluebellshift/gateway/store/callpacer.h"
#include "bluebellshift/gateway/store/knownentries.h"
#include "bluebellshift/gateway/store/outagedetector.h"

namespace bluebellshift::gateway {

// How a VM obtains changes.
enum class StoreMode {
    Watches, // by its own watches
    Reads,   // by its own short watches, whose results other VMs use
    Follows, // from VMs that read; it calls the store for changes that they only announce
};

const char *toText(StoreMode mode);

struct StoreLinkHooks
{
    std::function<void(Effect)> perform;
    // Called for each entry that is new, changed or gone.
    std::function<void(Registry, const RegistryEntry &)> onEntry;
    // Called when a registry has been listed completely.
    std::function<void(Registry)> onListed;
    // Called when a list of VMs differs from the one before, with the differences since `after`;
    // and with all entries of targets or VMs when they have been listed in a later era.
    std::function<void(const RegistryChanged &, StoreRevision after)> onListChanged;
    // Called when the store has told a later era; its lists follow.
    std::function<void()> onRestored;
    std::function<void(core::LogRecord)> log;
};

class StoreLink
{
public:
    static constexpr Duration callTimeout = Duration::millis(1000);
    // A watch that the store has dropped is detected after watchWait and watchMargin. The sum
    // must be less than the users' limit for the time without contact to the store.
    static constexpr Duration watchWait = Duration::millis(2800);
    static constexpr Duration watchMargin = Duration::millis(600);     // for the response to arrive
    static constexpr Duration readerWatchWait = Duration::millis(700); // if it reads for others
    static constexpr Duration readerWatchMargin = Duration::millis(500);
    static constexpr Duration pollInterval = Duration::seconds(4);       // of unwatched registries
    static constexpr Duration readerPollInterval = Duration::seconds(1); // if it reads for others
    // Used while lists still return new entries, so that the VMs of a starting fleet find each
    // other quickly and most of them can stop watching the store themselves.
    static constexpr Duration pollIntervalWhileGrowing = Duration::millis(700);
    static constexpr Duration initialRetryDelay = Duration::millis(30);
    // Together with probeTimeout, detects the store's return within 0.8 s. Lapsed targets get
    // two seconds from then on, and both must fit into the users' limit for the time without
    // contact to the store.
    static constexpr Duration maxRetryDelay = Duration::millis(300);
    static constexpr Duration probeTimeout = Duration::millis(500); // while the store is lost
    // How long a VM that follows waits for the changes of targets or VMs after their revision
    // was reported, before it calls the store.
    static constexpr Duration updateWait = Duration::millis(350);
    // Delay of the next watch after a change, since changes come in groups.
    static constexpr Duration changeBatchTime = Duration::millis(300);
    // Between lines about ignored data of one registry.
    static constexpr Duration ignoredLogInterval = Duration::seconds(1);
    // The longest wait between calls for a registry whose calls succeed and tell nothing new, as
    // when the store keeps too little history for its watches. Half of what a change may take.
    static constexpr Duration maxUnproductiveDelay = Duration::millis(1000);
    // Until then a stale list may be from before the store was restored.
    static constexpr Duration maxStaleness = Duration::seconds(10);
    // Within this time after a new era all registries are listed, so that the VMs of a large fleet
    // stay below the store's rate.
    static constexpr Duration restoreSpread = Duration::millis(500);

    explicit StoreLink(StoreLinkHooks hooks);

    void start(std::uint64_t random, Instant now);
    void onListed(const RegistryListed &listed, Instant now);
    // Returns whether the changes were taken; those of an earlier era or an abandoned call are not.
    bool onChanged(const RegistryChanged &changed, Instant now);
    void onFailed(const RegistryFailed &failed, Instant now);
    // Call when a response to a write, or another VM, has told the store's era.
    void onEraTold(StoreEra era, Instant now);
    void onTimer(Instant now);
    Instant nextWake() const;

    void setMode(StoreMode mode, Instant now);
    StoreMode mode() const { return mode_; }
    // Call when a VM that reads has reported a revision.
    void onReportedRevision(Registry registry, StoreRevision revision, Instant now);
    // Call when a VM that reads has sent the changes after a revision, or all entries if
    // `isComplete`. They are applied even while the store is lost.
    void onReportedChanges(const RegistryChanged &changed, StoreRevision after, bool isComplete,
                           Instant now);
    // Call when a VM that reads has sent all entries of a registry as of its last change.
    // Nothing older than what is known is applied.
    void onReportedEntries(Registry registry, std::vector<RegistryEntry> entries,
                           StoreRevision revision, Instant now);
    // The revision from which the registry's watch continues.
    StoreRevision revision(Registry registry) const { return stateOf(registry).revision; }
    // The revision of the last change that was received.
    StoreRevision lastChangeRevision(Registry registry) const
    {
        return stateOf(registry).lastChange;
    }
    // The earliest of the times at which the store last confirmed each watched registry.
    Instant confirmedAt() const;

    // The number of entries that exist but can't be read.
    std::size_t unreadableCount() const;

    // The number of removed entries of a registry that are remembered.
    std::size_t goneCount(Registry registry) const { return stateOf(registry).known.goneCount(); }
    bool knowsAny(Registry registry) const { return !stateOf(registry).known.isEmpty(); }
    bool knows(Registry registry, const std::string &name) const
    {
        return stateOf(registry).known.contains(name);
    }

    // Lists a registry that isn't watched again as soon as possible.
    void refresh(Registry registry, Instant now);
    // Lists a registry from now on, in place of a call in progress.
    void listAnew(Registry registry, Instant now);

    bool isListed(Registry registry) const { return stateOf(registry).isListed; }
    // Whether another VM reported a change of a registry that this VM has not received.
    bool misses(Registry registry) const
    {
        const State &state = stateOf(registry);
        return state.isRestoring || state.reported.isNewerThan(state.revision);
    }
    // Whether a registry is known from an earlier era only, or its first list of this era is being
    // applied.
    bool isRestoring(Registry registry) const { return stateOf(registry).isRestoring; }
    // Whether calls fail, so that the store is probed.
    bool isLost() const { return outages_.isLost(); }
    // Whether the store is away, as a probe or a call without a response in time has shown.
    bool isOutage() const { return outages_.isOutage(); }
    // When calls last began to fail; never(): none did.
    Instant lostAt() const { return outages_.lostAt(); }
    // When the store last returned from an outage or told a later era; never() if it did neither.
    Instant returnedAt() const;
    // The latest era that the store or another VM told; 0: none did.
    StoreEra era() const { return era_; }
    // The time of that, if it was not the first one; never(): it was.
    Instant restoredAt() const { return restoredAt_; }
    // Lists and entries that were ignored because newer ones are known.
    std::uint64_t ignoredCount() const { return ignoredCount_; }
    // When the store, or a VM that reads it, last confirmed a registry; never() if it never did.
    Instant confirmedAt(Registry registry) const { return stateOf(registry).confirmedAt; }
    // When the store last responded.
    Instant lastResponseAt() const { return outages_.lastResponseAt(); }

private:
    struct State
    {
        bool isListed = false;
        bool isBusy = false;              // a call is in progress
        CallId call;                      // the latest one; responses to others are dropped
        Duration callWait;                // for how long the store may hold it
        Instant dueAt = Instant::never(); // time of the next call, if not busy; never(): none
        Instant calledAt;                 // of the latest call; of a list, its first page
        Instant beganAt;                  // of the latest call
        bool mustList = true;
        bool isRestoring = false;    // see isRestoring()
        bool hasFailed = false;      // the latest call; the next one is not held by the store
        bool isHistoryShort = false; // a watch failed for that, and none has succeeded since
        std::string listedUpTo;      // last legible name of the pages received so far
        bool isFirstPage = true;
        StoreRevision listedAt;        // of the first page
        std::size_t listedEntries = 0; // in the pages received so far
        std::size_t listedBytes = 0;
        StoreRevision newestEntry; // of the entries listed so far
        StoreRevision revision;    // to watch from
        StoreRevision lastChange;  // revision of the last change
        StoreRevision reported;    // the newest that another VM reported
        Instant confirmedAt = Instant::never();
        std::vector<RegistryEntry> listedChanges; // of the current list, against the known
        store::KnownEntries known;
        store::CallPacer pacer;
        Instant ignoredLoggedAt = Instant::never();
        std::uint64_t ignoredSinceLogged = 0;
    };

    State &stateOf(Registry registry) { return states_[static_cast<std::size_t>(registry)]; }
    const State &stateOf(Registry registry) const
    {
        return states_[static_cast<std::size_t>(registry)];
    }
    static bool isWatched(Registry registry);

    void call(Registry registry, Instant now);
    // Whether a response is one to use: of the current call and of the current era. A later era
    // than the known one begins with it.
    bool accept(Registry registry, CallId call, StoreEra era, Instant now);
    bool isCurrentCall(Registry registry, CallId call) const;
    // Whether any registry has been listed.
    bool knowsRegistries() const;
    void beginEra(StoreEra era, Instant now);
    // Drops the call in progress and the pages of its list.
    static void abandonCall(State &state);
    static void restartList(State &state);
    // Schedules the next call for a registry after one that told nothing new.
    void retryLater(State &state, Duration maxWait, Instant now);
    // Applies an entry of a response as of `at`; returns whether it changed what is known.
    void apply(Registry registry, RegistryEntry entry, StoreRevision at,
               store::KnownEntries::Source source, Instant now);
    // `isCutShort`: some entries could not be listed.
    void finishList(Registry registry, bool isCutShort, Instant now);
    void removeUnlisted(Registry registry);
    Instant nextPoll(Registry registry, bool hasChanged, Instant now) const;
    static void readNewest(State &state);
    void stopCalling(Registry registry);
    void recordResponse(Instant now);
    // `known` is what `ignored` is older than.
    void recordIgnored(Registry registry, const char *what, StoreRevision ignored,
                       StoreRevision known, Instant now);
    void logResponse(const core::LogEvent &event, Registry registry, std::size_t entries,
                     std::size_t bytes, Instant now) const;

    const StoreLinkHooks hooks_;
    std::array<State, registryCount> states_;
    StoreMode mode_ = StoreMode::Follows; // until the VMs are known
    store::OutageDetector outages_;
    StoreEra era_;
    Instant restoredAt_ = Instant::never();
    std::uint64_t lastCall_ = 0;
    std::uint64_t ignoredCount_ = 0;
};

} // namespace bluebellshift::gateway
