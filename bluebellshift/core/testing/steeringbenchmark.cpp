// Measures costs for docs/CAPACITY.md: look-ups, building and changing a snapshot,
// its memory, and steering decisions. scripts/measure-capacity runs it.
#include <malloc.h>

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <benchmark/benchmark.h>

#include "bluebellshift/base/snapshotcell.h"
#include "bluebellshift/core/bundleparser.h"
#include "bluebellshift/core/lookup.h"
#include "bluebellshift/core/rollout.h"
#include "bluebellshift/core/rolloutcontroller.h"
#include "bluebellshift/core/trafficsteering.h"
#include "fmt/format.h"

using namespace bluebellshift;
using namespace bluebellshift::core;

namespace {

struct Size
{
    int blocks = 270000;
    int regions = 24;
    int services = 204; // with 24 regions: 4,896 sites
    int teams = 1000;
    int vms = 2300;
};

std::string regionName(int index)
{
    return fmt::format("region-{:02}", index);
}

std::string serviceName(int index)
{
    return fmt::format("service-{:03}", index);
}

std::shared_ptr<Bundle> makeBundle(const Size &size)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version = "1";
    for (int i = 0; i < size.regions; ++i)
        bundle->regions.push_back({ RegionId(regionName(i)), 1000, 1.0 / size.regions, {} });
    for (int i = 0; i < size.teams; ++i)
        bundle->teams.push_back({ TeamId(fmt::format("team-{:04}", i)), 100, 200 });
    for (int i = 0; i < size.services; ++i) {
        Service service;
        service.id = ServiceId(serviceName(i));
        service.shiftCapFraction = 0.1;
        for (int r = 0; r < size.regions; ++r)
            service.split.push_back({ RegionId(regionName(r)), 1.0 / size.regions });
        bundle->services.push_back(service);
    }
    std::mt19937 random(1);
    bundle->clientBlocks.reserve(static_cast<std::size_t>(size.blocks));
    for (int i = 0; i < size.blocks; ++i) {
        // Distinct blocks of /22, spread over the whole space.
        const auto address = static_cast<std::uint32_t>(
            (static_cast<std::uint64_t>(i) << 32) / 270000 & 0xfffffc00U);
        bundle->clientBlocks.push_back(
            { address, 22, RegionId(regionName(static_cast<int>(random() % size.regions))) });
    }
    return bundle;
}

std::vector<WeightedVm> makeVms(int count, int regions)
{
    std::vector<WeightedVm> vms;
    for (int i = 0; i < count; ++i) {
        Vm vm;
        vm.id = VmId(fmt::format("vm-{:04}", i));
        vm.region = RegionId(regionName(i % regions));
        vm.failureDomain = FailureDomainId(fmt::format("{}-{}", vm.region.text(), i % 3));
        vm.callers = { "10.100.200.100", 8080 };
        vm.peers = { "10.100.200.100", 9090 };
        vms.push_back({ vm, 1 });
    }
    return vms;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Look-ups of random addresses while another thread changes a VM and publishes a
// new snapshot `swaps` times a second.
void benchmarkLookUp(benchmark::State &state, const Size &size, int swaps)
{
    const BundlePointer bundle = makeBundle(size);
    std::vector<WeightedVm> vms = makeVms(size.vms, size.regions);
    SnapshotBuilder builder;
    base::SnapshotCell<SteeringSnapshot> cell;
    cell.publish(builder.build(bundle, vms));
    std::atomic<bool> stop { false };
    std::atomic<int> published { 0 };
    std::thread publisher([&] {
        if (swaps == 0)
            return;
        const WeightedVm last = vms.back();
        while (!stop) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1000 / swaps));
            if (published % 2 == 0)
                vms.pop_back();
            else
                vms.push_back(last);
            cell.publish(builder.build(bundle, vms));
            ++published;
        }
    });
    std::vector<ServiceId> services;
    for (int i = 0; i < size.services; ++i)
        services.push_back(ServiceId(serviceName(i)));
    std::uint64_t random = 1;
    while (state.KeepRunning()) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto address = static_cast<std::uint32_t>(random >> 32);
        const std::size_t service = (random >> 8) % services.size();
        benchmark::DoNotOptimize(cell.read()->lookup(services[service], address));
    }
    stop = true;
    publisher.join();
    state.SetItemsProcessed(state.iterations());
    state.counters["swaps"] = published.load();
}

void lookUpAtDesignSize(benchmark::State &state)
{
    benchmarkLookUp(state, Size(), 1);
}

void lookUpToday(benchmark::State &state)
{
    Size size;
    size.blocks = 10;
    size.regions = 3;
    size.services = 2;
    size.teams = 8;
    size.vms = 12;
    benchmarkLookUp(state, size, 1);
}

// Removes and adds one VM, which rebuilds the tables of its region.
void applyVmChange(benchmark::State &state)
{
    Size size;
    size.vms = static_cast<int>(state.range(0));
    const BundlePointer bundle = makeBundle(size);
    std::vector<WeightedVm> vms = makeVms(size.vms, size.regions);
    const WeightedVm last = vms.back();
    SnapshotBuilder builder;
    builder.build(bundle, vms);
    bool isPresent = true;
    while (state.KeepRunning()) {
        if (isPresent)
            vms.pop_back();
        else
            vms.push_back(last);
        isPresent = !isPresent;
        benchmark::DoNotOptimize(builder.build(bundle, vms));
    }
}

// Installs a bundle with other blocks, which rebuilds the prefix table but not the
// VM orders.
void applyBundleChange(benchmark::State &state)
{
    Size size;
    size.blocks = static_cast<int>(state.range(0));
    const BundlePointer bundles[2] = { makeBundle(size), makeBundle(size) };
    const std::vector<WeightedVm> vms = makeVms(size.vms, size.regions);
    SnapshotBuilder builder;
    builder.build(bundles[0], vms);
    std::size_t next = 1;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(builder.build(bundles[next], vms));
        next = 1 - next;
    }
}

void buildAll(benchmark::State &state)
{
    const Size size;
    const BundlePointer bundle = makeBundle(size);
    const std::vector<WeightedVm> vms = makeVms(size.vms, size.regions);
    while (state.KeepRunning()) {
        SnapshotBuilder builder;
        benchmark::DoNotOptimize(builder.build(bundle, vms));
    }
}

// Heap used by a bundle and its snapshot. Arguments: blocks, services, teams, VMs.
void memory(benchmark::State &state)
{
    Size size;
    size.blocks = static_cast<int>(state.range(0));
    size.services = static_cast<int>(state.range(1));
    size.teams = static_cast<int>(state.range(2));
    size.vms = static_cast<int>(state.range(3));
    double bundleBytes = 0;
    double snapshotBytes = 0;
    double allBytes = 0;
    while (state.KeepRunning()) {
        const double before = heapBytes();
        const BundlePointer bundle = makeBundle(size);
        bundleBytes = heapBytes() - before;
        SnapshotBuilder builder;
        const auto snapshot = builder.build(bundle, makeVms(size.vms, size.regions));
        allBytes = heapBytes() - before;
        snapshotBytes = static_cast<double>(snapshot->memoryBytes());
    }
    state.counters["bundle_bytes"] = bundleBytes;
    state.counters["snapshot_bytes"] = snapshotBytes;
    state.counters["heap_bytes"] = allBytes;
}

// The fraction of callers that move when each of 12 VMs is removed in turn.
void callersMoved(benchmark::State &state)
{
    Size size;
    size.blocks = 3000;
    size.regions = 3;
    size.services = 2;
    size.vms = 12;
    const BundlePointer bundle = makeBundle(size);
    const std::vector<WeightedVm> vms = makeVms(size.vms, size.regions);
    const ServiceId service(serviceName(0));
    double worstExtraMoved = 0;
    double worstImbalance = 0;
    while (state.KeepRunning()) {
        SnapshotBuilder builder;
        const auto before = builder.build(bundle, vms);
        for (const WeightedVm &removed : vms) {
            std::vector<WeightedVm> remaining;
            for (const WeightedVm &vm : vms) {
                if (vm.vm.id != removed.vm.id)
                    remaining.push_back(vm);
            }
            const auto after = builder.build(bundle, remaining);
            int ownCallers = 0;
            int moved = 0;
            int callers = 0;
            for (std::uint64_t address = 0; address < (1ULL << 32); address += 40960) {
                const auto caller = static_cast<std::uint32_t>(address);
                const VmId first = before->lookup(service, caller).vms[0]->vm.id;
                ownCallers += first == removed.vm.id ? 1 : 0;
                moved += first != after->lookup(service, caller).vms[0]->vm.id ? 1 : 0;
                ++callers;
            }
            worstExtraMoved = std::max(worstExtraMoved,
                                       std::abs(static_cast<double>(moved - ownCallers)) / callers);
            worstImbalance = std::max(
                worstImbalance, std::abs(static_cast<double>(ownCallers) / callers * size.vms - 1));
        }
    }
    state.counters["moved_beyond_own_share"] = worstExtraMoved;
    state.counters["largest_uneven_share"] = worstImbalance;
}

void regionOrder(benchmark::State &state)
{
    Size size;
    size.regions = static_cast<int>(state.range(0));
    size.services = 2;
    size.blocks = 10;
    const BundlePointer bundle = makeBundle(size);
    TrafficSteering steering(CoreOptions {}, TrafficSteeringHooks {});
    steering.onViewChanged(bundle, nullptr, firstRollout(*bundle, "", {}), {}, {}, Instant());
    const ServiceId service(serviceName(0));
    std::uint64_t random = 1;
    while (state.KeepRunning()) {
        random = random * 6364136223846793005ULL + 1;
        benchmark::DoNotOptimize(steering.regionOrder(service, random, Instant()));
    }
}

// The periodic work of TrafficSteering and RolloutController together.
void steeringTimer(benchmark::State &state)
{
    Size size;
    size.services = static_cast<int>(state.range(0));
    size.blocks = 10;
    const BundlePointer bundle = makeBundle(size);
    CoreOptions options;
    TrafficSteering steering(options, TrafficSteeringHooks());
    RolloutControllerHooks hooks;
    hooks.isInForceEverywhere = [](Revision, Instant) { return false; };
    hooks.unhealthyReason = [](Instant) { return std::nullopt; };
    hooks.unsettledRegions = [&steering]() { return steering.unsettledRegions(); };
    hooks.rank = [](Revision) { return 0; };
    hooks.newCall = []() { return CallId(1); };
    RolloutController controller(options, hooks);
    Rollout rollout = firstRollout(*bundle, "", {});
    rollout.state = RolloutState::Moving;
    steering.onViewChanged(bundle, nullptr, rollout, {}, {}, Instant());
    controller.onViewChanged(bundle, nullptr, rollout, Revision(1), Instant());
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(steering.onTimer(Instant()));
        benchmark::DoNotOptimize(controller.onTimer(Instant(), WallTime()));
    }
}

void rolloutCodec(benchmark::State &state)
{
    Size size;
    size.services = static_cast<int>(state.range(0));
    size.blocks = 10;
    const Rollout rollout = firstRollout(*makeBundle(size), "operator", {});
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        const std::string json = encodeRollout(rollout);
        bytes = json.size();
        benchmark::DoNotOptimize(decodeRollout(json));
    }
    state.counters["object_bytes"] = static_cast<double>(bytes);
}

void parseClientBlocks(benchmark::State &state)
{
    std::string toml;
    for (int i = 0; i < state.range(0); ++i) {
        toml += fmt::format("[[client_block]]\ncidr = \"10.{}.{}.0/24\"\nregion = \"punjab\"\n",
                            i / 256 % 256, i % 256);
    }
    while (state.KeepRunning())
        benchmark::DoNotOptimize(checkBundle(toml));
    state.counters["toml_bytes"] = static_cast<double>(toml.size());
}

BENCHMARK(lookUpAtDesignSize)->MinTime(5);
BENCHMARK(lookUpToday)->MinTime(3);
BENCHMARK(applyVmChange)->Arg(240)->Arg(1150)->Arg(2300)->Unit(benchmark::kMillisecond);
BENCHMARK(applyBundleChange)->Arg(30000)->Arg(90000)->Arg(270000)->Unit(benchmark::kMillisecond);
BENCHMARK(buildAll)->Unit(benchmark::kMillisecond);
BENCHMARK(memory)
    ->Args({ 270000, 204, 1000, 2300 })
    ->Args({ 135000, 204, 1000, 2300 })
    ->Args({ 270000, 102, 1000, 2300 })
    ->Args({ 270000, 204, 500, 2300 })
    ->Args({ 270000, 204, 1000, 1150 })
    ->Args({ 10, 2, 8, 12 })
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(callersMoved)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(regionOrder)->Arg(3)->Arg(24);
BENCHMARK(steeringTimer)->Arg(2)->Arg(204)->Unit(benchmark::kMicrosecond);
BENCHMARK(rolloutCodec)->Arg(2)->Arg(204)->Unit(benchmark::kMicrosecond);
BENCHMARK(parseClientBlocks)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
