// One mutex guards the store; a held watch waits on a condition variable that
// every change signals. A published VM list is applied lazily by the first call
// after the lag has passed, and a held watch wakes up for it, so that no separate
// thread is needed.
#include "bluebellshift/standin/platformservice.h"

#include <algorithm>
#include <utility>

namespace bluebellshift::standin {

using core::Duration;
using core::Object;
using core::Revision;

namespace {

const std::string vmListName = "list";

std::chrono::microseconds chronoOf(Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

} // namespace

PlatformService::PlatformService(PlatformServiceOptions options)
    : options_(options)
    , store_(options.maxTombstones)
{
}

PlatformService::~PlatformService()
{
    close();
}

// Counts the call and applies the faults that are common to all calls. Returns
// false if the call gets no reply.
bool PlatformService::beginCall(Lock &lock, std::uint64_t PlatformCounts::*counter)
{
    ++(counts_.*counter);
    if (faults_.callDelay > Duration()) {
        const auto until = Clock::now() + chronoOf(faults_.callDelay);
        changed_.wait_until(lock, until, [&] { return isClosed_ || Clock::now() >= until; });
    }
    applyPendingVms(Clock::now());
    return !isClosed_ && !faults_.isDown;
}

const PlatformStore &PlatformService::replica() const
{
    return staleReplica_ ? *staleReplica_ : store_;
}

std::optional<std::optional<Object>> PlatformService::read(const std::string &kind,
                                                           const std::string &name)
{
    Lock lock(mutex_);
    if (!beginCall(lock, &PlatformCounts::reads))
        return std::nullopt;
    return replica().read(kind, name);
}

std::optional<StoreWriteResult> PlatformService::write(const std::string &kind,
                                                       const std::string &name, Revision expected,
                                                       const std::string &value)
{
    return change([&](PlatformStore &store) { return store.write(kind, name, expected, value); });
}

std::optional<StoreWriteResult> PlatformService::remove(const std::string &kind,
                                                        const std::string &name, Revision expected)
{
    return change([&](PlatformStore &store) { return store.remove(kind, name, expected); });
}

std::optional<StoreWriteResult> PlatformService::change(const Change &change)
{
    Lock lock(mutex_);
    if (!beginCall(lock, &PlatformCounts::writes))
        return std::nullopt;
    StoreWriteResult result = change(store_);
    if (!result.isDone)
        ++counts_.conflicts;
    else
        changed_.notify_all();
    if (faults_.repliesToLose == 0)
        return result;
    --faults_.repliesToLose;
    ++counts_.repliesLost;
    return std::nullopt;
}

std::optional<StoreChanges> PlatformService::list()
{
    Lock lock(mutex_);
    if (!beginCall(lock, &PlatformCounts::lists))
        return std::nullopt;
    return replica().list();
}

std::optional<WatchReply> PlatformService::watch(Revision after, Duration wait)
{
    Lock lock(mutex_);
    const auto begun = Clock::now();
    if (!beginCall(lock, &PlatformCounts::watches))
        return std::nullopt;
    const auto until = begun + chronoOf(std::min(wait, options_.maxWatchWait));
    while (!isClosed_ && !faults_.isDown && !faults_.areWatchesCut) {
        const auto now = Clock::now();
        applyPendingVms(now);
        if (store_.revision() > after || now >= until)
            break;
        const bool hasDue = pendingVms_.has_value() && !faults_.isVmListStale;
        changed_.wait_until(lock, hasDue ? std::min(until, pendingVmsDueAt_) : until);
    }
    if (isClosed_ || faults_.isDown || faults_.areWatchesCut)
        return std::nullopt;
    WatchReply reply;
    reply.changes = store_.changesAfter(after);
    const auto held = Clock::now() - begun;
    reply.waited =
        Duration::micros(std::chrono::duration_cast<std::chrono::microseconds>(held).count());
    return reply;
}

void PlatformService::publishVms(const std::string &value)
{
    const Lock lock(mutex_);
    pendingVms_ = value;
    pendingVmsDueAt_ = Clock::now() + chronoOf(options_.vmListLag);
    changed_.notify_all();
}

void PlatformService::applyPendingVms(Clock::time_point now)
{
    if (!pendingVms_.has_value() || faults_.isVmListStale || now < pendingVmsDueAt_)
        return;
    const std::optional<Object> stored = store_.read(core::kind::vms, vmListName);
    const Revision version = stored ? stored->version : Revision();
    store_.write(core::kind::vms, vmListName, version, *pendingVms_);
    pendingVms_.reset();
    changed_.notify_all();
}

void PlatformService::setFaults(const PlatformFaults &faults)
{
    const Lock lock(mutex_);
    faults_ = faults;
    if (!faults.isReplicaStale)
        staleReplica_.reset();
    else if (!staleReplica_)
        staleReplica_ = std::make_unique<PlatformStore>(store_);
    changed_.notify_all();
}

PlatformFaults PlatformService::faults() const
{
    const Lock lock(mutex_);
    return faults_;
}

PlatformCounts PlatformService::counts() const
{
    const Lock lock(mutex_);
    return counts_;
}

void PlatformService::close()
{
    const Lock lock(mutex_);
    isClosed_ = true;
    changed_.notify_all();
}

} // namespace bluebellshift::standin
