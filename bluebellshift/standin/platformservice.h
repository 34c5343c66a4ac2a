// Implements the platform's object API in one process, injects faults and counts
// calls. FakePlatform and PlatformServer expose it to clients.
//
//   PlatformService service(PlatformServiceOptions());
//   service.setFaults(faults);
//   std::optional<StoreWriteResult> reply = service.write("keys", "a", Revision(0), "[]");
//
// Thread-safe. A call whose reply is lost returns nullopt.
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
    bool isDown = false;      // calls have no effect and get no reply
    core::Duration callDelay; // before a call takes effect, even if its client has disconnected
    std::uint32_t repliesToLose = 0; // number of next writes that take effect without a reply
    bool isVmListStale = false;      // lists given to publishVms() are withheld
    bool isReplicaStale = false;     // reads and lists return the state from when the fault was set
    bool areWatchesCut = false;      // watches get no reply
};

struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; // including deletions
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

    // Each returns nullopt if the connection closes without a reply.
    std::optional<std::optional<core::Object>> read(const std::string &kind,
                                                    const std::string &name);
    std::optional<StoreWriteResult> write(const std::string &kind, const std::string &name,
                                          core::Revision expected, const std::string &value);
    std::optional<StoreWriteResult> remove(const std::string &kind, const std::string &name,
                                           core::Revision expected);
    std::optional<StoreChanges> list();
    // Blocks until a change newer than `after` exists or `wait` has passed.
    std::optional<WatchReply> watch(core::Revision after, core::Duration wait);

    // Sets the list of VMs. The platform writes it to the object vms/list
    // unconditionally once the lag has passed.
    void publishVms(const std::string &value);

    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;
    PlatformCounts counts() const;

    // Ends all held calls and all later ones without a reply.
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
    std::unique_ptr<PlatformStore> staleReplica_; // null unless isReplicaStale
    PlatformFaults faults_;
    PlatformCounts counts_;
    std::optional<std::string> pendingVms_;
    Clock::time_point pendingVmsDueAt_;
    bool isClosed_ = false;
};

} // namespace bluebellshift::standin
