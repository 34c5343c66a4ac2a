// Look-ups: the VMs that a caller should use for a service.
//
//   SnapshotBuilder builder;
//   std::shared_ptr<const SteeringSnapshot> snapshot = builder.build(bundle, vms);
//   LookupAnswer answer = snapshot->lookup(ServiceId("rota"), address);
//   for (std::size_t i = 0; i < answer.count; ++i)
//       use(*answer.vms[i]);
//
// Snapshots are immutable. A look-up takes no lock and allocates no memory.
// base::SnapshotCell passes snapshots to the threads that read them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bluebellshift/core/bundle.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::core {

// The number of VMs in one answer: those in the region of the caller, and one in
// another region.
inline constexpr std::size_t maxLocalLookupVms = 3;
inline constexpr std::size_t maxLookupVms = maxLocalLookupVms + 1;

// The memory limit of a snapshot with all its parts.
inline constexpr std::size_t maxSnapshotBytes = 64UL * 1024 * 1024;

// A serving VM and its weight in the distribution of callers.
struct WeightedVm
{
    Vm vm;
    double weight = 1;
};

// Pointers are valid while the snapshot lives.
struct LookupAnswer
{
    bool serviceExists = false;
    std::size_t count = 0; // of `vms`, in the order of preference; 0: no VM serves
    std::array<const WeightedVm *, maxLookupVms> vms {};
    Duration cacheTime;               // how long the caller may keep the answer
    const RegionId *region = nullptr; // of the caller's block; null if in no block
};

// Finds the region of an address by longest prefix.
class PrefixTable
{
public:
    PrefixTable(const std::vector<ClientBlock> &blocks, const std::vector<Region> &regions);

    static constexpr std::uint16_t noRegion = UINT16_MAX;
    // Returns the region's position in `regions`, or noRegion.
    std::uint16_t find(std::uint32_t address) const;
    std::size_t memoryBytes() const;

private:
    void addRange(std::uint64_t start, std::uint16_t region);
    void fillBuckets();

    std::vector<std::uint32_t>
        bucketEnds_; // for each upper 16 bits: number of ranges that start up to its end
    std::vector<std::uint32_t> starts_;  // ranges by first address; each ends at the next
    std::vector<std::uint16_t> regions_; // the region of each range
};

// The order of VMs for one service and the callers of one region.
struct VmOrderTable;

class SteeringSnapshot
{
public:
    LookupAnswer lookup(const ServiceId &service, std::uint32_t clientAddress) const;
    // The memory of all parts, including those shared with other snapshots, but
    // without the bundle.
    std::size_t memoryBytes() const;
    std::size_t tableCount() const;

private:
    friend class SnapshotBuilder;
    struct ServiceEntry
    {
        Duration cacheTime;
        std::vector<std::shared_ptr<const VmOrderTable>> sites; // by region
    };

    BundlePointer bundle_;
    std::shared_ptr<const PrefixTable> prefixes_;
    std::vector<WeightedVm> vms_; // by slot; a slot may be empty
    std::unordered_map<ServiceId, ServiceEntry> services_;
};

// Builds snapshots; each one reuses the unchanged parts of the previous one.
class SnapshotBuilder
{
public:
    SnapshotBuilder();
    ~SnapshotBuilder();

    // `vms` are the VMs that serve and are not leaving. VMs in regions that the
    // bundle does not contain are ignored.
    std::shared_ptr<const SteeringSnapshot> build(BundlePointer bundle,
                                                  const std::vector<WeightedVm> &vms);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace bluebellshift::core
