// States of the platform's store.
//
//   StoreRevision known(StoreEra(2), RevisionNumber(140));
//   known.isNewerThan({ StoreEra(3), RevisionNumber(90) }); // false
//   known.number() < other.number();                        // does not compile
//
// The store counts its changes. When it is restored from a copy that is some seconds old, it gives
// out the numbers since then again, for other changes, and its era rises by one. A number therefore
// tells nothing beside a number of another era.
#pragma once

#include <cstdint>

#include "bluebellshift/core/ids.h"

namespace bluebellshift::core {

// The number of a change within an era that the context tells. Has no order of its own.
class RevisionNumber
{
public:
    constexpr RevisionNumber() = default;
    constexpr explicit RevisionNumber(std::uint64_t number)
        : number_(number)
    {
    }

    constexpr std::uint64_t number() const { return number_; }

    friend bool operator==(RevisionNumber a, RevisionNumber b) { return a.number_ == b.number_; }
    friend bool operator!=(RevisionNumber a, RevisionNumber b) { return a.number_ != b.number_; }

private:
    std::uint64_t number_ = 0;
};

class StoreRevision
{
public:
    constexpr StoreRevision() = default; // older than all others
    constexpr StoreRevision(StoreEra era, RevisionNumber number)
        : era_(era)
        , number_(number)
    {
    }

    constexpr StoreEra era() const { return era_; }
    constexpr RevisionNumber number() const { return number_; }

    // Whether this state follows the other one: it is of a later era, whatever the numbers, or
    // has a higher number of the same era.
    bool isNewerThan(const StoreRevision &other) const
    {
        return era_ == other.era_ ? number_.number() > other.number_.number() : era_ > other.era_;
    }

    friend bool operator==(const StoreRevision &a, const StoreRevision &b)
    {
        return a.era_ == b.era_ && a.number_ == b.number_;
    }
    friend bool operator!=(const StoreRevision &a, const StoreRevision &b) { return !(a == b); }

private:
    StoreEra era_;
    RevisionNumber number_;
};

inline StoreRevision newerOf(const StoreRevision &a, const StoreRevision &b)
{
    return b.isNewerThan(a) ? b : a;
}

} // namespace bluebellshift::core
