// Prefixes: the blocks are flattened into disjoint address ranges, each with the
// region of its longest prefix. A table over the upper 16 bits narrows a look-up
// to the few ranges that start there, and a binary search finds the range. This
// takes 4 MB at most for 270,000 blocks. A table over 24 bits would save the
// search but take 32 MB, half of the memory limit; a trie needs more steps and
// more memory.
//
// VMs: weighted rendezvous hashing. Callers are hashed to buckets by the upper 24
// bits of their address; for each bucket, each VM of the region draws a score,
// and the best three are kept. Removing a VM changes only the buckets that
// contained it. The orders are precomputed: with 96 VMs in a region, hashing all
// of them in each look-up would take about half a microsecond. The number of
// buckets decreases as the number of tables grows, so that all tables together
// stay near 6 MB.
//
// The fourth VM is in another region, so that an answer survives the failure of
// its region. It is the first VM of the other region's own table, which costs no
// memory.
//
// A change of one VM rebuilds only the tables of its region.
#include "bluebellshift/core/lookup.h"

#include <algorithm>
#include <cmath>
#include <optional>

#define XXH_INLINE_ALL
#include "xxhash.h"

namespace bluebellshift::core {

struct VmOrderTable
{
    // The slots of the VMs for each bucket, best first; noSlot if there are
    // fewer.
    std::vector<std::array<std::uint16_t, maxLocalLookupVms>> orders;
};

namespace {

constexpr std::uint16_t noSlot = UINT16_MAX;
constexpr std::size_t maxTotalBuckets = 1 << 20;
constexpr std::size_t minBuckets = 256;
constexpr std::size_t maxBuckets = 16384;
constexpr int callerPrefixBits = 24; // callers with the same prefix get the same answer

std::uint64_t hashText(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashPair(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t pair[2] = { a, b };
    return XXH3_64bits(pair, sizeof pair);
}

std::uint64_t hashCaller(std::uint32_t address)
{
    const std::uint32_t block = address >> (32 - callerPrefixBits);
    return XXH3_64bits(&block, sizeof block);
}

// A power of two, so that masking the hash of the caller gives its bucket.
std::size_t bucketCount(std::size_t sites)
{
    std::size_t count = maxBuckets;
    while (count > minBuckets && count * sites > maxTotalBuckets)
        count /= 2;
    return count;
}

// A VM as input of the tables of one region.
struct Candidate
{
    std::uint16_t slot = noSlot;
    std::uint64_t hash = 0;
    double weight = 1;

    friend bool operator==(const Candidate &a, const Candidate &b)
    {
        return a.slot == b.slot && a.hash == b.hash && a.weight == b.weight;
    }
};

// Computes the score of a VM for a bucket; the lowest wins. With -ln(u)/w, a VM
// of weight w wins with probability w over the sum of the weights.
double score(const Candidate &candidate, std::uint64_t bucketHash, bool isWeighted)
{
    const std::uint64_t drawn = hashPair(candidate.hash, bucketHash);
    const double uniform = (static_cast<double>(drawn >> 11) + 0.5) / 9007199254740992.0; // 2^53
    if (!isWeighted)
        return 1 - uniform;
    return -std::log(uniform) / candidate.weight;
}

void insertIfBest(std::array<std::pair<double, std::uint16_t>, maxLocalLookupVms> &best,
                  double drawn, std::uint16_t slot)
{
    std::size_t place = maxLocalLookupVms;
    while (place > 0 && drawn < best[place - 1].first)
        --place;
    if (place == maxLocalLookupVms)
        return;
    for (std::size_t i = maxLocalLookupVms - 1; i > place; --i)
        best[i] = best[i - 1];
    best[place] = { drawn, slot };
}

std::shared_ptr<const VmOrderTable>
buildTable(std::uint64_t serviceHash, const std::vector<Candidate> &candidates, std::size_t buckets)
{
    auto table = std::make_shared<VmOrderTable>();
    if (candidates.empty())
        return table;
    const double firstWeight = candidates.front().weight;
    const bool isWeighted =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const Candidate &c) { return c.weight != firstWeight; });
    table->orders.resize(buckets);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        const std::uint64_t bucketHash = hashPair(serviceHash, bucket);
        std::array<std::pair<double, std::uint16_t>, maxLocalLookupVms> best;
        best.fill({ HUGE_VAL, noSlot });
        for (const Candidate &candidate : candidates)
            insertIfBest(best, score(candidate, bucketHash, isWeighted), candidate.slot);
        for (std::size_t i = 0; i < maxLocalLookupVms; ++i)
            table->orders[bucket][i] = best[i].second;
    }
    return table;
}

} // namespace

PrefixTable::PrefixTable(const std::vector<ClientBlock> &blocks, const std::vector<Region> &regions)
{
    std::unordered_map<RegionId, std::uint16_t> indexes;
    for (const Region &region : regions)
        indexes.emplace(region.id, static_cast<std::uint16_t>(indexes.size()));
    std::vector<const ClientBlock *> sorted;
    for (const ClientBlock &block : blocks)
        sorted.push_back(&block);
    std::sort(sorted.begin(), sorted.end(), [](const ClientBlock *a, const ClientBlock *b) {
        return a->address != b->address ? a->address < b->address
                                        : a->prefixLength < b->prefixLength;
    });

    struct Open
    {
        std::uint64_t end; // first address after the block
        std::uint16_t region;
    };
    std::vector<Open> open; // blocks that contain the current address, longest prefix last
    addRange(0, noRegion);
    const auto closeUntil = [&](std::uint64_t address) {
        while (!open.empty() && open.back().end <= address) {
            const std::uint64_t end = open.back().end;
            open.pop_back();
            addRange(end, open.empty() ? noRegion : open.back().region);
        }
    };
    for (const ClientBlock *block : sorted) {
        closeUntil(block->address);
        const std::uint64_t size = 1ULL << (32 - block->prefixLength);
        const auto found = indexes.find(block->region);
        open.push_back(
            { block->address + size, found == indexes.end() ? noRegion : found->second });
        addRange(block->address, open.back().region);
    }
    closeUntil(1ULL << 32);
    starts_.shrink_to_fit();
    regions_.shrink_to_fit();
    fillBuckets();
}

// Ranges are added in the order of their starts; a later range replaces an
// earlier one with the same start.
void PrefixTable::addRange(std::uint64_t start, std::uint16_t region)
{
    if (start > UINT32_MAX)
        return;
    if (!starts_.empty() && starts_.back() == start) {
        regions_.back() = region;
        return;
    }
    if (!regions_.empty() && regions_.back() == region)
        return;
    starts_.push_back(static_cast<std::uint32_t>(start));
    regions_.push_back(region);
}

void PrefixTable::fillBuckets()
{
    constexpr std::uint32_t bucketCount = 1 << 16;
    bucketEnds_.resize(bucketCount);
    std::size_t next = 0;
    for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket) {
        while (next < starts_.size() && (starts_[next] >> 16) == bucket)
            ++next;
        bucketEnds_[bucket] = static_cast<std::uint32_t>(next);
    }
}

std::uint16_t PrefixTable::find(std::uint32_t address) const
{
    const std::uint32_t bucket = address >> 16;
    const std::size_t first = bucket == 0 ? 0 : bucketEnds_[bucket - 1];
    const auto begin = starts_.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = starts_.begin() + bucketEnds_[bucket];
    const auto after = std::upper_bound(begin, end, address);
    // The last range of a previous bucket may extend into this one. Range 0
    // starts at address 0, so there is always one.
    return regions_[static_cast<std::size_t>(after - starts_.begin()) - 1];
}

std::size_t PrefixTable::memoryBytes() const
{
    return bucketEnds_.capacity() * sizeof bucketEnds_[0] + starts_.capacity() * sizeof starts_[0]
        + regions_.capacity() * sizeof regions_[0];
}

LookupAnswer SteeringSnapshot::lookup(const ServiceId &service, std::uint32_t clientAddress) const
{
    LookupAnswer answer;
    const auto found = services_.find(service);
    if (found == services_.end())
        return answer;
    const ServiceEntry &entry = found->second;
    answer.serviceExists = true;
    answer.cacheTime = entry.cacheTime;
    const std::size_t regionCount = entry.sites.size();
    if (regionCount == 0)
        return answer;

    const std::uint64_t caller = hashCaller(clientAddress);
    const std::uint16_t callerRegion = prefixes_->find(clientAddress);
    std::size_t region = callerRegion;
    if (callerRegion == PrefixTable::noRegion)
        region = (caller >> 32) % regionCount;
    else
        answer.region = &bundle_->regions[callerRegion].id;

    // The order of other regions depends on the caller, so that the callers of a
    // failed region spread over all the others.
    const std::size_t otherCount = std::max<std::size_t>(regionCount - 1, 1);
    const std::size_t offset = (caller >> 40) % otherCount;
    std::size_t remaining = maxLocalLookupVms;
    for (std::size_t i = 0; i < regionCount && answer.count < maxLookupVms && remaining > 0; ++i) {
        const std::size_t index =
            i == 0 ? region : (region + 1 + (offset + i - 1) % otherCount) % regionCount;
        const VmOrderTable &site = *entry.sites[index];
        if (site.orders.empty())
            continue;
        const auto &order = site.orders[caller & (site.orders.size() - 1)];
        for (std::size_t rank = 0; rank < remaining && order[rank] != noSlot; ++rank)
            answer.vms[answer.count++] = &vms_[order[rank]];
        remaining = remaining == maxLocalLookupVms ? 1 : 0; // one VM of another region
    }
    return answer;
}

std::size_t SteeringSnapshot::tableCount() const
{
    return services_.size() * (bundle_ == nullptr ? 0 : bundle_->regions.size());
}

std::size_t SteeringSnapshot::memoryBytes() const
{
    std::size_t bytes = sizeof *this + vms_.capacity() * sizeof vms_[0];
    for (const WeightedVm &vm : vms_) {
        for (const std::string *text :
             { &vm.vm.id.text(), &vm.vm.region.text(), &vm.vm.failureDomain.text(),
               &vm.vm.callers.address, &vm.vm.peers.address })
            bytes +=
                text->capacity() > 15 ? text->capacity() + 1 : 0; // beyond the small-string buffer
    }
    for (const auto &item : services_) {
        bytes += sizeof item + item.second.sites.capacity() * sizeof item.second.sites[0];
        for (const auto &site : item.second.sites)
            bytes += sizeof(VmOrderTable) + site->orders.capacity() * sizeof site->orders[0];
    }
    return bytes + (prefixes_ == nullptr ? 0 : prefixes_->memoryBytes());
}

// Slots persist between builds, so that the tables of unchanged regions stay
// valid.
struct SnapshotBuilder::State
{
    struct RegionState
    {
        std::vector<Candidate> candidates;
        std::map<ServiceId, std::shared_ptr<const VmOrderTable>> tables;
    };

    void assignSlots(const std::vector<WeightedVm> &vms);
    std::vector<Candidate> candidatesOf(const RegionId &region,
                                        const std::vector<WeightedVm> &vms) const;

    BundlePointer bundle;
    std::shared_ptr<const PrefixTable> prefixes;
    std::size_t buckets = 0;
    std::map<VmId, std::uint16_t> slots;
    std::vector<WeightedVm> vms;
    std::map<RegionId, RegionState> regions;
};

void SnapshotBuilder::State::assignSlots(const std::vector<WeightedVm> &serving)
{
    std::map<VmId, std::uint16_t> newSlots;
    std::vector<bool> isTaken(vms.size() + serving.size(), false);
    for (const WeightedVm &vm : serving) {
        const auto found = slots.find(vm.vm.id);
        if (found == slots.end())
            continue;
        newSlots.insert(*found);
        isTaken[found->second] = true;
    }
    std::size_t next = 0;
    for (const WeightedVm &vm : serving) {
        if (newSlots.count(vm.vm.id) > 0)
            continue;
        while (isTaken[next])
            ++next;
        isTaken[next] = true;
        newSlots.emplace(vm.vm.id, static_cast<std::uint16_t>(next));
    }
    slots = std::move(newSlots);
    std::size_t size = 0;
    for (const auto &item : slots)
        size = std::max<std::size_t>(size, item.second + 1U);
    vms.assign(size, WeightedVm());
    for (const WeightedVm &vm : serving)
        vms[slots[vm.vm.id]] = vm;
}

std::vector<Candidate>
SnapshotBuilder::State::candidatesOf(const RegionId &region,
                                     const std::vector<WeightedVm> &serving) const
{
    std::vector<Candidate> candidates;
    for (const WeightedVm &vm : serving) {
        if (vm.vm.region != region || vm.weight <= 0)
            continue;
        candidates.push_back({ slots.at(vm.vm.id), hashText(vm.vm.id.text(), 0), vm.weight });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.slot < b.slot; });
    return candidates;
}

SnapshotBuilder::SnapshotBuilder()
    : state_(std::make_unique<State>())
{
}

SnapshotBuilder::~SnapshotBuilder() = default;

std::shared_ptr<const SteeringSnapshot> SnapshotBuilder::build(BundlePointer bundle,
                                                               const std::vector<WeightedVm> &vms)
{
    State &state = *state_;
    if (state.bundle != bundle)
        state.prefixes = std::make_shared<PrefixTable>(bundle->clientBlocks, bundle->regions);
    state.bundle = bundle;
    const std::size_t buckets = bucketCount(bundle->services.size() * bundle->regions.size());
    const bool sameBuckets = buckets == state.buckets;
    state.buckets = buckets;
    state.assignSlots(vms);

    auto snapshot = std::make_shared<SteeringSnapshot>();
    snapshot->bundle_ = bundle;
    snapshot->prefixes_ = state.prefixes;
    snapshot->vms_ = state.vms;
    std::map<RegionId, State::RegionState> regions;
    for (const Region &region : bundle->regions) {
        State::RegionState &before = state.regions[region.id];
        State::RegionState &after = regions[region.id];
        after.candidates = state.candidatesOf(region.id, vms);
        const bool isSame = sameBuckets && after.candidates == before.candidates;
        for (const Service &service : bundle->services) {
            const auto found = before.tables.find(service.id);
            std::shared_ptr<const VmOrderTable> &table = after.tables[service.id];
            if (isSame && found != before.tables.end())
                table = found->second;
            else
                table = buildTable(hashText(service.id.text(), 1), after.candidates, buckets);
            SteeringSnapshot::ServiceEntry &entry = snapshot->services_[service.id];
            entry.cacheTime = service.cacheTime;
            entry.sites.push_back(table);
        }
    }
    state.regions = std::move(regions);
    return snapshot;
}

} // namespace bluebellshift::core
