// Events are handled one after another from a queue: carrying out an effect may bring
// the next event at once, such as the next request of a connection whose answer has
// left.
#include "bluebellshift/gatewayd/gateway.h"

#include <unistd.h>

#include "bluebellshift/shell/crypto.h"
#include "platform/requests.h"

namespace bluebellshift::gatewayd {
namespace {

using core::Duration;
using core::Instant;

constexpr Duration peerTick = Duration::millis(250);
constexpr char peerKeyId[] = "store";
constexpr Duration answerMargin = Duration::millis(200); // for a target's own last answer

core::Answer plainAnswer(int status, std::string body)
{
    return { status, { { "Content-Type", "text/plain" } }, std::move(body) };
}

core::Vm toPeer(const gateway::VmEntry &entry)
{
    core::Vm vm;
    vm.id = entry.id;
    vm.region = entry.region;
    vm.failureDomain = entry.failureDomain;
    vm.callers = entry.callers;
    vm.peers = entry.peers;
    return vm;
}

shell::LoggerOptions loggerOptions(const GatewaySettings &settings)
{
    shell::LoggerOptions options;
    options.linesPerSecond = settings.logLinesPerSecond;
    return options;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &loop, const GatewaySettings &settings,
                 const base::Clock &clock)
    : loop_(loop)
    , settings_(settings)
    , clock_(clock)
    , logWriter_(loop, STDOUT_FILENO)
    , logger_(
          loggerOptions(settings), [this](const std::string &line) { logWriter_.append(line); },
          clock.wallTime)
    , reducer_(settings.gateway)
    , http_(loop)
    , store_(http_, settings.store,
             [this](gateway::EventBody &&event) { handle(std::move(event)); })
    , callers_(loop,
               [this] {
                   const gateway::CallerLimits &limits = reducer_.callerLimits();
                   return net::ServerLimits { limits.headerBytesMost, limits.bodyBytesMost,
                                              limits.headerTimeout, limits.idleTimeout,
                                              settings_.connectionsMost };
               },
               { [this](net::ExchangeId exchange, net::Request &&request) {
                    onRequest(exchange, std::move(request));
                },
                 [this](net::ExchangeId exchange) {
                     handle(gateway::CallerGone { core::RequestId(exchange) });
                 } })
    , timer_(loop)
    , random_(clock.random())
{
}

Gateway::~Gateway() = default;

absl::Status Gateway::start()
{
    using Exchange = net::ExchangeId;
    lookups_ = makeServer([this](Exchange e, const net::Request &r) { answerLookup(e, r); });
    ready_ = makeServer([this](Exchange e, const net::Request &r) { answerReady(e, r); });
    metricsServer_ = makeServer([this](Exchange e, const net::Request &r) { answerMetrics(e, r); });
    const std::pair<net::HttpServer *, core::Endpoint> servers[] = {
        { &callers_, settings_.gateway.vm.callers },
        { lookups_.get(), settings_.lookups },
        { ready_.get(), settings_.ready },
        { metricsServer_.get(), settings_.metrics },
    };
    for (const auto &[server, endpoint] : servers) {
        if (absl::Status status = server->listen(endpoint); !status.ok())
            return status;
    }
    const gateway::VmEntry &vm = settings_.gateway.vm;
    writeLog({ core::log::daemonStarted,
               { { "vm", vm.id.text() },
                 { "region", vm.region.text() },
                 { "failure_domain", vm.failureDomain.text() },
                 { "incarnation", std::to_string(vm.incarnation.number()) } } });
    isHandling_ = true;
    performAll(reducer_.start(clock_.now(), random_()));
    isHandling_ = false;
    handle(gateway::TimerFired {});
    return absl::OkStatus();
}

void Gateway::stop()
{
    handle(gateway::StopAsked { settings_.stopGrace });
}

void Gateway::applySettings(const GatewaySettings &settings)
{
    settings_.connectionsMost = settings.connectionsMost;
    settings_.stopGrace = settings.stopGrace;
    reducer_.setBounds(settings.gateway.bounds);
    writeLog({ core::log::settingsReloaded, { { "vm", settings.gateway.vm.id.text() } } });
}

std::unique_ptr<net::HttpServer>
Gateway::makeServer(std::function<void(net::ExchangeId, const net::Request &)> serve)
{
    return std::make_unique<net::HttpServer>(
        loop_, [] { return net::ServerLimits(); },
        net::ServerHooks {
            [serve = std::move(serve)](net::ExchangeId exchange, net::Request &&request) {
                serve(exchange, request);
            },
            [](net::ExchangeId) {} });
}

void Gateway::handle(gateway::EventBody body)
{
    events_.push_back(std::move(body));
    if (isHandling_)
        return;
    isHandling_ = true;
    while (!events_.empty()) {
        gateway::Event event { clock_.now(), random_(), std::move(events_.front()) };
        events_.pop_front();
        performAll(reducer_.reduce(event));
    }
    isHandling_ = false;
    armTimer();
}

void Gateway::performAll(gateway::Effects &&effects)
{
    for (gateway::Effect &effect : effects)
        std::visit([this](const auto &one) { perform(one); }, effect);
}

void Gateway::armTimer()
{
    const Instant wake = reducer_.nextWake();
    if (wake == timerAt_ || hasStopped_)
        return;
    timerAt_ = wake;
    const Duration wait = std::max(wake - clock_.now(), Duration());
    timer_.expires_after(std::chrono::microseconds(wait.toMicros()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        timerAt_ = Instant::never();
        handle(gateway::TimerFired {});
    });
}

void Gateway::onRequest(net::ExchangeId exchange, net::Request &&request)
{
    gateway::RequestArrived arrived = ::platform::readRequest(request);
    arrived.request = core::RequestId(exchange);
    Request &held = requests_[exchange];
    held.request = std::move(request);
    held.arrivedAt = clock_.now();
    handle(std::move(arrived));
}

void Gateway::perform(const gateway::SendAttempt &attempt)
{
    const auto found = requests_.find(attempt.request.number());
    if (found == requests_.end())
        return;
    Request &held = found->second;
    if (attempt.attempt == 1)
        metrics_.observeQueue(clock_.now() - held.arrivedAt);
    held.sentAt = clock_.now();
    net::CallOptions options;
    options.connectTimeout = attempt.connectTimeout;
    options.timeout = attempt.deadline + answerMargin;
    options.reuseIdleMost = attempt.reuseIdleMost;
    options.idHeader = ::platform::requestIdHeader;
    if (const std::string *id = net::findHeader(held.request.headers, options.idHeader))
        options.requestId = *id;
    options.isHead = held.request.method == "HEAD";
    const std::string bytes =
        net::serializeRequest(::platform::requestForTarget(held.request, attempt));
    const core::RequestId request = attempt.request;
    const int number = attempt.attempt;
    held.call = http_.start(attempt.endpoint, attempt.target.text(), bytes, options,
                            [this, request, number](net::CallResult &&result) {
                                onAttemptEnded(request, number, std::move(result));
                            });
}

void Gateway::onAttemptEnded(core::RequestId request, int attempt, net::CallResult &&result)
{
    const auto found = requests_.find(request.number());
    if (found == requests_.end())
        return;
    found->second.call = 0;
    found->second.answer = result.answer;
    metrics_.observeTarget(clock_.now() - found->second.sentAt);
    gateway::AttemptEnded ended = ::platform::readAnswer(result);
    ended.request = request;
    ended.attempt = attempt;
    handle(ended);
}

void Gateway::perform(const gateway::CancelAttempt &cancel)
{
    const auto found = requests_.find(cancel.request.number());
    if (found != requests_.end() && found->second.call != 0)
        http_.cancel(std::exchange(found->second.call, 0));
}

void Gateway::perform(const gateway::PassAnswer &pass)
{
    const auto found = requests_.find(pass.request.number());
    if (found == requests_.end() || !found->second.answer)
        return;
    const core::AnswerPointer answer = found->second.answer;
    metrics_.observeRequest(clock_.now() - found->second.arrivedAt);
    requests_.erase(found);
    callers_.answer(pass.request.number(), ::platform::answerForCaller(*answer), false);
}

void Gateway::perform(const gateway::RefuseRequest &refusal)
{
    const auto found = requests_.find(refusal.request.number());
    if (found == requests_.end())
        return;
    const std::string *id =
        net::findHeader(found->second.request.headers, ::platform::requestIdHeader);
    const core::Answer answer =
        ::platform::refusalForCaller(refusal, id == nullptr ? std::string() : *id);
    metrics_.observeRequest(clock_.now() - found->second.arrivedAt);
    requests_.erase(found);
    callers_.answer(refusal.request.number(), answer, false);
}

void Gateway::perform(const gateway::DropRequest &drop)
{
    requests_.erase(drop.request.number());
}

void Gateway::perform(const gateway::SendReport &report)
{
    if (!mesh_)
        return;
    for (const core::VmId &vm : report.to)
        mesh_->send(vm, report.report);
}

void Gateway::perform(const gateway::SendSpending &spending)
{
    if (mesh_)
        mesh_->send(spending.to, spending.spending);
}

void Gateway::perform(const gateway::SendTargetNews &news)
{
    if (!mesh_)
        return;
    for (const core::VmId &vm : news.to)
        mesh_->send(vm, news.news);
}

void Gateway::perform(const gateway::SetPeers &peers)
{
    if (!mesh_) {
        shell::PeerMeshOptions options;
        options.vm = settings_.gateway.vm.id;
        options.incarnation = settings_.gateway.vm.incarnation;
        options.listen = settings_.gateway.vm.peers;
        options.keys = { { peerKeyId, shell::fromHex(peers.secretHex).value_or(std::string()) } };
        options.tickInterval = peerTick;
        options.loop = &loop_;
        shell::PeerMeshHooks hooks;
        hooks.onMessage = [this](core::VmId from, core::Incarnation incarnation,
                                 core::Message message) {
            if (auto *said = std::get_if<core::VmReport>(&message))
                handle(gateway::PeerSaid { std::move(from), incarnation, std::move(*said) });
            else if (auto *spent = std::get_if<core::SpendingReport>(&message))
                handle(gateway::PeerSpent { std::move(from), incarnation, std::move(*spent) });
            else if (auto *news = std::get_if<core::TargetUpdate>(&message))
                handle(gateway::PeerTold { std::move(from), std::move(*news) });
        };
        hooks.onLost = [this](core::VmId vm) { handle(gateway::PeerLost { std::move(vm) }); };
        hooks.log = [this](core::LogRecord record) { writeLog(record); };
        mesh_ = std::make_unique<shell::PeerMesh>(std::move(options), std::move(hooks));
        if (absl::Status status = mesh_->start(); !status.ok()) {
            writeLog(
                { core::log::messageDropped, { { "reason", std::string(status.message()) } } });
        }
    }
    std::vector<core::Vm> vms;
    for (const gateway::VmEntry &entry : peers.peers)
        vms.push_back(toPeer(entry));
    mesh_->setPeers(std::move(vms));
}

void Gateway::perform(const gateway::ForgetTarget &forget)
{
    http_.closeIdle(forget.target.text());
}

void Gateway::perform(const gateway::CloseConnections &)
{
    callers_.beginDrain();
}

void Gateway::perform(const gateway::Exit &)
{
    hasStopped_ = true;
    writeLog({ core::log::daemonStopped, { { "requests_cut", "0" } } });
    logger_.flushDropped();
    logWriter_.flush();
    loop_.stop();
}

void Gateway::writeLog(const core::LogRecord &record)
{
    metrics_.countLog(record);
    logger_.write(record);
}

void Gateway::answerLookup(net::ExchangeId exchange, const net::Request &request)
{
    const auto lookup = ::platform::readLookup(request);
    if (!lookup) {
        lookups_->answer(exchange, plainAnswer(404, "not a look-up\n"), false);
        return;
    }
    const auto addresses =
        reducer_.addressesFor(lookup->region, lookup->failureDomain, clock_.now());
    if (addresses.empty()) {
        lookups_->answer(exchange, plainAnswer(503, "no VM is known to serve\n"), false);
        return;
    }
    lookups_->answer(exchange, ::platform::lookupAnswer(addresses, reducer_.lookupTtl()), false);
}

void Gateway::answerReady(net::ExchangeId exchange, const net::Request &request)
{
    const bool isCheck = ::platform::isReadyCheck(request);
    const int status = !isCheck ? 404 : reducer_.isReady() ? 200 : 503;
    ready_->answer(exchange, plainAnswer(status, status == 200 ? "ready\n" : "not ready\n"), false);
}

void Gateway::answerMetrics(net::ExchangeId exchange, const net::Request &)
{
    MetricsReadings readings;
    readings.gateway = reducer_.readings(clock_.now());
    readings.isReady = reducer_.isReady();
    readings.storeCallsDone = store_.counts().done;
    readings.storeCallsRefused = store_.counts().refused;
    readings.storeCallsUnanswered = store_.counts().unanswered;
    readings.targetConnectionsMade = http_.connectionsMade();
    readings.callerConnections = callers_.connectionCount();
    readings.logLinesDropped = logger_.droppedInTotal() + logWriter_.linesDropped();
    metricsServer_->answer(exchange, plainAnswer(200, metrics_.text(readings)), false);
}

} // namespace bluebellshift::gatewayd
