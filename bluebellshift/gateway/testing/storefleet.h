// A fleet of gateways on one store that is restored from copies, with its operator and targets.
//
//   StoreFleet fleet(12, /*seed=*/1);
//   fleet.run(Duration::seconds(6));
//   const StoreModel::Copy copy = fleet.store().copy();
//   fleet.putConfig(2);
//   fleet.restore(copy);
//   fleet.run(StoreFleet::contact);
//   fleet.versionOf(0);
#pragma once

#include <set>
#include <string>
#include <vector>

#include "bluebellshift/gateway/testing/fleetwalk.h"
#include "bluebellshift/gateway/testing/storemodel.h"

namespace bluebellshift::gateway::testing {

class StoreFleet
{
public:
    // The users' bounds. After a disturbance the others hold again from `contact` on.
    static constexpr Duration contact = Duration::seconds(4);
    static constexpr Duration evacuationBound = Duration::seconds(5);
    static constexpr Duration lookupBound = Duration::seconds(7); // contact + 3 s
    // In which a configuration is in force, and in which a target that drains or left gets none.
    static constexpr Duration applyBoundOf(std::size_t vmCount)
    {
        return Duration::millis(vmCount < 100 ? 2500 : 3000);
    }
    static constexpr Duration awayTime = Duration::millis(300);
    static constexpr std::size_t domainCount = 6;
    static constexpr int targetCount = 12;

    StoreFleet(std::size_t vmCount, std::uint64_t seed, std::size_t pageSize = 0);

    StoreModel &store() { return store_; }
    FleetWalk &walk() { return walk_; }
    std::size_t size() const { return walk_.size(); }
    Instant now() const { return walk_.now(); }
    Duration applyBound() const { return applyBoundOf(size()); }
    void run(Duration time) { walk_.run(time); }

    // By the operator and the targets, who wait while the store is away.
    void putConfig(std::uint64_t version);
    static Target target(int number);
    void putTarget(const Target &target);
    void removeTarget(const Target &target);
    void setEvacuated(const FailureDomainId &domain, bool isEvacuated);

    // Restores the copy and waits until the store is back.
    void restore(const StoreModel::Copy &copy, Duration away = awayTime,
                 StoreModel::Fault fault = StoreModel::Fault::Refused);
    // Whether messages between two VMs pass; they also need the same secret.
    void setCut(std::size_t vm, bool isCut);
    bool isCut(std::size_t vm) const { return cut_.count(vm) > 0; }
    void setStorePath(std::size_t vm, StoreModel::Fault fault);

    std::uint64_t versionOf(std::size_t vm);
    // Sends `count` requests to a VM at once, answers them, and returns the targets that got one.
    std::set<TargetId> targetsUsed(std::size_t vm, int count);
    // The number of lines of a VM with this event that name the target.
    std::size_t linesAbout(std::size_t vm, const core::LogEvent &event, const TargetId &target);
    // Whether the store has the entry of the VM's present incarnation.
    bool isRegistered(std::size_t vm) const;
    // The secret in the store; empty: none.
    std::string storedSecret() const;
    // What is wrong with the calls to the store since the start; empty: nothing.
    std::string rateProblem() const;

private:
    StoreModel store_;
    FleetWalk walk_;
    std::set<std::size_t> cut_;
    std::uint64_t request_ = 0;
};

} // namespace bluebellshift::gateway::testing
