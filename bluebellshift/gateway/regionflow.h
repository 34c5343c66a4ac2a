// Keeps the part of a region's requests that each region serves from jumping.
//
//   RegionFlow flow;
//   flow.note(region, now);                     // a request was sent there
//   score += flow.penalty(region, now);         // milliseconds, for the next choice
//
// Counts of this VM are compared over two adjoining windows. A region that has had more
// of the current window than of the last one, beyond a tolerance, costs more, and one
// that has had less costs less: what free slots, warm objects and ways decide then
// moves over by a few parts in a hundred a window. It never rules a region out, so
// that nothing is refused for it.
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

class RegionFlow
{
public:
    static constexpr Duration window = Duration::seconds(2); // over which the users compare
    static constexpr double tolerance = 0.05;                // of the requests
    static constexpr double penaltyMost = 400;               // milliseconds
    static constexpr double penaltySlope = 4000;             // for each whole part beyond
    static constexpr int countsLeast = 10;                   // in the last window

    void note(const RegionId &region, Instant now);
    double penalty(const RegionId &region, Instant now) const;

private:
    static constexpr std::size_t slicesInWindow = 8;
    static constexpr std::size_t slicesKept = 2 * slicesInWindow;
    struct Slice
    {
        std::int64_t number = -1;
        std::map<RegionId, int> counts;
        int total = 0;
    };

    static std::int64_t sliceAt(Instant now);

    std::array<Slice, slicesKept> slices_ {};
};

} // namespace bluebellshift::gateway
