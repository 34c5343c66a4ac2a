#include "bluebellshift/gateway/storelink.h"

#include <algorithm>
#include <unordered_set>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

using store::KnownEntries;

// In the order in which they are called, the smallest first: over a slow link a response
// waits for the larger ones before it.
constexpr std::array<Registry, registryCount> allRegistries = {
    Registry::Evacuations, Registry::PeerKeys, Registry::Vms, Registry::Targets, Registry::Traffic,
};

// The registry that is requested to probe a lost store: a small one.
constexpr Registry probedRegistry = Registry::Evacuations;

// A list that was begun again may contain an entry and its later removal.
std::vector<RegistryEntry> lastOfEach(std::vector<RegistryEntry> changes)
{
    std::unordered_set<std::string> names;
    std::vector<RegistryEntry> last;
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        if (names.insert(change->name).second)
            last.push_back(std::move(*change));
    }
    std::reverse(last.begin(), last.end());
    return last;
}

} // namespace

const char *toText(StoreMode mode)
{
    switch (mode) {
    case StoreMode::Watches:
        return "watches";
    case StoreMode::Reads:
        return "reads";
    case StoreMode::Follows:
        return "follows";
    }
    return "unknown";
}

StoreLink::StoreLink(StoreLinkHooks hooks)
    : hooks_(std::move(hooks))
{
}

bool StoreLink::isWatched(Registry registry)
{
    return registry != Registry::Vms && registry != Registry::PeerKeys;
}

void StoreLink::start(std::uint64_t random, Instant now)
{
    for (const Registry registry : allRegistries) {
        State &state = stateOf(registry);
        state.dueAt = now;
        state.pacer = store::CallPacer(mixHashes(random, static_cast<std::uint64_t>(registry)));
    }
    onTimer(now);
}

void StoreLink::onTimer(Instant now)
{
    for (const Registry registry : allRegistries) {
        const State &state = stateOf(registry);
        if (state.isBusy || state.dueAt == Instant::never() || now < state.dueAt)
            continue;
        if (isLost() && registry != probedRegistry)
            continue;
        call(registry, now);
    }
}

Instant StoreLink::nextWake() const
{
    Instant next = Instant::never();
    for (const Registry registry : allRegistries) {
        const State &state = stateOf(registry);
        if (state.isBusy || state.dueAt == Instant::never()
            || (isLost() && registry != probedRegistry))
            continue;
        next = next == Instant::never() ? state.dueAt : std::min(next, state.dueAt);
    }
    return next;
}

void StoreLink::refresh(Registry registry, Instant now)
{
    State &state = stateOf(registry);
    if (!state.isBusy)
        state.dueAt = now;
}

void StoreLink::listAnew(Registry registry, Instant now)
{
    State &state = stateOf(registry);
    abandonCall(state);
    state.mustList = true;
    state.dueAt = now;
}

void StoreLink::call(Registry registry, Instant now)
{
    State &state = stateOf(registry);
    state.isBusy = true;
    state.call = CallId(++lastCall_);
    state.beganAt = now;
    if (state.isFirstPage)
        state.calledAt = now;
    if (state.mustList || !isWatched(registry)) {
        // The first list of VMs must be current, later ones may lag behind. A key that is missing
        // from a stale list is created, and listed again if that shows that it exists.
        const bool isRestored = restoredAt_ != Instant::never() && now - restoredAt_ < maxStaleness;
        const bool mayBeStale = !isRestored
            && ((registry == Registry::Vms && state.isListed)
                || (registry == Registry::PeerKeys && !state.isListed));
        const Duration timeout = isLost() ? probeTimeout : callTimeout;
        hooks_.perform(
            ListRegistry { registry, state.listedUpTo, mayBeStale, timeout, state.call });
        return;
    }
    state.callWait = watchWait;
    Duration timeout = watchWait + watchMargin;
    if (isLost() || mode_ == StoreMode::Follows) {
        state.callWait = Duration();
        timeout = probeTimeout;
    } else if (mode_ == StoreMode::Reads) {
        state.callWait = readerWatchWait;
        timeout = readerWatchWait + readerWatchMargin;
    }
    if (!isLost() && state.hasFailed) { // does the store respond?
        state.callWait = Duration();
        timeout = callTimeout;
    }
    hooks_.perform(
        WatchRegistry { registry, state.revision.number(), state.callWait, timeout, state.call });
}

bool StoreLink::isCurrentCall(Registry registry, CallId call) const
{
    return call == CallId() || call == stateOf(registry).call;
}

void StoreLink::onEraTold(StoreEra era, Instant now)
{
    if (era <= era_)
        return;
    if (era_ == StoreEra() && !knowsRegistries())
        era_ = era;
    else
        beginEra(era, now);
}

bool StoreLink::knowsRegistries() const
{
    return std::any_of(states_.begin(), states_.end(),
                       [](const State &state) { return state.isListed; });
}

bool StoreLink::accept(Registry registry, CallId call, StoreEra era, Instant now)
{
    // What a call of the earlier era returns is of no use: a watch from a revision of that era
    // lacks the changes that the restored store has made up to this number.
    const bool isLater = era > era_;
    const bool isFirst = era_ == StoreEra() && !knowsRegistries();
    if (isLater) {
        recordResponse(now);
        onEraTold(era, now);
    }
    if ((isLater && !isFirst) || !isCurrentCall(registry, call))
        return false;
    if (era == StoreEra() || era == era_)
        return true;
    State &state = stateOf(registry);
    recordIgnored(registry, "response", { era, Revision() }, state.revision, now);
    state.isBusy = false;
    restartList(state);
    retryLater(state, maxUnproductiveDelay, now);
    return false;
}

void StoreLink::beginEra(StoreEra era, Instant now)
{
    hooks_.log({ core::log::storeEraChanged,
                 { { "era", std::to_string(era.number()) },
                   { "previous", std::to_string(era_.number()) },
                   { "heardMsAgo", std::to_string((now - lastResponseAt()).toMillis()) } } });
    era_ = era;
    restoredAt_ = now;
    hooks_.onRestored();
    for (const Registry registry : allRegistries) {
        State &state = stateOf(registry);
        abandonCall(state);
        state.listedChanges.clear();
        state.mustList = true;
        state.isRestoring = state.isListed;
        const bool isSent = registry == Registry::Targets || registry == Registry::Vms;
        const Duration wait = state.pacer.spread(restoreSpread);
        state.dueAt = now + (isSent && mode_ == StoreMode::Follows ? updateWait + wait : wait);
    }
}

void StoreLink::abandonCall(State &state)
{
    state.isBusy = false;
    state.call = CallId(); // a later call has another id
    restartList(state);
}

void StoreLink::restartList(State &state)
{
    state.known.beginList();
    state.listedUpTo.clear();
    state.isFirstPage = true;
}

void StoreLink::retryLater(State &state, Duration maxWait, Instant now)
{
    state.dueAt = now + state.pacer.nextWait(maxWait);
}

void StoreLink::onListed(const RegistryListed &listed, Instant now)
{
    if (!accept(listed.registry, listed.call, listed.era, now))
        return;
    recordResponse(now);
    State &state = stateOf(listed.registry);
    const StoreRevision at(era_, listed.at);
    state.isBusy = false;
    state.dueAt = now;
    if (state.isListed && state.revision.isNewerThan(at)) {
        recordIgnored(listed.registry, "list", at, state.revision, now);
        if (!isWatched(listed.registry)) {
            state.dueAt = now + pollIntervalWhileGrowing + state.pacer.nextWait(pollInterval);
            return;
        }
    }
    if (state.isFirstPage) {
        state.isFirstPage = false;
        state.listedAt = at; // the watch then returns changes made during later pages
        state.listedEntries = 0;
        state.listedBytes = 0;
    }
    state.listedEntries += listed.entries.size();
    state.listedBytes += listed.bytes;
    const std::string pageBegin = state.listedUpTo;
    for (const RegistryEntry &entry : listed.entries) {
        if (entry.isNamed)
            state.listedUpTo = entry.name;
        state.newestEntry = core::newerOf(state.newestEntry, { era_, entry.revision });
        apply(listed.registry, entry, at, KnownEntries::Source::List, now);
    }
    // Without a name to continue after, the next page would be this one again.
    const bool isCutShort = listed.hasMore && state.listedUpTo == pageBegin;
    if (isCutShort)
        state.known.keepUnlisted();
    if (!listed.hasMore || isCutShort)
        finishList(listed.registry, isCutShort, now);
    onTimer(now);
}

// Reports the known entries that the list no longer contains as gone.
void StoreLink::removeUnlisted(Registry registry)
{
    State &state = stateOf(registry);
    for (const std::string &name : state.known.takeUnlisted(state.listedAt)) {
        RegistryEntry entry;
        entry.name = name;
        entry.isGone = true;
        entry.revision = state.listedAt.number();
        hooks_.onEntry(registry, entry);
        state.listedChanges.push_back(std::move(entry));
    }
}

void StoreLink::finishList(Registry registry, bool isCutShort, Instant now)
{
    State &state = stateOf(registry);
    removeUnlisted(registry);
    restartList(state);
    state.mustList = false;
    state.hasFailed = false;
    state.isListed = true;
    const StoreRevision before = state.lastChange;
    state.revision = core::newerOf(state.revision, state.listedAt);
    if (!state.isHistoryShort)
        state.pacer.reset();
    const std::vector<RegistryEntry> changes = lastOfEach(std::exchange(state.listedChanges, {}));
    // An entry that was removed leaves no revision behind. The configuration is never removed.
    if (registry == Registry::Traffic)
        state.lastChange = state.newestEntry;
    else if (isWatched(registry) || !changes.empty() || state.isRestoring)
        state.lastChange = state.revision;
    state.confirmedAt = now;
    if (isWatched(registry) && mode_ == StoreMode::Follows)
        state.dueAt = Instant::never(); // until a newer revision is reported
    if (!isWatched(registry))
        state.dueAt = nextPoll(registry, !changes.empty(), now);
    const bool isForOthers = (registry == Registry::Vms && !changes.empty())
        || (registry == Registry::Targets && state.isRestoring);
    if (isForOthers && !(isCutShort && state.isRestoring))
        hooks_.onListChanged({ registry, state.revision.number(), changes, 0, era_, CallId() },
                             before);
    logResponse(core::log::registryListed, registry, state.listedEntries, state.listedBytes, now);
    hooks_.onListed(registry);
    state.isRestoring = false;
}

// When to list an unwatched registry again.
Instant StoreLink::nextPoll(Registry registry, bool hasChanged, Instant now) const
{
    if (registry == Registry::PeerKeys && !stateOf(registry).known.isEmpty())
        return Instant::never();
    if (hasChanged)
        return now + pollIntervalWhileGrowing;
    switch (mode_) {
    case StoreMode::Reads:
        return now + readerPollInterval;
    case StoreMode::Follows:
        return registry == Registry::Vms ? Instant::never() : now + pollInterval;
    case StoreMode::Watches:
        break;
    }
    return now + pollInterval;
}

bool StoreLink::onChanged(const RegistryChanged &changed, Instant now)
{
    if (!accept(changed.registry, changed.call, changed.era, now))
        return false;
    recordResponse(now);
    State &state = stateOf(changed.registry);
    const StoreRevision at(era_, changed.at);
    const bool isNew = at.isNewerThan(state.revision);
    state.revision = core::newerOf(state.revision, at);
    const bool isEarly = now - state.calledAt < state.callWait / 2;
    state.isBusy = false;
    state.hasFailed = false;
    state.confirmedAt = now;
    if (changed.entries.empty() ? isEarly : !isNew) {
        retryLater(state, maxUnproductiveDelay, now); // it told nothing new, at once
    } else {
        state.pacer.reset();
        state.isHistoryShort = false;
        state.dueAt = now;
    }
    if (!changed.entries.empty())
        state.dueAt = std::max(state.dueAt, now + changeBatchTime);
    if (changed.registry == Registry::Traffic && !changed.entries.empty())
        logResponse(core::log::configRead, changed.registry, changed.entries.size(), changed.bytes,
                    now);
    bool hasUnnamed = false;
    for (const RegistryEntry &entry : changed.entries) {
        apply(changed.registry, entry, at, KnownEntries::Source::Watch, now);
        hasUnnamed = hasUnnamed || !entry.isNamed;
    }
    if (mode_ == StoreMode::Follows)
        state.dueAt = Instant::never(); // until a newer revision is reported
    if (hasUnnamed && isNew) {
        // It may replace a known entry: the list shows which one is missing.
        state.mustList = true;
        state.dueAt = now + changeBatchTime;
    }
    if (!changed.entries.empty()) {
        state.lastChange = state.revision;
        if (changed.registry == Registry::Traffic)
            readNewest(state); // more may have followed
    }
    onTimer(now);
    return true;
}

void StoreLink::setMode(StoreMode mode, Instant now)
{
    if (mode == mode_)
        return;
    const bool hasFollowed = std::exchange(mode_, mode) == StoreMode::Follows;
    if (hasFollowed && stateOf(Registry::Traffic).isListed)
        readNewest(stateOf(Registry::Traffic)); // it may have missed several
    for (const Registry registry : allRegistries) {
        State &state = stateOf(registry);
        if (registry == Registry::PeerKeys || state.isBusy || state.isRestoring)
            continue;
        if (mode != StoreMode::Follows)
            state.dueAt = now;
        else if (state.isListed)
            stopCalling(registry);
    }
}

void StoreLink::onReportedRevision(Registry registry, StoreRevision revision, Instant now)
{
    State &state = stateOf(registry);
    state.reported = core::newerOf(state.reported, revision);
    if (mode_ != StoreMode::Follows || state.isBusy || !revision.isNewerThan(state.revision))
        return;
    if (state.dueAt != Instant::never())
        return;
    if (registry == Registry::Traffic)
        readNewest(state);
    // Changes come in groups: one call fetches those that follow each other closely.
    const Instant batchedAt = state.confirmedAt + changeBatchTime;
    const bool isSent = registry == Registry::Targets || registry == Registry::Vms;
    const Instant updateDueAt = isSent ? now + updateWait : now;
    state.dueAt = std::max(updateDueAt, batchedAt);
}

void StoreLink::onReportedChanges(const RegistryChanged &changed, StoreRevision after,
                                  bool isComplete, Instant now)
{
    State &state = stateOf(changed.registry);
    const StoreRevision at(changed.era, changed.at);
    if (changed.era != era_ || !at.isNewerThan(state.revision))
        return;
    if (isComplete) {
        onReportedEntries(changed.registry, changed.entries, at, now);
        return;
    }
    if (state.mustList || after.isNewerThan(state.revision))
        return; // the store is called for the missed changes
    for (const RegistryEntry &entry : changed.entries)
        apply(changed.registry, entry, at, KnownEntries::Source::Watch, now);
    state.listedChanges.clear();
    state.revision = at;
    state.lastChange = at;
    if (mode_ != StoreMode::Follows)
        return; // its own watch goes on
    state.confirmedAt = now;
    stopCalling(changed.registry);
}

void StoreLink::onReportedEntries(Registry registry, std::vector<RegistryEntry> entries,
                                  StoreRevision revision, Instant now)
{
    State &state = stateOf(registry);
    if (revision.era() != era_ || !revision.isNewerThan(state.revision))
        return;
    const bool isListing = state.isBusy && !state.isFirstPage;
    if (!state.isListed || isListing || (state.mustList && !state.isRestoring))
        return; // the store's own list decides
    state.known.beginList();
    state.listedAt = revision;
    for (RegistryEntry &entry : entries) {
        if (!entry.isGone)
            apply(registry, std::move(entry), revision, KnownEntries::Source::List, now);
    }
    removeUnlisted(registry);
    state.listedChanges.clear();
    state.revision = revision;
    state.lastChange = revision;
    if (state.isRestoring) {
        // A VM that does not follow lists the registry itself as soon as it reaches the store.
        state.mustList = mode_ != StoreMode::Follows;
        hooks_.onListed(registry);
        state.isRestoring = false;
    }
    if (mode_ != StoreMode::Follows)
        return; // its own watch goes on
    if (state.isBusy)
        abandonCall(state);
    state.confirmedAt = now;
    stopCalling(registry);
}

// A VM that follows needs no call until it misses a change; a lost store is probed all the same.
void StoreLink::stopCalling(Registry registry)
{
    if (!isLost() || registry != probedRegistry)
        stateOf(registry).dueAt = Instant::never();
}

// Makes the next call return the newest state of a registry. A watch would return each version
// since its revision: a configuration is large, and a superseded one only delays the newest.
void StoreLink::readNewest(State &state)
{
    if (!state.isBusy)
        state.mustList = true;
}

Instant StoreLink::confirmedAt() const
{
    Instant oldest = lastResponseAt();
    for (const Registry registry : allRegistries) {
        if (isWatched(registry))
            oldest = std::min(oldest, stateOf(registry).confirmedAt);
    }
    return oldest;
}

Instant StoreLink::returnedAt() const
{
    return std::max(outages_.returnedAt(), restoredAt_);
}

std::size_t StoreLink::unreadableCount() const
{
    std::size_t count = 0;
    for (const State &state : states_)
        count += state.known.unreadableCount();
    return count;
}

void StoreLink::apply(Registry registry, RegistryEntry entry, StoreRevision at,
                      KnownEntries::Source source, Instant now)
{
    State &state = stateOf(registry);
    const KnownEntries::Outcome outcome = state.known.apply(entry, at, source);
    if (outcome.verdict == KnownEntries::Verdict::Outdated)
        recordIgnored(registry, "entry", { at.era(), entry.revision }, outcome.known, now);
    if (outcome.verdict != KnownEntries::Verdict::Changed)
        return;
    hooks_.onEntry(registry, entry);
    if (!isWatched(registry) || state.isRestoring)
        state.listedChanges.push_back(std::move(entry));
}

void StoreLink::onFailed(const RegistryFailed &failed, Instant now)
{
    onEraTold(failed.era, now); // which abandons the calls of an earlier era
    if (!isCurrentCall(failed.registry, failed.call))
        return;
    State &state = stateOf(failed.registry);
    state.isBusy = false;
    if (failed.failure == StoreFailure::HistoryGone) {
        recordResponse(now);
        state.mustList = true;
        state.isHistoryShort = true;
        retryLater(state, maxUnproductiveDelay, now);
        onTimer(now);
        return;
    }
    state.hasFailed = true;
    if (outages_.onFailure({ state.beganAt, failed.sign }, now)) {
        hooks_.log({ core::log::storeLost,
                     { { "registry", toText(failed.registry) },
                       { "failure", toText(failed.failure) },
                       { "sign", toText(failed.sign) },
                       { "heardMsAgo", std::to_string((now - lastResponseAt()).toMillis()) } } });
        State &probed = stateOf(probedRegistry);
        if (probed.isBusy)
            abandonCall(probed); // a watch would put the probe off for as long as it waits
        if (probed.dueAt == Instant::never() || now < probed.dueAt)
            probed.dueAt = now;
    }
    // Calls for other registries that failed tell as much of the store as those for this one.
    state.pacer.setUnproductive(outages_.consecutiveFailures() - 1);
    retryLater(state, maxRetryDelay, now);
    if (state.mustList)
        restartList(state); // its pages may be inconsistent
}

void StoreLink::logResponse(const core::LogEvent &event, Registry registry, std::size_t entries,
                            std::size_t bytes, Instant now) const
{
    hooks_.log({ event,
                 { { "registry", toText(registry) },
                   { "mode", toText(mode_) },
                   { "entries", std::to_string(entries) },
                   { "bytes", std::to_string(bytes) },
                   { "callMs", std::to_string((now - stateOf(registry).calledAt).toMillis()) } } });
}

void StoreLink::recordIgnored(Registry registry, const char *what, StoreRevision ignored,
                              StoreRevision known, Instant now)
{
    ++ignoredCount_;
    State &state = stateOf(registry);
    ++state.ignoredSinceLogged;
    if (state.ignoredLoggedAt != Instant::never()
        && now - state.ignoredLoggedAt < ignoredLogInterval)
        return;
    state.ignoredLoggedAt = now;
    hooks_.log({ core::log::storeDataIgnored,
                 { { "registry", toText(registry) },
                   { "what", what },
                   { "revision", std::to_string(ignored.number().number()) },
                   { "era", std::to_string(ignored.era().number()) },
                   { "known", std::to_string(known.number().number()) },
                   { "knownEra", std::to_string(known.era().number()) },
                   { "count", std::to_string(std::exchange(state.ignoredSinceLogged, 0)) } } });
}

void StoreLink::recordResponse(Instant now)
{
    const int failures = outages_.consecutiveFailures();
    const std::optional<store::OutageDetector::Return> returned = outages_.onResponse(now);
    if (!returned)
        return;
    hooks_.log({ core::log::storeRegained,
                 { { "lostMs", std::to_string(returned->lostTime.toMillis()) },
                   { "failures", std::to_string(failures) },
                   { "outage", returned->wasOutage ? "yes" : "no" } } });
    readNewest(stateOf(Registry::Traffic));
    for (const Registry registry : allRegistries) {
        State &state = stateOf(registry);
        // A registry whose own calls fail keeps its wait: that another one succeeds says nothing.
        if (!state.isBusy && state.dueAt != Instant::never() && !state.hasFailed)
            state.dueAt = now;
    }
}

} // namespace bluebellshift::gateway
