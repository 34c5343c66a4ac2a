#include "bluebellshift/gateway/fleet.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {

Fleet::Fleet(const GatewayOptions &options, std::function<void(core::LogRecord)> log)
    : options_(options)
    , log_(std::move(log))
{
}

void Fleet::put(const VmEntry &entry, Revision revision, Instant now, Origin origin)
{
    const auto [position, isNew] = entries_.try_emplace(entry.id);
    Peer &peer = position->second;
    const bool isRestarted = !isNew && peer.entry.incarnation != entry.incarnation;
    peer.entry = entry;
    peer.revision = revision;
    ++version_;
    if (isNew || isRestarted) {
        peer.hash = hashText(entry.id.text());
        peer.listedAt = origin == Origin::Store ? now : now - newVmGrace;
        if (peer.incarnation != entry.incarnation) {
            peer.isDisconnected = false;
            peer.reportedAt = Instant::never();
            replaceUses(peer, {});
            peer.report.isLeaving = false; // that was said by the run before
        }
    }
}

void Fleet::setRevision(const VmId &vm, Revision revision)
{
    const auto found = entries_.find(vm);
    if (found != entries_.end())
        found->second.revision = revision;
}

void Fleet::remove(const VmId &vm)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end())
        return;
    replaceUses(found->second, {});
    setLive(found->second, false, "it left the registry");
    entries_.erase(found);
    ++version_;
}

Fleet::ReportResult Fleet::onReport(const VmId &from, Incarnation incarnation,
                                    const VmReport &report, Instant now, Duration age)
{
    const auto found = entries_.find(from);
    if (found == entries_.end())
        return ReportResult::Ignored; // its next report is accepted once it is registered
    Peer &peer = found->second;
    const bool isSameRun = peer.incarnation == incarnation;
    if (isSameRun && report.sequence <= peer.report.sequence)
        return ReportResult::Ignored;
    // Of a VM that restarted, reports of its earlier run may still be passed on.
    if (!isSameRun && incarnation == peer.earlierIncarnation)
        return ReportResult::Ignored;
    replaceUses(peer, report.uses);
    if (!peer.report.isLeaving && report.isLeaving) {
        log_({ core::log::peerLeaving, { { "vm", from.text() } } });
        ++version_;
        ++lossCount_;
    }
    if (!isSameRun) {
        ++version_;
        peer.earlierIncarnation = peer.incarnation;
    }
    peer.report = report;
    peer.incarnation = incarnation;
    peer.reportedAt = now - age;
    peer.isDisconnected = false;
    setLive(peer, isLive(peer, now), "it reports");
    return isSameRun ? ReportResult::Accepted : ReportResult::First;
}

void Fleet::onDisconnected(const VmId &vm, Instant now)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end())
        return;
    found->second.isDisconnected = true;
    replaceUses(found->second, {});
    setLive(found->second, false, "its connection ended");
}

void Fleet::onContactLost(const VmId &vm, Instant now)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end() || found->second.reportedAt == Instant::never())
        return;
    Peer &peer = found->second;
    peer.reportedAt = std::min(peer.reportedAt, now - (livenessTimeout - reconnectTime));
}

void Fleet::onTimer(Instant now)
{
    for (auto &[id, peer] : entries_) {
        if (peer.wasLive && !isLive(peer, now)) {
            replaceUses(peer, {});
            setLive(peer, false, "silence");
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

std::vector<VmId> Fleet::livePeers(Instant now) const
{
    std::vector<VmId> live;
    for (const auto &[id, peer] : entries_) {
        if (isLive(peer, now))
            live.push_back(id);
    }
    return live;
}

bool Fleet::isLive(const VmId &vm, Instant now) const
{
    const auto found = entries_.find(vm);
    return found != entries_.end() && isLive(found->second, now);
}

bool Fleet::isLiveInOtherRun(const VmEntry &entry, Instant now) const
{
    const auto found = entries_.find(entry.id);
    return found != entries_.end() && found->second.incarnation != entry.incarnation
        && isLive(found->second, now);
}

bool Fleet::isUsable(const VmId &vm, Instant now) const
{
    const auto found = entries_.find(vm);
    if (found == entries_.end())
        return false;
    const Peer &peer = found->second;
    const bool isNewVm = peer.reportedAt == Instant::never() && now - peer.listedAt < newVmGrace;
    return (isLive(peer, now) || isNewVm) && !peer.report.isLeaving;
}

RelayedReports Fleet::latestReports(Instant now) const
{
    RelayedReports latest;
    for (const auto &[id, peer] : entries_) {
        if (!isLive(peer, now))
            continue;
        const auto age = static_cast<std::uint32_t>((now - peer.reportedAt).toMillis());
        latest.reports.push_back({ id, peer.incarnation, age, peer.report });
    }
    return latest;
}

void Fleet::setOwnerCandidates(std::vector<VmId> candidates)
{
    ownerCandidates_ = std::move(candidates);
    ++version_;
}

std::vector<std::pair<VmId, Revision>> Fleet::staleEntries(Duration silence, Instant now) const
{
    std::vector<std::pair<VmId, Revision>> stale;
    if (isPartitioned(now))
        return stale;
    for (const auto &[id, peer] : entries_) {
        if (now - std::max(peer.reportedAt, peer.listedAt) > silence)
            stale.emplace_back(id, peer.revision);
    }
    return stale;
}

std::vector<Endpoint> Fleet::addressesFor(const RegionId &region, const FailureDomainId &domain,
                                          bool isSelfReady, bool isStoreLost, Instant now) const
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
    const bool partitioned = isStoreLost && isPartitioned(now);
    for (const auto &[id, peer] : entries_) {
        const bool isNewVm = peer.reportedAt == Instant::never() && !peer.isDisconnected
            && now - peer.listedAt < newVmGrace;
        const bool isServing = isLive(peer, now) ? peer.report.isReady && !peer.report.isLeaving
                                                 : isNewVm || partitioned;
        if (isServing)
            add(peer.entry);
    }
    std::vector<Endpoint> &chosen = inDomain.size() >= minAddressesInDomain ? inDomain
        : !inRegion.empty()                                                 ? inRegion
                                                                            : elsewhere;
    if (chosen.size() > maxAddresses)
        chosen.resize(maxAddresses);
    return chosen;
}

std::size_t Fleet::freshReaders(Duration maxAge, Instant now) const
{
    std::size_t fresh = 0;
    for (const auto &[id, peer] : entries_)
        fresh += isFreshReader(peer, maxAge, now) ? 1 : 0;
    return fresh;
}

Instant Fleet::freshReadersEnd(Duration maxAge, Instant now) const
{
    Instant end = Instant::never();
    for (const auto &[id, peer] : entries_) {
        if (!isFreshReader(peer, maxAge, now))
            continue;
        const Instant until = peer.reportedAt + maxAge
            - Duration::millis(peer.report.storeAgeMillis) + Duration::micros(1);
        end = end == Instant::never() ? until : std::max(end, until);
    }
    return end;
}

Instant Fleet::readersConfirmedAt(Instant now) const
{
    Instant latest = Instant::never();
    for (const auto &[id, peer] : entries_) {
        if (peer.report.readsStore && isLive(peer, now))
            latest =
                std::max(latest, peer.reportedAt - Duration::millis(peer.report.storeAgeMillis));
    }
    return latest;
}

bool Fleet::isFirstReader(std::uint64_t seed, Duration maxAge, Instant now) const
{
    const std::uint64_t own = mixHashes(hashText(options_.vm.id.text()), seed);
    return std::none_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return mixHashes(entry.second.hash, seed) < own && isFreshReader(entry.second, maxAge, now);
    });
}

StoreRevision Fleet::changeRevision(std::size_t registry, StoreEra era, Instant now) const
{
    StoreRevision newest;
    for (const auto &[id, peer] : entries_) {
        if (!isLive(peer, now) || registry >= peer.report.registryRevisions.size())
            continue;
        const Revision revision(peer.report.registryRevisions[registry]);
        const StoreEra told = peer.report.storeEra;
        newest = core::newerOf(newest, { told == StoreEra() ? era : told, revision });
    }
    return newest;
}

std::uint64_t Fleet::newestConfigVersion(Instant now) const
{
    std::uint64_t newest = 0;
    for (const auto &[id, peer] : entries_) {
        if (isLive(peer, now))
            newest = std::max(newest, peer.report.configVersion);
    }
    return newest;
}

int Fleet::othersInFlight(std::uint32_t target) const
{
    const auto found = inFlight_.find(target);
    return found == inFlight_.end() ? 0 : found->second;
}

Duration Fleet::meanReportAge(Instant now) const
{
    std::int64_t micros = 0;
    std::int64_t reports = 0;
    for (const auto &[id, peer] : entries_) {
        if (!isLive(peer, now))
            continue;
        micros += (now - peer.reportedAt).toMicros();
        ++reports;
    }
    return Duration::micros(micros / std::max<std::int64_t>(1, reports));
}

std::size_t Fleet::liveVmsInRegion(Instant now) const
{
    return 1
        + static_cast<std::size_t>(std::count_if(
            entries_.begin(), entries_.end(), [&](const auto &entry) {
                return entry.second.entry.region == options_.vm.region && isLive(entry.second, now);
            }));
}

std::vector<double> Fleet::regionRequests(Instant now) const
{
    std::vector<double> requests;
    for (const auto &[id, peer] : entries_) {
        if (peer.entry.region != options_.vm.region || !isLive(peer, now))
            continue;
        const std::vector<std::uint32_t> &sent = peer.report.regionRequests;
        requests.resize(std::max(requests.size(), sent.size()), 0);
        for (std::size_t i = 0; i < sent.size(); ++i)
            requests[i] += sent[i];
    }
    return requests;
}

std::map<RegionId, double> Fleet::requestsByRegion(Instant now) const
{
    std::map<RegionId, double> requests;
    for (const auto &[id, peer] : entries_) {
        if (isLive(peer, now))
            requests[peer.entry.region] += peer.report.arrivedRequests;
    }
    return requests;
}

double Fleet::failedRequests(Instant now) const
{
    double failed = 0;
    for (const auto &[id, peer] : entries_) {
        if (isLive(peer, now))
            failed += peer.report.failedRequests;
    }
    return failed;
}

std::map<RegionId, double> Fleet::regionShares() const
{
    const double one = 1.0 / static_cast<double>(vmCount());
    std::map<RegionId, double> shares { { options_.vm.region, one } };
    for (const auto &[id, peer] : entries_)
        shares[peer.entry.region] += one;
    return shares;
}

std::size_t Fleet::rankFor(std::uint64_t seed, Instant now) const
{
    const std::uint64_t own = mixHashes(hashText(options_.vm.id.text()), seed);
    std::size_t before = 0;
    for (const auto &[id, peer] : entries_) {
        if (isLive(peer, now) && mixHashes(peer.hash, seed) < own)
            ++before;
    }
    return before;
}

// Without the time in which silent VMs count, all VMs of a fleet that has just started would have
// rank 0. Afterwards each side of a partition has a part of the bound in proportion to its VMs, so
// that an isolated VM can still use targets that stay cold.
ColdSenderRank Fleet::coldSenderRank(std::uint64_t target, Instant now) const
{
    ColdSenderRank rank;
    const std::uint64_t own = mixHashes(hashText(options_.vm.id.text()), target);
    std::size_t counted = 1;
    for (const auto &[id, peer] : entries_) {
        const Instant countedUntil = std::max(peer.reportedAt, peer.listedAt) + senderTimeout;
        if (now >= countedUntil) {
            rank.since = std::max(rank.since, countedUntil);
            continue;
        }
        ++counted;
        if (mixHashes(peer.hash, target) < own)
            ++rank.position;
    }
    rank.fleetShare = static_cast<double>(counted) / static_cast<double>(vmCount());
    return rank;
}

SenderRank Fleet::senderRank(std::uint32_t target, const RegionId &region, Instant now) const
{
    SenderRank rank;
    rank.isInRegion = options_.vm.region == region;
    ++(rank.isInRegion ? rank.inRegion : rank.elsewhere);
    const std::uint64_t own = mixHashes(hashText(options_.vm.id.text()), target);
    const bool partitioned = isPartitioned(now);
    for (const auto &[id, peer] : entries_) {
        const bool isSilent = now - std::max(peer.reportedAt, peer.listedAt) >= senderTimeout;
        if (peer.report.isLeaving || (isSilent && !partitioned))
            continue;
        const bool isInRegion = peer.entry.region == region;
        ++(isInRegion ? rank.inRegion : rank.elsewhere);
        if (isInRegion == rank.isInRegion && mixHashes(peer.hash, target) < own)
            ++rank.position;
    }
    return rank;
}

std::optional<VmId> Fleet::accountOwner(std::uint32_t team, bool isSelfLeaving, Instant now) const
{
    std::optional<VmId> owner;
    std::uint64_t least = mixHashes(hashText(options_.vm.id.text()), team);
    bool isAny = !isSelfLeaving;
    const auto consider = [&](const VmId &id, const Peer &peer) {
        if (!isLive(peer, now) || peer.report.isLeaving)
            return;
        const std::uint64_t rank = mixHashes(peer.hash, team);
        if (isAny && rank >= least)
            return;
        isAny = true;
        least = rank;
        owner = id;
    };
    if (!ownerCandidates_) {
        for (const auto &[id, peer] : entries_)
            consider(id, peer);
        return owner;
    }
    const VmId &self = options_.vm.id;
    isAny = isAny
        && std::find(ownerCandidates_->begin(), ownerCandidates_->end(), self)
            != ownerCandidates_->end();
    for (const VmId &candidate : *ownerCandidates_) {
        if (const auto found = entries_.find(candidate); found != entries_.end())
            consider(candidate, found->second);
    }
    return owner;
}

const TeamAdmission *Fleet::admissionOf(const VmId &owner, std::uint32_t team) const
{
    const auto found = entries_.find(owner);
    if (found == entries_.end())
        return nullptr;
    for (const TeamAdmission &admission : found->second.report.admissions) {
        if (admission.team == team)
            return &admission;
    }
    return nullptr;
}

double Fleet::liveShare(Instant now) const
{
    std::size_t live = 1;
    for (const auto &[id, peer] : entries_)
        live += isLive(peer, now) ? 1 : 0;
    return static_cast<double>(live) / static_cast<double>(vmCount());
}

double Fleet::settledShare(bool isSelfYoung, Instant now) const
{
    std::size_t settled = isSelfYoung ? 0 : 1;
    for (const auto &[id, peer] : entries_)
        settled += isLive(peer, now) && !peer.report.isYoung ? 1 : 0;
    return static_cast<double>(settled) / static_cast<double>(vmCount());
}

bool Fleet::isLive(const Peer &peer, Instant now) const
{
    return !peer.isDisconnected && now - peer.reportedAt < livenessTimeout;
}

bool Fleet::isFreshReader(const Peer &peer, Duration maxAge, Instant now) const
{
    const Duration age = Duration::millis(peer.report.storeAgeMillis) + (now - peer.reportedAt);
    return isLive(peer, now) && peer.report.readsStore && age <= maxAge;
}

bool Fleet::isPartitioned(Instant now) const
{
    std::size_t known = 0;
    std::size_t live = 0;
    for (const auto &[id, peer] : entries_) {
        if (now - peer.listedAt < newVmGrace)
            continue;
        ++known;
        live += isLive(peer, now) ? 1 : 0;
    }
    return known > 0 && static_cast<double>(live) < minLiveFraction * static_cast<double>(known);
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

void Fleet::setLive(Peer &peer, bool isLive, const char *reason)
{
    if (peer.wasLive == isLive)
        return;
    peer.wasLive = isLive;
    ++version_;
    if (!isLive && !peer.report.isLeaving)
        ++lossCount_;
    log_({ isLive ? core::log::peerAlive : core::log::peerSuspected,
           { { "vm", peer.entry.id.text() }, { "reason", reason } } });
}

} // namespace bluebellshift::gateway
