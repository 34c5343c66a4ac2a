// Runs a whole fleet of gateways in virtual time, with messages between them that take time
// and can be held up, and counts them.
//
//   FleetWalk walk({ /*vmCount=*/100, /*domainCount=*/9, /*seed=*/1 });
//   walk.run(Duration::seconds(5));
//   walk.kill(3, true);
//
// Each VM has a store of its own that knows all VMs, or all share one that knows what they write.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "bluebellshift/gateway/testing/gatewaybench.h"

namespace bluebellshift::gateway::testing {

struct FleetShape
{
    std::size_t vmCount = 12;
    std::size_t domainCount = 6; // three to a region
    std::uint64_t seed = 1;
};

class FleetWalk
{
public:
    static constexpr Duration step = Duration::millis(20);

    explicit FleetWalk(const FleetShape &shape);
    // The VMs share a store. Each starts with a candidate of its own for their secret.
    FleetWalk(const FleetShape &shape, StoreModel &store);

    void run(Duration time);
    // Stops a VM. Its connections close, or are silent if it is not noticed.
    void kill(std::size_t vm, bool isNoticed);
    // Starts a VM that has been killed, as its next incarnation. The store is shared.
    void restart(std::size_t vm);
    // Whether a message from one VM to another is delivered.
    void setPath(std::function<bool(std::size_t from, std::size_t to)> isOpen)
    {
        isOpen_ = std::move(isOpen);
    }

    Instant now() const { return now_; }
    std::size_t size() const { return vms_.size(); }
    GatewayBench &vm(std::size_t index) { return *vms_[index]; }
    const VmEntry &entry(std::size_t index) const { return entries_[index]; }
    bool isAlive(std::size_t index) const { return !isDead_[index]; }
    std::size_t indexOf(const VmId &vm) const { return index_.at(vm); }
    // The indexes of the VMs that send reports of others in the latest second.
    std::vector<std::size_t> relays() const;
    // The number of VMs that this VM takes for live, including itself.
    std::size_t liveVms(std::size_t index);
    // Whether a look-up at `index` names the VM `other`.
    bool names(std::size_t index, std::size_t other);

    // Counts since the last call of resetCounts().
    void resetCounts();
    std::size_t messagesSent(std::size_t index) const { return sent_[index]; }
    std::size_t messagesReceived(std::size_t index) const { return received_[index]; }

private:
    struct InTransit
    {
        Instant at;
        std::size_t to;
        EventBody event;
    };

    void deliver();

    StoreModel *const sharedStore_; // or null
    std::vector<GatewayOptions> options_;
    std::vector<std::unique_ptr<GatewayBench>> vms_;
    std::vector<VmEntry> entries_;
    std::map<VmId, std::size_t> index_;
    std::map<Duration, std::deque<InTransit>> inTransit_; // by delay, so that each is in order
    Instant now_ = Instant::fromMicros(1'000'000'000);
    std::vector<bool> isDead_;
    std::vector<std::size_t> sent_;
    std::vector<std::size_t> received_;
    std::vector<Instant> relayedAt_;
    std::function<bool(std::size_t, std::size_t)> isOpen_;
};

} // namespace bluebellshift::gateway::testing
