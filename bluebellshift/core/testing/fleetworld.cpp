// Each VM has its own clock, with an offset and a drift within the bound. A message
// carries the incarnations of both ends and is dropped if the receiver has been
// replaced, as in the transport.
#include "bluebellshift/core/testing/fleetworld.h"

#include <algorithm>
#include <utility>

namespace bluebellshift::core {

namespace {

constexpr Duration watchStep = Duration::millis(5);
constexpr int maxWatchSteps = 160;          // 800 ms
constexpr std::size_t frameBytes = 14 + 24; // WebSocket header and MAC

const char *messageKind(const Message &message)
{
    if (std::holds_alternative<Heartbeat>(message))
        return "heartbeat";
    return std::holds_alternative<BorrowRequest>(message) ? "borrow" : "lend";
}

} // namespace

std::vector<Vm> makeVms(int perDomain)
{
    std::vector<Vm> vms;
    for (const char *region : { "punjab", "kpk", "sindh" }) {
        for (const char *domain : { "a", "b" }) {
            for (int i = 1; i <= perDomain; ++i) {
                Vm vm;
                std::string domainName = std::string(region) + "-" + domain;
                vm.id = VmId(domainName + "-" + std::to_string(i));
                vm.region = RegionId(region);
                vm.failureDomain = FailureDomainId(domainName);
                vms.push_back(vm);
            }
        }
    }
    return vms;
}

FleetWorld::FleetWorld(FleetWorldOptions options)
    : drop(options.drop)
    , lostReply(options.lostReply)
    , options_(std::move(options))
    , random_(options_.seed)
    , nodes_(options_.vms.size())
{
    members_.kind = kind::ledger;
    members_.name = membersName;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].offset = static_cast<std::int64_t>(1'000'000 + random_() % 1'000'000'000);
        nodes_[i].drift = (static_cast<double>(random_() % 1001) - 500) / 1e6; // +-0.05%
    }
}

bool FleetWorld::chance(double probability)
{
    return static_cast<double>(random_() % 1'000'000) < probability * 1e6;
}

Instant FleetWorld::localNow(std::size_t vm) const
{
    const Node &node = nodes_[vm];
    double drifted = static_cast<double>(nowMicros_) * (1 + node.drift);
    return Instant::fromMicros(node.offset + static_cast<std::int64_t>(drifted));
}

void FleetWorld::after(Duration delay, std::function<void()> action)
{
    std::int64_t at = nowMicros_ + std::max<std::int64_t>(0, delay.toMicros());
    scheduled_.push(ScheduledAction { at, ++lastSequence_, std::move(action) });
}

void FleetWorld::afterOn(std::size_t vm, Duration delay, std::function<void()> action)
{
    Incarnation incarnation = nodes_[vm].incarnation;
    after(delay, [this, vm, incarnation, action = std::move(action)] {
        Node &node = nodes_[vm];
        if (node.fleet == nullptr || node.incarnation != incarnation)
            return;
        if (node.isPaused)
            node.deferredActions.push_back(action);
        else
            action();
    });
}

void FleetWorld::run(Duration length)
{
    std::int64_t end = nowMicros_ + length.toMicros();
    while (!scheduled_.empty() && scheduled_.top().at <= end) {
        ScheduledAction next = scheduled_.top();
        scheduled_.pop();
        nowMicros_ = next.at;
        next.action();
        if (onStep)
            onStep();
    }
    nowMicros_ = end;
}

// ---- Processes

void FleetWorld::start(std::size_t vm)
{
    Node &node = nodes_[vm];
    node.incarnation = Incarnation(++lastIncarnation_);
    CoreOptions options;
    options.vm = options_.vms[vm].id;
    options.incarnation = node.incarnation;
    options.region = options_.vms[vm].region;
    options.failureDomain = options_.vms[vm].failureDomain;
    node.fleet = std::make_unique<Fleet>(options, [&node] { return CallId(++node.nextCall); });
    node.hooks = node.fleet->hooks();
    node.isPaused = false;
    node.deferredActions.clear();
    node.view = View();
    node.timerAt = Instant::never();
    node.viewRequestedAt = Instant::never();
    node.fleet->setLimits(options_.limits, localNow(vm));
    afterOn(vm, Duration::millis(static_cast<std::int64_t>(random_() % 50)), [this, vm] {
        watch(vm);
        onTimer(vm);
    });
}

void FleetWorld::startAll()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
}

void FleetWorld::kill(std::size_t vm)
{
    nodes_[vm].fleet.reset();
    nodes_[vm].deferredActions.clear();
}

void FleetWorld::pause(std::size_t vm)
{
    nodes_[vm].isPaused = true;
}

void FleetWorld::resume(std::size_t vm)
{
    Node &node = nodes_[vm];
    node.isPaused = false;
    std::vector<std::function<void()>> deferred = std::move(node.deferredActions);
    node.deferredActions.clear();
    for (const auto &action : deferred)
        action();
}

void FleetWorld::leave(std::size_t vm)
{
    applyEffects(vm, nodes_[vm].fleet->beginLeaving(localNow(vm)));
}

void FleetWorld::setLimits(const std::vector<AccountLimit> &limits)
{
    options_.limits = limits;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (isUp(i))
            nodes_[i].fleet->setLimits(limits, localNow(i));
    }
}

bool FleetWorld::take(std::size_t vm, const AccountId &account, double tokens)
{
    Node &node = nodes_[vm];
    bool isTaken =
        !node.hooks.acquireTokens({ Debit { account, tokens } }, localNow(vm)).has_value();
    applyEffects(vm, node.fleet->flush(localNow(vm)));
    return isTaken;
}

void FleetWorld::releaseTokens(std::size_t vm, const AccountId &account, double tokens)
{
    nodes_[vm].hooks.releaseTokens(Debit { account, tokens }, localNow(vm));
}

void FleetWorld::want(std::size_t vm, const AccountId &account, double tokens)
{
    nodes_[vm].hooks.want(Debit { account, tokens }, localNow(vm));
    applyEffects(vm, nodes_[vm].fleet->flush(localNow(vm)));
}

void FleetWorld::setTimer(std::size_t vm, Instant at)
{
    Node &node = nodes_[vm];
    if (node.timerAt != Instant::never() && node.timerAt <= at)
        return;
    node.timerAt = at;
    afterOn(vm, at - localNow(vm), [this, vm, at] {
        if (nodes_[vm].timerAt == at)
            onTimer(vm);
    });
}

void FleetWorld::onTimer(std::size_t vm)
{
    nodes_[vm].timerAt = Instant::never();
    applyEffects(vm, nodes_[vm].fleet->onTimer(localNow(vm), random_()));
}

void FleetWorld::applyEffects(std::size_t vm, const Effects &effects)
{
    for (const Effect &effect : effects) {
        if (const auto *peer = std::get_if<SendPeer>(&effect))
            send(vm, peer->to, peer->message);
        if (const auto *timer = std::get_if<SetTimer>(&effect))
            setTimer(vm, timer->at);
        if (const auto *read = std::get_if<ReadObject>(&effect))
            call(vm, read->call, std::nullopt);
        if (const auto *write = std::get_if<WriteObject>(&effect))
            call(vm, write->call, *write);
    }
}

// ---- Messages

Duration FleetWorld::latency(std::size_t from, std::size_t to)
{
    const Vm &a = options_.vms[from];
    const Vm &b = options_.vms[to];
    Duration base = Duration::millis(1);
    if (a.region != b.region)
        base = options_.regionLatency;
    else if (a.failureDomain != b.failureDomain)
        base = options_.domainLatency;
    std::int64_t jitterBoundMicros = options_.jitter.toMicros() + 1;
    return base + Duration::micros(static_cast<std::int64_t>(random_() % jitterBoundMicros));
}

void FleetWorld::send(std::size_t from, const VmId &to, const Message &message)
{
    auto found = std::find_if(options_.vms.begin(), options_.vms.end(),
                              [&to](const Vm &vm) { return vm.id == to; });
    if (found == options_.vms.end())
        return;
    std::size_t index = static_cast<std::size_t>(found - options_.vms.begin());
    TrafficCount &traffic = nodes_[from].traffic;
    ++traffic.messages;
    if (options_.sizeOf)
        traffic.bytes[messageKind(message)] +=
            static_cast<std::int64_t>(options_.sizeOf(message) + frameBytes);
    if (!isUp(index) || (isCut && isCut(from, index)))
        return;
    int copies = chance(drop) ? 0 : 1;
    copies += chance(options_.duplicate) ? 1 : 0;
    Incarnation incarnation = nodes_[from].incarnation;
    for (int i = 0; i < copies; ++i)
        afterOn(index, latency(from, index), [this, index, from, incarnation, message] {
            deliver(index, from, incarnation, message);
        });
}

void FleetWorld::deliver(std::size_t to, std::size_t from, Incarnation incarnation,
                         const Message &message)
{
    Fleet &fleet = *nodes_[to].fleet;
    const VmId &sender = options_.vms[from].id;
    Instant now = localNow(to);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        applyEffects(to, fleet.onHeartbeat(sender, incarnation, *heartbeat, now));
        if (heartbeat->viewRevision > nodes_[to].view.revision)
            requestView(to, from);
    }
    if (const auto *request = std::get_if<BorrowRequest>(&message))
        applyEffects(to, fleet.onBorrowRequest(sender, incarnation, *request, now));
    if (const auto *reply = std::get_if<BorrowReply>(&message))
        applyEffects(to, fleet.onBorrowReply(sender, incarnation, *reply, now));
}

void FleetWorld::requestView(std::size_t vm, std::size_t peer)
{
    Instant requestedAt = localNow(vm);
    if (requestedAt - nodes_[vm].viewRequestedAt < Duration::millis(200)
        || (isCut && isCut(vm, peer)))
        return;
    nodes_[vm].viewRequestedAt = requestedAt;
    Duration oneWayLatency = latency(vm, peer);
    if (!isUp(peer))
        return;
    Incarnation requesterIncarnation = nodes_[vm].incarnation;
    afterOn(peer, oneWayLatency,
            [this, vm, peer, requestedAt, oneWayLatency, requesterIncarnation] {
                if ((isCut && isCut(peer, vm)) || nodes_[vm].incarnation != requesterIncarnation
                    || !isUp(vm))
                    return;
                View view = nodes_[peer].view;
                Duration age = nodes_[peer].fleet->freshness().viewAge(localNow(peer));
                afterOn(vm, oneWayLatency, [this, vm, view, requestedAt, age] {
                    install(vm, view, requestedAt - age - Duration::millis(5));
                });
            });
}

// ---- The platform

Duration FleetWorld::platformLatency(std::size_t vm)
{
    const Vm &self = options_.vms[vm];
    Duration oneWayLatency =
        self.region == options_.storeRegion ? options_.domainLatency : options_.regionLatency;
    return oneWayLatency + platformDelay;
}

bool FleetWorld::reachesPlatform(std::size_t vm) const
{
    return !isPlatformDown && !(isPlatformCut && isPlatformCut(vm));
}

void FleetWorld::install(std::size_t vm, const View &view, Instant asOf)
{
    Node &node = nodes_[vm];
    if (view.revision < node.view.revision)
        return;
    bool isNew = node.view.revision < view.revision;
    node.view = view;
    if (!isNew) {
        node.fleet->onViewConfirmed(view.revision, asOf);
        return;
    }
    FleetView fleetView;
    fleetView.revision = view.revision;
    fleetView.asOf = asOf;
    if (view.members.version != Revision())
        fleetView.members = view.members;
    fleetView.vms = options_.vms;
    fleetView.storeRegion = options_.storeRegion;
    Effects effects;
    (void)node.fleet->onViewInstalled(fleetView, localNow(vm), &effects);
    applyEffects(vm, effects);
}

void FleetWorld::watch(std::size_t vm)
{
    Instant startedAt = localNow(vm);
    ++nodes_[vm].traffic.watches;
    Revision knownRevision = nodes_[vm].view.revision;
    auto hasEnded = std::make_shared<bool>(false);
    // An overdue watch is reported as failed; its view is still installed if the
    // reply arrives later.
    Duration maxWait = options_.platformTimeout + watchStep * maxWatchSteps;
    afterOn(vm, maxWait, [this, vm, startedAt, hasEnded] {
        if (*hasEnded)
            return;
        *hasEnded = true;
        platformFailed(vm, startedAt);
    });
    if (reachesPlatform(vm))
        after(platformLatency(vm), [this, vm, startedAt, knownRevision, hasEnded] {
            watchAtPlatform(vm, startedAt, knownRevision, 0, hasEnded);
        });
}

void FleetWorld::watchAtPlatform(std::size_t vm, Instant startedAt, Revision knownRevision,
                                 int waitedSteps, std::shared_ptr<bool> hasEnded)
{
    if (!reachesPlatform(vm) || !isUp(vm))
        return;
    if (Revision(revision_) <= knownRevision && waitedSteps < maxWatchSteps) {
        after(watchStep, [this, vm, startedAt, knownRevision, waitedSteps, hasEnded] {
            watchAtPlatform(vm, startedAt, knownRevision, waitedSteps + 1, hasEnded);
        });
        return;
    }
    View view = currentView();
    Instant asOf = startedAt + watchStep * waitedSteps;
    afterOn(vm, platformLatency(vm), [this, vm, view, asOf, hasEnded] {
        install(vm, view, asOf);
        if (*hasEnded)
            return;
        *hasEnded = true;
        nodes_[vm].fleet->onPlatformAnswered();
        watch(vm);
    });
}

void FleetWorld::platformFailed(std::size_t vm, Instant startedAt)
{
    nodes_[vm].fleet->onPlatformFailed(startedAt);
    auto pauseMillis = static_cast<std::int64_t>(200 + random_() % 400);
    afterOn(vm, Duration::millis(pauseMillis), [this, vm] { watch(vm); });
}

void FleetWorld::touchPlatform()
{
    ++revision_;
}

void FleetWorld::rewriteMembers()
{
    if (members_.version != Revision())
        members_.version = Revision(++revision_);
}

void FleetWorld::call(std::size_t vm, CallId id, std::optional<WriteObject> write)
{
    TrafficCount &traffic = nodes_[vm].traffic;
    ++(write.has_value() ? traffic.writes : traffic.reads);
    PlatformReplied lost;
    lost.call = id;
    if (!reachesPlatform(vm)) {
        lost.outcome = chance(0.5) ? PlatformOutcome::Unreachable : PlatformOutcome::Unknown;
        afterOn(vm, Duration::millis(300), [this, vm, lost] { reply(vm, lost); });
        return;
    }
    Incarnation incarnation = nodes_[vm].incarnation;
    after(platformLatency(vm), [this, vm, id, write, lost, incarnation] {
        PlatformReplied result;
        result.call = id;
        result.outcome = PlatformOutcome::Done;
        if (write.has_value() && write->expected != members_.version) {
            result.outcome = PlatformOutcome::Conflict;
        } else if (write.has_value()) {
            members_.version = Revision(++revision_);
            members_.value = write->value;
        } else if (members_.version == Revision()) {
            result.outcome = PlatformOutcome::Missing;
        }
        result.object = members_;
        bool isLost = chance(lostReply) || !reachesPlatform(vm);
        PlatformReplied unknown = lost;
        unknown.outcome = PlatformOutcome::Unknown;
        if (!isUp(vm) || nodes_[vm].incarnation != incarnation)
            return;
        afterOn(vm, isLost ? options_.platformTimeout : platformLatency(vm),
                [this, vm, isLost, unknown, result] { reply(vm, isLost ? unknown : result); });
    });
}

void FleetWorld::reply(std::size_t vm, const PlatformReplied &reply)
{
    Effects effects;
    nodes_[vm].fleet->onPlatformReplied(reply, localNow(vm), random_(), &effects);
    applyEffects(vm, effects);
}

void FleetWorld::resetTraffic()
{
    for (Node &node : nodes_)
        node.traffic = TrafficCount();
}

} // namespace bluebellshift::core
