// Each VM has a clock of its own, with an offset and a drift within the bound.
// A message is stamped with the incarnations of both ends and is dropped when
// the receiver has been replaced, as the transport does.
#include "bluebellshift/core/testing/fleetworld.h"

#include <algorithm>
#include <utility>

namespace bluebellshift::core {

namespace {

constexpr Duration watchStep = Duration::millis(5);
constexpr int watchStepsMost = 160;         // 800 ms
constexpr std::size_t frameBytes = 14 + 24; // WebSocket and MAC

const char *kindOf(const Message &message)
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
                std::string place = std::string(region) + "-" + domain;
                vm.id = VmId(place + "-" + std::to_string(i));
                vm.region = RegionId(region);
                vm.failureDomain = FailureDomainId(place);
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
    double drifted = static_cast<double>(time_) * (1 + node.drift);
    return Instant::fromMicros(node.offset + static_cast<std::int64_t>(drifted));
}

void FleetWorld::after(Duration delay, std::function<void()> action)
{
    std::int64_t at = time_ + std::max<std::int64_t>(0, delay.toMicros());
    steps_.push(Step { at, ++order_, std::move(action) });
}

void FleetWorld::afterOn(std::size_t vm, Duration delay, std::function<void()> action)
{
    Incarnation incarnation = nodes_[vm].incarnation;
    after(delay, [this, vm, incarnation, action = std::move(action)] {
        Node &node = nodes_[vm];
        if (node.fleet == nullptr || node.incarnation != incarnation)
            return;
        if (node.isPaused)
            node.held.push_back(action);
        else
            action();
    });
}

void FleetWorld::run(Duration length)
{
    std::int64_t end = time_ + length.toMicros();
    while (!steps_.empty() && steps_.top().at <= end) {
        Step step = steps_.top();
        steps_.pop();
        time_ = step.at;
        step.action();
        if (onStep)
            onStep();
    }
    time_ = end;
}

// ---- Processes

void FleetWorld::start(std::size_t vm)
{
    Node &node = nodes_[vm];
    node.incarnation = Incarnation(++incarnations_);
    CoreOptions options;
    options.vm = options_.vms[vm].id;
    options.incarnation = node.incarnation;
    options.region = options_.vms[vm].region;
    options.failureDomain = options_.vms[vm].failureDomain;
    node.fleet = std::make_unique<Fleet>(options, [&node] { return CallId(++node.nextCall); });
    node.hooks = node.fleet->hooks();
    node.isPaused = false;
    node.held.clear();
    node.view = View();
    node.timerAt = Instant::never();
    node.viewAskedAt = Instant::never();
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
    nodes_[vm].held.clear();
}

void FleetWorld::pause(std::size_t vm)
{
    nodes_[vm].isPaused = true;
}

void FleetWorld::resume(std::size_t vm)
{
    Node &node = nodes_[vm];
    node.isPaused = false;
    std::vector<std::function<void()>> held = std::move(node.held);
    node.held.clear();
    for (const auto &action : held)
        action();
}

void FleetWorld::leave(std::size_t vm)
{
    carryOut(vm, nodes_[vm].fleet->beginLeaving(localNow(vm)));
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
    carryOut(vm, node.fleet->flush(localNow(vm)));
    return isTaken;
}

void FleetWorld::releaseTokens(std::size_t vm, const AccountId &account, double tokens)
{
    nodes_[vm].hooks.releaseTokens(Debit { account, tokens }, localNow(vm));
}

void FleetWorld::want(std::size_t vm, const AccountId &account, double tokens)
{
    nodes_[vm].hooks.want(Debit { account, tokens }, localNow(vm));
    carryOut(vm, nodes_[vm].fleet->flush(localNow(vm)));
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
    carryOut(vm, nodes_[vm].fleet->onTimer(localNow(vm), random_()));
}

void FleetWorld::carryOut(std::size_t vm, const Effects &effects)
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
    std::int64_t most = options_.jitter.toMicros() + 1;
    return base + Duration::micros(static_cast<std::int64_t>(random_() % most));
}

void FleetWorld::send(std::size_t from, const VmId &to, const Message &message)
{
    auto it = std::find_if(options_.vms.begin(), options_.vms.end(),
                           [&to](const Vm &vm) { return vm.id == to; });
    if (it == options_.vms.end())
        return;
    std::size_t index = static_cast<std::size_t>(it - options_.vms.begin());
    TrafficCount &traffic = nodes_[from].traffic;
    ++traffic.messages;
    if (options_.sizeOf)
        traffic.bytes[kindOf(message)] +=
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
        carryOut(to, fleet.onHeartbeat(sender, incarnation, *heartbeat, now));
        if (heartbeat->viewRevision > nodes_[to].view.revision)
            askForView(to, from);
    }
    if (const auto *request = std::get_if<BorrowRequest>(&message))
        carryOut(to, fleet.onBorrowRequest(sender, incarnation, *request, now));
    if (const auto *reply = std::get_if<BorrowReply>(&message))
        carryOut(to, fleet.onBorrowReply(sender, incarnation, *reply, now));
}

void FleetWorld::askForView(std::size_t vm, std::size_t peer)
{
    Instant asked = localNow(vm);
    if (asked - nodes_[vm].viewAskedAt < Duration::millis(200) || (isCut && isCut(vm, peer)))
        return;
    nodes_[vm].viewAskedAt = asked;
    Duration way = latency(vm, peer);
    if (!isUp(peer))
        return;
    Incarnation asker = nodes_[vm].incarnation;
    afterOn(peer, way, [this, vm, peer, asked, way, asker] {
        if ((isCut && isCut(peer, vm)) || nodes_[vm].incarnation != asker || !isUp(vm))
            return;
        View view = nodes_[peer].view;
        Duration age = nodes_[peer].fleet->freshness().viewAge(localNow(peer));
        afterOn(vm, way, [this, vm, view, asked, age] {
            install(vm, view, asked - age - Duration::millis(5));
        });
    });
}

// ---- The platform

Duration FleetWorld::platformLatency(std::size_t vm)
{
    const Vm &place = options_.vms[vm];
    Duration way =
        place.region == options_.storeRegion ? options_.domainLatency : options_.regionLatency;
    return way + platformDelay;
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
    carryOut(vm, effects);
}

void FleetWorld::watch(std::size_t vm)
{
    Instant begun = localNow(vm);
    ++nodes_[vm].traffic.watches;
    Revision known = nodes_[vm].view.revision;
    auto ended = std::make_shared<bool>(false);
    // A call that is overdue counts as failed, and its late reply still counts.
    Duration most = options_.platformTimeout + watchStep * watchStepsMost;
    afterOn(vm, most, [this, vm, begun, ended] {
        if (*ended)
            return;
        *ended = true;
        platformFailed(vm, begun);
    });
    if (reachesPlatform(vm))
        after(platformLatency(vm),
              [this, vm, begun, known, ended] { watchAtPlatform(vm, begun, known, 0, ended); });
}

void FleetWorld::watchAtPlatform(std::size_t vm, Instant begun, Revision known, int waited,
                                 std::shared_ptr<bool> ended)
{
    if (!reachesPlatform(vm) || !isUp(vm))
        return;
    if (Revision(revision_) <= known && waited < watchStepsMost) {
        after(watchStep, [this, vm, begun, known, waited, ended] {
            watchAtPlatform(vm, begun, known, waited + 1, ended);
        });
        return;
    }
    View view = current();
    Instant asOf = begun + watchStep * waited;
    afterOn(vm, platformLatency(vm), [this, vm, view, asOf, ended] {
        install(vm, view, asOf);
        if (*ended)
            return;
        *ended = true;
        nodes_[vm].fleet->onPlatformAnswered();
        watch(vm);
    });
}

void FleetWorld::platformFailed(std::size_t vm, Instant begun)
{
    nodes_[vm].fleet->onPlatformFailed(begun);
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
    carryOut(vm, effects);
}

void FleetWorld::resetTraffic()
{
    for (Node &node : nodes_)
        node.traffic = TrafficCount();
}

} // namespace bluebellshift::core
