// One thread runs all sockets and owns all sessions; only the outboxes are
// shared with senders, under a mutex that is held for a queue operation.
//
// Two VMs may dial each other at the same moment. Both ends then keep the
// session that the VM with the smaller id dialled, and close the other a second
// later, so that no end ever sees itself without a session. Of two sessions
// with the same dialler the newer stays; that is how a session is replaced when
// the key changes.
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

constexpr std::chrono::milliseconds pumpInterval { 5 };
constexpr std::chrono::seconds supersededLife { 1 };
constexpr std::size_t socketBytesMost = 256 * 1024; // handed to a socket and not yet sent
constexpr std::size_t nonceBytes = 32;

// The same for both ends, so that they share one connection type. It is the
// client's, as the server's has no random source for masking.
struct MeshConfig : public websocketpp::config::asio_client
{
    static const std::size_t max_message_size = handshakeFrameMost; // NOLINT
    static const std::size_t connection_read_buffer_size = 4096;    // NOLINT
    static const std::size_t max_http_body_size = 1024;             // NOLINT
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
    Session(ConnectionPointer connectionPointer, bool isDiallerHere, PeerHandshake start)
        : connection(std::move(connectionPointer))
        , isDialler(isDiallerHere)
        , handshake(std::move(start))
    {
    }

    ConnectionPointer connection;
    bool isDialler;
    core::VmId dialled; // empty unless isDialler
    PeerHandshake handshake;
    SteadyTime begun;
    SteadyTime heard;
    std::optional<SteadyTime> closeAt; // superseded
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
    SessionPointer session; // the one to send on
    bool isDialling = false;
    int failures = 0;
    SteadyTime dialAfter;
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
    PeerMeshCounts counts() const;

private:
    enum class Queued { Yes, NoSession, NoRoom };

    Queued enqueue(const core::VmId &to, QueuedMessage queued);
    template<typename Endpoint> void prepare(Endpoint *endpoint);
    void installPeers(const std::vector<core::Vm> &peers);
    void installKeys(std::vector<PeerKey> keys);
    PeerIdentity self() const;

    void accepted(connection_hdl handle);
    void dialDue();
    void dial(const core::VmId &vm, Peer *peer);
    void dialFailed(const core::VmId &vm);

    SessionPointer find(connection_hdl handle);
    void opened(connection_hdl handle);
    void received(connection_hdl handle, const MessagePointer &message);
    void receivedHandshake(const SessionPointer &session, const std::string &frame);
    void receivedFrame(const SessionPointer &session, const std::string &frame);
    void established(const SessionPointer &session);
    bool replaces(const Session &newer, const Session &current) const;
    void ended(connection_hdl handle);
    void lost(const core::VmId &vm);

    void reject(const SessionPointer &session, const absl::Status &why);
    void cut(const SessionPointer &session);
    void sendFrame(const SessionPointer &session, const std::string &frame);

    void pump(const core::VmId &vm);
    std::optional<QueuedMessage> nextQueued(const core::VmId &vm);
    void closeAll();
    void scheduleTick();
    void tick();
    void schedulePump();

    const PeerMeshOptions options_;
    const PeerMeshHooks hooks_;
    asio::io_service ownLoop_; // unused if the options name another
    asio::io_service &io_;
    Server server_;
    Client client_;
    asio::steady_timer tickTimer_;
    asio::steady_timer pumpTimer_;
    std::thread thread_;
    std::mt19937_64 random_;

    // The following belong to the mesh's thread.
    std::vector<PeerKey> keys_;
    std::map<const Connection *, SessionPointer> sessions_;
    std::map<core::VmId, Peer> peers_;
    bool isPumpScheduled_ = false;
    bool isStopping_ = false;

    mutable std::mutex mutex_;              // guards what follows
    std::map<core::VmId, Outbox> outboxes_; // of VMs with a session
    std::string firstKeyId_;
    PeerMeshCounts counts_;
};

PeerMesh::Impl::Impl(PeerMeshOptions options, PeerMeshHooks hooks)
    : options_(std::move(options))
    , hooks_(std::move(hooks))
    , io_(options_.loop != nullptr ? *options_.loop : ownLoop_)
    , tickTimer_(io_)
    , pumpTimer_(io_)
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
    endpoint->set_open_handler([this](connection_hdl handle) { opened(handle); });
    endpoint->set_close_handler([this](connection_hdl handle) { ended(handle); });
    endpoint->set_fail_handler([this](connection_hdl handle) { ended(handle); });
    endpoint->set_message_handler([this](connection_hdl handle, const MessagePointer &message) {
        received(handle, message);
    });
}

absl::Status PeerMesh::Impl::start()
{
    prepare(&server_);
    prepare(&client_);
    server_.set_reuse_addr(true);
    server_.set_tcp_pre_init_handler([this](connection_hdl handle) { accepted(handle); });

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
    pumpTimer_.cancel();
    const auto sessions = sessions_;
    for (const auto &[connection, session] : sessions)
        cut(session);
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
            cut(peer.session);
    }
    for (const auto &[id, endpoint] : listed) {
        Peer &peer = peers_[id];
        if (!peer.isListed || !(peer.endpoint == endpoint)) {
            peer.failures = 0;
            peer.dialAfter = SteadyTime();
        }
        peer.isListed = true;
        peer.endpoint = endpoint;
    }
    dialDue();
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
        // An accepting end that has not heard the key's id yet starts anew too.
        if (!isKnown || !session->isEstablished())
            cut(session);
    }
    for (auto &[id, peer] : peers_) {
        peer.failures = 0;
        peer.dialAfter = SteadyTime();
    }
    dialDue();
}

bool PeerMesh::Impl::send(const core::VmId &to, const core::Message &message)
{
    QueuedMessage queued { encodeMessage(message),
                           std::holds_alternative<core::Heartbeat>(message) };
    const std::size_t bytes = queued.bytes.size();
    const bool isTooLong = bytes > messageBytesMost;
    const Queued result = isTooLong ? Queued::NoRoom : enqueue(to, std::move(queued));
    if (result == Queued::NoRoom && !std::holds_alternative<core::Heartbeat>(message))
        hooks_.log({ core::log::messageDropped,
                     { { "vm", to.text() },
                       { "type", std::to_string(message.index()) },
                       { "bytes", std::to_string(bytes) },
                       { "reason", isTooLong ? "too-long" : "queue-full" } } });
    if (result != Queued::Yes)
        return false;
    io_.post([this, to] { pump(to); });
    return true;
}

PeerMesh::Impl::Queued PeerMesh::Impl::enqueue(const core::VmId &to, QueuedMessage queued)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = outboxes_.find(to);
    if (found == outboxes_.end())
        return Queued::NoSession;
    Outbox &outbox = found->second;
    auto next = outbox.queue.begin();
    while (next != outbox.queue.end()
           && outbox.bytes + queued.bytes.size() > options_.queueBytesMost) {
        if (!next->isHeartbeat) {
            ++next;
            continue;
        }
        outbox.bytes -= next->bytes.size();
        next = outbox.queue.erase(next);
        ++counts_.heartbeatsDropped;
    }
    if (outbox.bytes + queued.bytes.size() > options_.queueBytesMost) {
        counts_.heartbeatsDropped += queued.isHeartbeat ? 1 : 0;
        return Queued::NoRoom;
    }
    outbox.bytes += queued.bytes.size();
    outbox.queue.push_back(std::move(queued));
    return Queued::Yes;
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
    return { options_.vm, options_.incarnation, options_.version, options_.versionLeast };
}

// A connection counts from here on, before it has sent a byte.
void PeerMesh::Impl::accepted(connection_hdl handle)
{
    websocketpp::lib::error_code error;
    const ConnectionPointer connection = server_.get_con_from_hdl(handle, error);
    if (error)
        return;
    const auto pending = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) {
        return !entry.second->isDialler && !entry.second->isEstablished();
    });
    if (isStopping_ || static_cast<std::size_t>(pending) >= options_.handshakesMost) {
        asio::error_code ignored;
        connection->get_raw_socket().close(ignored);
        return;
    }
    auto session = std::make_shared<Session>(
        connection, false, PeerHandshake::accept(self(), keys_, base::randomBytes(nonceBytes)));
    session->begun = SteadyClock::now();
    sessions_[connection.get()] = session;
}

void PeerMesh::Impl::dialDue()
{
    const SteadyTime now = SteadyClock::now();
    for (auto &[id, peer] : peers_) {
        const bool isOldKey = peer.session != nullptr && peer.session->isDialler
            && peer.session->handshake.keyId() != keys_.front().id;
        const bool isWanted = peer.session == nullptr || isOldKey;
        if (peer.isListed && !peer.isDialling && isWanted && now >= peer.dialAfter)
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
        dialFailed(vm);
        return;
    }
    auto session = std::make_shared<Session>(
        connection, true, PeerHandshake::dial(self(), vm, keys_, base::randomBytes(nonceBytes)));
    session->begun = SteadyClock::now();
    session->dialled = vm;
    sessions_[connection.get()] = session;
    peer->isDialling = true;
    client_.connect(connection);
}

// Doubles the pause, with a random half of it, so that VMs spread their dials.
void PeerMesh::Impl::dialFailed(const core::VmId &vm)
{
    Peer &peer = peers_[vm];
    peer.isDialling = false;
    const int doublings = std::min(peer.failures++, 10);
    const core::Duration pause =
        std::min(options_.redialFirst * (std::int64_t { 1 } << doublings), options_.redialMost);
    const std::int64_t half = pause.toMicros() / 2 + 1;
    const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(half));
    peer.dialAfter = SteadyClock::now() + std::chrono::microseconds(half + jitter);
}

SessionPointer PeerMesh::Impl::find(connection_hdl handle)
{
    const auto connection = std::static_pointer_cast<Connection>(handle.lock());
    const auto found = sessions_.find(connection.get());
    return found == sessions_.end() ? nullptr : found->second;
}

void PeerMesh::Impl::opened(connection_hdl handle)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    asio::error_code error;
    session->connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), error);
    if (!session->isDialler)
        sendFrame(session, session->handshake.start());
}

void PeerMesh::Impl::received(connection_hdl handle, const MessagePointer &message)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    if (message->get_opcode() != websocketpp::frame::opcode::binary)
        reject(session, absl::InvalidArgumentError("a frame that is not binary"));
    else if (session->isEstablished())
        receivedFrame(session, message->get_payload());
    else
        receivedHandshake(session, message->get_payload());
}

void PeerMesh::Impl::receivedHandshake(const SessionPointer &session, const std::string &frame)
{
    const absl::StatusOr<std::string> answer = session->handshake.receive(frame);
    if (!answer.ok()) {
        reject(session, answer.status());
        return;
    }
    if (!answer->empty())
        sendFrame(session, *answer);
    if (session->isEstablished())
        established(session);
}

void PeerMesh::Impl::established(const SessionPointer &session)
{
    session->sealer = std::make_unique<FrameSealer>(session->handshake.sendKey());
    session->opener = std::make_unique<FrameSealer>(session->handshake.receiveKey());
    session->heard = SteadyClock::now();
    session->connection->set_max_message_size(messageBytesMost + FrameSealer::overheadBytes);

    const core::VmId vm = session->vm();
    Peer &peer = peers_[vm];
    if (session->isDialler) {
        peer.isDialling = false;
        peer.failures = 0;
    }
    const SteadyTime closeAt = SteadyClock::now() + supersededLife;
    if (peer.session != nullptr && !replaces(*session, *peer.session)) {
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
    pump(vm);
}

bool PeerMesh::Impl::replaces(const Session &newer, const Session &current) const
{
    const bool isSameRun =
        newer.handshake.peer().incarnation == current.handshake.peer().incarnation;
    if (!isSameRun || newer.isDialler == current.isDialler)
        return true;
    const bool isSmallerHere = options_.vm < newer.vm();
    return newer.isDialler == isSmallerHere;
}

void PeerMesh::Impl::receivedFrame(const SessionPointer &session, const std::string &frame)
{
    const absl::StatusOr<std::string> bytes = session->opener->open(frame);
    if (!bytes.ok()) {
        reject(session, bytes.status());
        return;
    }
    session->heard = SteadyClock::now();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        counts_.bytesReceived += frame.size();
    }
    absl::StatusOr<core::Message> message = decodeMessage(*bytes);
    // A later version's message is skipped; anything else breaks the protocol.
    if (message.ok())
        hooks_.onMessage(session->vm(), session->handshake.peer().incarnation, std::move(*message));
    else if (!absl::IsUnimplemented(message.status()))
        reject(session, message.status());
}

// Also called for connections that never opened.
void PeerMesh::Impl::ended(connection_hdl handle)
{
    const SessionPointer session = find(handle);
    if (session == nullptr)
        return;
    sessions_.erase(session->connection.get());
    if (isStopping_)
        return;
    if (session->isDialler && !session->isEstablished())
        dialFailed(session->dialled);
    if (session->isEstablished() && peers_[session->vm()].session == session)
        lost(session->vm());
}

void PeerMesh::Impl::lost(const core::VmId &vm)
{
    peers_[vm].session = nullptr;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        outboxes_.erase(vm);
    }
    hooks_.onLost(vm);
    dialDue();
}

void PeerMesh::Impl::reject(const SessionPointer &session, const absl::Status &why)
{
    asio::error_code error;
    const auto remote = session->connection->get_raw_socket().remote_endpoint(error);
    const std::string address = error ? "unknown" : remote.address().to_string();
    const std::string &vm =
        session->isEstablished() ? session->vm().text() : session->dialled.text();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_.rejected;
    }
    hooks_.log(
        { core::log::peerRejected,
          { { "vm", vm }, { "address", address }, { "reason", std::string(why.message()) } } });
    cut(session);
}

// Closes the socket at once; ended() follows.
void PeerMesh::Impl::cut(const SessionPointer &session)
{
    asio::error_code error;
    session->connection->get_raw_socket().close(error);
}

void PeerMesh::Impl::sendFrame(const SessionPointer &session, const std::string &frame)
{
    const auto error = session->connection->send(frame, websocketpp::frame::opcode::binary);
    if (error)
        return; // the connection is closing, and ended() follows
    const std::lock_guard<std::mutex> lock(mutex_);
    counts_.bytesSent += frame.size();
}

std::optional<QueuedMessage> PeerMesh::Impl::nextQueued(const core::VmId &vm)
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

// The library has no call-back for a drained socket, so a full one is looked at
// again after a pause.
void PeerMesh::Impl::pump(const core::VmId &vm)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.session == nullptr)
        return;
    const SessionPointer session = found->second.session;
    while (session->connection->get_buffered_amount() < socketBytesMost) {
        const std::optional<QueuedMessage> next = nextQueued(vm);
        if (!next)
            return;
        sendFrame(session, session->sealer->seal(next->bytes));
    }
    schedulePump();
}

void PeerMesh::Impl::schedulePump()
{
    if (isPumpScheduled_ || isStopping_)
        return;
    isPumpScheduled_ = true;
    pumpTimer_.expires_from_now(pumpInterval);
    pumpTimer_.async_wait([this](const auto &error) {
        isPumpScheduled_ = false;
        if (error)
            return;
        for (const auto &[id, peer] : peers_)
            pump(id);
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
            if (now - session->begun > toChrono(options_.handshakeTimeout))
                reject(session, absl::DeadlineExceededError("no proof in time"));
        } else if (now - session->heard > toChrono(options_.idleTimeout)
                   || (session->closeAt && now > *session->closeAt)) {
            cut(session);
        }
    }
    dialDue();
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

PeerMeshCounts PeerMesh::counts() const
{
    return impl_->counts();
}

} // namespace bluebellshift::shell
