// The platform's object API in one process, with its faults and its count of
// calls. FakePlatform and PlatformServer are its two faces.
//
//   PlatformService service(PlatformServiceOptions());
//   service.setFaults(faults);
//   std::optional<StoreWriteResult> reply = service.write("keys", "a", Revision(0), "[]");
//
// Every call may come from any thread. A reply that never arrives is nothing.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "bluebellshift/core/units.h"
#include "bluebellshift/standin/platformstore.h"

namespace bluebellshift::standin {

struct PlatformFaults
{
    bool isDown = false;             // no call takes effect and none gets a reply
    core::Duration callDelay;        // before a call takes effect, also when its client has left
    std::uint32_t repliesToLose = 0; // the next writes take effect and get no reply
    bool isVmListStale = false;      // what publishVms() is given is held back
    bool isReplicaStale = false;     // reads, lists and watches see the store as it was
    bool areWatchesCut = false;      // watches get no reply
};

struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; // with deletions
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t repliesLost = 0;
};

struct PlatformServiceOptions
{
    std::size_t maxTombstones = 10'000;
    core::Duration maxWatchWait = core::Duration::seconds(30);
    core::Duration vmListLag; // from publishVms() to the object vms/list
};

struct WatchReply
{
    StoreChanges changes;
    core::Duration waited; // rounded down
};

class PlatformService
{
public:
    explicit PlatformService(PlatformServiceOptions options);
    ~PlatformService();
    PlatformService(const PlatformService &) = delete;
    PlatformService &operator=(const PlatformService &) = delete;

    // Each returns nothing when the connection is cut without a reply.
    std::optional<std::optional<core::Object>> read(const std::string &kind,
                                                    const std::string &name);
    std::optional<StoreWriteResult> write(const std::string &kind, const std::string &name,
                                          core::Revision expected, const std::string &value);
    std::optional<StoreWriteResult> remove(const std::string &kind, const std::string &name,
                                           core::Revision expected);
    std::optional<StoreChanges> list();
    // Holds the call until something newer than `after` exists or `wait` passed.
    std::optional<WatchReply> watch(core::Revision after, core::Duration wait);

    // Tells the platform which VMs there are; it writes them to the object
    // vms/list after the lag, past all conditions.
    void publishVms(const std::string &value);

    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;
    PlatformCounts counts() const;

    // Ends all held calls, and every later one, without a reply.
    void close();

private:
    using Lock = std::unique_lock<std::mutex>;
    using Clock = std::chrono::steady_clock;
    using Change = std::function<StoreWriteResult(PlatformStore &)>;

    bool beginCall(Lock &lock, std::uint64_t PlatformCounts::*counter);
    std::optional<StoreWriteResult> change(const Change &change);
    const PlatformStore &replica() const;
    void applyPendingVms(Clock::time_point now);

    const PlatformServiceOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    PlatformStore store_;
    std::unique_ptr<PlatformStore> staleReplica_; // null without the fault
    PlatformFaults faults_;
    PlatformCounts counts_;
    std::optional<std::string> pendingVms_;
    Clock::time_point pendingVmsDueAt_;
    bool isClosed_ = false;
};

} // namespace bluebellshift::standin
