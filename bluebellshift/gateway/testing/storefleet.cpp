#include "bluebellshift/gateway/testing/storefleet.h"

#include <algorithm>

#include <fmt/format.h>

namespace bluebellshift::gateway::testing {
namespace {

// The rates that the store serves, for all VMs together.
constexpr int readsPerSecond(std::size_t vmCount)
{
    return vmCount < 100 ? 2000 : 6000;
}
constexpr int writesPerSecond(std::size_t vmCount)
{
    return vmCount < 100 ? 400 : 1200;
}
constexpr std::size_t smallestFleet = 12; // that has these rates

StoreModel::Options optionsFor(std::size_t vmCount, std::size_t pageSize)
{
    StoreModel::Options options;
    options.responseDelay = Duration::millis(4);
    options.era = StoreEra(1);
    options.pageSize = pageSize;
    options.staleness = Duration::millis(1500);
    options.readsPerSecond = readsPerSecond(vmCount);
    options.writesPerSecond = writesPerSecond(vmCount);
    return options;
}

StoreModel &withContent(StoreModel &store)
{
    const Instant start;
    store.put(Registry::Traffic, "main", TrafficConfigPointer(sampleConfig(1)), start);
    for (int i = 0; i < StoreFleet::targetCount; ++i) {
        const Target target = StoreFleet::target(i);
        store.put(Registry::Targets, target.id.text(), target, start);
    }
    return store;
}

} // namespace

StoreFleet::StoreFleet(std::size_t vmCount, std::uint64_t seed, std::size_t pageSize)
    : store_(optionsFor(vmCount, pageSize))
    , walk_({ vmCount, domainCount, seed }, withContent(store_))
{
    walk_.setPath([this](std::size_t from, std::size_t to) {
        const std::string &secret = walk_.vm(from).secretHex();
        return cut_.count(from) == 0 && cut_.count(to) == 0 && !secret.empty()
            && secret == walk_.vm(to).secretHex();
    });
}

void StoreFleet::putConfig(std::uint64_t version)
{
    store_.put(Registry::Traffic, "main", TrafficConfigPointer(sampleConfig(version)), now());
}

Target StoreFleet::target(int number)
{
    Target target = sampleTargets(number + 1).back();
    target.failureDomain = FailureDomainId(
        "domain-" + std::to_string(number % static_cast<int>(StoreFleet::domainCount)));
    target.startUnixMillis = 1'700'000'000'000 + number;
    return target;
}

void StoreFleet::putTarget(const Target &target)
{
    store_.put(Registry::Targets, target.id.text(), target, now());
}

void StoreFleet::removeTarget(const Target &target)
{
    store_.remove(Registry::Targets, target.id.text(), now());
}

void StoreFleet::setEvacuated(const FailureDomainId &domain, bool isEvacuated)
{
    if (isEvacuated)
        store_.put(Registry::Evacuations, domain.text(), EvacuationEntry {}, now());
    else
        store_.remove(Registry::Evacuations, domain.text(), now());
}

void StoreFleet::restore(const StoreModel::Copy &copy, Duration away, StoreModel::Fault fault)
{
    store_.restore(copy, now(), away, fault);
    run(away);
}

void StoreFleet::setCut(std::size_t vm, bool isCut)
{
    if (isCut)
        cut_.insert(vm);
    else
        cut_.erase(vm);
}

void StoreFleet::setStorePath(std::size_t vm, StoreModel::Fault fault)
{
    store_.setPath(walk_.vm(vm).storeClient(), fault, now());
}

std::uint64_t StoreFleet::versionOf(std::size_t vm)
{
    return walk_.vm(vm).reducer().readings(walk_.vm(vm).now()).configVersion;
}

std::set<TargetId> StoreFleet::targetsUsed(std::size_t vm, int count)
{
    GatewayBench &bench = walk_.vm(vm);
    std::set<TargetId> used;
    bench.takeSent();
    std::vector<std::uint64_t> open;
    for (int i = 0; i < count; ++i) {
        open.push_back(++request_);
        bench.request(request_, openPath);
    }
    // Answers let those that wait for a slot go on.
    for (std::vector<SendAttempt> sent = bench.takeSent(); !sent.empty(); sent = bench.takeSent()) {
        for (const SendAttempt &attempt : sent) {
            used.insert(attempt.target);
            bench.answer(attempt.request.number(), 200);
        }
    }
    for (const std::uint64_t id : open) // those without a target
        bench.reduce(CallerDisconnected { RequestId(id) });
    bench.takeEnded();
    bench.takeCancelled();
    return used;
}

std::size_t StoreFleet::linesAbout(std::size_t vm, const core::LogEvent &event,
                                   const TargetId &target)
{
    const auto &logs = walk_.vm(vm).logs();
    return static_cast<std::size_t>(std::count_if(logs.begin(), logs.end(), [&](const auto &line) {
        return line.event.number == event.number
            && std::any_of(line.fields.begin(), line.fields.end(), [&](const auto &field) {
                   return field.name == std::string("target") && field.value == target.text();
               });
    }));
}

bool StoreFleet::isRegistered(std::size_t vm) const
{
    const RegistryEntry *entry = store_.find(Registry::Vms, walk_.entry(vm).id.text());
    const auto *written = entry != nullptr ? std::get_if<VmEntry>(&entry->value) : nullptr;
    return written != nullptr && written->incarnation == walk_.entry(vm).incarnation;
}

std::string StoreFleet::storedSecret() const
{
    const RegistryEntry *entry = store_.find(Registry::PeerKeys, "current");
    const auto *key = entry != nullptr ? std::get_if<PeerKeyEntry>(&entry->value) : nullptr;
    return key != nullptr ? key->secretHex : std::string();
}

std::string StoreFleet::rateProblem() const
{
    const StoreModel::Rates &rates = store_.highestRates();
    const int share = static_cast<int>(std::max(size(), smallestFleet));
    const int reads = readsPerSecond(size());
    const int writes = writesPerSecond(size());
    if (rates.reads <= reads && rates.writes <= writes && rates.readsOfOne <= reads / share
        && rates.writesOfOne <= writes / share)
        return "";
    return fmt::format("{} reads and {} writes in a second, {} and {} of one VM", rates.reads,
                       rates.writes, rates.readsOfOne, rates.writesOfOne);
}

} // namespace bluebellshift::gateway::testing
