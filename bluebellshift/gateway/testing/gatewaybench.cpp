#include "bluebellshift/gateway/testing/gatewaybench.h"

#include <algorithm>

namespace bluebellshift::gateway::testing {
namespace {

RouteRule rule(const std::string &name, const std::string &prefix, bool isIdempotent, bool isOpen)
{
    RouteRule route;
    route.name = name;
    route.pathPrefix = prefix;
    route.isIdempotent = isIdempotent;
    route.isOpen = isOpen;
    route.isSticky = true;
    route.priority = isIdempotent ? 2 : 0;
    route.latencyObjective = Duration::millis(500);
    route.timeout = Duration::millis(2000);
    route.maxAttempts = 2;
    route.services = { { ServiceId("s"), 1 } };
    return route;
}

RegistryEntry entryOf(const std::string &name, std::uint64_t revision, RegistryValue value)
{
    RegistryEntry entry;
    entry.name = name;
    entry.revision = Revision(revision);
    entry.value = std::move(value);
    return entry;
}

} // namespace

std::shared_ptr<TrafficConfig> sampleConfig(std::uint64_t version)
{
    auto config = std::make_shared<TrafficConfig>();
    config->version = ConfigVersion(version);
    HostRoutes host;
    host.host = sampleHost;
    host.rules = { rule("open", "/open/", true, true), rule("read", "/read/", true, false),
                   rule("swap", "/swap/", false, false) };
    config->hosts = { host };
    ServicePolicy service;
    service.id = ServiceId("s");
    service.warmup = Duration::seconds(3);
    service.coldRequestsPerSecond = 4;
    config->services = { service };
    Team a;
    a.id = TeamId("a");
    a.keys = { sampleKey };
    a.ratePerSecond = 100;
    a.burst = 100;
    Team b;
    b.id = TeamId("b");
    b.keys = { "key-of-b" };
    config->teams = { a, b };
    config->index();
    return config;
}

std::vector<Target> sampleTargets(int count)
{
    const char *domains[] = { "near-1", "near-2", "far-1" };
    std::vector<Target> targets;
    for (int i = 0; i < count; ++i) {
        Target target;
        target.id = TargetId("t" + std::to_string(i));
        target.service = ServiceId("s");
        target.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(9000 + i) };
        target.failureDomain = FailureDomainId(domains[i % 3]);
        target.slots = 2;
        targets.push_back(target);
    }
    return targets;
}

GatewayOptions sampleOptions(const std::string &vm)
{
    GatewayOptions options;
    options.vm.id = VmId(vm);
    options.vm.incarnation = Incarnation(7);
    options.vm.region = RegionId("near");
    options.vm.failureDomain = FailureDomainId("near-1");
    options.vm.callers = { "10.0.1.1", 80 };
    options.vm.peers = { "10.0.1.1", 81 };
    options.regionOf = { { FailureDomainId("near-1"), RegionId("near") },
                         { FailureDomainId("near-2"), RegionId("near") },
                         { FailureDomainId("far-1"), RegionId("far") } };
    options.peerKeyCandidate = std::string(64, 'a');
    return options;
}

GatewayBench::GatewayBench(const GatewayOptions &options)
    : self_(options.vm)
    , reducer_(options)
{
}

void GatewayBench::send(const std::vector<VmId> &to, const EventBody &event)
{
    for (const VmId &vm : to)
        outgoing_.push_back({ vm, event });
}

void GatewayBench::begin(std::shared_ptr<TrafficConfig> config, const std::vector<Target> &targets,
                         const std::vector<VmEntry> &vms, Duration settling)
{
    auto &traffic = entries_[static_cast<std::size_t>(Registry::Traffic)];
    if (config)
        traffic.push_back(entryOf("main", ++revision_, TrafficConfigPointer(std::move(config))));
    for (const Target &target : targets)
        entries_[static_cast<std::size_t>(Registry::Targets)].push_back(
            entryOf(target.id.text(), ++revision_, target));
    for (const VmEntry &vm : vms)
        entries_[static_cast<std::size_t>(Registry::Vms)].push_back(
            entryOf(vm.id.text(), ++revision_, vm));
    entries_[static_cast<std::size_t>(Registry::PeerKeys)].push_back(
        entryOf("current", ++revision_, PeerKeyEntry { std::string(64, 'a') }));
    perform(reducer_.start(now_, ++random_));
    serveStore();
    advance(settling);
}

void GatewayBench::reduce(EventBody body)
{
    perform(
        reducer_.reduce({ now_, random_ = random_ * 6364136223846793005ULL + 1, std::move(body) }));
}

void GatewayBench::advance(Duration time)
{
    const Instant until = now_ + time;
    while (now_ < until) {
        Instant next = std::min(until, std::max(now_ + Duration::micros(1), reducer_.nextWake()));
        for (const Watch &watch : watches_)
            next = std::min(next, std::max(now_ + Duration::micros(1), watch.dueAt));
        for (const FailingCall &call : failingCalls_)
            next = std::min(next, std::max(now_ + Duration::micros(1), call.at));
        for (const PendingResponse &response : responses_)
            next = std::min(next, std::max(now_ + Duration::micros(1), response.at));
        now_ = next;
        serveStore();
        reduce(TimerFired {});
        serveStore();
    }
}

void GatewayBench::serveStore()
{
    for (;;) {
        const auto due = std::find_if(failingCalls_.begin(), failingCalls_.end(),
                                      [&](const FailingCall &call) { return call.at <= now_; });
        if (due != failingCalls_.end()) {
            const FailingCall call = *due;
            failingCalls_.erase(due);
            reduce(RegistryFailed { call.registry, StoreFailure::Refused, StoreEra(), call.call });
            continue;
        }
        const auto watch = std::find_if(watches_.begin(), watches_.end(),
                                        [&](const Watch &one) { return one.dueAt <= now_; });
        if (watch != watches_.end()) {
            const Watch ended = *watch;
            watches_.erase(watch);
            reduce(RegistryChanged {
                ended.registry, Revision(revision_), {}, 0, StoreEra(), ended.call });
            continue;
        }
        if (responses_.empty() || responses_.front().at > now_)
            return;
        EventBody body = std::move(responses_.front().body);
        responses_.erase(responses_.begin());
        reduce(std::move(body));
    }
}

void GatewayBench::setLink(std::size_t bytesPerSecond, std::size_t configBytes)
{
    linkBytesPerSecond_ = bytesPerSecond;
    configBytes_ = configBytes;
}

void GatewayBench::respond(Registry registry, std::size_t count, EventBody body)
{
    constexpr std::size_t entryBytes = 300;
    linkFreeAt_ = std::max(linkFreeAt_, now_);
    if (linkBytesPerSecond_ > 0) {
        const std::size_t bytes =
            count * (registry == Registry::Traffic ? configBytes_ : entryBytes);
        linkFreeAt_ = linkFreeAt_
            + Duration::micros(static_cast<std::int64_t>(bytes * 1'000'000 / linkBytesPerSecond_));
    }
    responses_.push_back({ linkFreeAt_, std::move(body) });
}

void GatewayBench::on(const ListRegistry &list)
{
    ++storeCalls_;
    if (isStoreDown_) {
        failingCalls_.push_back({ now_ + Duration::millis(10), list.registry, list.call });
        return;
    }
    RegistryListed listed;
    listed.registry = list.registry;
    listed.at = Revision(revision_);
    listed.call = list.call;
    for (const RegistryEntry &entry : entries_[static_cast<std::size_t>(list.registry)]) {
        if (!entry.isGone)
            listed.entries.push_back(entry);
    }
    const std::size_t count = listed.entries.size();
    respond(list.registry, count, std::move(listed));
}

void GatewayBench::on(const WatchRegistry &watch)
{
    ++storeCalls_;
    if (isStoreDown_) {
        failingCalls_.push_back({ now_ + Duration::millis(10), watch.registry, watch.call });
        return;
    }
    RegistryChanged missed;
    missed.registry = watch.registry;
    missed.at = Revision(revision_);
    missed.call = watch.call;
    for (const RegistryEntry &entry : changes_[static_cast<std::size_t>(watch.registry)]) {
        if (entry.revision > watch.after)
            missed.entries.push_back(entry);
    }
    if (const std::size_t count = missed.entries.size(); count > 0)
        respond(watch.registry, count, std::move(missed));
    else
        watches_.push_back({ watch.registry, now_ + watch.timeout, now_ + watch.wait, watch.call });
}

void GatewayBench::deliver(Registry registry, RegistryEntry entry)
{
    entry.revision = Revision(++revision_);
    auto &entries = entries_[static_cast<std::size_t>(registry)];
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const auto &other) { return other.name == entry.name; }),
                  entries.end());
    entries.push_back(entry); // a removed entry stays, marked as gone
    changes_[static_cast<std::size_t>(registry)].push_back(entry);
    const auto watch = std::find_if(watches_.begin(), watches_.end(),
                                    [&](const Watch &one) { return one.registry == registry; });
    if (watch == watches_.end())
        return;
    RegistryChanged changed;
    changed.registry = registry;
    changed.at = Revision(revision_);
    changed.entries.push_back(std::move(entry));
    changed.call = watch->call;
    watches_.erase(watch);
    respond(registry, 1, std::move(changed));
    serveStore();
}

void GatewayBench::putConfig(std::shared_ptr<TrafficConfig> config)
{
    deliver(Registry::Traffic, entryOf("main", 0, TrafficConfigPointer(std::move(config))));
}

void GatewayBench::putTarget(const Target &target)
{
    deliver(Registry::Targets, entryOf(target.id.text(), 0, target));
}

void GatewayBench::putVm(const VmEntry &vm)
{
    deliver(Registry::Vms, entryOf(vm.id.text(), 0, vm));
}

void GatewayBench::removeTarget(const TargetId &target)
{
    RegistryEntry entry = entryOf(target.text(), 0, UnreadableEntry {});
    entry.isGone = true;
    deliver(Registry::Targets, std::move(entry));
}

void GatewayBench::setEvacuated(const std::string &domain, bool isEvacuated)
{
    RegistryEntry entry = entryOf(domain, 0, EvacuationEntry {});
    entry.isGone = !isEvacuated;
    deliver(Registry::Evacuations, std::move(entry));
}

void GatewayBench::setStoreDown(bool isDown)
{
    isStoreDown_ = isDown;
    if (!isDown)
        return;
    for (const Watch &watch : std::exchange(watches_, {}))
        failingCalls_.push_back({ now_, watch.registry, watch.call });
    serveStore();
}

RequestArrived GatewayBench::arrival(std::uint64_t id, const std::string &path) const
{
    RequestArrived arrived;
    arrived.request = RequestId(id);
    arrived.callerRequestId = "caller-" + std::to_string(id);
    arrived.method = path == swapPath ? "POST" : "GET";
    arrived.host = sampleHost;
    arrived.path = path;
    arrived.key = path == openPath ? "" : sampleKey;
    arrived.deadline = Duration::seconds(3);
    return arrived;
}

void GatewayBench::request(std::uint64_t id, const std::string &path)
{
    reduce(arrival(id, path));
}

void GatewayBench::finish(std::uint64_t id, AttemptEnded ended)
{
    ended.request = RequestId(id);
    ended.attempt = attempts_[id];
    reduce(ended);
}

void GatewayBench::end(std::uint64_t id, AttemptOutcome outcome, int status, bool saysNotRun)
{
    AttemptEnded ended;
    ended.outcome = outcome;
    ended.status = status;
    ended.saysNotRun = saysNotRun;
    ended.isAuthentic = true;
    finish(id, ended);
}

void GatewayBench::answerWithLimit(std::uint64_t id, std::optional<double> perSecond)
{
    AttemptEnded ended;
    ended.outcome = AttemptOutcome::Answered;
    ended.status = 200;
    ended.isAuthentic = true;
    ended.limitPerSecond = perSecond;
    finish(id, ended);
}

void GatewayBench::perform(Effects &&effects)
{
    for (Effect &effect : effects) {
        if (const auto *list = std::get_if<ListRegistry>(&effect))
            on(*list);
        else if (const auto *watch = std::get_if<WatchRegistry>(&effect))
            on(*watch);
        else if (const auto *attempt = std::get_if<SendAttempt>(&effect))
            on(*attempt);
        else if (const auto *pass = std::get_if<ForwardResponse>(&effect))
            ended_.push_back({ pass->request, 0, Duration(), "", true });
        else if (const auto *refusal = std::get_if<RefuseRequest>(&effect))
            ended_.push_back(
                { refusal->request, refusal->status, refusal->retryAfter, refusal->reason, false });
        else if (const auto *drop = std::get_if<DropRequest>(&effect))
            ended_.push_back({ drop->request, 0, Duration(), "", false });
        else if (const auto *cancel = std::get_if<CancelAttempt>(&effect))
            cancelled_.push_back(cancel->request);
        else if (const auto *report = std::get_if<SendReport>(&effect))
            send(report->to, PeerReportReceived { self_.id, self_.incarnation, report->report });
        else if (const auto *spending = std::get_if<SendSpending>(&effect))
            send({ spending->to },
                 PeerSpendingReceived { self_.id, self_.incarnation, spending->spending });
        else if (const auto *reports = std::get_if<SendRelayedReports>(&effect))
            send(reports->to, PeerReportsRelayed { self_.id, reports->relayed });
        else if (const auto *passed = std::get_if<SendRelayedSpending>(&effect))
            send({ passed->via }, PeerSpendingRelayed { self_.id, passed->relayed });
        else if (const auto *update = std::get_if<SendTargetUpdate>(&effect))
            send(update->to, PeerTargetUpdateReceived { self_.id, update->update });
        else if (const auto *vms = std::get_if<SendVmUpdate>(&effect))
            send(vms->to, PeerVmUpdateReceived { self_.id, vms->update });
        else if (const auto *peers = std::get_if<SetPeers>(&effect))
            peers_ = peers->peers;
        else if (const auto *log = std::get_if<WriteLog>(&effect))
            logs_.push_back(log->record);
        else if (std::holds_alternative<Exit>(effect))
            hasExited_ = true;
        else if (std::holds_alternative<WriteVm>(effect))
            respond(Registry::Vms, 0, StoreWritten { Registry::Vms });
    }
}

void GatewayBench::on(const SendAttempt &attempt)
{
    attempts_[attempt.request.number()] = attempt.attempt;
    sent_.push_back(attempt);
}

} // namespace bluebellshift::gateway::testing
