#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "bluebellshift/load/histogram.h"

using namespace bluebellshift::core;
using namespace bluebellshift::load;

TEST_GROUP(Histogram) {};

TEST(Histogram, IsEmptyInitially)
{
    Histogram histogram;
    LONGS_EQUAL(0, histogram.count());
    LONGS_EQUAL(0, histogram.quantile(0.5).toMicros());
    LONGS_EQUAL(0, histogram.mean().toMicros());
}

TEST(Histogram, QuantilesAreWithinOneSixtyFourthOfExactValues)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 40; ++round) {
        Histogram whole;
        Histogram halves[2];
        std::vector<std::int64_t> values;
        const int count = 1 + static_cast<int>(random() % 500);
        const int bits = 1 + static_cast<int>(random() % 33);
        for (int i = 0; i < count; ++i) {
            const auto value = static_cast<std::int64_t>(random() % (1ULL << bits));
            values.push_back(value);
            whole.add(Duration::micros(value));
            halves[i % 2].add(Duration::micros(value));
        }
        halves[0].add(halves[1]);
        std::sort(values.begin(), values.end());
        for (const double q : { 0.0, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0 }) {
            const auto rank =
                static_cast<std::size_t>(std::max(1.0, std::ceil(q * static_cast<double>(count))));
            const std::int64_t exact = values[rank - 1];
            const std::int64_t found = whole.quantile(q).toMicros();
            CHECK(found >= exact);
            CHECK(found <= exact + exact / 64);
            LONGS_EQUAL(found, halves[0].quantile(q).toMicros());
        }
        LONGS_EQUAL(values.back(), whole.largest().toMicros());
        LONGS_EQUAL(count, halves[0].count());
    }
}
