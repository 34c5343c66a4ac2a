// Relays are chosen twice: from the reports, which all VMs receive, so that all VMs agree on
// the relays that own accounts and read the store; and from this VM's own experience, for its
// neighbours, because a relay may be live for others and not reachable from here.
//
// update() costs one pass over the VMs of each domain; it allocates no more than the lists it
// returns. Everything else looks at contacts only, of which there are as many as connections.
#include "bluebellshift/gateway/overlay.h"

#include <algorithm>

#include "bluebellshift/gateway/hashing.h"

namespace bluebellshift::gateway {
namespace {

constexpr std::uint64_t relayRankSeed = 0x72656c6179; // arbitrary, but the same on every VM

std::uint64_t relayHash(const VmId &vm)
{
    return mixHashes(hashText(vm.text()), relayRankSeed);
}

bool hasSameVms(const std::vector<VmEntry> &a, const std::vector<VmEntry> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const VmEntry &one, const VmEntry &other) {
                          return one.id == other.id && one.peers == other.peers;
                      });
}

} // namespace

Overlay::Overlay(const VmEntry &self)
    : self_(self)
{
    byDomain_[self.failureDomain].push_back({ self, relayHash(self.id) });
}

void Overlay::put(const VmEntry &vm)
{
    remove(vm.id);
    vms_.emplace(vm.id, vm.failureDomain);
    std::vector<Member> &domain = byDomain_[vm.failureDomain];
    Member member { vm, relayHash(vm.id) };
    const auto position =
        std::lower_bound(domain.begin(), domain.end(), member.hash,
                         [](const Member &one, std::uint64_t hash) { return one.hash < hash; });
    domain.insert(position, std::move(member));
}

void Overlay::remove(const VmId &vm)
{
    const auto found = vms_.find(vm);
    if (found == vms_.end())
        return;
    std::vector<Member> &domain = byDomain_[found->second];
    domain.erase(std::remove_if(domain.begin(), domain.end(),
                                [&](const Member &one) { return one.entry.id == vm; }),
                 domain.end());
    if (domain.empty())
        byDomain_.erase(found->second);
    vms_.erase(found);
}

void Overlay::onDisconnected(const VmId &vm, Instant now)
{
    contacts_.erase(vm);
    if (const auto attempt = attempts_.find(vm); attempt != attempts_.end())
        attempt->second = { now, true, true };
}

// Judges the neighbours by what this VM heard from them, and forgets what is long past.
void Overlay::judgeAttempts(Instant now)
{
    for (auto &[vm, attempt] : attempts_) {
        if (attempt.isFailing && now - attempt.since >= retryInterval)
            attempt = { now, false, true };
        const auto contact = contacts_.find(vm);
        const bool isHeard = contact != contacts_.end() && contact->second.heardAt >= attempt.since;
        if (isHeard)
            attempt = { contact->second.heardAt, false, false };
        else if (!attempt.isFailing && now - attempt.since > silenceTimeout)
            attempt = { now, true, true };
    }
    for (auto contact = contacts_.begin(); contact != contacts_.end();) {
        const bool isOld = now - contact->second.heardAt > contactTimeout;
        contact = isOld ? contacts_.erase(contact) : std::next(contact);
    }
}

std::size_t Overlay::relaysPerDomain() const
{
    const std::size_t domains = byDomain_.size();
    return std::max(minRelaysPerDomain, (minRelays + domains - 1) / domains);
}

// The first VMs of a domain that may be relays, filled up with others.
std::vector<VmId> Overlay::relaysOf(const std::vector<Member> &domain,
                                    const std::function<bool(const Member &)> &mayRelay) const
{
    const std::size_t count = std::min(relaysPerDomain(), domain.size());
    std::vector<VmId> relays;
    for (const bool wantsUsable : { true, false }) {
        for (const Member &member : domain) {
            if (relays.size() < count && mayRelay(member) == wantsUsable)
                relays.push_back(member.entry.id);
        }
    }
    return relays;
}

// The first VMs of a domain that this VM hears, with those that it tries again, filled up
// with others.
void Overlay::addNeighboursOf(const std::vector<Member> &domain, std::vector<VmEntry> *all) const
{
    std::size_t missing = std::min(relaysPerDomain(), domain.size());
    std::vector<const Member *> failing;
    for (const Member &member : domain) {
        if (missing == 0)
            break;
        if (member.entry.id == self_.id) {
            --missing;
            continue;
        }
        const auto attempt = attempts_.find(member.entry.id);
        if (attempt != attempts_.end() && attempt->second.isFailing) {
            failing.push_back(&member);
            continue;
        }
        all->push_back(member.entry);
        if (attempt == attempts_.end() || !attempt->second.isRetry)
            --missing;
    }
    for (const Member *member : failing) {
        if (missing == 0)
            break;
        all->push_back(member->entry);
        --missing;
    }
}

bool Overlay::update(const std::function<bool(const VmId &)> &isUsable, bool isSelfUsable,
                     Instant now)
{
    judgeAttempts(now);
    const auto mayRelay = [&](const Member &member) {
        return member.entry.id == self_.id ? isSelfUsable : isUsable(member.entry.id);
    };
    std::vector<VmId> relays;
    for (const auto &[domain, members] : byDomain_) {
        if (usesRelays()) {
            for (VmId &vm : relaysOf(members, mayRelay))
                relays.push_back(std::move(vm));
        }
    }
    std::vector<VmEntry> neighbours;
    const bool isSelfRelay = std::find(relays.begin(), relays.end(), self_.id) != relays.end();
    const bool connectsToAll = isSelfRelay || isForwarding(now);
    for (const auto &[domain, members] : byDomain_) {
        if (usesRelays()) {
            if (connectsToAll || domain == self_.failureDomain)
                addNeighboursOf(members, &neighbours);
            continue;
        }
        for (const Member &member : members) {
            if (member.entry.id != self_.id)
                neighbours.push_back(member.entry);
        }
    }
    const bool hasChanged = relays != relays_ || !hasSameVms(neighbours, neighbours_);
    relays_ = std::move(relays);
    neighbours_ = std::move(neighbours);
    rememberAttempts(now);
    return hasChanged;
}

// Starts to judge new neighbours, and stops to judge those that are no longer needed.
void Overlay::rememberAttempts(Instant now)
{
    for (const VmEntry &vm : neighbours_) {
        if (usesRelays())
            attempts_.try_emplace(vm.id, Attempt { now, false, false });
    }
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
        const bool isNeeded = attempt->second.isFailing || isNeighbour(attempt->first);
        attempt = isNeeded ? std::next(attempt) : attempts_.erase(attempt);
    }
}

bool Overlay::isNeighbour(const VmId &vm) const
{
    return std::any_of(neighbours_.begin(), neighbours_.end(),
                       [&](const VmEntry &one) { return one.id == vm; });
}

std::optional<std::size_t> Overlay::relayRank(std::uint64_t seed) const
{
    bool isRelay = false;
    std::size_t before = 0;
    const std::uint64_t own = mixHashes(hashText(self_.id.text()), seed);
    for (const VmId &vm : relays_) {
        if (vm == self_.id)
            isRelay = true;
        else if (mixHashes(hashText(vm.text()), seed) < own)
            ++before;
    }
    return isRelay ? std::optional<std::size_t>(before) : std::nullopt;
}

bool Overlay::isForwarding(Instant now) const
{
    if (!usesRelays())
        return false;
    return std::find(relays_.begin(), relays_.end(), self_.id) != relays_.end()
        || !leaves(now).empty();
}

std::vector<VmId> Overlay::leaves(Instant now) const
{
    std::vector<VmId> all;
    for (const auto &[vm, contact] : contacts_) {
        if (contact.role == Role::Leaf && now - contact.heardAt <= contactTimeout)
            all.push_back(vm);
    }
    return all;
}

std::vector<VmId> Overlay::receivingLeaves(Instant now) const
{
    std::vector<VmId> all;
    for (const auto &[vm, contact] : contacts_) {
        if (contact.wantsReports && now - contact.heardAt <= contactTimeout)
            all.push_back(vm);
    }
    return all;
}

std::optional<VmId> Overlay::sendingRelay() const
{
    if (neighbours_.empty())
        return std::nullopt;
    const std::size_t first = hashText(self_.id.text()) % neighbours_.size();
    for (std::size_t i = 0; i < neighbours_.size(); ++i) {
        const VmId &vm = neighbours_[(first + i) % neighbours_.size()].id;
        const auto attempt = attempts_.find(vm);
        if (attempt != attempts_.end() && !attempt->second.isFailing && !attempt->second.isRetry)
            return vm;
    }
    return neighbours_[first].id;
}

std::vector<VmId> Overlay::otherRelays(Instant now) const
{
    std::vector<VmId> all;
    for (const VmEntry &vm : neighbours_) {
        const auto contact = contacts_.find(vm.id);
        if (contact == contacts_.end() || contact->second.role == Role::Relay)
            all.push_back(vm.id);
    }
    for (const auto &[vm, contact] : contacts_) {
        if (contact.role == Role::Relay && now - contact.heardAt <= contactTimeout
            && !isNeighbour(vm))
            all.push_back(vm);
    }
    return all;
}

} // namespace bluebellshift::gateway
