// Connections between this VM and the others, over WebSocket.
//
//   PeerMesh mesh(options, hooks);
//   absl::Status status = mesh.start();
//   mesh.setPeers(vms);
//   mesh.send(vm, core::Heartbeat { ... });
//   mesh.stop();
//
// A VM dials each listed peer that it has no session with, so there is one
// session for each pair; it carries both directions. Both ends prove that they
// hold a common key before either takes or gives a message (peerhandshake.h),
// and every frame is encrypted and authenticated. docs/design/peers.md says why.
//
// An end that does not prove itself in time is closed, and only so many may be
// trying at once. A session that brings nothing for `idleTimeout` is closed and
// dialled anew.
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
    std::vector<PeerKey> keys; // the first signs, all verify
    int version = protocolVersion;
    int versionLeast = protocolVersionLeast;
    std::size_t queueBytesMost = 8 * 1024 * 1024; // for each peer; more than one message
    std::size_t handshakesMost = 64;              // ends that have not proved themselves
    core::Duration handshakeTimeout = core::Duration::seconds(2);
    core::Duration idleTimeout = core::Duration::seconds(5);
    core::Duration redialFirst = core::Duration::millis(100); // doubles at each failure
    core::Duration redialMost = core::Duration::seconds(2);
    core::Duration tickInterval = core::Duration::millis(50); // precision of the times above
    // The loop to run on, by whoever runs it; null: a thread of the mesh's own.
    boost::asio::io_context *loop = nullptr;
};

// Called on the mesh's thread or loop, but for `log`; must not block or call stop().
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
    std::uint64_t rejected = 0;          // ends that did not prove themselves
    std::uint64_t heartbeatsDropped = 0; // from full queues
    std::size_t connected = 0;           // VMs with a session
    std::size_t connectedByFirstKey = 0; // those whose session was proved under the first key
};

class PeerMesh
{
public:
    PeerMesh(PeerMeshOptions options, PeerMeshHooks hooks);
    ~PeerMesh(); // stops
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // Listens. Unavailable: the address can't be bound.
    absl::Status start();
    void stop();

    // Dials these VMs, this one left out. Sessions with VMs that are no longer
    // listed are closed; a VM that dials is accepted though it is not listed yet.
    void setPeers(std::vector<core::Vm> peers);

    // Sessions under a key that is not among `keys` are closed at once. Those
    // that this VM dialled under a key that is no longer the first are replaced
    // without a gap. `keys` must not be empty.
    void setKeys(std::vector<PeerKey> keys);

    // Queues a message; never blocks. False: there is no session with the VM, or,
    // which is logged, the message is too long or the VM's queue is full even
    // without its queued heartbeats. True promises no delivery.
    bool send(const core::VmId &to, const core::Message &message);

    PeerMeshCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace bluebellshift::shell
