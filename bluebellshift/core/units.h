// Strong types for durations and points in time.
//
//   Instant now = Instant::fromMicros(5'000'000);
//   Instant later = now + Duration::millis(250);
//   Duration left = later - now;
#pragma once

#include <cstdint>

namespace bluebellshift::core {

// A length of time in microseconds; may be negative.
class Duration
{
public:
    constexpr Duration() = default;
    static constexpr Duration micros(std::int64_t n) { return Duration(n); }
    static constexpr Duration millis(std::int64_t n) { return Duration(n * 1000); }
    static constexpr Duration seconds(std::int64_t n) { return Duration(n * 1'000'000); }

    constexpr std::int64_t toMicros() const { return micros_; }
    constexpr std::int64_t toMillis() const { return micros_ / 1000; }
    constexpr double toSeconds() const { return static_cast<double>(micros_) / 1e6; }

    friend constexpr bool operator==(Duration a, Duration b) { return a.micros_ == b.micros_; }
    friend constexpr bool operator!=(Duration a, Duration b) { return a.micros_ != b.micros_; }
    friend constexpr bool operator<(Duration a, Duration b) { return a.micros_ < b.micros_; }
    friend constexpr bool operator<=(Duration a, Duration b) { return a.micros_ <= b.micros_; }
    friend constexpr bool operator>(Duration a, Duration b) { return a.micros_ > b.micros_; }
    friend constexpr bool operator>=(Duration a, Duration b) { return a.micros_ >= b.micros_; }
    friend constexpr Duration operator+(Duration a, Duration b)
    {
        return Duration(a.micros_ + b.micros_);
    }
    friend constexpr Duration operator-(Duration a, Duration b)
    {
        return Duration(a.micros_ - b.micros_);
    }
    friend constexpr Duration operator*(Duration a, std::int64_t n)
    {
        return Duration(a.micros_ * n);
    }
    friend constexpr Duration operator/(Duration a, std::int64_t n)
    {
        return Duration(a.micros_ / n);
    }

private:
    constexpr explicit Duration(std::int64_t micros)
        : micros_(micros)
    {
    }
    std::int64_t micros_ = 0;
};

// A point in time on a VM's monotonic clock, which also advances while the VM is
// suspended. Instants of different VMs can't be compared.
class Instant
{
public:
    constexpr Instant() = default;
    static constexpr Instant fromMicros(std::int64_t n) { return Instant(n); }
    // Precedes every real instant.
    static constexpr Instant never() { return Instant(INT64_MIN / 4); }

    constexpr std::int64_t toMicros() const { return micros_; }

    friend constexpr bool operator==(Instant a, Instant b) { return a.micros_ == b.micros_; }
    friend constexpr bool operator!=(Instant a, Instant b) { return a.micros_ != b.micros_; }
    friend constexpr bool operator<(Instant a, Instant b) { return a.micros_ < b.micros_; }
    friend constexpr bool operator<=(Instant a, Instant b) { return a.micros_ <= b.micros_; }
    friend constexpr bool operator>(Instant a, Instant b) { return a.micros_ > b.micros_; }
    friend constexpr bool operator>=(Instant a, Instant b) { return a.micros_ >= b.micros_; }
    friend constexpr Instant operator+(Instant a, Duration d)
    {
        return Instant(a.micros_ + d.toMicros());
    }
    friend constexpr Instant operator-(Instant a, Duration d)
    {
        return Instant(a.micros_ - d.toMicros());
    }
    friend constexpr Duration operator-(Instant a, Instant b)
    {
        return Duration::micros(a.micros_ - b.micros_);
    }

private:
    constexpr explicit Instant(std::int64_t micros)
        : micros_(micros)
    {
    }
    std::int64_t micros_ = 0;
};

// UTC time in microseconds since 1970. Only schedules, roll-outs and the audit trail
// use it.
class WallTime
{
public:
    constexpr WallTime() = default;
    static constexpr WallTime fromMicros(std::int64_t n) { return WallTime(n); }
    constexpr std::int64_t toMicros() const { return micros_; }
    friend constexpr bool operator<(WallTime a, WallTime b) { return a.micros_ < b.micros_; }
    friend constexpr bool operator<=(WallTime a, WallTime b) { return a.micros_ <= b.micros_; }

private:
    constexpr explicit WallTime(std::int64_t micros)
        : micros_(micros)
    {
    }
    std::int64_t micros_ = 0;
};

} // namespace bluebellshift::core
