// One thread handles all sockets and owns all sessions. Only the outboxes are
// shared with senders; their mutex is held for one queue operation at a time.
//
// Two VMs may dial each other at the same time. Both ends then keep the session
// that the VM with the smaller id dialled and close the other one second later,
// so that neither end is ever without a session. Of two sessions with the same
// dialler, the newer one is kept; a session is replaced in this way when the key
// changes.
#include "bluebellshift/shell/peermesh.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/shell/crypto.h"
#include "bluebellshift/shell/peerhandshake.h"

namespace bluebellshift::shell {
namespace {

namespace asio = websocketpp::lib::asio;
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;
using websocketpp::connection_hdl;

constexpr std::chrono::milliseconds flushRetryInterval { 5 };
constexpr std::chrono::seconds supersededSessionGrace { 1 };
constexpr std::size_t maxSocketBufferedBytes = 256 * 1024; // passed to a socket and not yet sent
constexpr std::size_t nonceBytes = 32;

// Client and server use the same configuration, so that they share one connection
// type. It derives from the client's, because the server's has no random number
// generator for masking frames.
struct MeshConfig : public websocketpp::config::asio_client
{
    static const std::size_t max_message_size = maxHandshakeFrameBytes; // NOLINT
    static const std::size_t connection_read_buffer_size = 4096;        // NOLINT
    static const std::size_t max_http_body_size = 1024;                 // NOLINT
};

using Server = websocketpp::server<MeshConfig>;
using Client = websocketpp::client<MeshConfig>;
using Connection = websocketpp::connection<MeshConfig>;
using ConnectionPointer = Connection::ptr;
using MessagePointer = Connection::message_ptr;

std::chrono::microseconds toChrono(core::Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

struct Session
{
    Session(ConnectionPointer connectionPointer, bool isDiallerEnd, PeerHandshake start)
        : connection(std::move(connectionPointer))
        , isDialler(isDiallerEnd)
        , handshake(std::move(start))
    {
    }

    ConnectionPointer connection;
    bool isDialler;
    core::VmId dialledVm; // empty unless isDialler
    PeerHandshake handshake;
    SteadyTime startedAt;
    SteadyTime lastReceivedAt;
    std::optional<SteadyTime> closeAt; // set once superseded
    std::unique_ptr<FrameSealer> sealer;
    std::unique_ptr<FrameSealer> opener;

    bool isEstablished() const { return handshake.isDone(); }
    const core::VmId &vm() const { return handshake.peer().vm; }
};

using SessionPointer = std::shared_ptr<Session>;

struct Peer
{
    bool isListed = false;
    core::Endpoint endpoint;
    SessionPointer session; // used for sending
    bool isDialling = false;
    int failures = 0;
    SteadyTime nextDialAt;
};

struct QueuedMessage
{
    std::string bytes;
    bool isHeartbeat = false;
};

struct Outbox
{
    std::string keyId; // of the session
    std::deque<QueuedMessage> queue;
    std::size_t bytes = 0;
};

} // namespace

class PeerMesh::Impl
{
public:
    Impl(PeerMeshOptions options, PeerMeshHooks hooks);
    absl::Status start();
    void stop();
    void setPeers(std::vector<core::Vm> peers);
    void setKeys(std::vector<PeerKey> keys);
    bool send(const core::VmId &to, const core::Message &message);
    void send(const std::vector<core::VmId> &to, const core::Message &message);
    PeerMeshCounts counts() const;

private:
    enum class EnqueueResult { Accepted, NoSession, Dropped };

    bool sendEncoded(const core::VmId &to, const core::Message &message, std::string bytes);
    EnqueueResult enqueue(const core::VmId &to, QueuedMessage queued);
    template<typename Endpoint> void prepare(Endpoint *endpoint);
    void installPeers(const std::vector<core::Vm> &peers);
    void installKeys(std::vector<PeerKey> keys);
    PeerIdentity self() const;

    void handleAccepted(connection_hdl handle);
    void dialDuePeers();
    void dial(const core::VmId &vm, Peer *peer);
    void handleDialFailure(const core::VmId &vm);

    SessionPointer find(connection_hdl handle);
    void handleOpened(connection_hdl handle);
    void handleFrame(connection_hdl handle, const MessagePointer &message);
    void handleHandshakeFrame(const SessionPointer &session, const std::string &frame);
    void handleMessageFrame(const SessionPointer &session, const std::string &frame);
    void activateSession(const SessionPointer &session);
    bool supersedes(const Session &newer, const Session &current) const;
    void handleClosed(connection_hdl handle);
    void handlePeerLost(const core::VmId &vm);

    void reject(const SessionPointer &session, const absl::Status &reason);
    void closeSocket(const SessionPointer &session);
    void sendFrame(const SessionPointer &session, const std::string &frame);

    void flushOutbox(const core::VmId &vm);
    std::optional<QueuedMessage> takeNextQueued(const core::VmId &vm);
    void closeAll();
    void scheduleTick();
    void tick();
    void scheduleFlush();

    const PeerMeshOptions options_;
    const PeerMeshHooks hooks_;
    asio::io_service ownLoop_; // unused if the options specify a loop
    asio::io_service &io_;
    Server server_;
    Client client_;
    asio::steady_timer tickTimer_;
    asio::steady_timer flushTimer_;
    std::thread thread_;
    std::mt19937_64 random_;

    // The following are accessed on the mesh's thread only.
    std::vector<PeerKey> keys_;
    std::map<const Connection *, SessionPointer> sessions_;
    std::map<core::VmId, Peer> peers_;
    bool isFlushScheduled_ = false;
    bool isStopping_ = false;

    mutable std::mutex mutex_;              // guards the following members
    std::map<core::VmId, Outbox> outboxes_; // of VMs with a session
    std::string firstKeyId_;
    PeerMeshCounts counts_;
};

PeerMesh::Impl::Impl(PeerMeshOptions options, PeerMeshHooks hooks)
    : options_(std::move(options))
    , hooks_(std::move(hooks))
    , io_(options_.loop != nullptr ? *options_.loop : ownLoop_)
    , tickTimer_(io_)
    , flushTimer_(io_)
    , random_(base::randomNumber())
    , keys_(options_.keys)
    , firstKeyId_(keys_.front().id)
{
}

template<typename Endpoint> void PeerMesh::Impl::prepare(Endpoint *endpoint)
{
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    websocketpp::lib::error_code error;
    endpoint->init_asio(&io_, error);
    endpoint->set_open_handshake_timeout(options_.handshakeTimeout.toMillis());
    endpoint->set_close_handshake_timeout(options_.handshakeTimeout.toMillis());
    endpoint->set_open_handler([this](connection_hdl handle) { handleOpened(handle); });
    endpoint->set_close_handler([this](connection_hdl handle) { handleClosed(handle); });
    endpoint->set_fail_handler([this](connection_hdl handle) { handleClosed(handle); });
    endpoint->set_message_handler([this](connection_hdl handle, const MessagePointer &message) {
        handleFrame(handle, message);
    });
}

absl::Status PeerMesh::Impl::start()
{
    prepare(&server_);
    prepare(&client_);
    server_.set_reuse_addr(true);
    server_.set_tcp_pre_init_handler([this](connection_hdl handle) { handleAccepted(handle); });

    asio::error_code addressError;
    const auto address = asio::ip::address_v4::from_string(options_.listen.address, addressError);
    websocketpp::lib::error_code error = addressError;
    if (!error)
        server_.listen(asio::ip::tcp::endpoint(address, options_.listen.port), error);
    if (!error)
        server_.start_accept(error);
    if (error)
        return absl::UnavailableError(fmt::format("cannot listen for peers on {}:{}: {}",
                                                  options_.listen.address, options_.listen.port,
                                                  error.message()));
    scheduleTick();
    if (options_.loop == nullptr)
        thread_ = std::thread([this] { io_.run(); });
    return absl::OkStatus();
}

void PeerMesh::Impl::stop()
{
    if (options_.loop != nullptr) {
        closeAll();
        return;
    }
    if (!thread_.joinable())
        return;
    io_.post([this] {
        closeAll();
        io_.post([this] { io_.stop(); });
    });
    thread_.join();
}

void PeerMesh::Impl::closeAll()
{
    isStopping_ = true;
    websocketpp::lib::error_code error;
    server_.stop_listening(error);
    tickTimer_.cancel();
    flushTimer_.cancel();
    const auto sessions = sessions_;
    for (const auto &[connection, session] : sessions)
        closeSocket(session);
}

void PeerMesh::Impl::setPeers(std::vector<core::Vm> peers)
{
    io_.post([this, peers = std::move(peers)] { installPeers(peers); });
}

void PeerMesh::Impl::installPeers(const std::vector<core::Vm> &peers)
{
    std::map<core::VmId, core::Endpoint> listed;
    for (const core::Vm &vm : peers) {
        if (vm.id != options_.vm)
            listed[vm.id] = vm.peers;
    }
    for (auto &[id, peer] : peers_) {
        if (!peer.isListed || listed.count(id) != 0)
            continue;
        peer.isListed = false;
        if (peer.session != nullptr)
            closeSocket(peer.session);
    }
    for (const auto &[id, endpoint] : listed) {
        Peer &peer = peers_[id];
        if (!peer.isListed || !(peer.endpoint == endpoint)) {
            peer.failures = 0;
            peer.nextDialAt = SteadyTime();
        }
        peer.isListed = true;
        peer.endpoint = endpoint;
    }
    dialDuePeers();
}

void PeerMesh::Impl::setKeys(std::vector<PeerKey> keys)
{
    io_.post([this, keys = std::move(keys)]() mutable { installKeys(std::move(keys)); });
}

void PeerMesh::Impl::installKeys(std::vector<PeerKey> keys)
{
    keys_ = std::move(keys);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        firstKeyId_ = keys_.front().id;
    }
    const auto sessions = sessions_;
    for (const auto &[connection, session] : sessions) {
        const bool isKnown = findPeerKey(keys_, session->handshake.keyId()) != nullptr;
        // An acceptor that has not received the id of the key yet restarts as well.
        if (!isKnown || !session->isEstablished())
            closeSocket(session);
    }
    for (auto &[id, peer] : peers_) {
        peer.failures = 0;
        peer.nextDialAt = SteadyTime();
    }
    dialDuePeers();
}

bool PeerMesh::Impl::send(const core::VmId &to, const core::Message &message)
{
    return sendEncoded(to, message, encodeMessage(message));
}

void PeerMesh::Impl::send(const std::vector<core::VmId> &to, const core::Message &message)
{
    const std::string bytes = encodeMessage(message);
    for (const core::VmId &vm : to)
        sendEncoded(vm, message, bytes);
}

bool PeerMesh::Impl::sendEncoded(const core::VmId &to, const core::Message &message,
                                 std::string encoded)
{
    QueuedMessage queued { std::move(encoded), std::holds_alternative<core::Heartbeat>(message) };
    const std::size_t bytes = queued.bytes.size();
    const bool isTooLong = bytes > maxMessageBytes;
    const EnqueueResult result =
        isTooLong ? EnqueueResult::Dropped : enqueue(to, std::move(queued));
    if (result == EnqueueResult::Dropped && !std::holds_alternative<core::Heartbeat>(message))
        hooks_.log({ core::log::messageDropped,
                     { { "vm", to.text() },
                       { "type", std::to_string(message.index()) },
                       { "bytes", std::to_string(bytes) },
                       { "reason", isTooLong ? "too-long" : "queue-full" } } });
    if (result != EnqueueResult::Accepted)
        return false;
    io_.post([this, to] { flushOutbox(to); });
    return true;
}

PeerMesh::Impl::EnqueueResult PeerMesh::Impl::enqueue(const core::VmId &to, QueuedMessage queued)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = outboxes_.find(to);
    if (found == outboxes_.end())
        return EnqueueResult::NoSession;
    Outbox &outbox = found->second;
    auto next = outbox.queue.begin();
    while (next != outbox.queue.end()
           && outbox.bytes + queued.bytes.size() > options_.maxQueueBytes) {
        if (!next->isHeartbeat) {
            ++next;
            continue;
        }
        outbox.bytes -= next->bytes.size();
        next = outbox.queue.erase(next);
        ++counts_.heartbeatsDropped;
    }
    if (outbox.bytes + queued.bytes.size() > options_.maxQueueBytes) {
        counts_.heartbeatsDropped += queued.isHeartbeat ? 1 : 0;
        return EnqueueResult::Dropped;
    }
    outbox.bytes += queued.bytes.size();
    outbox.queue.push_back(std::move(queued));
    return EnqueueResult::Accepted;
}

PeerMeshCounts PeerMesh::Impl::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    PeerMeshCounts counts = counts_;
    counts.connected = outboxes_.size();
    for (const auto &[vm, outbox] : outboxes_) {
        if (outbox.keyId == firstKeyId_)
            ++counts.connectedByFirstKey;
    }
    return counts;
}

PeerIdentity PeerMesh::Impl::self() const
{
    return { options_.vm, options_.incarnation, options_.version, options_.minVersion };
}

// Counts the connection as pending before it has sent a byte.
void PeerMesh::Impl::handleAccepted(connection_hdl handle)
{
    websocketpp::lib::error_code error;
    const ConnectionPointer connection = server_.get_con_from_hdl(handle, error);
    if (error)
        return;
    const auto pending = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) {
        return !entry.second->isDialler && !entry.second->isEstablished();
    });
    if (isStopping_ || static_cast<std::size_t>(pending) >= options_.maxPendingHandshakes) {
        asio::error_code ignored;
        connection->get_raw_socket().close(ignored);
        return;
    }
    auto session = std::make_shared<Session>(
        connection, false, PeerHandshake::accept(self(), keys_, base::randomBytes(nonceBytes)));
    session->startedAt = SteadyClock::now();
    sessions_[connection.get()] = session;
}

void PeerMesh::Impl::dialDuePeers()
{
    const SteadyTime now = SteadyClock::now();
    for (auto &[id, peer] : peers_) {
        const bool usesOldKey = peer.session != nullptr && peer.session->isDialler
            && peer.session->handshake.keyId() != keys_.front().id;
        const bool needsDial = peer.session == nullptr || usesOldKey;
        if (peer.isListed && !peer.isDialling && needsDial && now >= peer.nextDialAt)
            dial(id, &peer);
    }
}

void PeerMesh::Impl::dial(const core::VmId &vm, Peer *peer)
{
    websocketpp::lib::error_code error;
    const std::string uri =
        fmt::format("ws://{}:{}/peers", peer->endpoint.address, peer->endpoint.port);
    const ConnectionPointer connection = client_.get_connection(uri, error);
    if (error) {
        handleDialFailure(vm);
        return;
    }
    auto session = std::make_shared<Session>(
        connection, true, PeerHandshake::dial(self(), vm, keys_, base::randomBytes(nonceBytes)));
    session->startedAt = SteadyClock::now();
    session->dialledVm = vm;
    sessions_[connection.get()] = session;
    peer->isDialling = true;
    client_.connect(connection);
}

// Doubles the delay and randomizes half of it, so that VMs do not dial in step.
void PeerMesh::Impl::handleDialFailure(const core::VmId &vm)
{
    Peer &peer = peers_[vm];
    peer.isDialling = false;
    const int doublings = std::min(peer.failures++, 10);
    const core::Duration pause = std::min(
        options_.initialRedialDelay * (std::int64_t { 1 } << doublings), options_.maxRedialDelay);
    const std::int64_t half = pause.toMicros() / 2 + 1;
    const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(half));
    peer.nextDialAt = SteadyClock::now() + std::chrono::microseconds(half + jitter);
}

SessionPointer PeerMesh::Impl::find(connection_hdl handle)
{
    const auto connection = std::static_pointer_cast<Connection>(handle.lock());
    const auto found = sessions_.find(connection.get());
    return found == sessions_.end() ? nullptr : found->second;
}

void PeerMesh::Impl::handleOpened(connection_hdl handle)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    asio::error_code error;
    session->connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), error);
    if (!session->isDialler)
        sendFrame(session, session->handshake.start());
}

void PeerMesh::Impl::handleFrame(connection_hdl handle, const MessagePointer &message)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    if (message->get_opcode() != websocketpp::frame::opcode::binary)
        reject(session, absl::InvalidArgumentError("received a frame that is not binary"));
    else if (session->isEstablished())
        handleMessageFrame(session, message->get_payload());
    else
        handleHandshakeFrame(session, message->get_payload());
}

void PeerMesh::Impl::handleHandshakeFrame(const SessionPointer &session, const std::string &frame)
{
    const absl::StatusOr<std::string> answer = session->handshake.receive(frame);
    if (!answer.ok()) {
        reject(session, answer.status());
        return;
    }
    if (!answer->empty())
        sendFrame(session, *answer);
    if (session->isEstablished())
        activateSession(session);
}

void PeerMesh::Impl::activateSession(const SessionPointer &session)
{
    session->sealer = std::make_unique<FrameSealer>(session->handshake.sendKey());
    session->opener = std::make_unique<FrameSealer>(session->handshake.receiveKey());
    session->lastReceivedAt = SteadyClock::now();
    session->connection->set_max_message_size(maxMessageBytes + FrameSealer::overheadBytes);

    const core::VmId vm = session->vm();
    Peer &peer = peers_[vm];
    if (session->isDialler) {
        peer.isDialling = false;
        peer.failures = 0;
    }
    const SteadyTime closeAt = SteadyClock::now() + supersededSessionGrace;
    if (peer.session != nullptr && !supersedes(*session, *peer.session)) {
        session->closeAt = closeAt;
        return;
    }
    if (peer.session != nullptr)
        peer.session->closeAt = closeAt;
    peer.session = session;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        outboxes_[vm].keyId = session->handshake.keyId();
    }
    flushOutbox(vm);
}

bool PeerMesh::Impl::supersedes(const Session &newer, const Session &current) const
{
    const bool isSameIncarnation =
        newer.handshake.peer().incarnation == current.handshake.peer().incarnation;
    if (!isSameIncarnation || newer.isDialler == current.isDialler)
        return true;
    const bool hasSmallerId = options_.vm < newer.vm();
    return newer.isDialler == hasSmallerId;
}

void PeerMesh::Impl::handleMessageFrame(const SessionPointer &session, const std::string &frame)
{
    const absl::StatusOr<std::string> bytes = session->opener->open(frame);
    if (!bytes.ok()) {
        reject(session, bytes.status());
        return;
    }
    session->lastReceivedAt = SteadyClock::now();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        counts_.bytesReceived += frame.size();
    }
    absl::StatusOr<core::Message> message = decodeMessage(*bytes);
    // A message type of a later version is skipped; any other error is a protocol violation.
    if (message.ok())
        hooks_.onMessage(session->vm(), session->handshake.peer().incarnation, std::move(*message));
    else if (!absl::IsUnimplemented(message.status()))
        reject(session, message.status());
}

// Also called for connections that failed to open.
void PeerMesh::Impl::handleClosed(connection_hdl handle)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    sessions_.erase(session->connection.get());
    if (isStopping_)
        return;
    if (session->isDialler && !session->isEstablished())
        handleDialFailure(session->dialledVm);
    if (session->isEstablished() && peers_[session->vm()].session == session)
        handlePeerLost(session->vm());
}

void PeerMesh::Impl::handlePeerLost(const core::VmId &vm)
{
    peers_[vm].session = nullptr;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        outboxes_.erase(vm);
    }
    hooks_.onLost(vm);
    dialDuePeers();
}

void PeerMesh::Impl::reject(const SessionPointer &session, const absl::Status &reason)
{
    asio::error_code error;
    const auto remote = session->connection->get_raw_socket().remote_endpoint(error);
    const std::string address = error ? "unknown" : remote.address().to_string();
    const std::string &vm =
        session->isEstablished() ? session->vm().text() : session->dialledVm.text();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_.rejected;
    }
    hooks_.log(
        { core::log::peerRejected,
          { { "vm", vm }, { "address", address }, { "reason", std::string(reason.message()) } } });
    closeSocket(session);
}

// Closes the socket immediately; the library then calls handleClosed().
void PeerMesh::Impl::closeSocket(const SessionPointer &session)
{
    asio::error_code error;
    session->connection->get_raw_socket().close(error);
}

void PeerMesh::Impl::sendFrame(const SessionPointer &session, const std::string &frame)
{
    const auto error = session->connection->send(frame, websocketpp::frame::opcode::binary);
    if (error)
        return; // the connection is closing; handleClosed() will be called
    const std::lock_guard<std::mutex> lock(mutex_);
    counts_.bytesSent += frame.size();
}

std::optional<QueuedMessage> PeerMesh::Impl::takeNextQueued(const core::VmId &vm)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = outboxes_.find(vm);
    if (found == outboxes_.end() || found->second.queue.empty())
        return std::nullopt;
    QueuedMessage next = std::move(found->second.queue.front());
    found->second.queue.pop_front();
    found->second.bytes -= next.bytes.size();
    return next;
}

// The library has no callback for a drained send buffer, so a full buffer is
// checked again after `flushRetryInterval`.
void PeerMesh::Impl::flushOutbox(const core::VmId &vm)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.session == nullptr)
        return;
    const SessionPointer session = found->second.session;
    while (session->connection->get_buffered_amount() < maxSocketBufferedBytes) {
        const std::optional<QueuedMessage> next = takeNextQueued(vm);
        if (!next)
            return;
        sendFrame(session, session->sealer->seal(next->bytes));
    }
    scheduleFlush();
}

void PeerMesh::Impl::scheduleFlush()
{
    if (isFlushScheduled_ || isStopping_)
        return;
    isFlushScheduled_ = true;
    flushTimer_.expires_from_now(flushRetryInterval);
    flushTimer_.async_wait([this](const auto &error) {
        isFlushScheduled_ = false;
        if (error)
            return;
        for (const auto &[id, peer] : peers_)
            flushOutbox(id);
    });
}

void PeerMesh::Impl::scheduleTick()
{
    tickTimer_.expires_from_now(std::chrono::microseconds(options_.tickInterval.toMicros()));
    tickTimer_.async_wait([this](const auto &error) {
        if (error || isStopping_)
            return;
        tick();
        scheduleTick();
    });
}

void PeerMesh::Impl::tick()
{
    const SteadyTime now = SteadyClock::now();
    const auto sessions = sessions_;
    for (const auto &[connection, session] : sessions) {
        if (!session->isEstablished()) {
            if (now - session->startedAt > toChrono(options_.handshakeTimeout))
                reject(session, absl::DeadlineExceededError("handshake timed out"));
        } else if (now - session->lastReceivedAt > toChrono(options_.idleTimeout)
                   || (session->closeAt && now > *session->closeAt)) {
            closeSocket(session);
        }
    }
    dialDuePeers();
}

PeerMesh::PeerMesh(PeerMeshOptions options, PeerMeshHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hooks)))
{
}

PeerMesh::~PeerMesh()
{
    stop();
}

absl::Status PeerMesh::start()
{
    return impl_->start();
}

void PeerMesh::stop()
{
    impl_->stop();
}

void PeerMesh::setPeers(std::vector<core::Vm> peers)
{
    impl_->setPeers(std::move(peers));
}

void PeerMesh::setKeys(std::vector<PeerKey> keys)
{
    impl_->setKeys(std::move(keys));
}

bool PeerMesh::send(const core::VmId &to, const core::Message &message)
{
    return impl_->send(to, message);
}

void PeerMesh::send(const std::vector<core::VmId> &to, const core::Message &message)
{
    impl_->send(to, message);
}

PeerMeshCounts PeerMesh::counts() const
{
    return impl_->counts();
}

} // namespace bluebellshift::shell
