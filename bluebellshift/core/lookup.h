// Look-ups: which VMs a caller should use for a service.
//
//   SnapshotBuilder builder;
//   std::shared_ptr<const SteeringSnapshot> snapshot = builder.build(bundle, vms);
//   LookupAnswer answer = snapshot->lookup(ServiceId("rota"), address);
//   for (std::size_t i = 0; i < answer.count; ++i)
//       use(*answer.vms[i]);
//
// A snapshot never changes. A look-up takes no lock and allocates nothing.
// base::SnapshotCell hands snapshots to the threads that read them.
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

// VMs named in one answer: those in the caller's region and one in another.
inline constexpr std::size_t maxLocalLookupVms = 3;
inline constexpr std::size_t maxLookupVms = maxLocalLookupVms + 1;

// The most memory that a snapshot may take, all parts together.
inline constexpr std::size_t snapshotBytesMost = 64UL * 1024 * 1024;

// A VM that serves, with the share of callers it should get among its peers.
struct WeightedVm
{
    Vm vm;
    double weight = 1;
};

// Pointers are valid while the snapshot lives.
struct LookupAnswer
{
    bool serviceExists = false;
    std::size_t count = 0; // of `vms`, the first to be tried first; 0: no VM serves
    std::array<const WeightedVm *, maxLookupVms> vms {};
    Duration cacheTime;               // how long the caller may keep the answer
    const RegionId *region = nullptr; // of the caller's block; null: in no block
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

    std::vector<std::uint32_t> bucketEnds_; // for each upper half: ranges that start up to its end
    std::vector<std::uint32_t> starts_;     // ranges by first address; each ends at the next
    std::vector<std::uint16_t> regions_;    // the region of each range
};

// The order of VMs for one service and the callers of one region.
struct SiteTable;

class SteeringSnapshot
{
public:
    LookupAnswer lookup(const ServiceId &service, std::uint32_t clientAddress) const;
    // Everything that the snapshot refers to, parts shared with others included,
    // but for the bundle itself.
    std::size_t memoryBytes() const;
    std::size_t siteCount() const;

private:
    friend class SnapshotBuilder;
    struct ServiceEntry
    {
        Duration cacheTime;
        std::vector<std::shared_ptr<const SiteTable>> sites; // by region
    };

    BundlePointer bundle_;
    std::shared_ptr<const PrefixTable> prefixes_;
    std::vector<WeightedVm> vms_; // by slot; a slot may be empty
    std::unordered_map<ServiceId, ServiceEntry> services_;
};

// Builds snapshots; each reuses the parts of the one before that did not change.
class SnapshotBuilder
{
public:
    SnapshotBuilder();
    ~SnapshotBuilder();

    // `vms` are those that serve and aren't leaving; a VM in a region that the
    // bundle does not have is left out.
    std::shared_ptr<const SteeringSnapshot> build(BundlePointer bundle,
                                                  const std::vector<WeightedVm> &vms);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace bluebellshift::core
