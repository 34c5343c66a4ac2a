#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "bluebellshift/base/snapshotcell.h"

#include <CppUTest/TestHarness.h>

using bluebellshift::base::SnapshotCell;

namespace {

// The fields are equal as long as the value is alive; the destructor changes `a`.
struct Pair
{
    explicit Pair(int n)
        : a(n)
        , b(n)
    {
    }
    ~Pair() { a = -1; }
    volatile int a;
    volatile int b;
};

} // namespace

TEST_GROUP(SnapshotCell) {};

TEST(SnapshotCell, IsEmptyBeforeTheFirstPublish)
{
    SnapshotCell<Pair> cell;
    CHECK_FALSE(static_cast<bool>(cell.read()));
}

TEST(SnapshotCell, RetainsAReplacedValueWhileItIsRead)
{
    SnapshotCell<Pair> cell;
    cell.publish(std::make_shared<const Pair>(1));
    {
        auto first = cell.read();
        cell.publish(std::make_shared<const Pair>(2));
        LONGS_EQUAL(1, first->a);
        LONGS_EQUAL(2, cell.read()->a);
        LONGS_EQUAL(2, cell.retainedCount());
    }
    cell.publish(std::make_shared<const Pair>(3));
    LONGS_EQUAL(1, cell.retainedCount());
}

TEST(SnapshotCell, ReadersNeverSeeAReleasedValue)
{
    constexpr int readers = 8;
    constexpr int publishes = 5000;
    SnapshotCell<Pair> cell;
    cell.publish(std::make_shared<const Pair>(0));
    std::atomic<bool> isDone { false };
    std::atomic<int> inconsistentReads { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < readers; ++i) {
        threads.emplace_back([&] {
            int last = 0;
            while (!isDone) {
                auto pair = cell.read();
                if (pair->a != pair->b || pair->a < last)
                    ++inconsistentReads;
                last = pair->b;
            }
        });
    }
    for (int n = 1; n <= publishes; ++n)
        cell.publish(std::make_shared<const Pair>(n));
    isDone = true;
    for (std::thread &thread : threads)
        thread.join();
    LONGS_EQUAL(0, inconsistentReads.load());
}
