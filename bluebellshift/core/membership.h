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
    Alive,     // a heartbeat arrived within the suspicion timeout
    Suspected, // the last heartbeat is older than that
};

// The state of a peer, from its newest heartbeat.
struct Peer
{
    Vm vm;
    bool isListed = false;
    Incarnation incarnation;                     // the newest that answered this VM; 0: none
    Instant lastKnownAliveAt = Instant::never(); // it was alive at or after this instant
    std::uint64_t sentSequence = 0;
    std::uint64_t heardSequence = 0;
    Instant heardAt = Instant::never();
    std::uint64_t echoedSequence = 0;
    std::deque<Instant> sentAt; // of the newest sequences, the last is sentSequence
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

    // The platform's list; `this` VM in it is skipped. A VM that is no longer
    // listed is forgotten once it is no longer heard.
    void setVms(const std::vector<Vm> &vms, Instant now);
    // The ledger's members, which are never removed, whether listed or not.
    void setMembers(const std::vector<VmId> &members);
    // The sequence number of a message about to be sent.
    std::uint64_t nextSequence(const VmId &to, Instant now);
    // Returns the instant on this VM's clock after which the message was sent,
    // or nullopt when that is unknown: the sender is an earlier incarnation, or the
    // heartbeat echoes no message of this VM.
    std::optional<Instant> onHeartbeat(const VmId &from, Incarnation incarnation,
                                       const Heartbeat &heartbeat, Instant now);
    // Notes the sequence of a message other than a heartbeat.
    void onSequence(const VmId &from, Incarnation incarnation, std::uint64_t sequence, Instant now);
    // The connection was lost. The peer is suspected once its heartbeats time out.
    void onPeerLost(const VmId &vm);

    const Peer *find(const VmId &vm) const;
    const std::map<VmId, Peer> &peers() const { return peers_; }
    PeerStatus status(const VmId &vm, Instant now) const;
    bool isAlive(const VmId &vm, Instant now) const { return status(vm, now) == PeerStatus::Alive; }
    // True when this incarnation of the VM has been replaced by a later one.
    bool isSuperseded(const VmId &vm, Incarnation incarnation) const;
    // Peers heard that are ready and not leaving.
    std::vector<VmId> serving(Instant now) const;
    // Listed VMs and members from which this VM receives no heartbeats.
    std::vector<VmId> suspects(Instant now) const;

private:
    CoreOptions options_;
    Instant startedAt_ = Instant::never();
    std::map<VmId, Peer> peers_;
    std::set<VmId> members_;
};

} // namespace bluebellshift::core
