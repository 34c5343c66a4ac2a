// Responses in virtual time: which patterns of bytes count as stalled, and when.
#include "bluebellshift/net/readdeadline.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace bluebellshift::net;
using namespace std::chrono_literals;
using Clock = ReadDeadline::Clock;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr Milliseconds allowance = 1s;
constexpr std::size_t minRate = 16'000;
constexpr Milliseconds never = -1ms;

// Returns how long a response lasts whose pieces of `bytes` come every `interval`, the first at 0;
// `never` if it doesn't stall within an hour.
Milliseconds stallOf(std::size_t bytes, Milliseconds interval, std::size_t rate = minRate)
{
    ReadDeadline deadline(allowance, rate);
    const Clock::time_point start;
    for (Milliseconds at = 0ms; at < 1h; at += interval) {
        deadline.onBytes(start + at, bytes);
        if (deadline.at() < start + at + interval)
            return std::chrono::duration_cast<Milliseconds>(deadline.at() - start);
    }
    return never;
}

const struct
{
    const char *name;
    std::size_t bytes;
    Milliseconds interval;
    Milliseconds stall;
} cases[] = {
    { "a byte each 0.9 s", 1, 900ms, 1000ms },
    { "a byte each millisecond", 1, 1ms, 1066ms },
    { "nothing after the first piece", 4096, 2h, 1000ms },
    { "half of the minimum rate", 80, 10ms, 1995ms },
    { "the minimum rate", 160, 10ms, never },
    { "the minimum rate in large pieces", 16'000, 1000ms, never },
    { "a pause longer than the allowance", 100'000, 1001ms, 1000ms },
    { "10 Mbit/s", 12'500, 10ms, never },
    { "10 Mbit/s in packets that wait for one another", 125'000, 100ms, never },
    { "a tenth of 10 Mbit/s", 1250, 10ms, never },
};

} // namespace

TEST_GROUP(ReadDeadline) {};

TEST(ReadDeadline, AResponseStallsIfItFallsBehindTheMinimumRateByTheAllowance)
{
    for (const auto &one : cases)
        CHECK_EQUAL_TEXT(one.stall.count(), stallOf(one.bytes, one.interval).count(), one.name);
}

TEST(ReadDeadline, WithoutAMinimumRateOnlyAPauseCounts)
{
    CHECK_EQUAL(never.count(), stallOf(1, 900ms, 0).count());
    CHECK_EQUAL(1000, stallOf(1, 1001ms, 0).count());
}

// What came fast before doesn't allow for a long stall later.
TEST(ReadDeadline, AResponseThatKeptUpStallsAsSoonAsAnyOther)
{
    ReadDeadline deadline(allowance, minRate);
    const Clock::time_point start;
    for (Milliseconds at = 0ms; at < 10s; at += 10ms)
        deadline.onBytes(start + at, 12'500);
    CHECK(deadline.at() == start + 9990ms + allowance);
    deadline.onBytes(start + 10'500ms, 1);
    CHECK(deadline.at() < start + 9990ms + allowance + 1ms);
}

// Against a slow version that recalculates how far the response is behind at each millisecond.
TEST(ReadDeadline, RandomPiecesStallWhereTheMinimumRateSays)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round) {
        ReadDeadline deadline(allowance, 1000); // a byte adds a millisecond
        const Clock::time_point start;
        std::int64_t leftMillis = 0;
        for (int at = 0; at < 20'000; ++at) {
            const std::size_t bytes = at == 0 ? 1 : random() % 8 == 0 ? random() % 13 : 0;
            if (bytes > 0) {
                deadline.onBytes(start + Milliseconds(at), bytes);
                const auto gained = static_cast<std::int64_t>(bytes);
                leftMillis = at == 0 ? 1000 : std::min<std::int64_t>(1000, leftMillis + gained);
            }
            CHECK(deadline.at() == start + Milliseconds(at + leftMillis));
            if (--leftMillis < 0)
                break;
        }
    }
}
