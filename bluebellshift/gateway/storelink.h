// Maintains this VM's copies of the store's registries: decides which call to make next and
// applies the results.
//
//   StoreLink link(hooks);
//   link.start(random, now);            // hooks.perform gets ListRegistry effects
//   link.onListed(listed, now);         // hooks.onEntry gets each entry that changed
//   link.onTimer(now);                  // at or after link.nextWake()
//
// A registry is listed once and then watched. If the history that a watch needs has been
// discarded, the registry is listed again. After maxConsecutiveFailures the store counts as
// lost: then one call at a time probes whether it has returned, so that an outage causes
// little load. While the store is lost, all known entries are kept.
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
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "bluebellshift/gateway/effect.h"
#include "bluebellshift/gateway/event.h"

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
    // Called when a list of VMs differs from the one before, with the differences.
    std::function<void(const RegistryChanged &, Revision after)> onVmsChanged;
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
    static constexpr int maxConsecutiveFailures = 2; // then the store counts as lost
    // Between lines about ignored data of one registry.
    static constexpr Duration ignoredLogInterval = Duration::seconds(1);
    // The number of removed entries of a registry that are remembered: more than the targets of
    // a large deployment, of which all may be replaced at once.
    static constexpr std::size_t maxGoneEntries = 1024;

    explicit StoreLink(StoreLinkHooks hooks);

    void start(std::uint64_t random, Instant now);
    void onListed(const RegistryListed &listed, Instant now);
    void onChanged(const RegistryChanged &changed, Instant now);
    void onFailed(const RegistryFailed &failed, std::uint64_t random, Instant now);
    void onTimer(Instant now);
    Instant nextWake() const;

    void setMode(StoreMode mode, Instant now);
    StoreMode mode() const { return mode_; }
    // Call when a VM that reads has reported a revision.
    void onReportedRevision(Registry registry, Revision revision, Instant now);
    // Call when a VM that reads has sent the changes after a revision. They are applied even
    // while the store is lost.
    void onReportedChanges(const RegistryChanged &changed, Revision after, Instant now);
    // Call when a VM that reads has sent all entries of a registry as of its last change.
    // Nothing older than what is known is applied.
    void onReportedEntries(Registry registry, const std::vector<RegistryEntry> &entries,
                           Revision revision, Instant now);
    // The revision from which the registry's watch continues.
    Revision revision(Registry registry) const { return stateOf(registry).revision; }
    // The revision of the last change that was received.
    Revision lastChangeRevision(Registry registry) const { return stateOf(registry).lastChange; }
    // The earliest of the times at which the store last confirmed each watched registry.
    Instant confirmedAt() const;

    // The number of entries that exist but can't be read.
    std::size_t unreadableCount() const;

    // The number of removed entries of a registry that are remembered.
    std::size_t goneCount(Registry registry) const { return stateOf(registry).gone.size(); }

    // Lists a registry that isn't watched again as soon as possible.
    void refresh(Registry registry, Instant now);

    bool isListed(Registry registry) const { return stateOf(registry).isListed; }
    bool isLost() const { return isLost_; }
    // When the store last returned; never() if it has not been lost yet.
    Instant regainedAt() const { return regainedAt_; }
    // The era that the store's last response told; 0: none did.
    StoreEra era() const { return era_; }
    // Lists and entries that were ignored because newer ones are known.
    std::uint64_t ignoredCount() const { return ignoredCount_; }
    // When the store, or a VM that reads it, last confirmed a registry; never() if it never did.
    Instant confirmedAt(Registry registry) const { return stateOf(registry).confirmedAt; }
    // When the store last responded.
    Instant lastResponseAt() const { return lastResponseAt_; }

private:
    struct Known
    {
        Revision revision;
        bool isUnreadable = false;
    };
    struct Gone
    {
        Revision revision; // of the removal, or of the entry's last change
        Revision at;       // of the response that showed the removal
        std::uint64_t number = 0;
    };
    struct State
    {
        bool isListed = false;
        bool isBusy = false;              // a call is in progress
        Instant dueAt = Instant::never(); // time of the next call, if not busy; never(): none
        Instant calledAt;                 // of the latest call; of a list, its first page
        bool mustList = true;
        std::string listedUpTo; // last legible name of the pages received so far
        bool isFirstPage = true;
        Revision listedAt;             // of the first page
        std::size_t listedEntries = 0; // in the pages received so far
        std::size_t listedBytes = 0;
        Revision newestEntry; // of the entries listed so far
        Revision revision;    // to watch from
        Revision lastChange;  // revision of the last change
        Instant confirmedAt = Instant::never();
        std::unordered_set<std::string> listedNames;  // keys in the current list
        std::vector<RegistryEntry> listedChanges;     // of the current list, against the known
        std::unordered_map<std::string, Known> known; // by keyOf
        // Removed entries, so that an outdated response does not bring them back.
        std::unordered_map<std::string, Gone> gone;
        std::deque<std::pair<std::uint64_t, std::string>> goneKeys; // the oldest first
        std::uint64_t goneNumber = 0;
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
    // `at` is the revision of the response that contains the entry.
    void apply(Registry registry, RegistryEntry entry, Revision at, Instant now,
               bool isFromList = false);
    void applyListed(Registry registry, const RegistryEntry &entry, Revision at, Instant now);
    void finishList(Registry registry, Instant now);
    static void keepUnlisted(State &state);
    void removeUnlisted(Registry registry);
    Instant nextPoll(Registry registry, bool hasChanged, Instant now) const;
    static void readNewest(State &state);
    static void rememberGone(State &state, const std::string &key, Revision revision, Revision at);
    void stopCalling(Registry registry);
    void recordResponse(Instant now);
    void recordEra(StoreEra era);
    // `known` is what `ignored` is older than.
    void recordIgnored(Registry registry, const char *what, Revision ignored, Revision known,
                       Instant now);
    void logResponse(const core::LogEvent &event, Registry registry, std::size_t entries,
                     std::size_t bytes, Instant now) const;

    const StoreLinkHooks hooks_;
    std::array<State, registryCount> states_;
    StoreMode mode_ = StoreMode::Follows; // until the VMs are known
    int consecutiveFailures_ = 0;         // over all registries
    bool isLost_ = false;
    Instant lostAt_ = Instant::never();
    Instant regainedAt_ = Instant::never();
    Instant lastResponseAt_ = Instant::never();
    StoreEra era_;
    std::uint64_t ignoredCount_ = 0;
};

} // namespace bluebellshift::gateway
