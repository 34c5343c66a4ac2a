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

StoreModel::Options readOnly()
{
    StoreModel::Options options;
    options.isWritable = false;
    return options;
}

// Not sent over a link that is modelled.
bool isWithoutContent(const EventBody &body)
{
    const auto *changed = std::get_if<RegistryChanged>(&body);
    return std::holds_alternative<RegistryFailed>(body)
        || (changed != nullptr && changed->entries.empty());
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
    , ownStore_(std::make_unique<StoreModel>(readOnly()))
    , store_(ownStore_.get())
    , client_(store_->connect())
{
}

GatewayBench::GatewayBench(const GatewayOptions &options, StoreModel &store, Instant now)
    : self_(options.vm)
    , now_(now)
    , reducer_(options)
    , store_(&store)
    , client_(store_->connect())
{
}

GatewayBench::~GatewayBench()
{
    store_->disconnect(client_);
}

void GatewayBench::send(const std::vector<VmId> &to, const EventBody &event)
{
    for (const VmId &vm : to)
        outgoing_.push_back({ vm, event });
}

void GatewayBench::begin(std::shared_ptr<TrafficConfig> config, const std::vector<Target> &targets,
                         const std::vector<VmEntry> &vms, Duration settling)
{
    if (config)
        put(Registry::Traffic, "main", TrafficConfigPointer(std::move(config)));
    for (const Target &target : targets)
        put(Registry::Targets, target.id.text(), target);
    for (const VmEntry &vm : vms)
        put(Registry::Vms, vm.id.text(), vm);
    put(Registry::PeerKeys, "current", PeerKeyEntry { std::string(64, 'a') });
    start();
    advance(settling);
}

void GatewayBench::start()
{
    perform(reducer_.start(now_, ++random_));
    serveStore();
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
        if (const Instant reply = store_->nextAt(client_); reply != Instant::never())
            next = std::min(next, std::max(now_ + Duration::micros(1), reply));
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
        collectReplies();
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

void GatewayBench::collectReplies()
{
    constexpr std::size_t entryBytes = 300;
    while (std::optional<StoreModel::Reply> reply = store_->take(client_, now_)) {
        Instant at = now_;
        if (!isWithoutContent(reply->body)) {
            linkFreeAt_ = std::max(linkFreeAt_, now_);
            if (linkBytesPerSecond_ > 0) {
                const std::size_t bytes = reply->entries
                    * (reply->registry == Registry::Traffic ? configBytes_ : entryBytes);
                linkFreeAt_ = linkFreeAt_
                    + Duration::micros(static_cast<std::int64_t>(bytes * 1'000'000
                                                                 / linkBytesPerSecond_));
            }
            at = linkFreeAt_;
        }
        const auto place =
            std::upper_bound(responses_.begin(), responses_.end(), at,
                             [](Instant a, const PendingResponse &b) { return a < b.at; });
        responses_.insert(place, { at, std::move(reply->body) });
    }
}

template<typename Call> void GatewayBench::callStore(const Call &call)
{
    store_->call(client_, call, now_);
    collectReplies();
}

void GatewayBench::put(Registry registry, const std::string &name, RegistryValue value)
{
    store_->put(registry, name, std::move(value), now_);
}

void GatewayBench::putConfig(std::shared_ptr<TrafficConfig> config)
{
    put(Registry::Traffic, "main", TrafficConfigPointer(std::move(config)));
    serveStore();
}

void GatewayBench::putTarget(const Target &target)
{
    put(Registry::Targets, target.id.text(), target);
    serveStore();
}

void GatewayBench::putVm(const VmEntry &vm)
{
    put(Registry::Vms, vm.id.text(), vm);
    serveStore();
}

void GatewayBench::removeTarget(const TargetId &target)
{
    store_->remove(Registry::Targets, target.text(), now_);
    serveStore();
}

void GatewayBench::setEvacuated(const std::string &domain, bool isEvacuated)
{
    if (isEvacuated)
        put(Registry::Evacuations, domain, EvacuationEntry {});
    else
        store_->remove(Registry::Evacuations, domain, now_);
    serveStore();
}

void GatewayBench::setStoreDown(bool isDown)
{
    store_->setPath(client_, isDown ? StoreModel::Fault::Refused : StoreModel::Fault::None, now_);
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
        if (const auto *list = std::get_if<ListRegistry>(&effect)) {
            ++storeCalls_;
            callStore(*list);
        } else if (const auto *watch = std::get_if<WatchRegistry>(&effect)) {
            ++storeCalls_;
            callStore(*watch);
        } else if (const auto *write = std::get_if<WriteVm>(&effect))
            callStore(*write);
        else if (const auto *removal = std::get_if<RemoveVm>(&effect))
            callStore(*removal);
        else if (const auto *create = std::get_if<CreatePeerKey>(&effect))
            callStore(*create);
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
        else if (const auto *peers = std::get_if<SetPeers>(&effect)) {
            peers_ = peers->peers;
            secretHex_ = peers->secretHex;
        } else if (const auto *log = std::get_if<WriteLog>(&effect))
            logs_.push_back(log->record);
        else if (std::holds_alternative<Exit>(effect))
            hasExited_ = true;
    }
}

void GatewayBench::on(const SendAttempt &attempt)
{
    attempts_[attempt.request.number()] = attempt.attempt;
    sent_.push_back(attempt);
}

} // namespace bluebellshift::gateway::testing
