// Publishes an immutable value to many readers, which never take a lock.
//
//   SnapshotCell<SteeringSnapshot> cell;
//   cell.publish(snapshot);       // takes a lock that only writers use
//   auto snapshot = cell.read();  // takes no lock
//   if (snapshot)
//       snapshot->lookup(...);
//
// A guard that read() returns keeps its value alive and occupies a slot, so hold it
// only for the duration of one decision.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace bluebellshift::base {

// The implementation uses hazard pointers: a reader stores the pointer that it
// reads in a slot, and a writer retains a replaced value while a slot refers to it.
// A read costs two atomic writes to a slot that other threads rarely use, and two
// more when its guard is destroyed, whatever the number of readers.
// std::atomic_load on a shared_ptr would take a lock, and a copy for each thread
// would keep old values alive in idle threads.
template<typename Value> class SnapshotCell
{
    struct alignas(64) Slot
    {
        std::atomic<bool> isUsed { false };
        std::atomic<const Value *> protectedValue { nullptr };
    };

public:
    class ReadGuard
    {
    public:
        ReadGuard(Slot *slot, const Value *value)
            : slot_(slot)
            , value_(value)
        {
        }
        ~ReadGuard()
        {
            slot_->protectedValue.store(nullptr, std::memory_order_release);
            slot_->isUsed.store(false, std::memory_order_release);
        }
        ReadGuard(const ReadGuard &) = delete;
        ReadGuard &operator=(const ReadGuard &) = delete;

        explicit operator bool() const { return value_ != nullptr; }
        const Value *operator->() const { return value_; }
        const Value &operator*() const { return *value_; }

    private:
        Slot *slot_;
        const Value *value_;
    };

    void publish(std::shared_ptr<const Value> value)
    {
        std::lock_guard<std::mutex> lock(writerMutex_);
        current_.store(value.get(), std::memory_order_seq_cst);
        retained_.push_back(std::move(value));
        reclaimUnprotected();
    }

    // The guard is empty before the first publish().
    ReadGuard read() const
    {
        Slot *slot = acquireSlot();
        const Value *value = current_.load(std::memory_order_seq_cst);
        for (;;) {
            slot->protectedValue.store(value, std::memory_order_seq_cst);
            const Value *latest = current_.load(std::memory_order_seq_cst);
            if (latest == value)
                return ReadGuard(slot, value);
            value = latest;
        }
    }

    // Returns the number of values not yet released: the current one and the replaced
    // ones that are still read.
    std::size_t retainedCount() const
    {
        std::lock_guard<std::mutex> lock(writerMutex_);
        return retained_.size();
    }

private:
    static constexpr std::size_t slotCount = 256;

    Slot *acquireSlot() const
    {
        std::size_t index = std::hash<std::thread::id>()(std::this_thread::get_id()) % slotCount;
        for (;;) {
            Slot &slot = slots_[index];
            bool expected = false;
            if (slot.isUsed.compare_exchange_strong(expected, true, std::memory_order_acquire))
                return &slot;
            index = (index + 1) % slotCount;
        }
    }

    bool isProtected(const Value *value) const
    {
        for (const Slot &slot : slots_) {
            if (slot.protectedValue.load(std::memory_order_seq_cst) == value)
                return true;
        }
        return false;
    }

    void reclaimUnprotected()
    {
        std::vector<std::shared_ptr<const Value>> retained;
        for (auto &value : retained_) {
            const bool isCurrent = value.get() == current_.load(std::memory_order_relaxed);
            if (isCurrent || isProtected(value.get()))
                retained.push_back(std::move(value));
        }
        retained_ = std::move(retained);
    }

    mutable std::mutex writerMutex_;
    std::vector<std::shared_ptr<const Value>> retained_;
    std::atomic<const Value *> current_ { nullptr };
    mutable std::array<Slot, slotCount> slots_;
};

} // namespace bluebellshift::base
