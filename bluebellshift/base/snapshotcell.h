// Hands an immutable value from writers to many readers that never wait.
//
//   SnapshotCell<SteeringSnapshot> cell;
//   cell.publish(snapshot);       // takes a lock that only writers share
//   auto snapshot = cell.read();  // takes none
//   if (snapshot)
//       snapshot->lookup(...);
//
// Keep what read() returns only for the length of one decision.
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

// Hazard pointers: a reader announces in a slot what it reads, and a writer
// keeps a replaced value for as long as a slot names it. A read costs two
// atomic writes to a slot that hardly ever another thread uses, whatever the
// number of readers. std::atomic_load on a shared_ptr would take a lock, and a
// copy for each thread would keep old values alive in idle threads.
template<typename Value> class SnapshotCell
{
    struct alignas(64) Slot
    {
        std::atomic<bool> isUsed { false };
        std::atomic<const Value *> reading { nullptr };
    };

public:
    class Reading
    {
    public:
        Reading(Slot *slot, const Value *value)
            : slot_(slot)
            , value_(value)
        {
        }
        ~Reading()
        {
            slot_->reading.store(nullptr, std::memory_order_release);
            slot_->isUsed.store(false, std::memory_order_release);
        }
        Reading(const Reading &) = delete;
        Reading &operator=(const Reading &) = delete;

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
        kept_.push_back(std::move(value));
        dropUnread();
    }

    // Empty before the first publish.
    Reading read() const
    {
        Slot *slot = takeSlot();
        const Value *value = current_.load(std::memory_order_seq_cst);
        for (;;) {
            slot->reading.store(value, std::memory_order_seq_cst);
            const Value *again = current_.load(std::memory_order_seq_cst);
            if (again == value)
                return Reading(slot, value);
            value = again;
        }
    }

    // Values not yet released: the current one and those still read.
    std::size_t keptCount() const
    {
        std::lock_guard<std::mutex> lock(writerMutex_);
        return kept_.size();
    }

private:
    static constexpr std::size_t slotCount = 256;

    Slot *takeSlot() const
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

    bool isRead(const Value *value) const
    {
        for (const Slot &slot : slots_) {
            if (slot.reading.load(std::memory_order_seq_cst) == value)
                return true;
        }
        return false;
    }

    void dropUnread()
    {
        std::vector<std::shared_ptr<const Value>> kept;
        for (auto &value : kept_) {
            const bool isCurrent = value.get() == current_.load(std::memory_order_relaxed);
            if (isCurrent || isRead(value.get()))
                kept.push_back(std::move(value));
        }
        kept_ = std::move(kept);
    }

    mutable std::mutex writerMutex_;
    std::vector<std::shared_ptr<const Value>> kept_;
    std::atomic<const Value *> current_ { nullptr };
    mutable std::array<Slot, slotCount> slots_;
};

} // namespace bluebellshift::base
