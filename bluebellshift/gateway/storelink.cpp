#include "bluebellshift/gateway/storelink.h"

#include <algorithm>

namespace bluebellshift::gateway {
namespace {

// In the order in which they are called, the smallest first: over a slow link a response
// waits for the larger ones before it.
constexpr std::array<Registry, registryCount> allRegistries = {
    Registry::Evacuations, Registry::PeerKeys, Registry::Vms, Registry::Targets, Registry::Traffic,
};

// The registry that is requested to probe a lost store: a small one.
constexpr Registry probedRegistry = Registry::Evacuations;

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
    for (const Registry registry : allRegistries)
        stateOf(registry).dueAt = now;
    onTimer(now);
}

void StoreLink::onTimer(Instant now)
{
    for (const Registry registry : allRegistries) {
        const State &state = stateOf(registry);
        if (state.isBusy || state.dueAt == Instant::never() || now < state.dueAt)
            continue;
        if (isLost_ && registry != probedRegistry)
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
            || (isLost_ && registry != probedRegistry))
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

void StoreLink::call(Registry registry, Instant now)
{
    State &state = stateOf(registry);
    state.isBusy = true;
    if (state.isFirstPage)
        state.calledAt = now;
    if (state.mustList || !isWatched(registry)) {
        // The first list of VMs must be current, later ones may lag behind. A key that is missing
        // from a stale list is created, and listed again if that shows that it exists.
        const bool mayBeStale = (registry == Registry::Vms && state.isListed)
            || (registry == Registry::PeerKeys && !state.isListed);
        const Duration timeout = isLost_ ? probeTimeout : callTimeout;
        hooks_.perform(ListRegistry { registry, state.listedUpTo, mayBeStale, timeout });
        return;
    }
    Duration wait = watchWait;
    Duration timeout = watchWait + watchMargin;
    if (isLost_ || mode_ == StoreMode::Follows) {
        wait = Duration();
        timeout = probeTimeout;
    } else if (mode_ == StoreMode::Reads) {
        wait = readerWatchWait;
        timeout = readerWatchWait + readerWatchMargin;
    }
    hooks_.perform(WatchRegistry { registry, state.revision, wait, timeout });
}

void StoreLink::onListed(const RegistryListed &listed, Instant now)
{
    recordResponse(now);
    recordEra(listed.era);
    State &state = stateOf(listed.registry);
    state.isBusy = false;
    state.dueAt = now;
    if (state.isListed && listed.at < state.revision)
        recordIgnored(listed.registry, "list", listed.at, state.revision, now);
    if (!isWatched(listed.registry) && state.isListed && listed.at < state.revision) {
        state.dueAt = now + pollIntervalWhileGrowing; // the list is older than what is known
        return;
    }
    if (state.isFirstPage) {
        state.isFirstPage = false;
        state.listedAt = listed.at; // the watch then returns changes made during later pages
        state.listedEntries = 0;
        state.listedBytes = 0;
    }
    state.listedEntries += listed.entries.size();
    state.listedBytes += listed.bytes;
    const std::string pageBegin = state.listedUpTo;
    for (const RegistryEntry &entry : listed.entries) {
        if (entry.isNamed)
            state.listedUpTo = entry.name;
        state.newestEntry = std::max(state.newestEntry, entry.revision);
        applyListed(listed.registry, entry, listed.at, now);
    }
    // Without a name to continue after, the next page would be this one again.
    const bool isCutShort = listed.hasMore && state.listedUpTo == pageBegin;
    if (isCutShort)
        keepUnlisted(state);
    if (!listed.hasMore || isCutShort)
        finishList(listed.registry, now);
    onTimer(now);
}

// Treats all known entries as listed, for a list whose further pages can't be requested.
void StoreLink::keepUnlisted(State &state)
{
    for (const auto &[key, known] : state.known)
        state.listedNames.insert(key);
}

// Reports the known entries that the list no longer contains as gone.
void StoreLink::removeUnlisted(Registry registry)
{
    State &state = stateOf(registry);
    std::vector<std::string> gone;
    for (const auto &[name, known] : state.known) {
        // A list that may be stale lacks entries that are newer than it.
        if (state.listedNames.count(name) == 0 && known.revision <= state.listedAt)
            gone.push_back(name);
    }
    for (const std::string &name : gone) {
        state.known.erase(name);
        rememberGone(state, name, state.listedAt, state.listedAt);
        RegistryEntry entry;
        entry.name = name;
        entry.isGone = true;
        entry.revision = state.listedAt;
        hooks_.onEntry(registry, entry);
        state.listedChanges.push_back(std::move(entry));
    }
    state.listedNames.clear();
}

void StoreLink::finishList(Registry registry, Instant now)
{
    State &state = stateOf(registry);
    removeUnlisted(registry);
    state.listedUpTo.clear();
    state.isFirstPage = true;
    state.mustList = false;
    state.isListed = true;
    const Revision before = state.lastChange;
    state.revision = std::max(state.revision, state.listedAt);
    const std::vector<RegistryEntry> changes = std::exchange(state.listedChanges, {});
    // An entry that was removed leaves no revision behind. The configuration is never removed.
    if (registry == Registry::Traffic)
        state.lastChange = state.newestEntry;
    else if (isWatched(registry) || !changes.empty())
        state.lastChange = state.revision;
    state.confirmedAt = now;
    if (isWatched(registry) && mode_ == StoreMode::Follows)
        state.dueAt = Instant::never();
    if (!isWatched(registry))
        state.dueAt = nextPoll(registry, !changes.empty(), now);
    if (registry == Registry::Vms && !changes.empty())
        hooks_.onVmsChanged({ registry, state.revision, changes }, before);
    logResponse(core::log::registryListed, registry, state.listedEntries, state.listedBytes, now);
    hooks_.onListed(registry);
}

// When to list an unwatched registry again.
Instant StoreLink::nextPoll(Registry registry, bool hasChanged, Instant now) const
{
    if (registry == Registry::PeerKeys && !stateOf(registry).known.empty())
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

void StoreLink::onChanged(const RegistryChanged &changed, Instant now)
{
    recordResponse(now);
    recordEra(changed.era);
    State &state = stateOf(changed.registry);
    state.isBusy = false;
    state.confirmedAt = now;
    state.dueAt = changed.entries.empty() ? now : now + changeBatchTime;
    if (mode_ == StoreMode::Follows)
        state.dueAt = Instant::never(); // until a newer revision is reported
    if (changed.registry == Registry::Traffic && !changed.entries.empty())
        logResponse(core::log::configRead, changed.registry, changed.entries.size(), changed.bytes,
                    now);
    for (const RegistryEntry &entry : changed.entries) {
        apply(changed.registry, entry, changed.at, now);
        if (entry.isNamed || changed.at <= state.revision)
            continue;
        // It may replace a known entry: the list shows which one is missing.
        state.mustList = true;
        state.dueAt = now + changeBatchTime;
    }
    state.revision = std::max(state.revision, changed.at);
    if (!changed.entries.empty()) {
        state.lastChange = state.revision;
        if (changed.registry == Registry::Traffic)
            readNewest(state); // more may have followed
    }
    onTimer(now);
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
        if (registry == Registry::PeerKeys || state.isBusy)
            continue;
        if (mode != StoreMode::Follows)
            state.dueAt = now;
        else if (state.isListed)
            stopCalling(registry);
    }
}

void StoreLink::onReportedRevision(Registry registry, Revision revision, Instant now)
{
    State &state = stateOf(registry);
    if (mode_ != StoreMode::Follows || state.isBusy || revision <= state.revision)
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

void StoreLink::onReportedChanges(const RegistryChanged &changed, Revision after, Instant now)
{
    State &state = stateOf(changed.registry);
    const bool isNext = after <= state.revision && state.revision < changed.at;
    if (state.mustList || !isNext)
        return; // the store is called for the missed changes
    for (const RegistryEntry &entry : changed.entries)
        apply(changed.registry, entry, changed.at, now);
    state.listedChanges.clear();
    state.revision = changed.at;
    state.lastChange = changed.at;
    if (mode_ != StoreMode::Follows)
        return; // its own watch goes on
    state.confirmedAt = now;
    stopCalling(changed.registry);
}

void StoreLink::onReportedEntries(Registry registry, const std::vector<RegistryEntry> &entries,
                                  Revision revision, Instant now)
{
    State &state = stateOf(registry);
    if (state.mustList || revision <= state.revision)
        return;
    state.listedAt = revision;
    for (const RegistryEntry &entry : entries)
        applyListed(registry, entry, revision, now);
    removeUnlisted(registry);
    state.listedChanges.clear();
    state.revision = revision;
    state.lastChange = revision;
    if (mode_ != StoreMode::Follows)
        return; // its own watch goes on
    state.confirmedAt = now;
    stopCalling(registry);
}

// A VM that follows needs no call until it misses a change; a lost store is probed all the same.
void StoreLink::stopCalling(Registry registry)
{
    if (!isLost_ || registry != probedRegistry)
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
    Instant oldest = lastResponseAt_;
    for (const Registry registry : allRegistries) {
        if (isWatched(registry))
            oldest = std::min(oldest, stateOf(registry).confirmedAt);
    }
    return oldest;
}

std::size_t StoreLink::unreadableCount() const
{
    std::size_t count = 0;
    for (const State &state : states_) {
        for (const auto &[key, known] : state.known)
            count += known.isUnreadable ? 1 : 0;
    }
    return count;
}

void StoreLink::rememberGone(State &state, const std::string &key, Revision revision, Revision at)
{
    Gone &gone = state.gone[key];
    gone.revision = std::max(gone.revision, revision);
    gone.at = std::max(gone.at, at);
    gone.number = ++state.goneNumber;
    state.goneKeys.emplace_back(gone.number, key);
    while (state.goneKeys.size() > maxGoneEntries) {
        const auto &[number, oldest] = state.goneKeys.front();
        const auto found = state.gone.find(oldest);
        if (found != state.gone.end() && found->second.number == number)
            state.gone.erase(found);
        state.goneKeys.pop_front();
    }
}

// Passes on an entry if it is newer than the known one. A watch starts from a list's first
// page, so that its events may be older than the last page.
void StoreLink::apply(Registry registry, RegistryEntry entry, Revision at, Instant now,
                      bool isFromList)
{
    State &state = stateOf(registry);
    const std::string key = keyOf(entry);
    const auto known = state.known.find(key);
    if (isUnreadable(entry) && entry.revision == Revision()) {
        // Its revision can't be read either. It replaces what is known, once.
        if (known != state.known.end() && known->second.isUnreadable)
            return;
        entry.revision = at;
    }
    if (known != state.known.end()
        && (entry.isGone ? entry.revision < known->second.revision
                         : entry.revision <= known->second.revision)) {
        if (entry.revision < known->second.revision)
            recordIgnored(registry, "entry", entry.revision, known->second.revision, now);
        return;
    }
    if (entry.isGone) {
        rememberGone(state, key, entry.revision, at);
        if (known == state.known.end())
            return;
        state.known.erase(known);
    } else {
        // A late response of a watch or an older update of a reader must not bring back an entry.
        // A list that is newer than the removal decides.
        const auto gone = state.gone.find(key);
        if (gone != state.gone.end() && entry.revision <= gone->second.revision
            && (!isFromList || at <= gone->second.at)) {
            recordIgnored(registry, "entry", entry.revision, gone->second.revision, now);
            return;
        }
        state.gone.erase(key);
        state.known[key] = { entry.revision, isUnreadable(entry) };
    }
    hooks_.onEntry(registry, entry);
    if (!isWatched(registry))
        state.listedChanges.push_back(std::move(entry));
}

void StoreLink::applyListed(Registry registry, const RegistryEntry &entry, Revision at, Instant now)
{
    stateOf(registry).listedNames.insert(keyOf(entry));
    apply(registry, entry, at, now, true);
}

void StoreLink::onFailed(const RegistryFailed &failed, std::uint64_t random, Instant now)
{
    recordEra(failed.era);
    State &state = stateOf(failed.registry);
    state.isBusy = false;
    if (failed.failure == StoreFailure::HistoryGone) {
        recordResponse(now);
        state.mustList = true;
        state.dueAt = now;
        onTimer(now);
        return;
    }
    ++consecutiveFailures_;
    if (!isLost_ && consecutiveFailures_ >= maxConsecutiveFailures) {
        isLost_ = true;
        lostAt_ = now;
        hooks_.log({ core::log::storeLost,
                     { { "registry", toText(failed.registry) },
                       { "failure", toText(failed.failure) },
                       { "heardMsAgo", std::to_string((now - lastResponseAt_).toMillis()) } } });
        State &probed = stateOf(probedRegistry); // a VM that follows has no call scheduled
        if (!probed.isBusy && probed.dueAt == Instant::never())
            probed.dueAt = now;
    }
    // Exponential backoff up to maxRetryDelay, half of it random.
    const int doublings = std::min(consecutiveFailures_, 8);
    const Duration full = std::min(maxRetryDelay, initialRetryDelay * (1LL << doublings));
    const auto half = static_cast<std::uint64_t>(full.toMicros() / 2 + 1);
    state.dueAt = now + full / 2 + Duration::micros(static_cast<std::int64_t>(random % half));
    if (state.mustList) { // restart the list: its pages may be inconsistent
        state.listedNames.clear();
        state.listedUpTo.clear();
        state.isFirstPage = true;
    }
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

void StoreLink::recordEra(StoreEra era)
{
    if (era == StoreEra() || era == era_)
        return;
    if (era_ != StoreEra())
        hooks_.log({ core::log::storeEraChanged,
                     { { "era", std::to_string(era.number()) },
                       { "previous", std::to_string(era_.number()) } } });
    era_ = era;
}

void StoreLink::recordIgnored(Registry registry, const char *what, Revision ignored, Revision known,
                              Instant now)
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
                   { "revision", std::to_string(ignored.number()) },
                   { "known", std::to_string(known.number()) },
                   { "era", std::to_string(era_.number()) },
                   { "count", std::to_string(std::exchange(state.ignoredSinceLogged, 0)) } } });
}

void StoreLink::recordResponse(Instant now)
{
    consecutiveFailures_ = 0;
    lastResponseAt_ = now;
    if (!isLost_)
        return;
    isLost_ = false;
    regainedAt_ = now;
    hooks_.log(
        { core::log::storeRegained, { { "lostMs", std::to_string((now - lostAt_).toMillis()) } } });
    readNewest(stateOf(Registry::Traffic));
    for (const Registry registry : allRegistries) {
        State &state = stateOf(registry);
        if (!state.isBusy && state.dueAt != Instant::never())
            state.dueAt = now;
    }
}

} // namespace bluebellshift::gateway
