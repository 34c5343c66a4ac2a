// The state of one gateway. It consists of one component for each concern and hands events
// to them.
//
// A target whose registry entry disappears right after the store was unreachable is not
// removed at once: its entry may have lapsed because the target couldn't renew it. Live
// targets register again within about two seconds of the store's return. Until then they
// remain in use; a target that is still missing then is removed.
// docs/design/platform.md describes how each kind of state is treated during an outage.
#include "bluebellshift/gateway/reducer.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "bluebellshift/gateway/dispatcher.h"
#include "bluebellshift/gateway/fleet.h"
#include "bluebellshift/gateway/hashing.h"
#include "bluebellshift/gateway/regions/faultwatch.h"
#include "bluebellshift/gateway/store/meshsecret.h"
#include "bluebellshift/gateway/store/ownentry.h"
#include "bluebellshift/gateway/store/registryview.h"
#include "bluebellshift/gateway/storelink.h"
#include "bluebellshift/gateway/targetpool.h"
#include "bluebellshift/gateway/teamlimits.h"
#include "bluebellshift/gateway/vmexchange.h"

namespace bluebellshift::gateway {
namespace {

constexpr Duration reportInterval = Duration::millis(500);
constexpr std::size_t maxVmsAtFullRate = 24; // a larger fleet reports less often
constexpr std::int64_t maxSlowdown = 3;
constexpr Duration relayedReportInterval = Duration::seconds(1); // if relays pass it on
// In a fleet of at least minVmsToFollow VMs, a few VMs read the store for all. A VM follows
// them while one of them had a response of the store within maxReaderAge: that age plus the delay
// of a report is less than the time within which a configuration must take effect. The others are
// there so that one is left.
constexpr std::size_t minVmsToFollow = 20;
constexpr std::size_t desiredReaders = 4;
constexpr std::size_t requiredReaders = 1;
constexpr Duration maxReaderAge = Duration::millis(1700);
constexpr Duration maxRelayedReaderAge = Duration::millis(2200); // if relays delay the reports
constexpr Duration followCheckInterval = Duration::millis(250);  // while no reader is known
constexpr std::uint64_t readerRankSeed = 0x72656164; // arbitrary, but the same on every VM
constexpr std::uint64_t secretRankSeed = 0x73656372; // the same
constexpr std::array<Registry, 4> followedRegistries = { Registry::Traffic, Registry::Targets,
                                                         Registry::Evacuations, Registry::Vms };
constexpr std::size_t evacuationsIndex = 2; // in followedRegistries
// A VM that has just started waits this long for reports of readers before it watches the
// store itself. It need not know changes sooner than within the users' limit for contact.
constexpr Duration joinTime = Duration::millis(3800);
constexpr Duration joinTimeInSmallFleet = Duration::millis(1500); // also until the VMs are known
// Minimum interval between reports that are sent because an admission changed.
constexpr Duration minAdmissionInterval = Duration::millis(200);
constexpr Duration writeTimeout = Duration::millis(1000);
constexpr Duration maxRemovalWait = Duration::seconds(30);     // between tries
constexpr Duration staleEntryAge = Duration::seconds(90);      // without a report
constexpr Duration maxServingAfterStop = Duration::seconds(3); // after a stop was requested
constexpr Duration stopMargin = Duration::millis(300);         // before the process is killed
constexpr Duration maxConfigLag = Duration::seconds(1);        // behind other VMs, without a line
constexpr Duration defaultLookupTtl = Duration::seconds(2);

// An entry without a name can't be sent on: the VMs that follow call the store themselves.
bool hasUnnamedEntry(const RegistryChanged &changed)
{
    return std::any_of(changed.entries.begin(), changed.entries.end(),
                       [](const RegistryEntry &entry) { return !entry.isNamed; });
}

} // namespace

class Reducer::State
{
public:
    explicit State(const GatewayOptions &options);

    void start(Instant now, std::uint64_t random);
    void reduce(const Event &event);
    Instant nextWake() const;
    Effects takeEffects() { return std::exchange(effects_, {}); }

    GatewayOptions options_;
    Effects effects_;
    Instant now_;
    std::uint64_t random_ = 0;
    TrafficConfigPointer config_;
    Fleet fleet_;
    VmExchange exchange_;
    regions::FaultWatch faults_;
    TargetPool pool_;
    TeamLimits limits_;
    Dispatcher dispatcher_;
    StoreLink store_;
    StoreRevision configRevision_; // at which config_ was received
    Instant startedAt_;
    store::OwnEntry ownEntry_;
    store::MeshSecret secret_;
    store::RegistryView view_;

    bool isReady() const;

private:
    void on(const TimerFired &event);
    void on(const RegistryListed &event) { store_.onListed(event, now_); }
    void on(const RegistryChanged &event);
    void on(const RegistryFailed &event)
    {
        store_.onFailed(event, now_);
        expediteReport(true);
    }
    void on(const StoreWritten &event);
    void on(const StoreWriteFailed &event);
    void on(const RequestArrived &event) { dispatcher_.onArrived(event, random_, now_); }
    void on(const CallerDisconnected &event) { dispatcher_.onCallerDisconnected(event, now_); }
    void on(const AttemptEnded &event) { dispatcher_.onEnded(event, random_, now_); }
    void on(const PeerReportReceived &event);
    void on(const PeerSpendingReceived &event);
    void on(const PeerReportsRelayed &event);
    void on(const PeerSpendingRelayed &event);
    void on(const PeerTargetUpdateReceived &event);
    void on(const PeerVmUpdateReceived &event);
    void on(const PeerDisconnected &event)
    {
        exchange_.onDisconnected(event.vm, now_);
        updateLimits();
    }
    void on(const StopRequested &event);

    void onEntry(Registry registry, const RegistryEntry &entry);
    void onListed(Registry registry);
    void onConfig(const RegistryEntry &entry);
    void logUnreadable(Registry registry, const RegistryEntry &entry);
    // Logs once for each version that other VMs have and this one has not after maxConfigLag.
    void checkConfigLag();

    void writeOwnEntry();
    bool isOfOtherVm(const VmId &vm) const { return !vm.isEmpty() && vm != options_.vm.id; }
    void report();
    // Makes the next report an urgent one, at `at`.
    void reportBy(Instant at);
    VmReport makeReport();
    void chooseStoreMode();
    // Sends the next report at once if other VMs follow this one and it has read changes.
    void expediteReport(bool hasChanges);
    // Sends changes since `after` to the VMs that follow this one.
    void sendUpdate(const RegistryChanged &changed, StoreRevision after);
    void sendTargetUpdate(const RegistryChanged &changed, StoreRevision after);
    void sendVmUpdate(const RegistryChanged &changed, StoreRevision after);
    bool isFirstReader() const;
    // Whether this VM sends changes since `after`. All readers send the lists of a new era, as the
    // first one may be without the store.
    bool mustSend(StoreRevision after) const
    {
        const bool isComplete = after.era() != store_.era();
        return isComplete ? store_.mode() == StoreMode::Reads : isFirstReader();
    }
    // The era of what another VM sent. An earlier version of the program tells none, and does not
    // notice a restored store: what it sends is of the era before.
    StoreEra eraOf(StoreEra told) const
    {
        const bool isRestored = store_.restoredAt() != Instant::never();
        return told != StoreEra() || isRestored ? told : store_.era();
    }
    Duration maxReaderAgeNow() const
    {
        return exchange_.usesRelays() ? maxRelayedReaderAge : maxReaderAge;
    }
    void applyReportedRevisions();
    void applyReportedEvacuations(const VmReport &report);
    void applyReportedFault(const VmReport &report, Duration age);
    void noticeFaults();
    void removeStaleVms();
    void updateLimits();
    // Sends the next report early if an admission of this VM's accounts has changed much.
    void expediteAdmissions();
    void updateReadiness();
    void stop();
    void log(core::LogRecord record) { effects_.push_back(WriteLog { std::move(record) }); }
    void perform(Effect effect) { effects_.push_back(std::move(effect)); }

    store::CallPacer removalPacer_;
    Instant removalsDueAt_ = Instant::never();
    std::uint64_t missingVersion_ = 0; // in force at another VM
    Instant missingSince_ = Instant::never();
    bool hasEntryChanged_ = false;  // by the current event
    std::uint64_t knownLosses_ = 0; // of the fleet's VMs
    std::uint64_t reportSequence_ = 0;
    Instant reportAt_ = Instant::never();
    Instant reportedAt_ = Instant::never();
    bool isReportUrgent_ = false;
    bool wasReady_ = false;
    bool wasReportedReady_ = false; // whether the last report to all VMs said ready
    bool isStopping_ = false;
    Instant stopServingAt_ = Instant::never();
    Instant forcedEndAt_ = Instant::never();
    bool hasExited_ = false;
};

Reducer::State::State(const GatewayOptions &options)
    : options_(options)
    , fleet_(options_, [this](core::LogRecord record) { log(std::move(record)); })
    , exchange_(options_, fleet_,
                { [this](Effect effect) { perform(std::move(effect)); },
                  [this] { return makeReport(); },
                  [this](core::LogRecord record) { log(std::move(record)); } })
    , faults_({ [this](Instant now) { return fleet_.failedRequests(now); },
                [this](core::LogRecord record) { log(std::move(record)); } })
    , pool_(options_, faults_,
            { [this](std::uint32_t target, Instant) { return fleet_.othersInFlight(target); },
              [this](Instant now) { return fleet_.meanReportAge(now); },
              [this](std::uint64_t target, Instant now) {
                  ColdSenderRank rank = fleet_.coldSenderRank(target, now);
                  rank.isKnown = ownEntry_.isKnown(now);
                  return rank;
              },
              [this](TargetHash target, const RegionId &region, Instant now) {
                  return fleet_.senderRank(target, region, now);
              },
              [this](Instant now) { return fleet_.liveVmsInRegion(now); },
              [this] { return fleet_.regionShares(); },
              [this](Instant now) { return fleet_.regionRequests(now); },
              [this](Instant now) { return fleet_.requestsByRegion(now); },
              [this](core::LogRecord record) { log(std::move(record)); } })
    , limits_(options_, fleet_,
              { [this](const SendSpending &spending) { exchange_.sendSpending(spending); },
                [this](core::LogRecord record) { log(std::move(record)); } })
    , dispatcher_(options_,
                  { [this] { return config_; }, [this] { return isReady() || isStopping_; },
                    [this] { return fleet_.vmCount(); },
                    [this](Effect effect) { perform(std::move(effect)); } },
                  pool_, limits_.quotas())
    , store_({ [this](Effect effect) { perform(std::move(effect)); },
               [this](Registry registry, const RegistryEntry &entry) { onEntry(registry, entry); },
               [this](Registry registry) { onListed(registry); },
               [this](const RegistryChanged &changed, StoreRevision after) {
                   sendUpdate(changed, after);
               },
               [this] {
                   ownEntry_.onRestored();
                   reportBy(now_);
               },
               [this](core::LogRecord record) { log(std::move(record)); } })
    , secret_(options_.peerKeyCandidate,
              { [this](const std::string &secretHex) { exchange_.setSecret(secretHex); },
                [this](const std::string &secretHex) {
                    perform(CreatePeerKey { secretHex, writeTimeout });
                },
                [this](Instant now) { store_.refresh(Registry::PeerKeys, now); } })
    , view_(options_, store_, pool_, fleet_, exchange_, ownEntry_,
            { [this](Effect effect) { perform(std::move(effect)); },
              [this] { store_.listAnew(Registry::Targets, now_); },
              [this](core::LogRecord record) { log(std::move(record)); } })
{
}

void Reducer::State::start(Instant now, std::uint64_t random)
{
    now_ = now;
    random_ = random;
    startedAt_ = now;
    limits_.start(now);
    dispatcher_.start(now);
    faults_.onSign(regions::FaultSign::VmStarted, now);
    reportAt_ = now;
    reportedAt_ = now;
    ownEntry_.start(mixHashes(random, 1), now);
    secret_.start(mixHashes(random, 2));
    removalPacer_ = store::CallPacer(mixHashes(random, 3));
    store_.start(random, now);
    writeOwnEntry();
}

void Reducer::State::reduce(const Event &event)
{
    now_ = event.now;
    random_ = event.random;
    std::visit([this](const auto &body) { on(body); }, event.body);
    noticeFaults();
    if (std::exchange(hasEntryChanged_, false))
        dispatcher_.onCapacityChanged(random_, now_);
    updateReadiness();
    limits_.scheduleSpendingReport(now_);
}

Instant Reducer::State::nextWake() const
{
    Instant next = reportAt_;
    for (const Instant at :
         { store_.nextWake(), dispatcher_.nextWake(), ownEntry_.nextWake(), secret_.nextWake(),
           view_.nextWake(), limits_.nextWake(), exchange_.nextWake() }) {
        if (at != Instant::never())
            next = std::min(next, at);
    }
    if (isStopping_ && !hasExited_)
        next = std::min(next, now_ < stopServingAt_ ? stopServingAt_ : forcedEndAt_);
    if (store_.mode() == StoreMode::Follows) {
        const Instant end = fleet_.freshReadersEnd(maxReaderAgeNow(), now_);
        next = std::min(next, end == Instant::never() ? now_ + followCheckInterval : end);
    }
    return next;
}

bool Reducer::State::isReady() const
{
    return config_ != nullptr && store_.isListed(Registry::Targets)
        && store_.isListed(Registry::Evacuations) && store_.isListed(Registry::Vms) && !isStopping_;
}

void Reducer::State::on(const TimerFired &)
{
    exchange_.onTimer(now_);
    chooseStoreMode();
    secret_.onTimer(now_);
    store_.onTimer(now_);
    writeOwnEntry();
    if (now_ >= reportAt_) {
        report();
        pool_.logRegionShares(now_);
        fleet_.onTimer(now_);
        updateLimits();
        limits_.applyOwnAdmissions(now_);
        expediteAdmissions();
        removeStaleVms();
        checkConfigLag();
        pool_.prune(now_);
    }
    if (limits_.nextWake() != Instant::never() && now_ >= limits_.nextWake()) {
        limits_.onTimer(now_);
        expediteAdmissions();
    }
    view_.onTimer(now_);
    dispatcher_.onTimer(random_, now_);
    if (isStopping_)
        stop();
}

void Reducer::State::onEntry(Registry registry, const RegistryEntry &entry)
{
    if (!entry.isGone && std::holds_alternative<UnreadableEntry>(entry.value))
        logUnreadable(registry, entry);
    if (!entry.isNamed)
        return; // it can't replace an entry that is in use
    if (registry == Registry::Traffic)
        onConfig(entry);
    else if (const auto *key = std::get_if<PeerKeyEntry>(&entry.value); key && !entry.isGone)
        secret_.onEntry(key->secretHex);
    else
        view_.onEntry(registry, entry, now_);
    hasEntryChanged_ = true;
}

void Reducer::State::onListed(Registry registry)
{
    if (registry == Registry::Vms) {
        view_.onVmsListed(now_);
        updateLimits();
    }
    if (registry == Registry::PeerKeys)
        secret_.onListed(store_.knowsAny(Registry::PeerKeys), fleet_.rankFor(secretRankSeed, now_),
                         now_);
}

void Reducer::State::onConfig(const RegistryEntry &entry)
{
    const auto *value = std::get_if<TrafficConfigPointer>(&entry.value);
    if (entry.isGone || value == nullptr)
        return; // the active configuration remains in force
    const TrafficConfigPointer &config = *value;
    if (config_ && config->version <= config_->version) {
        if (config->version < config_->version)
            log({ core::log::configKept,
                  { { "config", std::to_string(config_->version.number()) },
                    { "stored", std::to_string(config->version.number()) },
                    { "revision", std::to_string(entry.revision.number()) },
                    { "era", std::to_string(store_.era().number()) } } });
        return;
    }
    log({ core::log::configInForce,
          { { "config", std::to_string(config->version.number()) },
            { "previous", config_ ? std::to_string(config_->version.number()) : "none" },
            { "revision", std::to_string(entry.revision.number()) },
            { "era", std::to_string(store_.era().number()) },
            { "storeAgeMs", std::to_string((now_ - store_.lastResponseAt()).toMillis()) },
            { "teams", std::to_string(config->teams.size()) },
            { "services", std::to_string(config->services.size()) } } });
    config_ = config;
    configRevision_ = { store_.era(), entry.revision };
    pool_.setConfig(config_);
    limits_.setConfig(*config_, now_);
    updateLimits();
}

void Reducer::State::logUnreadable(Registry registry, const RegistryEntry &entry)
{
    log({ core::log::entryUnreadable,
          { { "registry", toText(registry) },
            { "entry", entry.name },
            { "revision", std::to_string(entry.revision.number()) },
            { "problem", std::get<UnreadableEntry>(entry.value).problem } } });
}

void Reducer::State::checkConfigLag()
{
    const std::uint64_t version = config_ ? config_->version.number() : 0;
    const std::uint64_t reported = fleet_.newestConfigVersion(now_);
    if (reported <= version || reported != missingVersion_) {
        missingVersion_ = reported > version ? reported : 0;
        missingSince_ = now_;
        return;
    }
    if (missingSince_ == Instant::never() || now_ - missingSince_ < maxConfigLag)
        return;
    missingSince_ = Instant::never(); // one line for each version
    log({ core::log::configBehind,
          { { "config", std::to_string(version) },
            { "reported", std::to_string(reported) },
            { "revision", std::to_string(configRevision_.number().number()) },
            { "revisionEra", std::to_string(configRevision_.era().number()) },
            { "known", std::to_string(store_.revision(Registry::Traffic).number().number()) },
            { "era", std::to_string(store_.era().number()) },
            { "storeAgeMs", std::to_string((now_ - store_.lastResponseAt()).toMillis()) },
            { "mode", toText(store_.mode()) } } });
}

void Reducer::State::writeOwnEntry()
{
    if (const auto write = ownEntry_.takeDue(now_))
        perform(WriteVm { options_.vm, *write == store::OwnEntry::Write::Create, writeTimeout });
}

void Reducer::State::on(const StoreWritten &event)
{
    store_.onEraTold(event.era, now_);
    if (isOfOtherVm(event.vm))
        return;
    // What was acknowledged in an earlier era may be lost.
    const bool isCurrent = event.era == StoreEra() || event.era == store_.era();
    if (event.registry == Registry::PeerKeys) {
        secret_.onCreated(now_);
    } else if (isCurrent) {
        ownEntry_.onWritten();
        store_.refresh(Registry::Vms, now_);
    } else {
        ownEntry_.onWriteFailed(StoreFailure::NoAnswer, now_);
    }
    store_.onTimer(now_);
}

void Reducer::State::on(const StoreWriteFailed &event)
{
    store_.onEraTold(event.era, now_);
    if (event.registry == Registry::PeerKeys)
        secret_.onCreateFailed(now_);
    else if (ownEntry_.isPending() && !isOfOtherVm(event.vm))
        ownEntry_.onWriteFailed(event.failure, now_);
}

// Chooses whether this VM reads the store for others, follows VMs that do, or watches the
// store for itself only.
void Reducer::State::chooseStoreMode()
{
    const bool isLarge = fleet_.vmCount() >= minVmsToFollow;
    const bool isJoining = now_ - startedAt_ < (isLarge ? joinTime : joinTimeInSmallFleet);
    const Duration maxAge = maxReaderAgeNow();
    StoreMode mode = isJoining ? StoreMode::Follows : StoreMode::Watches;
    if (isLarge && !isStopping_) {
        const auto rank = exchange_.readerRank(readerRankSeed, now_);
        if (rank && *rank < desiredReaders)
            mode = StoreMode::Reads;
        else if (fleet_.freshReaders(maxAge, now_) >= requiredReaders)
            mode = StoreMode::Follows;
    }
    if (mode == store_.mode())
        return;
    store_.setMode(mode, now_);
    log({ core::log::storeModeChanged,
          { { "mode", toText(mode) },
            { "freshReaders", std::to_string(fleet_.freshReaders(maxAge, now_)) },
            { "vms", std::to_string(fleet_.vmCount()) } } });
}

void Reducer::State::expediteReport(bool hasChanges)
{
    if (hasChanges && store_.mode() == StoreMode::Reads)
        reportBy(now_);
}

void Reducer::State::reportBy(Instant at)
{
    reportAt_ = std::min(reportAt_, at);
    isReportUrgent_ = true;
}

void Reducer::State::on(const RegistryChanged &event)
{
    const StoreRevision after = store_.revision(event.registry);
    if (!store_.onChanged(event, now_))
        return;
    const bool hasChanges = !event.entries.empty();
    if (hasChanges && event.registry == Registry::Targets)
        sendTargetUpdate(event, after);
    expediteReport(hasChanges);
}

void Reducer::State::sendUpdate(const RegistryChanged &changed, StoreRevision after)
{
    if (changed.registry == Registry::Vms)
        sendVmUpdate(changed, after);
    else
        sendTargetUpdate(changed, after);
    expediteReport(true);
}

// The first of the reading VMs that has the store sends changes of targets to the other VMs, before
// the report that announces the new revision.
void Reducer::State::sendTargetUpdate(const RegistryChanged &changed, StoreRevision after)
{
    if (!mustSend(after) || hasUnnamedEntry(changed))
        return;
    TargetUpdate update;
    update.after = after.number();
    update.upTo = changed.at;
    update.era = store_.era();
    update.isComplete = after.era() != update.era;
    if (const auto age = view_.returnAge(now_))
        update.returnAgeMillis =
            static_cast<std::uint32_t>(std::max<std::int64_t>(1, age->toMillis()));
    for (const RegistryEntry &entry : changed.entries) {
        core::TargetChange change;
        change.name = entry.name;
        change.revision = entry.revision;
        change.isGone = entry.isGone;
        if (const auto *target = std::get_if<Target>(&entry.value))
            change.target = *target;
        else if (const auto *unreadable = std::get_if<UnreadableEntry>(&entry.value))
            change.problem = unreadable->problem;
        update.changes.push_back(std::move(change));
    }
    exchange_.sendTargetUpdate(std::move(update), now_);
}

bool Reducer::State::isFirstReader() const
{
    return store_.mode() == StoreMode::Reads
        && fleet_.isFirstReader(readerRankSeed, maxReaderAgeNow(), now_);
}

void Reducer::State::sendVmUpdate(const RegistryChanged &changed, StoreRevision after)
{
    if (!mustSend(after) || hasUnnamedEntry(changed))
        return;
    VmUpdate update;
    update.after = after.number();
    update.upTo = changed.at;
    update.era = store_.era();
    update.isComplete = after.era() != update.era;
    for (const RegistryEntry &entry : changed.entries) {
        const auto *vm = std::get_if<VmEntry>(&entry.value);
        update.changes.push_back({ entry.name, entry.revision, entry.isGone || vm == nullptr,
                                   vm != nullptr ? *vm : VmEntry() });
    }
    exchange_.sendVmUpdate(std::move(update), now_);
}

void Reducer::State::on(const PeerVmUpdateReceived &event)
{
    RegistryChanged changed;
    changed.registry = Registry::Vms;
    changed.at = event.update.upTo;
    changed.era = eraOf(event.update.era);
    for (const core::VmChange &change : event.update.changes)
        changed.entries.push_back({ change.name, change.revision, change.isGone, change.vm });
    store_.onEraTold(changed.era, now_);
    store_.onReportedChanges(changed, { changed.era, event.update.after }, event.update.isComplete,
                             now_);
    exchange_.onVmUpdate(event, now_);
}

void Reducer::State::on(const PeerTargetUpdateReceived &event)
{
    RegistryChanged changed;
    changed.registry = Registry::Targets;
    changed.at = event.update.upTo;
    changed.era = eraOf(event.update.era);
    for (const core::TargetChange &change : event.update.changes) {
        RegistryEntry entry;
        entry.name = change.name;
        entry.revision = change.revision;
        entry.isGone = change.isGone;
        if (change.problem.empty())
            entry.value = change.target;
        else
            entry.value = UnreadableEntry { change.problem };
        changed.entries.push_back(std::move(entry));
    }
    if (event.update.returnAgeMillis > 0)
        view_.onReaderReturned(now_ - Duration::millis(event.update.returnAgeMillis));
    store_.onEraTold(changed.era, now_);
    store_.onReportedChanges(changed, { changed.era, event.update.after }, event.update.isComplete,
                             now_);
    exchange_.onTargetUpdate(event, now_);
}

void Reducer::State::applyReportedRevisions()
{
    if (store_.mode() != StoreMode::Follows)
        return;
    for (std::size_t i = 0; i < followedRegistries.size(); ++i)
        store_.onReportedRevision(followedRegistries[i],
                                  fleet_.changeRevision(i, eraOf(StoreEra()), now_), now_);
}

// Takes over the evacuations that a VM that reads the store knows. They are the only way to
// learn of them while this VM has no path to the store.
void Reducer::State::applyReportedEvacuations(const VmReport &report)
{
    if (!report.readsStore || report.registryRevisions.size() <= evacuationsIndex
        || report.registryRevisions[evacuationsIndex] == 0)
        return;
    const StoreRevision revision(eraOf(report.storeEra),
                                 Revision(report.registryRevisions[evacuationsIndex]));
    std::vector<RegistryEntry> entries;
    for (const FailureDomainId &domain : report.evacuated)
        entries.push_back({ domain.text(), revision.number(), false, EvacuationEntry() });
    store_.onReportedEntries(Registry::Evacuations, std::move(entries), revision, now_);
}

// Sends a report of this VM's state to other VMs.
void Reducer::State::report()
{
    const auto vms = static_cast<std::int64_t>(fleet_.vmCount());
    const bool isLarge = fleet_.vmCount() > maxVmsAtFullRate;
    const bool isReader = store_.mode() == StoreMode::Reads;
    const std::int64_t slowdown =
        std::clamp<std::int64_t>(vms / static_cast<std::int64_t>(maxVmsAtFullRate), 1, maxSlowdown);
    const Duration interval =
        exchange_.usesRelays() ? relayedReportInterval : reportInterval * slowdown;
    reportAt_ = now_ + (isReader ? reportInterval : interval);
    reportedAt_ = now_;
    // In a small fleet, other regions get only every second report: traffic between regions is
    // the most expensive, and they need little of a report's content.
    const bool isForAll = isLarge || isReader || reportSequence_ % 2 == 1 || isStopping_
        || isReady() != wasReportedReady_ || limits_.hasChanged(now_);
    wasReportedReady_ = isReady();
    VmReport report = makeReport();
    report.isUrgent = std::exchange(isReportUrgent_, false);
    if (isForAll)
        limits_.markReported(report.admissions);
    exchange_.send(report, isForAll ? VmExchange::Reach::All : VmExchange::Reach::Region, now_);
}

VmReport Reducer::State::makeReport()
{
    const bool isReader = store_.mode() == StoreMode::Reads;
    VmReport report;
    report.sequence = ++reportSequence_;
    report.storeEra = store_.era();
    report.isReady = isReady();
    report.isLeaving = isStopping_;
    report.configVersion = config_ ? config_->version.number() : 0;
    report.uses = pool_.uses();
    report.readsStore = isReader;
    if (isReader) {
        const Duration age = std::min(now_ - store_.confirmedAt(), Duration::seconds(3600));
        report.storeAgeMillis = static_cast<std::uint32_t>(age.toMillis());
        for (const Registry registry : followedRegistries) {
            const StoreRevision last = store_.lastChangeRevision(registry);
            const bool isKnown = last.era() == store_.era(); // else it is still to be listed
            report.registryRevisions.push_back(isKnown ? last.number().number() : 0);
        }
        report.evacuated = view_.evacuatedDomains();
    }
    report.isYoung = limits_.isYoung(now_);
    report.admissions = limits_.admissions(now_);
    report.targetLimits = pool_.limitReports(now_);
    report.leavingTargets = pool_.leavingReports(now_);
    report.regionRequests = pool_.shareLimit().report(now_);
    report.failedRequests = static_cast<std::uint32_t>(faults_.failures(now_));
    if (const std::optional<Duration> age = faults_.signAge(now_)) {
        report.hasNoticedFault = true;
        report.faultAgeMillis = static_cast<std::uint32_t>(age->toMillis());
    }
    report.arrivedRequests = pool_.arrivedRequests(now_);
    return report;
}

void Reducer::State::on(const PeerReportReceived &event)
{
    if (exchange_.onReport(event, now_) == Fleet::ReportResult::Ignored)
        return;
    store_.onEraTold(event.report.storeEra, now_);
    limits_.onReport(event.from, event.report);
    pool_.onLimitsReported(event.from, event.report.targetLimits, Duration(), now_);
    pool_.onLeavingReported(event.from, event.report.leavingTargets, Duration(), now_);
    applyReportedFault(event.report, Duration());
    applyReportedEvacuations(event.report);
    applyReportedRevisions();
}

void Reducer::State::on(const PeerReportsRelayed &event)
{
    for (const RelayedReport &one : exchange_.onRelayed(event, now_)) {
        store_.onEraTold(one.report.storeEra, now_);
        limits_.onReport(one.vm, one.report);
        const Duration age = Duration::millis(one.ageMillis);
        pool_.onLimitsReported(one.vm, one.report.targetLimits, age, now_);
        pool_.onLeavingReported(one.vm, one.report.leavingTargets, age, now_);
        applyReportedFault(one.report, age);
        applyReportedEvacuations(one.report);
    }
    applyReportedRevisions();
}

void Reducer::State::applyReportedFault(const VmReport &report, Duration age)
{
    if (report.hasNoticedFault)
        faults_.onReported(age + Duration::millis(report.faultAgeMillis), now_);
}

void Reducer::State::noticeFaults()
{
    if (store_.isOutage())
        faults_.onSign(regions::FaultSign::StoreLost, now_);
    if (std::exchange(knownLosses_, fleet_.lossCount()) != fleet_.lossCount())
        faults_.onSign(regions::FaultSign::VmLost, now_);
}

void Reducer::State::on(const PeerSpendingRelayed &event)
{
    if (!exchange_.onSpending(event))
        return;
    limits_.onSpending(event.relayed.from, event.relayed.incarnation, event.relayed.spending, now_);
    expediteAdmissions();
}

void Reducer::State::on(const PeerSpendingReceived &event)
{
    limits_.onSpending(event.from, event.incarnation, event.spending, now_);
    expediteAdmissions();
}

void Reducer::State::updateLimits()
{
    if (config_ && store_.isListed(Registry::Vms))
        limits_.setVms(isStopping_, now_);
}

void Reducer::State::expediteAdmissions()
{
    if (limits_.hasChanged(now_))
        reportBy(std::max(now_, reportedAt_ + minAdmissionInterval));
}

// Removes the entries of VMs that have not reported for staleEntryAge. Only the first live
// VM by rank does so.
void Reducer::State::removeStaleVms()
{
    // A revision of an earlier era may be that of another change now.
    const bool isCurrent = !store_.isLost() && !store_.isRestoring(Registry::Vms);
    if (!isCurrent || fleet_.rankFor(0, now_) != 0 || now_ < removalsDueAt_)
        return;
    const auto stale = fleet_.staleEntries(staleEntryAge, now_);
    if (stale.empty())
        removalPacer_.reset();
    else
        removalsDueAt_ = now_ + removalPacer_.nextWait(maxRemovalWait);
    for (const auto &[vm, revision] : stale)
        perform(RemoveVm { vm, revision, writeTimeout });
}

void Reducer::State::updateReadiness()
{
    const bool ready = isReady();
    if (ready == wasReady_)
        return;
    wasReady_ = ready;
    log({ core::log::readyChanged,
          { { "ready", ready ? "yes" : "no" },
            { "reason",
              isStopping_ ? "stopping"
                  : ready ? "all registries are listed"
                          : "start" },
            { "vms", std::to_string(fleet_.vmCount()) },
            { "config", config_ ? std::to_string(config_->version.number()) : "none" } } });
    reportBy(now_); // announce it to the other VMs at once
    if (ready)
        dispatcher_.onReady(random_, now_);
}

void Reducer::State::on(const StopRequested &event)
{
    if (isStopping_)
        return;
    isStopping_ = true;
    stopServingAt_ = now_ + std::min(maxServingAfterStop, event.grace / 2);
    forcedEndAt_ = now_ + event.grace - stopMargin;
    dispatcher_.setEnd(forcedEndAt_);
    log({ core::log::shutdownBegun,
          { { "pending", std::to_string(dispatcher_.pendingCount()) },
            { "stayMs", std::to_string((stopServingAt_ - now_).toMillis()) } } });
    ownEntry_.stop();
    perform(CloseConnections {});
    perform(RemoveVm { options_.vm.id, Revision(), writeTimeout });
    exchange_.setLeaving();
    isReportUrgent_ = true;
    report();
}

void Reducer::State::stop()
{
    if (hasExited_ || now_ < stopServingAt_)
        return;
    dispatcher_.refuseNew();
    if (now_ >= forcedEndAt_)
        dispatcher_.endAll(now_);
    if (dispatcher_.pendingCount() > 0)
        return;
    hasExited_ = true;
    perform(Exit {});
}

Reducer::Reducer(const GatewayOptions &options)
    : state_(std::make_unique<State>(options))
{
}

Reducer::~Reducer() = default;

Effects Reducer::start(Instant now, std::uint64_t random)
{
    state_->start(now, random);
    return state_->takeEffects();
}

Effects Reducer::reduce(const Event &event)
{
    state_->reduce(event);
    return state_->takeEffects();
}

Instant Reducer::nextWake() const
{
    return state_->nextWake();
}

void Reducer::setBounds(const FleetBounds &bounds)
{
    state_->options_.bounds = bounds;
}

bool Reducer::isReady() const
{
    return state_->isReady();
}

const CallerLimits &Reducer::callerLimits() const
{
    static const CallerLimits defaults;
    return state_->config_ ? state_->config_->limits : defaults;
}

std::vector<Endpoint> Reducer::addressesFor(const RegionId &region, const FailureDomainId &domain,
                                            Instant now) const
{
    return state_->fleet_.addressesFor(region, domain, state_->isReady(), state_->store_.isLost(),
                                       now);
}

Duration Reducer::lookupTtl() const
{
    return std::min(defaultLookupTtl, state_->options_.bounds.maxLookupTtl);
}

Reducer::Readings Reducer::readings(Instant now) const
{
    Readings readings;
    readings.pending = state_->dispatcher_.pendingCount();
    readings.vms = state_->fleet_.vmCount();
    readings.liveVms = state_->fleet_.livePeers(now).size() + 1;
    readings.targets = state_->pool_.targetIds().size();
    readings.limitedTargets = state_->pool_.limitedTargets();
    readings.leavingTargets = state_->pool_.signals().leavingCount();
    readings.pausedTargets = state_->pool_.signals().pausedCount(now);
    readings.configVersion = state_->config_ ? state_->config_->version.number() : 0;
    readings.configRevision = state_->configRevision_.number().number();
    readings.reportedConfigVersion = state_->fleet_.newestConfigVersion(now);
    readings.storeEra = state_->store_.era().number();
    readings.ignoredStoreData = state_->store_.ignoredCount();
    for (std::size_t i = 0; i < registryCount; ++i)
        readings.registryAges[i] = now
            - std::max(state_->startedAt_, state_->store_.confirmedAt(static_cast<Registry>(i)));
    readings.storeAge = now - state_->store_.lastResponseAt();
    readings.isStoreLost = state_->store_.isLost();
    readings.unreadableEntries = state_->store_.unreadableCount();
    return readings;
}

} // namespace bluebellshift::gateway
