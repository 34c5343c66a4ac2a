// A heartbeat echoes the newest sequence number that its sender received from this VM,
// so it was sent after this VM sent that message. Two incarnations of one VM are ordered
// in the same way: the later one echoes later sequences. A delayed heartbeat of a
// dead incarnation therefore neither marks it alive nor supersedes its successor.
#include "bluebellshift/core/membership.h"

#include <algorithm>

namespace bluebellshift::core {

namespace {

constexpr std::size_t maxSentInstants = 256;

std::optional<Instant> sentInstant(const Peer &peer, std::uint64_t sequence)
{
    if (sequence == 0 || sequence > peer.sentSequence)
        return std::nullopt;
    std::uint64_t offsetFromNewest = peer.sentSequence - sequence;
    if (offsetFromNewest >= peer.sentAt.size())
        return std::nullopt;
    return peer.sentAt[peer.sentAt.size() - 1 - offsetFromNewest];
}

} // namespace

Membership::Membership(const CoreOptions &options)
    : options_(options)
{
}

void Membership::setVms(const std::vector<Vm> &vms, Instant now)
{
    if (startedAt_ == Instant::never())
        startedAt_ = now;
    for (auto &[id, peer] : peers_)
        peer.isListed = false;
    for (const Vm &vm : vms) {
        if (vm.id == options_.vm)
            continue;
        Peer &peer = peers_[vm.id];
        peer.vm = vm;
        peer.isListed = true;
    }
    for (auto it = peers_.begin(); it != peers_.end();) {
        bool isKept = it->second.isListed || members_.count(it->first) != 0;
        bool isGone = !isKept && !isAlive(it->first, now);
        it = isGone ? peers_.erase(it) : std::next(it);
    }
}

void Membership::setMembers(const std::vector<VmId> &members)
{
    members_ = std::set<VmId>(members.begin(), members.end());
    members_.erase(options_.vm);
    for (const VmId &id : members_)
        peers_[id].vm.id = id;
}

std::uint64_t Membership::nextSequence(const VmId &to, Instant now)
{
    Peer &peer = peers_[to];
    peer.vm.id = to;
    peer.sentAt.push_back(now);
    if (peer.sentAt.size() > maxSentInstants)
        peer.sentAt.pop_front();
    return ++peer.sentSequence;
}

std::optional<Instant> Membership::onHeartbeat(const VmId &from, Incarnation incarnation,
                                               const Heartbeat &heartbeat, Instant now)
{
    auto it = peers_.find(from);
    if (it == peers_.end())
        return std::nullopt;
    Peer &peer = it->second;
    std::optional<Instant> sentAfter = sentInstant(peer, heartbeat.echoedSequence);
    if (peer.incarnation != incarnation) {
        bool isLater = sentAfter.has_value() && heartbeat.echoedSequence > peer.echoedSequence;
        if (!isLater && peer.incarnation != Incarnation())
            return std::nullopt;
        peer.incarnation = incarnation;
        peer.heardSequence = 0;
        peer.viewRevision = Revision();
    }
    if (heartbeat.sequence > peer.heardSequence) {
        peer.heardSequence = heartbeat.sequence;
        peer.heardAt = now;
        peer.viewRevision = std::max(peer.viewRevision, heartbeat.viewRevision);
        peer.isReady = heartbeat.isReady;
        peer.isLeaving = heartbeat.isLeaving;
        peer.requestsInFlight = heartbeat.requestsInFlight;
        peer.suspects = heartbeat.suspects;
    }
    if (sentAfter.has_value()) {
        peer.echoedSequence = std::max(peer.echoedSequence, heartbeat.echoedSequence);
        peer.lastKnownAliveAt = std::max(peer.lastKnownAliveAt, *sentAfter);
    }
    return sentAfter;
}

void Membership::onSequence(const VmId &from, Incarnation incarnation, std::uint64_t sequence,
                            Instant now)
{
    auto it = peers_.find(from);
    if (it == peers_.end() || it->second.incarnation != incarnation)
        return;
    if (sequence <= it->second.heardSequence)
        return;
    it->second.heardSequence = sequence;
    it->second.heardAt = now;
}

void Membership::onPeerLost(const VmId &vm)
{
    // The connection may be restored at once; a failed VM is suspected when its
    // heartbeats time out.
}

const Peer *Membership::find(const VmId &vm) const
{
    auto it = peers_.find(vm);
    return it == peers_.end() ? nullptr : &it->second;
}

PeerStatus Membership::status(const VmId &vm, Instant now) const
{
    const Peer *peer = find(vm);
    if (peer == nullptr || peer->lastKnownAliveAt == Instant::never())
        return PeerStatus::Unheard;
    bool isHeard = now - peer->heardAt < options_.suspicionTimeout;
    bool hasRecentEcho =
        now - peer->lastKnownAliveAt < options_.suspicionTimeout + options_.heartbeatInterval;
    return isHeard && hasRecentEcho ? PeerStatus::Alive : PeerStatus::Suspected;
}

bool Membership::isSuperseded(const VmId &vm, Incarnation incarnation) const
{
    if (vm == options_.vm)
        return incarnation != options_.incarnation;
    const Peer *peer = find(vm);
    if (peer == nullptr || peer->lastKnownAliveAt == Instant::never())
        return false;
    return peer->incarnation != incarnation;
}

std::vector<VmId> Membership::serving(Instant now) const
{
    std::vector<VmId> result;
    for (const auto &[id, peer] : peers_) {
        if (isAlive(id, now) && peer.isReady && !peer.isLeaving && !peer.vm.isLeaving)
            result.push_back(id);
    }
    return result;
}

std::vector<VmId> Membership::suspects(Instant now) const
{
    std::vector<VmId> result;
    bool isSettled = startedAt_ != Instant::never()
        && now - startedAt_ > options_.suspicionTimeout + options_.heartbeatInterval;
    for (const auto &[id, peer] : peers_) {
        PeerStatus status = this->status(id, now);
        bool isMissing = status == PeerStatus::Unheard && isSettled;
        if (status == PeerStatus::Suspected || isMissing)
            result.push_back(id);
    }
    return result;
}

} // namespace bluebellshift::core
