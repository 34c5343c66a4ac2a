#include "bluebellshift/gateway/fleet.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

Fleet::Fleet(const GatewayOptions &options, std::function<void(core::LogRecord)> log)
    : options_(options)
    , log_(std::move(log))
{
}

void Fleet::put(const VmEntry &entry, Revision revision, Instant now)
{
    const auto [position, isNew] = entries_.try_emplace(entry.id);
    Peer &peer = position->second;
    const bool isRestarted = !isNew && peer.entry.incarnation != entry.incarnation;
    peer.entry = entry;
    peer.revision = revision;
    ++version_;
    if (isNew || isRestarted) {
        peer.hash = hashText(entry.id.text());
        peer.listedAt = now;
        if (peer.incarnation != entry.incarnation) {
            peer.isLost = false;
            peer.heardAt = Instant::never();
            replaceUses(peer, {});
        }
    }
}

void Fleet::remove(const VmId &vm)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end())
        return;
    replaceUses(found->second, {});
    noteHeard(found->second, false, "it left the registry");
    entries_.erase(found);
    ++version_;
}

bool Fleet::onReport(const VmId &from, Incarnation incarnation, const VmReport &report, Instant now)
{
    const auto found = entries_.find(from);
    if (found == entries_.end())
        return false; // it will speak again once the registry names it
    Peer &peer = found->second;
    const bool isSameRun = peer.incarnation == incarnation;
    if (isSameRun && report.sequence <= peer.report.sequence)
        return false;
    replaceUses(peer, report.uses);
    if (!peer.report.isLeaving && report.isLeaving) {
        log_({ core::log::peerLeaving, { { "vm", from.text() } } });
        ++version_;
    }
    if (!isSameRun)
        ++version_;
    peer.report = report;
    peer.incarnation = incarnation;
    peer.heardAt = now;
    peer.isLost = false;
    noteHeard(peer, true, "it reports");
    return !isSameRun;
}

void Fleet::onLost(const VmId &vm, Instant now)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end())
        return;
    found->second.isLost = true;
    replaceUses(found->second, {});
    noteHeard(found->second, false, "its connection ended");
}

void Fleet::onTimer(Instant now)
{
    for (auto &[id, peer] : entries_) {
        if (peer.wasHeard && !isHeard(peer, now)) {
            replaceUses(peer, {});
            noteHeard(peer, false, "silence");
        }
    }
}

std::vector<VmEntry> Fleet::peers() const
{
    std::vector<VmEntry> all;
    for (const auto &[id, peer] : entries_)
        all.push_back(peer.entry);
    return all;
}

std::vector<VmId> Fleet::heardPeers(Instant now) const
{
    std::vector<VmId> heard;
    for (const auto &[id, peer] : entries_) {
        if (isHeard(peer, now))
            heard.push_back(id);
    }
    return heard;
}

std::vector<std::pair<VmId, Revision>> Fleet::staleEntries(Duration silence, Instant now) const
{
    std::vector<std::pair<VmId, Revision>> stale;
    if (isCutOff(now))
        return stale;
    for (const auto &[id, peer] : entries_) {
        if (now - std::max(peer.heardAt, peer.listedAt) > silence)
            stale.emplace_back(id, peer.revision);
    }
    return stale;
}

std::vector<Endpoint> Fleet::addressesFor(const RegionId &region, const FailureDomainId &domain,
                                          bool isSelfReady, Instant now) const
{
    std::vector<Endpoint> inDomain;
    std::vector<Endpoint> inRegion;
    std::vector<Endpoint> elsewhere;
    const auto add = [&](const VmEntry &vm) {
        if (vm.failureDomain == domain)
            inDomain.push_back(vm.callers);
        (vm.region == region ? inRegion : elsewhere).push_back(vm.callers);
    };
    if (isSelfReady)
        add(options_.vm);
    const bool cutOff = isCutOff(now);
    for (const auto &[id, peer] : entries_) {
        const bool isNewcomer =
            peer.heardAt == Instant::never() && !peer.isLost && now - peer.listedAt < newcomerTime;
        const bool isServing = isHeard(peer, now) ? peer.report.isReady && !peer.report.isLeaving
                                                  : isNewcomer || cutOff;
        if (isServing)
            add(peer.entry);
    }
    std::vector<Endpoint> &chosen = inDomain.size() >= addressesWanted ? inDomain
        : !inRegion.empty()                                            ? inRegion
                                                                       : elsewhere;
    if (chosen.size() > addressesMost)
        chosen.resize(addressesMost);
    return chosen;
}

std::size_t Fleet::freshReaders(Duration ageMost, Instant now) const
{
    std::size_t fresh = 0;
    for (const auto &[id, peer] : entries_) {
        const Duration age = Duration::millis(peer.report.storeAgeMillis) + (now - peer.heardAt);
        fresh += isHeard(peer, now) && peer.report.readsStore && age <= ageMost ? 1 : 0;
    }
    return fresh;
}

std::uint64_t Fleet::newsRevision(std::size_t registry, Instant now) const
{
    std::uint64_t newest = 0;
    for (const auto &[id, peer] : entries_) {
        if (isHeard(peer, now) && registry < peer.report.registryRevisions.size())
            newest = std::max(newest, peer.report.registryRevisions[registry]);
    }
    return newest;
}

int Fleet::othersInFlight(std::uint32_t target) const
{
    const auto found = inFlight_.find(target);
    return found == inFlight_.end() ? 0 : found->second;
}

std::size_t Fleet::heardInRegion(Instant now) const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
                   return entry.second.entry.region == options_.vm.region
                       && isHeard(entry.second, now);
               }));
}

double Fleet::regionPart() const
{
    const auto others = std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry.second.entry.region == options_.vm.region;
    });
    return static_cast<double>(others + 1) / static_cast<double>(vmCount());
}

std::size_t Fleet::rankFor(std::uint64_t target, Instant now) const
{
    const std::uint64_t own = mixHashes(hashText(options_.vm.id.text()), target);
    std::size_t before = 0;
    for (const auto &[id, peer] : entries_) {
        if (isHeard(peer, now) && mixHashes(peer.hash, target) < own)
            ++before;
    }
    return before;
}

std::optional<VmId> Fleet::accountKeeper(std::uint32_t team, bool isSelfLeaving, Instant now) const
{
    std::optional<VmId> keeper;
    std::uint64_t least = mixHashes(hashText(options_.vm.id.text()), team);
    bool isAny = !isSelfLeaving;
    for (const auto &[id, peer] : entries_) {
        if (!isHeard(peer, now) || peer.report.isLeaving)
            continue;
        const std::uint64_t rank = mixHashes(peer.hash, team);
        if (isAny && rank >= least)
            continue;
        isAny = true;
        least = rank;
        keeper = id;
    }
    return keeper;
}

const TeamAdmission *Fleet::admissionOf(const VmId &keeper, std::uint32_t team) const
{
    const auto found = entries_.find(keeper);
    if (found == entries_.end())
        return nullptr;
    for (const TeamAdmission &admission : found->second.report.admissions) {
        if (admission.team == team)
            return &admission;
    }
    return nullptr;
}

double Fleet::heardPart(Instant now) const
{
    std::size_t heard = 1;
    for (const auto &[id, peer] : entries_)
        heard += isHeard(peer, now) ? 1 : 0;
    return static_cast<double>(heard) / static_cast<double>(vmCount());
}

double Fleet::settledPart(bool isSelfYoung, Instant now) const
{
    std::size_t settled = isSelfYoung ? 0 : 1;
    for (const auto &[id, peer] : entries_)
        settled += isHeard(peer, now) && !peer.report.isYoung ? 1 : 0;
    return static_cast<double>(settled) / static_cast<double>(vmCount());
}

bool Fleet::isHeard(const Peer &peer, Instant now) const
{
    return !peer.isLost && now - peer.heardAt < silenceMost;
}

bool Fleet::isCutOff(Instant now) const
{
    std::size_t known = 0;
    std::size_t heard = 0;
    for (const auto &[id, peer] : entries_) {
        if (now - peer.listedAt < newcomerTime)
            continue;
        ++known;
        heard += isHeard(peer, now) ? 1 : 0;
    }
    return known > 0 && static_cast<double>(heard) < heardLeast * static_cast<double>(known);
}

void Fleet::replaceUses(Peer &peer, const std::vector<TargetUse> &uses)
{
    for (const TargetUse &use : peer.report.uses) {
        const auto found = inFlight_.find(use.target);
        if (found == inFlight_.end())
            continue;
        found->second -= use.inFlight;
        if (found->second <= 0)
            inFlight_.erase(found);
    }
    peer.report.uses = uses;
    for (const TargetUse &use : uses)
        inFlight_[use.target] += use.inFlight;
}

void Fleet::noteHeard(Peer &peer, bool isHeard, const char *reason)
{
    if (peer.wasHeard == isHeard)
        return;
    peer.wasHeard = isHeard;
    ++version_;
    log_({ isHeard ? core::log::peerAlive : core::log::peerSuspected,
           { { "vm", peer.entry.id.text() }, { "reason", reason } } });
}

} // namespace bluebellshift::gateway
