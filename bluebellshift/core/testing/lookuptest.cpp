#include <cmath>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

#include "bluebellshift/core/lookup.h"

using namespace bluebellshift::core;

namespace {

const char *const regionNames[] = { "kpk", "punjab", "sindh" };

std::vector<WeightedVm> makeVms(int count)
{
    std::vector<WeightedVm> vms;
    for (int i = 0; i < count; ++i) {
        Vm vm;
        vm.id = VmId("vm-" + std::to_string(i));
        vm.region = RegionId(regionNames[i % 3]);
        vms.push_back({ vm, 1 });
    }
    return vms;
}

std::shared_ptr<Bundle> makeBundle()
{
    auto bundle = std::make_shared<Bundle>();
    for (const char *name : regionNames)
        bundle->regions.push_back({ RegionId(name), 100, 1.0 / 3, {} });
    for (const char *name : { "rota", "fund" }) {
        Service service;
        service.id = ServiceId(name);
        service.cacheTime = Duration::seconds(7);
        bundle->services.push_back(service);
    }
    bundle->clientBlocks = { { 0x0a000000, 8, RegionId("punjab") },
                             { 0x0a010000, 16, RegionId("sindh") },
                             { 0x0a010200, 24, RegionId("kpk") } };
    return bundle;
}

std::string firstVm(const SteeringSnapshot &snapshot, std::uint32_t address)
{
    const LookupAnswer answer = snapshot.lookup(ServiceId("rota"), address);
    return answer.count == 0 ? "" : answer.vms[0]->vm.id.text();
}

// Reference implementation: a linear search for the longest block that contains the
// address.
std::uint16_t referenceFind(const std::vector<ClientBlock> &blocks,
                            const std::vector<Region> &regions, std::uint32_t address)
{
    const ClientBlock *best = nullptr;
    for (const ClientBlock &block : blocks) {
        const std::uint64_t mask = ~((1ULL << (32 - block.prefixLength)) - 1);
        const bool contains = (address & mask) == block.address;
        if (contains && (best == nullptr || block.prefixLength > best->prefixLength))
            best = &block;
    }
    for (std::size_t i = 0; best != nullptr && i < regions.size(); ++i) {
        if (regions[i].id == best->region)
            return static_cast<std::uint16_t>(i);
    }
    return PrefixTable::noRegion;
}

} // namespace

TEST_GROUP(Lookup) {};

TEST(Lookup, LongestPrefixDecidesTheRegion)
{
    SnapshotBuilder builder;
    const auto snapshot = builder.build(makeBundle(), makeVms(12));
    const struct
    {
        std::uint32_t address;
        const char *region; // null: in no block
    } cases[] = {
        { 0x09ffffff, nullptr }, { 0x0a000000, "punjab" }, { 0x0a010000, "sindh" },
        { 0x0a0101ff, "sindh" }, { 0x0a010200, "kpk" },    { 0x0a0102ff, "kpk" },
        { 0x0a010300, "sindh" }, { 0x0a020000, "punjab" }, { 0x0affffff, "punjab" },
        { 0x0b000000, nullptr }, { 0xffffffff, nullptr },  { 0, nullptr },
    };
    for (const auto &c : cases) {
        const LookupAnswer answer = snapshot->lookup(ServiceId("rota"), c.address);
        LONGS_EQUAL(maxLookupVms, answer.count);
        CHECK(answer.cacheTime == Duration::seconds(7));
        CHECK_EQUAL(c.region != nullptr, answer.region != nullptr);
        if (c.region == nullptr)
            continue;
        STRCMP_EQUAL(c.region, answer.region->text().c_str());
        for (std::size_t i = 0; i < maxLocalLookupVms; ++i)
            STRCMP_EQUAL(c.region, answer.vms[i]->vm.region.text().c_str());
        CHECK(answer.vms[maxLocalLookupVms]->vm.region.text() != c.region);
    }
    CHECK(!snapshot->lookup(ServiceId("none"), 0).serviceExists);
}

TEST(Lookup, RandomBlocksAgreeWithALinearSearch)
{
    std::mt19937_64 random(7);
    const auto bundle = makeBundle();
    for (int round = 0; round < 50; ++round) {
        std::vector<ClientBlock> blocks;
        std::set<std::pair<std::uint32_t, int>> seen;
        for (int i = 0; i < 60; ++i) {
            const int length = static_cast<int>(random() % 33);
            // Few distinct bits, so that blocks nest.
            const auto bits = static_cast<std::uint32_t>(random() & 0xe0c00003);
            const auto address = static_cast<std::uint32_t>(bits & ~((1ULL << (32 - length)) - 1));
            if (seen.insert({ address, length }).second)
                blocks.push_back({ address, length, RegionId(regionNames[random() % 3]) });
        }
        const PrefixTable table(blocks, bundle->regions);
        for (int i = 0; i < 400; ++i) {
            std::uint32_t address = static_cast<std::uint32_t>(random());
            if (i % 2 == 0) // next to the start of a block
                address = blocks[random() % blocks.size()].address + random() % 3 - 1;
            LONGS_EQUAL(referenceFind(blocks, bundle->regions, address), table.find(address));
        }
    }
}

TEST(Lookup, OnlyCallersOfARemovedVmMove)
{
    SnapshotBuilder builder;
    const auto bundle = makeBundle();
    auto vms = makeVms(12);
    const auto before = builder.build(bundle, vms);
    const std::string removedId = vms[4].vm.id.text();
    vms.erase(vms.begin() + 4);
    const auto after = builder.build(bundle, vms);
    SnapshotBuilder otherBuilder;
    const auto rebuilt = otherBuilder.build(bundle, vms);
    int moved = 0;
    for (std::uint32_t address = 0x0a000000; address < 0x0a400000; address += 0x100) {
        const std::string first = firstVm(*before, address);
        const std::string next = firstVm(*after, address);
        // Any VM that builds from the same list gives the same answer, whatever it
        // built before.
        STRCMP_EQUAL(firstVm(*rebuilt, address).c_str(), next.c_str());
        if (first != removedId) {
            STRCMP_EQUAL(first.c_str(), next.c_str());
            continue;
        }
        ++moved;
        const LookupAnswer answer = before->lookup(ServiceId("rota"), address);
        STRCMP_EQUAL(answer.vms[1]->vm.id.text().c_str(), next.c_str());
    }
    CHECK(moved > 0);
}

TEST(Lookup, CallersFollowTheWeights)
{
    auto vms = makeVms(12); // four in each region
    vms[1].weight = 3;      // in punjab, with 4, 7 and 10
    SnapshotBuilder builder;
    const auto snapshot = builder.build(makeBundle(), vms);
    std::map<std::string, int> counts;
    int all = 0;
    for (std::uint32_t address = 0x0a400000; address < 0x0ac00000; address += 0x100) {
        ++counts[firstVm(*snapshot, address)];
        ++all;
    }
    DOUBLES_EQUAL(3.0 / 6, static_cast<double>(counts["vm-1"]) / all, 0.02);
    DOUBLES_EQUAL(1.0 / 6, static_cast<double>(counts["vm-4"]) / all, 0.02);
}

TEST(Lookup, ARegionWithoutVmsIsServedByTheOthers)
{
    auto vms = makeVms(12);
    const auto isPunjab = [](const WeightedVm &vm) { return vm.vm.region.text() == "punjab"; };
    vms.erase(std::remove_if(vms.begin(), vms.end(), isPunjab), vms.end());
    SnapshotBuilder builder;
    std::map<std::string, int> counts;
    const auto snapshot = builder.build(makeBundle(), vms);
    for (std::uint32_t address = 0x0a400000; address < 0x0a500000; address += 0x100) {
        const LookupAnswer answer = snapshot->lookup(ServiceId("rota"), address);
        CHECK(answer.count > maxLocalLookupVms);
        ++counts[answer.vms[0]->vm.region.text()];
    }
    LONGS_EQUAL(2, counts.size());
    CHECK(counts["kpk"] > 1500 && counts["sindh"] > 1500);
    LONGS_EQUAL(0, builder.build(makeBundle(), {})->lookup(ServiceId("rota"), 0).count);
}
