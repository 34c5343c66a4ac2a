// Each event is passed to the components that it concerns. After every event the
// dependent components are updated once: queued ledger messages are sent, a
// changed set of serving VMs is passed to the traffic steering, and changed
// readiness is published. Components call each other only through hooks.
#include "bluebellshift/core/reducer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "bluebellshift/core/administration.h"
#include "bluebellshift/core/capacity.h"
#include "bluebellshift/core/dispatch.h"
#include "bluebellshift/core/fleet.h"
#include "bluebellshift/core/rolloutcontroller.h"
#include "bluebellshift/core/trafficsteering.h"
#include "bluebellshift/core/viewsync.h"

namespace bluebellshift::core {

namespace {

constexpr Duration housekeepingInterval = Duration::seconds(1);
constexpr Duration seedRequestInterval = Duration::millis(500);
constexpr Duration readinessInterval =
    Duration::millis(100); // minimum interval while readiness is unchanged

void append(Effects &all, Effects more)
{
    std::move(more.begin(), more.end(), std::back_inserter(all));
}

} // namespace

class Reducer::State
{
public:
    State(const CoreOptions &options, View::Hooks hooks);

    void reduce(const Event &event);
    Effects takeEffects() { return std::exchange(effects_, {}); }

private:
    // One overload for each kind of event.
    void on(const TimerFired &event);
    void on(const PlatformChanged &event);
    void on(const PlatformFailed &event);
    void on(const PlatformReplied &event);
    void on(const PeerMessageReceived &event);
    void on(const PeerLost &event);
    void on(const RequestArrived &event);
    void on(const TicketRequested &event);
    void on(const CallerGone &event);
    void on(const RelayFailed &event);
    void on(const AttemptEnded &event);
    void on(const ProbeEnded &event);
    void on(const ChangeRequested &event);
    void on(const ObjectsRequested &event);
    void on(const StatusRequested &event);
    void on(const ShutdownRequested &event);

    // One overload for each kind of message; `peer_` is the sender.
    void onMessage(const Heartbeat &message);
    void onMessage(const BorrowRequest &message);
    void onMessage(const BorrowReply &message);
    void onMessage(const ViewRequest &message);
    void onMessage(const ViewReply &message);
    void onMessage(const RelayRequest &message);
    void onMessage(const RelayReply &message);
    void onMessage(const RelayCancel &message);
    // Sent between gateways only.
    void onMessage(const VmReport &) { }
    void onMessage(const SpendingReport &) { }
    void onMessage(const TargetUpdate &) { }
    void onMessage(const RelayedReports &) { }
    void onMessage(const RelayedSpending &) { }
    void onMessage(const VmUpdate &) { }

    void start();
    void afterInstall(View::InstallResult installed, Instant asOf);
    void logBundle();
    void installLimits();
    void installPeers();
    void publishSnapshot();
    void finishEvent();
    void requestViewFromSeeds();
    void publishReadiness();
    std::string notReadyReason() const;
    bool isInForceEverywhere(Revision revision) const;
    int rankOf(Revision revision) const;
    DispatchHooks dispatchHooks();
    RolloutControllerHooks rolloutControllerHooks();
    TrafficSteeringHooks steeringHooks();

    template<typename Part> void emit(Part effects) { append(effects_, std::move(effects)); }
    void log(const LogEvent &event, std::vector<LogField> fields)
    {
        effects_.push_back(WriteLog { LogRecord { event, std::move(fields) } });
    }

    const CoreOptions options_;
    std::uint64_t lastCall_ = 0;
    View view_;
    ViewSync sync_;
    Fleet fleet_;
    TrafficSteering steering_;
    RolloutController rolloutController_;
    Dispatch dispatch_;
    Administration administration_;

    Effects effects_;
    Instant now_;
    WallTime wallTime_;
    std::uint64_t random_ = 0;
    VmId peer_;
    Incarnation peerIncarnation_;

    bool isStarted_ = false;
    Instant nextHousekeeping_ = Instant::never();
    Instant nextSeedRequest_ = Instant::never();
    std::vector<VmId> lastServing_;
    std::vector<Vm> lastPeers_;
    std::string lastLoggedBundle_; // the version last logged
    bool wasReady_ = false;
    std::string lastNotReadyReason_;
    Instant publishedValidUntil_ = Instant::never();
    bool wasFresh_ = false;
    bool isLeaving_ = false;
};

Reducer::State::State(const CoreOptions &options, View::Hooks hooks)
    : options_(options)
    , view_(std::move(hooks))
    , sync_(options_, view_)
    , fleet_(options_, [this] { return CallId(++lastCall_); })
    , steering_(options_, steeringHooks())
    , rolloutController_(options_, rolloutControllerHooks())
    , dispatch_(options_, dispatchHooks())
    , administration_(options_, [this] { return CallId(++lastCall_); })
{
}

DispatchHooks Reducer::State::dispatchHooks()
{
    DispatchHooks hooks;
    hooks.authenticate = [this](const KeyDigest &digest) { return view_.teamOf(digest); };
    hooks.bundle = [this] { return view_.bundle(); };
    hooks.targetsOf = [this](const ServiceId &service) -> const std::vector<Target> & {
        return view_.targetsOf(service);
    };
    hooks.budget = fleet_.hooks();
    hooks.regionOrder = [this](const ServiceId &service, const TeamId &team, std::uint64_t random,
                               Instant now) {
        return steering_.regionOrder(service, random, now, team);
    };
    hooks.mayServe = [this](Instant now) { return fleet_.mayServe(now); };
    hooks.validUntil = [this](Instant now) { return fleet_.validUntil(now); };
    hooks.isVmAlive = [this](const VmId &vm, Incarnation incarnation) {
        if (vm == options_.vm)
            return incarnation == options_.incarnation;
        const Peer *peer = fleet_.membership().find(vm);
        return peer != nullptr && peer->incarnation == incarnation
            && fleet_.membership().isAlive(vm, now_);
    };
    return hooks;
}

RolloutControllerHooks Reducer::State::rolloutControllerHooks()
{
    RolloutControllerHooks hooks;
    hooks.isInForceEverywhere = [this](Revision revision, Instant) {
        return isInForceEverywhere(revision);
    };
    hooks.isHeldByQuorum = [this](Revision revision) { return fleet_.isHeldByQuorum(revision); };
    hooks.mayAct = [this](Instant) { return wasReady_; };
    // This VM has no measurement yet that covers the whole fleet.
    hooks.unhealthyReason = [](Instant) { return std::nullopt; };
    hooks.unsettledRegions = [this] { return steering_.unsettledRegions(); };
    hooks.rank = [this](Revision revision) { return rankOf(revision); };
    hooks.newCall = [this] { return CallId(++lastCall_); };
    return hooks;
}

// A region is up while at least one of its targets is usable. A region without
// known targets counts as up, so that missing measurements move no traffic.
TrafficSteeringHooks Reducer::State::steeringHooks()
{
    TrafficSteeringHooks hooks;
    hooks.regionHealth = [this](const RegionId &region) {
        int known = 0;
        int usable = 0;
        for (const auto &[service, targets] : view_.targets()) {
            for (const Target &target : targets) {
                if (target.region != region)
                    continue;
                ++known;
                if (!target.isLeaving && !dispatch_.chooser().isEjected(target.id, now_))
                    ++usable;
            }
        }
        RegionHealth health;
        health.isUp = known == 0 || usable > 0;
        return health;
    };
    return hooks;
}

// Returns true if every VM that may steer has installed the revision: each live
// one has acknowledged it, and the lease of each other one has expired since it
// was last known to be alive.
bool Reducer::State::isInForceEverywhere(Revision revision) const
{
    if (view_.revision() < revision)
        return false;
    for (const auto &[vm, peer] : fleet_.membership().peers()) {
        if (fleet_.hasAcknowledged(vm, revision))
            continue;
        const Duration lease = Duration::micros(static_cast<std::int64_t>(
            options_.freshnessLease.toMicros() * (1 + 2 * options_.clockDrift)));
        const bool hasLapsed = !fleet_.membership().isAlive(vm, now_)
            && now_ - std::max(peer.lastKnownAliveAt, peer.heardAt) > lease;
        if (!hasLapsed)
            return false;
    }
    return true;
}

// Returns the position of this VM in an order of all serving VMs that differs
// between revisions, so that one VM tries a write first and the writes are spread
// over the VMs.
int Reducer::State::rankOf(Revision revision) const
{
    std::vector<VmId> vms = fleet_.serving(now_);
    std::sort(vms.begin(), vms.end());
    const auto self = std::find(vms.begin(), vms.end(), options_.vm);
    if (self == vms.end())
        return static_cast<int>(vms.size());
    const auto position = static_cast<std::uint64_t>(self - vms.begin());
    return static_cast<int>((position + revision.number()) % vms.size());
}

void Reducer::State::reduce(const Event &event)
{
    now_ = event.now;
    wallTime_ = event.wallTime;
    random_ = event.random;
    if (!isStarted_)
        start();
    std::visit([this](const auto &body) { on(body); }, event.body);
    finishEvent();
}

void Reducer::State::start()
{
    isStarted_ = true;
    emit(sync_.start());
    effects_.push_back(SetTimer { now_ });
    if (!options_.seeds.empty())
        effects_.push_back(SetPeers { options_.seeds });
    log(log::daemonStarted,
        { { "vm", options_.vm.text() },
          { "region", options_.region.text() },
          { "failure_domain", options_.failureDomain.text() } });
}

void Reducer::State::on(const TimerFired &)
{
    emit(sync_.onTimer(now_));
    emit(fleet_.onTimer(now_, random_));
    emit(dispatch_.onTimer(now_));
    emit(administration_.onTimer(now_, random_));
    requestViewFromSeeds();
    if (now_ >= nextHousekeeping_) {
        nextHousekeeping_ = now_ + housekeepingInterval;
        emit(steering_.onTimer(now_));
        emit(rolloutController_.onTimer(now_, wallTime_));
    }
    effects_.push_back(SetTimer { nextHousekeeping_ });
}

// Without a view, the only known peers are the configured seeds.
void Reducer::State::requestViewFromSeeds()
{
    if (view_.revision() != Revision() || options_.seeds.empty() || now_ < nextSeedRequest_)
        return;
    nextSeedRequest_ = now_ + seedRequestInterval;
    for (const Vm &seed : options_.seeds) {
        if (seed.id != options_.vm)
            effects_.push_back(SendPeer { seed.id, ViewRequest {} });
    }
    effects_.push_back(SetTimer { nextSeedRequest_ });
}

void Reducer::State::on(const PlatformChanged &event)
{
    fleet_.onPlatformAnswered();
    ViewSync::Update update = sync_.onPlatformChanged(event);
    emit(std::move(update.effects));
    if (update.installed == View::InstallResult::Older) {
        log(log::oldViewIgnored,
            { { "revision", std::to_string(event.revision.number()) },
              { "held", std::to_string(view_.revision().number()) } });
        return;
    }
    afterInstall(update.installed, event.asOf);
    fleet_.onViewConfirmed(event.revision, event.asOf);
}

void Reducer::State::on(const PlatformFailed &event)
{
    fleet_.onPlatformFailed(event.begunAt);
    emit(sync_.onPlatformFailed(now_, random_));
}

void Reducer::State::on(const PlatformReplied &event)
{
    if (fleet_.onPlatformReplied(event, now_, random_, &effects_))
        return;
    emit(rolloutController_.onPlatformReplied(event));
    emit(administration_.onPlatformReplied(event, now_, random_));
}

// Updates every component that depends on the view.
void Reducer::State::afterInstall(View::InstallResult installed, Instant asOf)
{
    for (const std::string &fault : view_.takeDecodeErrors())
        log(log::objectInvalid, { { "message", fault } });
    if (installed != View::InstallResult::Newer)
        return;
    log(log::viewInstalled, { { "revision", std::to_string(view_.revision().number()) } });

    FleetView fleetView;
    fleetView.revision = view_.revision();
    fleetView.asOf = asOf;
    if (const Object *members = view_.find(kind::ledger, "members"))
        fleetView.members = *members;
    fleetView.vms = view_.vms();
    if (view_.bundle() != nullptr)
        fleetView.storeRegion = view_.bundle()->storeRegion;
    const absl::Status status = fleet_.onViewInstalled(fleetView, now_, &effects_);
    if (!status.ok())
        log(log::objectInvalid, { { "message", std::string(status.message()) } });

    logBundle();
    installLimits();
    installPeers();
    publishSnapshot();
    if (view_.bundle() != nullptr)
        emit(rolloutController_.onViewChanged(view_.bundle(), view_.previousBundle(),
                                              view_.rollout(), view_.rolloutVersion(), now_));
    emit(dispatch_.onViewChanged(now_));
}

void Reducer::State::logBundle()
{
    if (view_.bundle() == nullptr || view_.bundle()->version == lastLoggedBundle_)
        return;
    log(log::bundleInForce,
        { { "bundle", view_.bundle()->version }, { "previous", lastLoggedBundle_ } });
    lastLoggedBundle_ = view_.bundle()->version;
}

void Reducer::State::installLimits()
{
    if (view_.bundle() == nullptr)
        return;
    std::vector<AccountLimit> limits = accountLimits(*view_.bundle());
    for (const auto &[service, targets] : view_.targets()) {
        for (const Target &target : targets) {
            limits.push_back({ slotAccount(target.id), 0, static_cast<double>(target.slots) });
            limits.push_back(
                { connectionAccount(target.id), 0, static_cast<double>(target.connections) });
        }
    }
    fleet_.setLimits(limits, now_);
}

void Reducer::State::installPeers()
{
    std::vector<Vm> peers;
    for (const Vm &vm : view_.vms()) {
        if (vm.id != options_.vm)
            peers.push_back(vm);
    }
    if (peers != lastPeers_) {
        lastPeers_ = peers;
        effects_.push_back(SetPeers { std::move(peers) });
    }
}

void Reducer::State::publishSnapshot()
{
    lastServing_ = fleet_.serving(now_);
    if (view_.bundle() != nullptr)
        emit(steering_.onViewChanged(view_.bundle(), view_.previousBundle(), view_.rollout(),
                                     view_.vms(), lastServing_, now_));
}

void Reducer::State::on(const PeerMessageReceived &event)
{
    peer_ = event.from;
    peerIncarnation_ = event.incarnation;
    std::visit([this](const auto &message) { onMessage(message); }, event.message);
}

void Reducer::State::onMessage(const Heartbeat &message)
{
    emit(fleet_.onHeartbeat(peer_, peerIncarnation_, message, now_));
    emit(sync_.onPeerRevision(peer_, message.viewRevision, now_));
    emit(dispatch_.onBudgetChanged(now_));
}

void Reducer::State::onMessage(const BorrowRequest &message)
{
    emit(fleet_.onBorrowRequest(peer_, peerIncarnation_, message, now_));
}

void Reducer::State::onMessage(const BorrowReply &message)
{
    emit(fleet_.onBorrowReply(peer_, peerIncarnation_, message, now_));
    emit(dispatch_.onBudgetChanged(now_));
}

void Reducer::State::onMessage(const ViewRequest &message)
{
    emit(sync_.onViewRequest(peer_, message));
}

void Reducer::State::onMessage(const ViewReply &message)
{
    ViewSync::Update update = sync_.onViewReply(message);
    emit(std::move(update.effects));
    // The age of the view is taken from the heartbeats of the peer, since only
    // their age can be bounded on the clock of this VM.
    if (update.installed == View::InstallResult::Newer)
        afterInstall(update.installed, Instant::never());
}

// The shell keeps the body and posts a RequestArrived instead.
void Reducer::State::onMessage(const RelayRequest &) { }

void Reducer::State::onMessage(const RelayReply &message)
{
    emit(dispatch_.onRelayReply(peer_, relayedRequest(message.correlation, options_.incarnation),
                                message, now_));
}

// The shell posts a CallerGone for the request instead.
void Reducer::State::onMessage(const RelayCancel &) { }

void Reducer::State::on(const PeerLost &event)
{
    fleet_.onPeerLost(event.vm);
    emit(dispatch_.onPeerLost(event.vm, now_));
}

void Reducer::State::on(const RequestArrived &event)
{
    emit(dispatch_.onRequest(event, now_, random_));
}

void Reducer::State::on(const TicketRequested &event)
{
    emit(dispatch_.onTicketAsked(event, now_, random_));
}

void Reducer::State::on(const CallerGone &event)
{
    emit(dispatch_.onCallerGone(event, now_));
}

void Reducer::State::on(const RelayFailed &event)
{
    emit(dispatch_.onRelayFailed(event.request, now_));
}

void Reducer::State::on(const AttemptEnded &event)
{
    emit(dispatch_.onAttemptEnded(event, now_));
}

void Reducer::State::on(const ProbeEnded &event)
{
    emit(dispatch_.onProbeEnded(event, now_));
}

void Reducer::State::on(const ChangeRequested &event)
{
    emit(administration_.onChangeRequested(event, now_, random_));
}

void Reducer::State::on(const ObjectsRequested &event)
{
    ObjectsReturned status;
    status.request = event.request;
    for (const Object &object : view_.changedSince(Revision())) {
        const bool isAsked =
            object.kind == event.kind && (event.name.empty() || object.name == event.name);
        if (isAsked && !object.deleted)
            status.objects.push_back(object);
    }
    effects_.push_back(std::move(status));
}

void Reducer::State::on(const StatusRequested &event)
{
    StatusReturned status;
    status.request = event.request;
    status.vm = options_.vm;
    status.viewRevision = view_.revision();
    status.isFresh = fleet_.freshness().isFresh(now_);
    status.reason = notReadyReason();
    status.isReady = status.reason.empty();
    if (view_.bundle() != nullptr)
        status.bundle = view_.bundle()->version;
    for (const auto &[vm, peer] : fleet_.membership().peers()) {
        PeerReport report;
        report.vm = vm;
        report.viewRevision = peer.viewRevision;
        report.isAlive = fleet_.membership().isAlive(vm, now_);
        report.isReady = peer.isReady;
        report.isLeaving = peer.isLeaving;
        report.age = now_ - peer.heardAt;
        status.peers.push_back(std::move(report));
    }
    effects_.push_back(std::move(status));
}

void Reducer::State::on(const ShutdownRequested &)
{
    emit(dispatch_.beginShutdown(now_));
    if (isLeaving_)
        return;
    isLeaving_ = true;
    emit(fleet_.beginLeaving(now_));
}

std::string Reducer::State::notReadyReason() const
{
    if (view_.bundle() == nullptr)
        return "no bundle is in force";
    if (!fleet_.freshness().isFresh(now_))
        return "the view is not fresh";
    if (!fleet_.mayServe(now_))
        return "this VM is not a member of the ledger yet";
    if (isLeaving_)
        return "this VM is leaving";
    return {};
}

void Reducer::State::publishReadiness()
{
    const std::string reason = notReadyReason();
    const bool isReady = reason.empty();
    const Instant validUntil = fleet_.validUntil(now_);
    const bool changed = isReady != wasReady_ || reason != lastNotReadyReason_;
    if (!changed && validUntil < publishedValidUntil_ + readinessInterval)
        return;
    if (changed)
        log(log::readyChanged, { { "ready", isReady ? "true" : "false" }, { "reason", reason } });
    wasReady_ = isReady;
    lastNotReadyReason_ = reason;
    publishedValidUntil_ = validUntil;
    effects_.push_back(SetReady { isReady, reason, validUntil });
}

// Updates that follow every event.
void Reducer::State::finishEvent()
{
    fleet_.setRequestsInFlight(static_cast<std::uint32_t>(dispatch_.pendingCount()));
    emit(fleet_.flush(now_));
    const bool isFresh = fleet_.freshness().isFresh(now_);
    if (isFresh != wasFresh_) {
        wasFresh_ = isFresh;
        log(isFresh ? log::viewFresh : log::viewStale,
            { { "revision", std::to_string(view_.revision().number()) } });
    }
    if (fleet_.serving(now_) != lastServing_)
        publishSnapshot();
    publishReadiness();
}

Reducer::Reducer(const CoreOptions &options, View::Hooks hooks)
    : state_(std::make_unique<State>(options, std::move(hooks)))
{
}

Reducer::~Reducer() = default;

Effects Reducer::reduce(const Event &event)
{
    state_->reduce(event);
    return state_->takeEffects();
}

} // namespace bluebellshift::core
