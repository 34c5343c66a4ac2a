// Events are queued and handled one at a time: performing an effect may raise the next
// event synchronously, such as the next pipelined request once a response is sent.
#include "bluebellshift/gatewayd/gateway.h"

#include <unistd.h>

#include "bluebellshift/shell/crypto.h"
#include "platform/requests.h"

namespace bluebellshift::gatewayd {
namespace {

using core::Duration;
using core::Instant;

constexpr Duration peerTickInterval = Duration::millis(250);
constexpr char peerKeyId[] = "store";
constexpr Duration exitCheckInterval = Duration::millis(20);
constexpr Duration exitMargin = Duration::millis(100); // before the process is killed
constexpr Duration minLoggedLoopDelay = Duration::millis(250);
// Share of the VM's memory for messages; they may take twice that, as buffers grow by doubling.
constexpr double messageMemoryShare = 0.25;
// Of the budget for the store's responses: a configuration may take most of it.
constexpr double largestControlShare = 0.75;
// For each of the other addresses that callers reach; they need no large messages.
constexpr double serviceMemoryShare = 1.0 / 64;
constexpr std::uint64_t maxServiceBodyBytes = 16 * 1024;
constexpr std::size_t maxServiceUnwrittenBytes = 16 * 1024;
constexpr int limitLinesPerSecond = 10;
constexpr Duration responseMargin =
    Duration::millis(200); // for the target's own response at its deadline

core::Answer textResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "text/plain" } }, std::move(body) };
}

std::size_t memoryShare(const GatewaySettings &settings, double share)
{
    return static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * share);
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
    , budget_(memoryShare(settings, messageMemoryShare))
    , controlBudget_(settings.controlMemoryBytes, largestControlShare)
    , lookupBudget_(memoryShare(settings, serviceMemoryShare))
    , readinessBudget_(memoryShare(settings, serviceMemoryShare))
    , metricsBudget_(memoryShare(settings, serviceMemoryShare))
    , http_(loop, budget_, settings.maxIdleTargetConnections)
    , storeHttp_(loop, controlBudget_)
    , store_(storeHttp_, settings.storeEndpoint,
             [this](gateway::EventBody &&event) { handle(std::move(event)); })
    , callerServer_(loop, budget_,
                    [this] {
                        const gateway::CallerLimits &limits = reducer_.callerLimits();
                        return net::ServerLimits {
                            limits.maxHeaderBytes,       limits.maxBodyBytes,
                            limits.headerTimeout,        limits.idleTimeout,
                            settings_.maxConnections,    settings_.maxTrailerBytes,
                            settings_.maxUnwrittenBytes, settings_.maxRequestsInProgress
                        };
                    },
                    { [this](net::ExchangeId exchange, net::Request &&request) {
                         onRequest(exchange, std::move(request));
                     },
                      [this](net::ExchangeId exchange) {
                          handle(gateway::CallerDisconnected { core::RequestId(exchange) });
                      },
                      [this](int status, std::size_t bytes) { logRejection(status, bytes); },
                      [this](const net::LimitReached &reached) { onLimitReached(reached); } })
    , timer_(loop)
    , random_(clock.random())
{
}

Gateway::~Gateway() = default;

absl::Status Gateway::start()
{
    using Exchange = net::ExchangeId;
    lookupServer_ =
        makeServer(lookupBudget_, [this](Exchange e, const net::Request &r) { serveLookup(e, r); });
    readinessServer_ = makeServer(
        readinessBudget_, [this](Exchange e, const net::Request &r) { serveReadiness(e, r); });
    metricsServer_ = makeServer(metricsBudget_,
                                [this](Exchange e, const net::Request &r) { serveMetrics(e, r); });
    const std::pair<net::HttpServer *, core::Endpoint> servers[] = {
        { &callerServer_, settings_.gateway.vm.callers },
        { lookupServer_.get(), settings_.lookupEndpoint },
        { readinessServer_.get(), settings_.readyEndpoint },
        { metricsServer_.get(), settings_.metricsEndpoint },
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
    if (exitBy_ == Instant())
        exitBy_ = clock_.now() + settings_.stopGrace - exitMargin;
    handle(gateway::StopRequested { settings_.stopGrace });
}

void Gateway::applySettings(const GatewaySettings &settings)
{
    settings_.maxConnections = settings.maxConnections;
    settings_.maxServiceConnections = settings.maxServiceConnections;
    settings_.maxRequestsInProgress = settings.maxRequestsInProgress;
    settings_.maxTrailerBytes = settings.maxTrailerBytes;
    settings_.maxUnwrittenBytes = settings.maxUnwrittenBytes;
    settings_.stopGrace = settings.stopGrace;
    reducer_.setBounds(settings.gateway.bounds);
    writeLog({ core::log::settingsReloaded, { { "vm", settings.gateway.vm.id.text() } } });
}

std::unique_ptr<net::HttpServer>
Gateway::makeServer(net::ByteBudget &budget,
                    std::function<void(net::ExchangeId, const net::Request &)> serve)
{
    const auto limits = [this] {
        net::ServerLimits limits;
        limits.maxBodyBytes = maxServiceBodyBytes;
        limits.maxConnections = settings_.maxServiceConnections;
        limits.maxTrailerBytes = settings_.maxTrailerBytes;
        limits.maxUnwrittenBytes = maxServiceUnwrittenBytes;
        return limits;
    };
    return std::make_unique<net::HttpServer>(
        loop_, budget, limits,
        net::ServerHooks {
            [serve = std::move(serve)](net::ExchangeId exchange, net::Request &&request) {
                serve(exchange, request);
            },
            [](net::ExchangeId) {},
            {},
            [this](const net::LimitReached &reached) { onLimitReached(reached); } });
}

void Gateway::onLimitReached(const net::LimitReached &reached)
{
    metrics_.countLimit(reached.limit);
    const Instant now = clock_.now();
    if (now - limitLinesSince_ >= Duration::seconds(1)) {
        limitLinesSince_ = now;
        limitLines_ = 0;
    }
    if (++limitLines_ > limitLinesPerSecond) {
        ++limitLinesDropped_;
        return;
    }
    writeLog({ core::log::callerLimited,
               { { "caller", reached.caller },
                 { "limit", reached.limit },
                 { "action", reached.action },
                 { "heldBytes", std::to_string(reached.heldBytes) },
                 { "dropped", std::to_string(std::exchange(limitLinesDropped_, 0)) } } });
}

void Gateway::logRejection(int status, std::size_t bytes)
{
    writeLog({ core::log::requestRefused,
               { { "status", std::to_string(status) },
                 { "code", status == 503 ? "no-memory" : "bad-request" },
                 { "run", "not-run" },
                 { "bodyBytes", std::to_string(bytes) },
                 { "heldBytes", std::to_string(budget_.used()) },
                 { "budgetBytes", std::to_string(budget_.limit()) } } });
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
    const Instant now = clock_.now();
    const Duration wait = std::max(wake - now, Duration());
    timer_.expires_after(std::chrono::microseconds(wait.toMicros()));
    timer_.async_wait([this, dueAt = now + wait](const boost::system::error_code &error) {
        if (error)
            return;
        observeLoopDelay(clock_.now() - dueAt);
        timerAt_ = Instant::never();
        handle(gateway::TimerFired {});
    });
}

void Gateway::observeLoopDelay(Duration delay)
{
    metrics_.observeLoopDelay(std::max(delay, Duration()));
    if (delay < minLoggedLoopDelay)
        return;
    writeLog({ core::log::loopDelayed,
               { { "delayMs", std::to_string(delay.toMillis()) },
                 { "pending", std::to_string(requests_.size()) } } });
}

void Gateway::onRequest(net::ExchangeId exchange, net::Request &&request)
{
    gateway::RequestArrived arrived = ::platform::parseRequest(request);
    arrived.request = core::RequestId(exchange);
    Request &pending = requests_[exchange];
    pending.request = std::move(request);
    pending.arrivedAt = clock_.now();
    handle(std::move(arrived));
}

void Gateway::perform(const gateway::SendAttempt &attempt)
{
    const auto found = requests_.find(attempt.request.number());
    if (found == requests_.end())
        return;
    // A gateway that is behind may handle a request, or the response that frees a slot for it,
    // before the caller's close that has already arrived.
    if (callerServer_.abortIfCallerClosed(found->first))
        return;
    Request &pending = found->second;
    if (attempt.attempt == 1)
        metrics_.observeQueue(clock_.now() - pending.arrivedAt);
    pending.sentAt = clock_.now();
    net::CallOptions options;
    options.connectTimeout = attempt.connectTimeout;
    options.timeout = attempt.deadline + responseMargin;
    options.maxReuseIdleTime = attempt.reuseIdleMost;
    options.idHeader = ::platform::requestIdHeader;
    if (const std::string *id = net::findHeader(pending.request.headers, options.idHeader))
        options.requestId = *id;
    options.isHead = pending.request.method == "HEAD";
    const std::string bytes =
        net::serializeRequest(::platform::requestForTarget(pending.request, attempt));
    const core::RequestId request = attempt.request;
    const int number = attempt.attempt;
    pending.call = http_.start(attempt.endpoint, attempt.target.text(), bytes, options,
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
    found->second.response = result.response;
    metrics_.observeTarget(clock_.now() - found->second.sentAt);
    gateway::AttemptEnded ended = ::platform::parseResponse(result);
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

void Gateway::perform(const gateway::ForwardResponse &pass)
{
    const auto found = requests_.find(pass.request.number());
    if (found == requests_.end() || !found->second.response)
        return;
    const core::AnswerPointer response = found->second.response;
    metrics_.observeRequest(clock_.now() - found->second.arrivedAt);
    requests_.erase(found);
    callerServer_.respond(pass.request.number(), ::platform::responseForCaller(*response), false);
}

void Gateway::perform(const gateway::RefuseRequest &refusal)
{
    const auto found = requests_.find(refusal.request.number());
    if (found == requests_.end())
        return;
    const std::string *id =
        net::findHeader(found->second.request.headers, ::platform::requestIdHeader);
    const core::Answer response =
        ::platform::refusalForCaller(refusal, id == nullptr ? std::string() : *id);
    metrics_.observeRequest(clock_.now() - found->second.arrivedAt);
    requests_.erase(found);
    callerServer_.respond(refusal.request.number(), response, false);
}

void Gateway::perform(const gateway::DropRequest &drop)
{
    requests_.erase(drop.request.number());
}

void Gateway::perform(const gateway::SendReport &report)
{
    if (mesh_)
        mesh_->send(report.to, report.report);
}

void Gateway::perform(const gateway::SendRelayedReports &reports)
{
    if (mesh_)
        mesh_->send(reports.to, reports.relayed);
}

void Gateway::perform(const gateway::SendRelayedSpending &spending)
{
    if (mesh_)
        mesh_->send(spending.via, spending.relayed);
}

void Gateway::perform(const gateway::SendSpending &spending)
{
    if (mesh_)
        mesh_->send(spending.to, spending.spending);
}

void Gateway::perform(const gateway::SendTargetUpdate &update)
{
    if (mesh_)
        mesh_->send(update.to, update.update);
}

void Gateway::perform(const gateway::SendVmUpdate &update)
{
    if (mesh_)
        mesh_->send(update.to, update.update);
}

void Gateway::perform(const gateway::SetPeers &peers)
{
    std::vector<shell::PeerKey> keys = {
        { peerKeyId, shell::fromHex(peers.secretHex).value_or(std::string()) }
    };
    if (mesh_ && peers.secretHex != meshSecretHex_)
        mesh_->setKeys(keys);
    meshSecretHex_ = peers.secretHex;
    if (!mesh_) {
        shell::PeerMeshOptions options;
        options.vm = settings_.gateway.vm.id;
        options.incarnation = settings_.gateway.vm.incarnation;
        options.listen = settings_.gateway.vm.peers;
        options.keys = std::move(keys);
        options.tickInterval = peerTickInterval;
        options.loop = &loop_;
        shell::PeerMeshHooks hooks;
        hooks.onMessage = [this](core::VmId from, core::Incarnation incarnation,
                                 core::Message message) {
            if (auto *report = std::get_if<core::VmReport>(&message))
                handle(gateway::PeerReportReceived { std::move(from), incarnation,
                                                     std::move(*report) });
            else if (auto *spending = std::get_if<core::SpendingReport>(&message))
                handle(gateway::PeerSpendingReceived { std::move(from), incarnation,
                                                       std::move(*spending) });
            else if (auto *reports = std::get_if<core::RelayedReports>(&message))
                handle(gateway::PeerReportsRelayed { std::move(from), std::move(*reports) });
            else if (auto *passed = std::get_if<core::RelayedSpending>(&message))
                handle(gateway::PeerSpendingRelayed { std::move(from), std::move(*passed) });
            else if (auto *update = std::get_if<core::TargetUpdate>(&message))
                handle(gateway::PeerTargetUpdateReceived { std::move(from), std::move(*update) });
            else if (auto *vms = std::get_if<core::VmUpdate>(&message))
                handle(gateway::PeerVmUpdateReceived { std::move(from), std::move(*vms) });
        };
        hooks.onLost = [this](core::VmId vm) {
            handle(gateway::PeerDisconnected { std::move(vm) });
        };
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

void Gateway::perform(const gateway::ObserveTarget &observe)
{
    metrics_.observeTargetState(observe.observation);
}

void Gateway::perform(const gateway::CloseConnections &)
{
    callerServer_.beginDrain();
}

void Gateway::perform(const gateway::Exit &)
{
    hasStopped_ = true;
    exitWhenIdle();
}

// The reducer knows no request any more, but responses may still have to be written over slow
// links, and requests may be arriving: these are refused once they are complete.
void Gateway::exitWhenIdle()
{
    if (callerServer_.isBusy() && clock_.now() < exitBy_) {
        timer_.expires_after(std::chrono::microseconds(exitCheckInterval.toMicros()));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                exitWhenIdle();
        });
        return;
    }
    writeLog({ core::log::daemonStopped,
               { { "requests_cut", std::to_string(callerServer_.pendingCount()) } } });
    logger_.flushDropped();
    logWriter_.flush();
    loop_.stop();
}

void Gateway::writeLog(const core::LogRecord &record)
{
    metrics_.countLog(record);
    logger_.write(record);
}

void Gateway::serveLookup(net::ExchangeId exchange, const net::Request &request)
{
    const auto lookup = ::platform::parseLookup(request);
    if (!lookup) {
        lookupServer_->respond(exchange, textResponse(404, "not a look-up\n"), false);
        return;
    }
    const auto addresses =
        reducer_.addressesFor(lookup->region, lookup->failureDomain, clock_.now());
    if (addresses.empty()) {
        lookupServer_->respond(exchange, textResponse(503, "no VM is known to serve\n"), false);
        return;
    }
    lookupServer_->respond(exchange, ::platform::lookupResponse(addresses, reducer_.lookupTtl()),
                           false);
}

void Gateway::serveReadiness(net::ExchangeId exchange, const net::Request &request)
{
    const bool isCheck = ::platform::isReadinessCheck(request);
    const int status = !isCheck ? 404 : reducer_.isReady() ? 200 : 503;
    readinessServer_->respond(
        exchange, textResponse(status, status == 200 ? "ready\n" : "not ready\n"), false);
}

void Gateway::serveMetrics(net::ExchangeId exchange, const net::Request &)
{
    MetricsReadings readings;
    readings.gateway = reducer_.readings(clock_.now());
    readings.isReady = reducer_.isReady();
    readings.storeCallsDone = store_.counts().done;
    readings.storeCallsRefused = store_.counts().refused;
    readings.storeCallsUnanswered = store_.counts().unanswered;
    readings.targetConnectionsMade = http_.connectionsMade();
    readings.callerConnections = callerServer_.connectionCount();
    readings.callerBytes = budget_.used();
    readings.callerBytesBudget = budget_.limit();
    readings.logLinesDropped = logger_.droppedInTotal() + logWriter_.linesDropped();
    metricsServer_->respond(exchange, textResponse(200, metrics_.text(readings)), false);
}

} // namespace bluebellshift::gatewayd
