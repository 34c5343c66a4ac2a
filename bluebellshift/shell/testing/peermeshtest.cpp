#include "bluebellshift/shell/peermesh.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::core;
using namespace bluebellshift::shell;

namespace {

// Limits the wait for an expected event; no passing test waits this long.
constexpr std::chrono::seconds maxWait { 20 };

PeerKey key(char fill)
{
    return { std::string("key-") + fill, std::string(32, fill) };
}

// Returns a port that was free when checked.
std::uint16_t freePort()
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    socklen_t length = sizeof(address);
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &length);
    close(handle);
    return ntohs(address.sin_port);
}

// The mesh of one VM and the events that it reported.
class TestVm
{
public:
    TestVm(const char *id, std::uint64_t incarnation, std::vector<PeerKey> keys,
           std::uint16_t port = freePort(), int version = protocolVersion)
    {
        vm.id = VmId(id);
        vm.peers = { "127.0.0.1", port };
        options.vm = vm.id;
        options.incarnation = Incarnation(incarnation);
        options.listen = vm.peers;
        options.keys = std::move(keys);
        options.version = version;
        options.idleTimeout = Duration::seconds(60);
    }

    void start()
    {
        PeerMeshHooks hooks;
        hooks.onMessage = [this](const VmId &from, Incarnation incarnation, Message message) {
            update([&] { received.push_back({ from, incarnation, std::move(message) }); });
        };
        hooks.onLost = [this](const VmId &from) { update([&] { lost.push_back(from); }); };
        hooks.log = [this](const LogRecord &record) { update([&] { logged.push_back(record); }); };
        mesh = std::make_unique<PeerMesh>(options, hooks);
        const absl::Status status = mesh->start();
        CHECK_TEXT(status.ok(), status.ToString().c_str());
    }

    // Waits until `condition` holds; it may read the recorded events. False: timeout.
    template<typename Condition> bool await(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        const auto end = std::chrono::steady_clock::now() + maxWait;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            changed.wait_for(lock, std::chrono::milliseconds(10));
        }
        return true;
    }
    // Repeats the send until the message is queued, that is, until there is a session.
    bool sendWhenConnected(const VmId &to, const Message &message)
    {
        return await([&] { return mesh->send(to, message); });
    }
    bool awaitRevision(std::uint64_t revision)
    {
        return await([&] {
            for (const Received &one : received) {
                const auto *request = std::get_if<ViewRequest>(&one.message);
                if (request != nullptr && request->after == Revision(revision))
                    return true;
            }
            return false;
        });
    }
    bool awaitConnected(std::size_t count)
    {
        return await([&] { return mesh->counts().connected == count; });
    }

    struct Received
    {
        VmId from;
        Incarnation incarnation;
        Message message;
    };
    Vm vm;
    PeerMeshOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Received> received;
    std::vector<VmId> lost;
    std::vector<LogRecord> logged;
    std::unique_ptr<PeerMesh> mesh; // last: its thread calls hooks that use the others

private:
    template<typename Change> void update(Change change)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        change();
        changed.notify_all();
    }
};

constexpr std::size_t mebibyte = 1024 * 1024;

RelayReply replyWithBody(std::size_t bodyBytes)
{
    RelayReply reply;
    reply.answer.body.assign(bodyBytes, 'z');
    return reply;
}

int connectTo(const Endpoint &endpoint)
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(endpoint.port);
    if (connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
        return -1;
    const timeval timeout { maxWait.count(), 0 };
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    return handle;
}

// Reads until the other end closes the connection; returns what it sent.
std::string readToEnd(int handle)
{
    std::string all;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(handle, buffer, sizeof(buffer), 0)) > 0)
        all.append(buffer, static_cast<std::size_t>(count));
    CHECK_TEXT(count == 0 || errno == ECONNRESET, "the connection was not closed in time");
    return all;
}

void sendAll(int handle, const std::string &bytes)
{
    CHECK(send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL)
          == static_cast<ssize_t>(bytes.size()));
}

const char upgradeRequest[] = "GET /peers HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                              "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// Returns a masked binary frame with a 16-bit length; the mask is zero.
std::string binaryFrame(const std::string &payload)
{
    std::string frame("\x82\xfe", 2);
    frame += static_cast<char>(payload.size() >> 8);
    frame += static_cast<char>(payload.size());
    frame += std::string(4, '\0');
    return frame + payload;
}

} // namespace

TEST_GROUP(PeerMesh) {};

TEST(PeerMesh, MessagesPassBothWaysWithTheSendersIncarnation)
{
    TestVm a("a", 11, { key('x') });
    TestVm b("b", 22, { key('x') });
    a.start();
    b.start();
    // Only one of them lists the other, as when one VM's list is out of date.
    b.mesh->setPeers({ a.vm, b.vm });
    CHECK(b.sendWhenConnected(a.vm.id, ViewRequest { Revision(1) }));
    CHECK(a.awaitRevision(1));
    CHECK(a.mesh->send(b.vm.id, ViewRequest { Revision(2) }));
    CHECK(b.awaitRevision(2));
    CHECK(a.received[0].from == b.vm.id && a.received[0].incarnation == Incarnation(22));
    CHECK(b.received[0].from == a.vm.id && b.received[0].incarnation == Incarnation(11));
    CHECK(!a.mesh->send(VmId("c"), ViewRequest {}));
}

TEST(PeerMesh, ManyVmsThatDialEachOtherAtOnceAllConnect)
{
    std::vector<std::unique_ptr<TestVm>> vms;
    std::vector<Vm> list;
    for (int i = 0; i < 6; ++i) {
        vms.push_back(std::make_unique<TestVm>(std::string(1, static_cast<char>('a' + i)).c_str(),
                                               i + 1, std::vector<PeerKey> { key('x') }));
        vms.back()->start();
        list.push_back(vms.back()->vm);
    }
    for (auto &vm : vms)
        vm->mesh->setPeers(list);
    for (auto &vm : vms)
        CHECK(vm->awaitConnected(5));
    for (int round = 1; round <= 3; ++round) {
        for (auto &vm : vms) {
            for (const Vm &to : list) {
                if (to.id != vm->vm.id)
                    CHECK(vm->mesh->send(to.id, ViewRequest { Revision(round) }));
            }
        }
    }
    for (auto &vm : vms) {
        CHECK(vm->await([&] { return vm->received.size() == 15; }));
        CHECK(vm->lost.empty());
    }
}

TEST(PeerMesh, AWrongKeyIsRejectedAndLoggedWithoutIt)
{
    TestVm a("a", 1, { key('x') });
    TestVm b("b", 2, { { "key-x", std::string(32, 'y') } });
    a.start();
    b.start();
    b.mesh->setPeers({ a.vm });
    CHECK(a.await([&] { return a.logged.size() >= 2; }));
    CHECK(a.logged[0].event.number == log::peerRejected.number);
    LONGS_EQUAL(0, a.mesh->counts().connected);
    LONGS_EQUAL(0, b.mesh->counts().connected);
    CHECK(!b.mesh->send(a.vm.id, Heartbeat {}));
}

TEST(PeerMesh, AKeyIsRenewedWithoutALostSession)
{
    TestVm a("a", 1, { key('o') });
    TestVm b("b", 2, { key('o') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    b.mesh->setPeers({ a.vm });
    CHECK(a.sendWhenConnected(b.vm.id, ViewRequest { Revision(1) }));
    CHECK(b.awaitRevision(1));
    std::uint64_t revision = 1;
    const std::vector<std::vector<PeerKey>> steps { { key('o'), key('n') },
                                                    { key('n'), key('o') },
                                                    { key('n') } };
    for (const auto &keys : steps) {
        for (TestVm *vm : { &a, &b }) {
            vm->mesh->setKeys(keys);
            ++revision;
            CHECK(a.mesh->send(b.vm.id, ViewRequest { Revision(revision) }));
            CHECK(b.awaitRevision(revision));
        }
        // Waits until every session uses the first key before the next step.
        for (TestVm *vm : { &a, &b })
            CHECK(vm->await([&] { return vm->mesh->counts().connectedByFirstKey == 1; }));
    }
    CHECK(a.lost.empty());
    CHECK(b.lost.empty());
    // The old key is no longer accepted.
    TestVm c("c", 3, { key('o') });
    c.start();
    c.mesh->setPeers({ a.vm });
    CHECK(a.await([&] { return !a.logged.empty(); }));
    CHECK(!c.mesh->send(a.vm.id, Heartbeat {}));
}

TEST(PeerMesh, ARestartedVmReconnectsUnderItsNewIncarnation)
{
    TestVm a("a", 1, { key('x') });
    TestVm b("b", 2, { key('x') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    CHECK(a.sendWhenConnected(b.vm.id, ViewRequest { Revision(1) }));
    CHECK(b.awaitRevision(1));
    b.mesh->stop();
    CHECK(a.await([&] { return a.lost.size() == 1; }));
    CHECK(a.lost[0] == b.vm.id);
    CHECK(!a.mesh->send(b.vm.id, Heartbeat {}));
    TestVm again("b", 33, { key('x') }, b.vm.peers.port);
    again.start();
    CHECK(again.sendWhenConnected(a.vm.id, ViewRequest { Revision(2) }));
    CHECK(a.awaitRevision(2));
    CHECK(a.received.back().incarnation == Incarnation(33));
}

TEST(PeerMesh, AVmRemovedFromTheListIsDisconnected)
{
    TestVm a("a", 1, { key('x') });
    TestVm b("b", 2, { key('x') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    CHECK(a.awaitConnected(1));
    a.mesh->setPeers({});
    CHECK(b.await([&] { return b.lost.size() == 1; }));
    CHECK(a.awaitConnected(0));
}

TEST(PeerMesh, AnEarlierVersionIsAcceptedAndATooOldOneIsNot)
{
    TestVm a("a", 1, { key('x') }, freePort(), 2);
    a.options.minVersion = 1;
    TestVm b("b", 2, { key('x') }, freePort(), 1);
    TestVm c("c", 3, { key('x') }, freePort(), 0);
    c.options.minVersion = 0;
    a.start();
    b.start();
    c.start();
    a.mesh->setPeers({ b.vm, c.vm });
    CHECK(a.sendWhenConnected(b.vm.id, ViewRequest { Revision(1) }));
    CHECK(b.awaitRevision(1));
    CHECK(c.await([&] { return !c.logged.empty(); }));
    LONGS_EQUAL(1, a.mesh->counts().connected);
}

TEST(PeerMesh, AnUnauthenticatedConnectionIsClosed)
{
    TestVm a("a", 1, { key('x') });
    a.options.handshakeTimeout = Duration::millis(200);
    a.start();
    const std::string cases[] = {
        "",                                                     // sends nothing
        "GET",                                                  // an unfinished request
        "GARBAGE\r\n\r\n",                                      // not a WebSocket request
        upgradeRequest,                                         // no hello
        upgradeRequest + binaryFrame("hello"),                  // not a handshake frame
        upgradeRequest + binaryFrame(std::string(200, '\x81')), // deeply nested CBOR
        upgradeRequest + binaryFrame(std::string(2000, 'x')),   // over the size limit
        std::string(upgradeRequest) + std::string(100, '\xff'), // not a valid frame
        "GET / HTTP/1.1\r\n" + std::string(40'000, 'x'),        // endless headers
    };
    for (const std::string &bytes : cases) {
        const int handle = connectTo(a.vm.peers);
        CHECK(handle >= 0);
        sendAll(handle, bytes);
        readToEnd(handle);
        close(handle);
    }
    LONGS_EQUAL(0, a.mesh->counts().connected);
    LONGS_EQUAL(0, a.received.size());
    // The mesh still accepts valid peers.
    TestVm b("b", 2, { key('x') });
    b.start();
    b.mesh->setPeers({ a.vm });
    CHECK(b.sendWhenConnected(a.vm.id, ViewRequest { Revision(1) }));
    CHECK(a.awaitRevision(1));
}

TEST(PeerMesh, HandshakesAtOnceAreLimited)
{
    TestVm a("a", 1, { key('x') });
    a.options.maxPendingHandshakes = 3;
    a.options.handshakeTimeout = Duration::seconds(30);
    a.start();
    std::vector<int> handles;
    for (int i = 0; i < 3; ++i)
        handles.push_back(connectTo(a.vm.peers));
    const int rejected = connectTo(a.vm.peers);
    readToEnd(rejected); // closed immediately, long before the handshake timeout
    close(rejected);
    for (const int handle : handles)
        close(handle);
    TestVm b("b", 2, { key('x') });
    b.start();
    b.mesh->setPeers({ a.vm });
    CHECK(b.awaitConnected(1));
}

TEST(PeerMesh, LargeMessagesPassAndTooLargeOnesAreRejected)
{
    TestVm a("a", 1, { key('x') });
    TestVm b("b", 2, { key('x') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    CHECK(a.awaitConnected(1));
    CHECK(a.mesh->send(b.vm.id, replyWithBody(2 * mebibyte)));
    CHECK(b.await([&] { return b.received.size() == 1; }));
    LONGS_EQUAL(2 * mebibyte, std::get<RelayReply>(b.received[0].message).answer.body.size());
    CHECK(!a.mesh->send(b.vm.id, replyWithBody(maxMessageBytes)));
    LONGS_EQUAL(log::messageDropped.number, a.logged.back().event.number);
}

TEST(PeerMesh, AFullQueueDropsHeartbeatsFirst)
{
    TestVm a("a", 1, { key('x') });
    a.options.maxQueueBytes = mebibyte + mebibyte / 2;
    TestVm b("b", 2, { key('x') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    CHECK(a.awaitConnected(1));
    {
        // While its thread waits for the mutex, b reads nothing.
        const std::lock_guard<std::mutex> stall(b.mutex);
        int refused = 0;
        while (refused < 20) {
            refused = a.mesh->send(b.vm.id, replyWithBody(mebibyte)) ? 0 : refused + 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        Heartbeat heartbeat;
        heartbeat.credits.assign(1, { AccountId(std::string(8192, 'a')), 1, 1 });
        for (int i = 0; i < 40; ++i)
            CHECK(a.mesh->send(b.vm.id, heartbeat));
        LONGS_EQUAL(0, a.mesh->counts().heartbeatsDropped);
        CHECK(a.mesh->send(b.vm.id, replyWithBody(mebibyte / 2 - 4096)));
        LONGS_EQUAL(40, a.mesh->counts().heartbeatsDropped);
        CHECK(!a.mesh->send(b.vm.id, heartbeat));
    }
    CHECK(a.sendWhenConnected(b.vm.id, ViewRequest { Revision(5) }));
    CHECK(b.awaitRevision(5));
}

TEST(PeerMesh, ASilentSessionIsClosed)
{
    TestVm a("a", 1, { key('x') });
    a.options.idleTimeout = Duration::millis(200);
    TestVm b("b", 2, { key('x') });
    a.start();
    b.start();
    a.mesh->setPeers({ b.vm });
    CHECK(a.await([&] { return !a.lost.empty(); }));
    // The session is dialled again.
    CHECK(a.sendWhenConnected(b.vm.id, ViewRequest { Revision(7) }));
    CHECK(b.awaitRevision(7));
}

TEST(PeerMesh, AnAddressInUseIsAnError)
{
    TestVm a("a", 1, { key('x') });
    a.start();
    PeerMesh other(a.options, {});
    CHECK(absl::IsUnavailable(other.start()));
}
