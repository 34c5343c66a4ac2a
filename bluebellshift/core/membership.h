// Tracks which VMs are alive, suspected or leaving, from their heartbeats and the
// platform's list of VMs, which lags.
//
//   std::uint64_t sequence = membership.nextSequence(peer, now);
//   membership.onHeartbeat(peer, incarnation, heartbeat, now);
//   for (const VmId &vm : membership.serving(now)) ...
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/message.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

enum class PeerStatus {
    Unheard,   // listed, but no heartbeat since this VM started
    Alive,     // recent heartbeats echo recent messages of this VM
    Suspected, // no heartbeat, or no echo, arrived recently enough
};

// The state of a peer, from its newest heartbeat.
struct Peer
{
    Vm vm;
    bool isListed = false;
    Incarnation incarnation;                     // the newest known; 0: none
    Instant lastKnownAliveAt = Instant::never(); // it was alive at or after this instant
    std::uint64_t sentSequence = 0;
    std::uint64_t heardSequence = 0;
    Instant heardAt = Instant::never();
    std::uint64_t echoedSequence = 0;
    std::deque<Instant> sentAt; // of the newest messages sent; the last is that of sentSequence
    Revision viewRevision;
    bool isReady = false;
    bool isLeaving = false;
    std::uint32_t requestsInFlight = 0;
    std::vector<VmId> suspects;
};

class Membership
{
public:
    explicit Membership(const CoreOptions &options);

    // Sets the platform's list of VMs; this VM in it is skipped. A VM that is no longer
    // listed is removed once it is no longer alive.
    void setVms(const std::vector<Vm> &vms, Instant now);
    // Sets the ledger's members, which are kept even if they aren't listed.
    void setMembers(const std::vector<VmId> &members);
    // Returns the sequence number for a message that is about to be sent.
    std::uint64_t nextSequence(const VmId &to, Instant now);
    // Returns the instant on this VM's clock after which the message was sent,
    // or nullopt when that is unknown: the sender is an earlier incarnation, or the
    // heartbeat echoes no message of this VM.
    std::optional<Instant> onHeartbeat(const VmId &from, Incarnation incarnation,
                                       const Heartbeat &heartbeat, Instant now);
    // Records the sequence number of a message other than a heartbeat.
    void onSequence(const VmId &from, Incarnation incarnation, std::uint64_t sequence, Instant now);
    // The connection was lost. The peer is suspected once its heartbeats time out.
    void onPeerLost(const VmId &vm);

    const Peer *find(const VmId &vm) const;
    const std::map<VmId, Peer> &peers() const { return peers_; }
    PeerStatus status(const VmId &vm, Instant now) const;
    bool isAlive(const VmId &vm, Instant now) const { return status(vm, now) == PeerStatus::Alive; }
    // Returns true when a later incarnation has replaced this incarnation of the VM.
    bool isSuperseded(const VmId &vm, Incarnation incarnation) const;
    // Returns the live peers that are ready and not leaving.
    std::vector<VmId> serving(Instant now) const;
    // Returns the listed VMs and members from which this VM receives no heartbeats.
    std::vector<VmId> suspects(Instant now) const;

private:
    CoreOptions options_;
    Instant startedAt_ = Instant::never();
    std::map<VmId, Peer> peers_;
    std::set<VmId> members_;
};

} // namespace bluebellshift::core
