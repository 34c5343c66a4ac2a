// Connections between this VM and the others, over WebSocket.
//
//   PeerMesh mesh(options, hooks);
//   absl::Status status = mesh.start();
//   mesh.setPeers(vms);
//   mesh.send(vm, core::Heartbeat { ... });
//   mesh.stop();
//
// A VM dials each listed peer that it has no session with, so each pair of VMs
// shares one session, which carries both directions. Both ends prove that they
// hold a common key before either sends or accepts a message (peerhandshake.h),
// and every frame is encrypted and authenticated. docs/design/peers.md explains
// the choice.
//
// A connection that does not complete the handshake within `handshakeTimeout` is
// closed, and at most `maxPendingHandshakes` incoming connections may be in the
// handshake at a time. A session that receives nothing for `idleTimeout` is
// closed and dialled again.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "bluebellshift/core/logevent.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/shell/messagecodec.h"
#include "bluebellshift/shell/peerkeys.h"

namespace bluebellshift::shell {

struct PeerMeshOptions
{
    core::VmId vm;
    core::Incarnation incarnation;
    core::Endpoint listen;
    std::vector<PeerKey> keys; // the first signs, all of them verify
    int version = protocolVersion;
    int minVersion = minProtocolVersion;
    std::size_t maxQueueBytes = 8 * 1024 * 1024; // for each peer; holds more than one message
    std::size_t maxPendingHandshakes = 64;       // incoming and not yet authenticated
    core::Duration handshakeTimeout = core::Duration::seconds(2);
    core::Duration idleTimeout = core::Duration::seconds(5);
    core::Duration initialRedialDelay = core::Duration::millis(100); // doubles with each failure
    core::Duration maxRedialDelay = core::Duration::seconds(2);
    core::Duration tickInterval = core::Duration::millis(50); // resolution of the times above
    // The event loop to use, which its owner runs; null: the mesh runs its own thread.
    boost::asio::io_context *loop = nullptr;
};

// Called on the mesh's thread or event loop, except `log`; must not block or call stop().
struct PeerMeshHooks
{
    std::function<void(core::VmId, core::Incarnation, core::Message)> onMessage;
    std::function<void(core::VmId)> onLost;   // the last session with a VM ended
    std::function<void(core::LogRecord)> log; // also called by send()
};

struct PeerMeshCounts
{
    std::uint64_t bytesSent = 0; // sealed frames, without WebSocket and TCP headers
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejected = 0; // connections that failed the handshake or broke the protocol
    std::uint64_t heartbeatsDropped = 0; // removed from full queues, or not queued
    std::size_t connected = 0;           // VMs with a session
    std::size_t connectedByFirstKey = 0; // those authenticated with the first key
};

class PeerMesh
{
public:
    PeerMesh(PeerMeshOptions options, PeerMeshHooks hooks);
    ~PeerMesh(); // calls stop()
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // Starts to listen. Unavailable: the address can't be bound.
    absl::Status start();
    void stop();

    // Dials these VMs except this one. Sessions with VMs that are no longer listed
    // are closed. A VM that dials is accepted even if it is not listed yet.
    void setPeers(std::vector<core::Vm> peers);

    // Closes sessions at once whose key is not among `keys`. Sessions that this VM
    // dialled with a key that is no longer the first are replaced without
    // interruption. `keys` must not be empty.
    void setKeys(std::vector<PeerKey> keys);

    // Queues a message; never blocks. Returns false if there is no session with the
    // VM, if the message is too long, or if the VM's queue is full even after its
    // queued heartbeats are dropped; the last two are logged unless the message is a
    // heartbeat. True does not guarantee delivery.
    bool send(const core::VmId &to, const core::Message &message);
    // The same for several VMs; the message is encoded once.
    void send(const std::vector<core::VmId> &to, const core::Message &message);

    PeerMeshCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace bluebellshift::shell
