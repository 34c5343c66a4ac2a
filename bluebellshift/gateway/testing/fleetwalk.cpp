#include "bluebellshift/gateway/testing/fleetwalk.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::gateway::testing {
namespace {

constexpr std::size_t domainsPerRegion = 3;
constexpr Duration delayInDomain = Duration::millis(1);
constexpr Duration delayInRegion = Duration::millis(4);
constexpr Duration delayBetweenRegions = Duration::millis(36);

std::string regionName(std::size_t domain)
{
    return "region-" + std::to_string(domain / domainsPerRegion);
}

Duration delayBetween(const VmEntry &from, const VmEntry &to)
{
    if (from.failureDomain == to.failureDomain)
        return delayInDomain;
    return from.region == to.region ? delayInRegion : delayBetweenRegions;
}

// The options of all VMs.
std::vector<GatewayOptions> optionsOf(const FleetShape &shape)
{
    GatewayOptions options = sampleOptions();
    options.regionOf.clear();
    for (std::size_t domain = 0; domain < shape.domainCount; ++domain) {
        options.regionOf[FailureDomainId("domain-" + std::to_string(domain))] =
            RegionId(regionName(domain));
    }
    std::vector<GatewayOptions> all;
    for (std::size_t i = 0; i < shape.vmCount; ++i) {
        const std::size_t domain = i % std::max<std::size_t>(1, shape.domainCount);
        options.vm.id = VmId("vm-" + std::to_string(shape.seed) + "-" + std::to_string(i));
        options.vm.failureDomain = FailureDomainId("domain-" + std::to_string(domain));
        options.vm.region = RegionId(regionName(domain));
        options.vm.callers = { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) };
        options.vm.peers = { "10.0.0.2", static_cast<std::uint16_t>(1000 + i) };
        all.push_back(options);
    }
    return all;
}

std::string candidateOf(std::size_t vm, Incarnation incarnation)
{
    return fmt::format("{:032x}{:032x}", vm + 1, incarnation.number());
}

} // namespace

FleetWalk::FleetWalk(const FleetShape &shape)
    : sharedStore_(nullptr)
    , options_(optionsOf(shape))
    , isDead_(shape.vmCount)
    , sent_(shape.vmCount)
    , received_(shape.vmCount)
    , relayedAt_(shape.vmCount, Instant::never())
    , isOpen_([](std::size_t, std::size_t) { return true; })
{
    for (const GatewayOptions &one : options_) {
        index_[one.vm.id] = entries_.size();
        entries_.push_back(one.vm);
    }
    const auto config = sampleConfig();
    for (const GatewayOptions &one : options_) {
        vms_.push_back(std::make_unique<GatewayBench>(one));
        vms_.back()->begin(config, sampleTargets(6), entries_, Duration());
    }
    now_ = vms_.front()->now();
}

FleetWalk::FleetWalk(const FleetShape &shape, StoreModel &store)
    : sharedStore_(&store)
    , options_(optionsOf(shape))
    , vms_(shape.vmCount)
    , isDead_(shape.vmCount, true)
    , sent_(shape.vmCount)
    , received_(shape.vmCount)
    , relayedAt_(shape.vmCount, Instant::never())
    , isOpen_([](std::size_t, std::size_t) { return true; })
{
    for (const GatewayOptions &one : options_) {
        index_[one.vm.id] = entries_.size();
        entries_.push_back(one.vm);
    }
    for (std::size_t i = 0; i < vms_.size(); ++i)
        restart(i);
}

void FleetWalk::restart(std::size_t vm)
{
    GatewayOptions &options = options_[vm];
    options.vm.incarnation = Incarnation(options.vm.incarnation.number() + 1);
    options.peerKeyCandidate = candidateOf(vm, options.vm.incarnation);
    entries_[vm] = options.vm;
    for (auto &[delay, messages] : inTransit_) {
        messages.erase(std::remove_if(messages.begin(), messages.end(),
                                      [&](const InTransit &one) { return one.to == vm; }),
                       messages.end());
    }
    vms_[vm] = std::make_unique<GatewayBench>(options, *sharedStore_, now_);
    isDead_[vm] = false;
    vms_[vm]->start();
}

void FleetWalk::run(Duration time)
{
    for (Duration passed; passed < time; passed = passed + step) {
        deliver();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (!isDead_[i])
                vms_[i]->advance(step);
        }
        now_ = now_ + step;
    }
}

void FleetWalk::deliver()
{
    for (std::size_t from = 0; from < vms_.size(); ++from) {
        std::vector<Outgoing> outgoing = vms_[from]->takeOutgoing();
        if (isDead_[from])
            continue;
        for (Outgoing &message : outgoing) {
            const std::size_t to = indexOf(message.to);
            if (std::holds_alternative<PeerReportsRelayed>(message.event))
                relayedAt_[from] = now_;
            ++sent_[from];
            if (isDead_[to] || !isOpen_(from, to))
                continue;
            const Duration delay = delayBetween(entries_[from], entries_[to]);
            inTransit_[delay].push_back({ now_ + delay, to, std::move(message.event) });
        }
    }
    for (auto &[delay, messages] : inTransit_) {
        while (!messages.empty() && messages.front().at <= now_) {
            InTransit one = std::move(messages.front());
            messages.pop_front();
            if (isDead_[one.to])
                continue;
            ++received_[one.to];
            vms_[one.to]->reduce(std::move(one.event));
        }
    }
}

void FleetWalk::kill(std::size_t vm, bool isNoticed)
{
    isDead_[vm] = true;
    vms_[vm]->store().disconnect(vms_[vm]->storeClient());
    for (std::size_t i = 0; i < vms_.size() && isNoticed; ++i) {
        const auto &peers = vms_[i]->peers();
        const auto &ownPeers = vms_[vm]->peers();
        const auto has = [](const std::vector<VmEntry> &list, const VmId &id) {
            return std::any_of(list.begin(), list.end(),
                               [&](const VmEntry &one) { return one.id == id; });
        };
        if (!isDead_[i] && (has(peers, entries_[vm].id) || has(ownPeers, entries_[i].id)))
            vms_[i]->reduce(PeerDisconnected { entries_[vm].id });
    }
}

std::vector<std::size_t> FleetWalk::relays() const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        const bool isRelay =
            relayedAt_[i] != Instant::never() && now_ - relayedAt_[i] <= Duration::seconds(1);
        if (isRelay && !isDead_[i])
            found.push_back(i);
    }
    return found;
}

std::size_t FleetWalk::liveVms(std::size_t index)
{
    return vms_[index]->reducer().readings(vms_[index]->now()).liveVms;
}

bool FleetWalk::names(std::size_t index, std::size_t other)
{
    const VmEntry &vm = entries_[other];
    const auto addresses =
        vms_[index]->reducer().addressesFor(vm.region, vm.failureDomain, vms_[index]->now());
    return std::any_of(addresses.begin(), addresses.end(),
                       [&](const Endpoint &one) { return one == vm.callers; });
}

void FleetWalk::resetCounts()
{
    std::fill(sent_.begin(), sent_.end(), 0);
    std::fill(received_.begin(), received_.end(), 0);
}

} // namespace bluebellshift::gateway::testing
