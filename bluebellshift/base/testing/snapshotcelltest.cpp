#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "bluebellshift/base/snapshotcell.h"

#include <CppUTest/TestHarness.h>

using bluebellshift::base::SnapshotCell;

namespace {

// Two fields that are equal in every whole value.
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

TEST(SnapshotCell, KeepsAReplacedValueWhileItIsRead)
{
    SnapshotCell<Pair> cell;
    cell.publish(std::make_shared<const Pair>(1));
    {
        auto first = cell.read();
        cell.publish(std::make_shared<const Pair>(2));
        LONGS_EQUAL(1, first->a);
        LONGS_EQUAL(2, cell.read()->a);
        LONGS_EQUAL(2, cell.keptCount());
    }
    cell.publish(std::make_shared<const Pair>(3));
    LONGS_EQUAL(1, cell.keptCount());
}

TEST(SnapshotCell, ReadersNeverSeeAReleasedValue)
{
    constexpr int readers = 8;
    constexpr int publishes = 5000;
    SnapshotCell<Pair> cell;
    cell.publish(std::make_shared<const Pair>(0));
    std::atomic<bool> isOver { false };
    std::atomic<int> faults { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < readers; ++i) {
        threads.emplace_back([&] {
            int last = 0;
            while (!isOver) {
                auto pair = cell.read();
                if (pair->a != pair->b || pair->a < last)
                    ++faults;
                last = pair->b;
            }
        });
    }
    for (int n = 1; n <= publishes; ++n)
        cell.publish(std::make_shared<const Pair>(n));
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    LONGS_EQUAL(0, faults.load());
}
