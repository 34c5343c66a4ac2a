#include "bluebellshift/daemon/node.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>

#include "bluebellshift/base/snapshotcell.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/reducer.h"
#include "bluebellshift/daemon/adminapi.h"
#include "bluebellshift/daemon/callerapi.h"
#include "bluebellshift/daemon/engine.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/daemon/platformlink.h"
#include "bluebellshift/daemon/refusaltext.h"
#include "bluebellshift/daemon/relayserver.h"
#include "bluebellshift/daemon/requestrunner.h"
#include "bluebellshift/daemon/targetprober.h"
#include "bluebellshift/http/forwarder.h"
#include "bluebellshift/http/httpserver.h"
#include "bluebellshift/platform/httpplatformclient.h"
#include "bluebellshift/shell/metrics.h"
#include "bluebellshift/shell/peermesh.h"

namespace bluebellshift::daemon {

namespace {

core::View::Hooks viewHooks()
{
    core::View::Hooks hooks;
    hooks.parseBundle = [](std::string_view toml) { return core::parseBundle(toml); };
    hooks.parseRollout = [](const std::string &json) { return core::decodeRollout(json); };
    return hooks;
}

http::ForwarderOptions forwarderOptions(const shell::Settings &settings)
{
    http::ForwarderOptions options;
    options.maxAnswerBytes = settings.limits.answerBytes;
    return options;
}

http::HttpServerOptions serverOptions(const shell::Settings &settings)
{
    http::HttpServerOptions options;
    options.listen = settings.callers;
    options.maxBodyBytes = settings.limits.bodyBytes;
    options.maxHeaders = settings.limits.headerCount;
    options.maxHeaderBytes = settings.limits.headerBytes;
    return options;
}

shell::PeerMeshOptions meshOptions(const shell::Settings &settings,
                                   std::vector<shell::PeerKey> keys)
{
    shell::PeerMeshOptions options;
    options.vm = settings.core.vm;
    options.incarnation = settings.core.incarnation;
    options.listen = settings.peers;
    options.keys = std::move(keys);
    return options;
}

// The readiness that the reducer last reported. Thread-safe.
class ReadyState
{
public:
    void set(core::SetReady ready)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        ready_ = std::move(ready);
    }
    Readiness at(core::Instant now) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!ready_.isReady)
            return { false, ready_.reason };
        if (now >= ready_.validUntil)
            return { false, "the view is not fresh" };
        return { true, {} };
    }

private:
    mutable std::mutex mutex_;
    core::SetReady ready_ { false, "starting", core::Instant::never() };
};

// Signals that the reducer allows the process to exit. Thread-safe.
class ExitSignal
{
public:
    void set(int requestsCut)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isSet_ = true;
            requestsCut_ = requestsCut;
        }
        changed_.notify_all();
    }
    int wait()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [this] { return isSet_; });
        return requestsCut_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isSet_ = false;
    int requestsCut_ = 0;
};

} // namespace

class Node::Implementation
{
public:
    Implementation(const shell::Settings &settings, NodeCredentials credentials, base::Clock clock,
                   shell::Logger &logger, Observe observe);
    ~Implementation();

    absl::Status start();
    void post(core::EventBody body) { engine_.post(std::move(body)); }
    void setPeerKeys(std::vector<shell::PeerKey> keys) { mesh_.setKeys(std::move(keys)); }
    int waitForExit() { return exit_.wait(); }

private:
    // One overload for each kind of effect. The engine handles SetTimer itself.
    void perform(core::SetTimer) { }
    void perform(core::SendPeer effect) { mesh_.send(effect.to, effect.message); }
    void perform(core::SetPeers effect) { mesh_.setPeers(std::move(effect.peers)); }
    void perform(core::WatchObjects effect) { platform_.watch(effect); }
    void perform(core::ReadObject effect) { platform_.read(effect); }
    void perform(core::WriteObject effect) { platform_.write(effect); }
    void perform(core::ForwardRequest effect) { pushInstruction(std::move(effect)); }
    void perform(core::RelayToHome effect);
    void perform(core::CancelForward effect);
    void perform(core::AnswerCaller effect) { pushInstruction(std::move(effect)); }
    void perform(core::RefuseCaller effect) { pushInstruction(std::move(effect)); }
    void perform(core::IssueTicket effect) { pushInstruction(std::move(effect)); }
    void perform(core::ChangeEnded effect) { pushInstruction(std::move(effect)); }
    void perform(core::ObjectsReturned effect) { pushInstruction(std::move(effect)); }
    void perform(core::StatusReturned effect) { pushInstruction(std::move(effect)); }
    void perform(core::ProbeTarget effect) { prober_.probe(effect); }
    void perform(core::PublishSnapshot effect) { snapshot_.publish(std::move(effect.snapshot)); }
    void perform(core::SetReady effect) { ready_.set(std::move(effect)); }
    void perform(core::WriteLog effect) { logger_.write(effect.record); }
    void perform(core::Exit effect) { exit_.set(effect.requestsCut); }

    core::Effects reduce(const core::Event &event)
    {
        core::Effects effects = reducer_.reduce(event);
        if (observe_)
            observe_(event, effects);
        return effects;
    }

    template<typename Effect> void pushInstruction(Effect effect)
    {
        if (PendingRequestPointer pending = requests_.find(effect.request))
            pending->push(std::move(effect));
    }

    void onMessage(const core::VmId &from, core::Incarnation incarnation, core::Message message);
    RequestOutcome serve(const PendingRequestPointer &pending, core::EventBody event,
                         const std::function<bool()> &isCallerDisconnected);
    CallerApi::Hooks callerApiHooks();
    AdminApi::Hooks adminApiHooks();
    RelayServer::Hooks relayHooks();
    RequestRunner::Hooks runnerHooks();
    shell::PeerMeshHooks meshHooks();
    PlatformLink::MakeClient makeClient(core::Duration callTimeout) const;

    const shell::Settings settings_;
    const base::Clock clock_;
    shell::Logger &logger_;
    const Observe observe_;
    shell::Metrics metrics_;

    base::SnapshotCell<core::SteeringSnapshot> snapshot_;
    ReadyState ready_;
    ExitSignal exit_;
    PendingRequests requests_;
    http::Forwarder forwarder_;
    core::Reducer reducer_;
    Engine engine_;
    shell::PeerMesh mesh_;
    RequestRunner runner_;
    RelayServer relayServer_;
    TargetProber prober_;
    AdminApi adminApi_;
    CallerApi callerApi_;
    http::HttpServer server_;
    PlatformLink platform_;
};

Node::Implementation::Implementation(const shell::Settings &settings, NodeCredentials credentials,
                                     base::Clock clock, shell::Logger &logger, Observe observe)
    : settings_(settings)
    , clock_(std::move(clock))
    , logger_(logger)
    , observe_(std::move(observe))
    , forwarder_(forwarderOptions(settings), clock_)
    , reducer_(settings.core, viewHooks())
    , engine_([this](const core::Event &event) { return reduce(event); }, clock_,
              [this](core::Effect effect) {
                  metrics_.countEffect(effect);
                  std::visit([this](auto &kind) { perform(std::move(kind)); }, effect);
              })
    , mesh_(meshOptions(settings, std::move(credentials.peerKeys)), meshHooks())
    , runner_(settings.core.incarnation, forwarder_, clock_, runnerHooks())
    , relayServer_(relayHooks())
    , prober_(forwarder_, clock_, [this](core::EventBody body) { post(std::move(body)); })
    , adminApi_(std::move(credentials.operators), adminApiHooks())
    , callerApi_(snapshot_, callerApiHooks())
    , server_(
          serverOptions(settings),
          [this](const http::HttpRequest &request) { return callerApi_.handle(request); },
          errorResponse)
    , platform_(makeClient(settings.platform.callTimeout), makeClient(settings.core.watchTimeout),
                clock_, settings.core.clockDrift,
                [this](core::EventBody body) { post(std::move(body)); })
{
}

// Stops the sources of events before the components that the effects use.
Node::Implementation::~Implementation()
{
    server_.stop();
    relayServer_.stop();
    prober_.stop();
    platform_.stop();
    mesh_.stop();
    engine_.stop();
}

absl::Status Node::Implementation::start()
{
    if (absl::Status status = mesh_.start(); !status.ok())
        return status;
    if (absl::Status status = server_.start(); !status.ok())
        return status;
    engine_.start();
    post(core::TimerFired {});
    return absl::OkStatus();
}

PlatformLink::MakeClient Node::Implementation::makeClient(core::Duration callTimeout) const
{
    platform::HttpPlatformOptions options;
    options.connectTimeout = settings_.platform.connectTimeout;
    options.callTimeout = callTimeout;
    return [endpoint = settings_.platform.endpoint, options] {
        return std::make_unique<platform::HttpPlatformClient>(endpoint, options);
    };
}

shell::PeerMeshHooks Node::Implementation::meshHooks()
{
    shell::PeerMeshHooks hooks;
    hooks.onMessage = [this](core::VmId from, core::Incarnation incarnation,
                             core::Message message) {
        onMessage(from, incarnation, std::move(message));
    };
    hooks.onLost = [this](core::VmId vm) { post(core::PeerLost { std::move(vm) }); };
    hooks.log = [this](core::LogRecord record) { logger_.write(record); };
    return hooks;
}

// Relayed requests carry bodies, which are kept out of the reducer, so their
// messages go to the relay server.
void Node::Implementation::onMessage(const core::VmId &from, core::Incarnation incarnation,
                                     core::Message message)
{
    if (auto *relay = std::get_if<core::RelayRequest>(&message)) {
        relayServer_.onRequest(from, std::move(*relay));
        return;
    }
    if (const auto *cancel = std::get_if<core::RelayCancel>(&message)) {
        relayServer_.onCancel(from, *cancel);
        return;
    }
    post(core::PeerMessageReceived { from, incarnation, std::move(message) });
}

RequestRunner::Hooks Node::Implementation::runnerHooks()
{
    RequestRunner::Hooks hooks;
    hooks.post = [this](core::EventBody body) { post(std::move(body)); };
    hooks.sendPeer = [this](const core::VmId &to, core::Message message) {
        return mesh_.send(to, message);
    };
    return hooks;
}

RelayServer::Hooks Node::Implementation::relayHooks()
{
    RelayServer::Hooks hooks;
    hooks.add = [this](CallerRequest request) { return requests_.add(std::move(request)); };
    hooks.serve = [this](const PendingRequestPointer &pending, core::EventBody event) {
        return serve(pending, std::move(event), [] { return false; });
    };
    hooks.post = [this](core::EventBody body) { post(std::move(body)); };
    hooks.sendPeer = [this](const core::VmId &to, core::Message message) {
        mesh_.send(to, message);
    };
    return hooks;
}

AdminApi::Hooks Node::Implementation::adminApiHooks()
{
    AdminApi::Hooks hooks;
    hooks.serve = [this](const AdminApi::MakeEvent &makeEvent) {
        PendingRequestPointer pending = requests_.add(CallerRequest());
        return serve(pending, makeEvent(pending->id()), [] { return false; });
    };
    hooks.wallTime = clock_.wallTime;
    hooks.log = [this](core::LogRecord record) { logger_.write(record); };
    return hooks;
}

CallerApi::Hooks Node::Implementation::callerApiHooks()
{
    CallerApi::Hooks hooks;
    hooks.serve = [this](CallerRequest request, const CallerApi::MakeEvent &makeEvent,
                         const std::function<bool()> &isCallerDisconnected) {
        PendingRequestPointer pending = requests_.add(std::move(request));
        return serve(pending, makeEvent(pending->id()), isCallerDisconnected);
    };
    hooks.readiness = [this] { return ready_.at(clock_.now()); };
    hooks.metricsText = [this] {
        return metrics_.text(
            { mesh_.counts(), ready_.at(clock_.now()).isReady, logger_.droppedInTotal() });
    };
    hooks.handleAdminRequest = [this](const http::HttpRequest &request) {
        return adminApi_.handle(request);
    };
    return hooks;
}

RequestOutcome Node::Implementation::serve(const PendingRequestPointer &pending,
                                           core::EventBody event,
                                           const std::function<bool()> &isCallerDisconnected)
{
    const core::Instant startedAt = clock_.now();
    post(std::move(event));
    RequestOutcome outcome = runner_.run(*pending, isCallerDisconnected);
    requests_.remove(pending->id());
    metrics_.observeRequest(clock_.now() - startedAt);
    return outcome;
}

void Node::Implementation::perform(core::RelayToHome effect)
{
    if (PendingRequestPointer pending = requests_.find(effect.request)) {
        pending->setRelayedTo(effect.home);
        pending->push(std::move(effect));
    }
}

void Node::Implementation::perform(core::CancelForward effect)
{
    PendingRequestPointer pending = requests_.find(effect.request);
    if (pending == nullptr)
        return;
    pending->cancelForward();
    const core::VmId home = pending->relayedTo();
    if (!home.isEmpty())
        mesh_.send(home,
                   core::RelayCancel {
                       core::relayCorrelation(effect.request, settings_.core.incarnation) });
}

Node::Node(const shell::Settings &settings, NodeCredentials credentials, base::Clock clock,
           shell::Logger &logger, Observe observe)
    : implementation_(std::make_unique<Implementation>(
        settings, std::move(credentials), std::move(clock), logger, std::move(observe)))
{
}

Node::~Node() = default;

absl::Status Node::start()
{
    return implementation_->start();
}

void Node::shutDown()
{
    implementation_->post(core::ShutdownRequested {});
}

void Node::setPeerKeys(std::vector<shell::PeerKey> peerKeys)
{
    implementation_->setPeerKeys(std::move(peerKeys));
}

int Node::waitForExit()
{
    return implementation_->waitForExit();
}

} // namespace bluebellshift::daemon
