// Keeps the part of a region's requests that each region serves from jumping.
//
//   RegionFlow flow;
//   flow.begin({ { region, 0.6 }, ... });       // what is expected before any request
//   flow.note(region, now);                     // a request was sent there
//   score += flow.penalty(region, now);         // milliseconds, for the next choice
//
// The part that each region had of this VM's latest requests is compared with the part
// it had over some seconds. A region that has more than it had, beyond a tolerance that
// chance alone may bring, costs more, and one that has less costs less: what free slots,
// warm objects and ways decide then moves over slowly. It never rules a region out, so
// that nothing is refused for it.
#pragma once

#include <map>

#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

class RegionFlow
{
public:
    // Time constants of the two averages. The users compare windows of 2 s.
    static constexpr Duration recentTime = Duration::seconds(2);
    static constexpr Duration baselineTime = Duration::seconds(6);
    static constexpr double tolerance = 0.02;         // of the requests
    static constexpr double randomTolerance = 0.2;    // over the root of the latest requests
    static constexpr double maxPenaltyMs = 600;       // milliseconds
    static constexpr double penaltyMsPerShare = 5000; // for each whole part beyond

    // Requests that what is expected counts for, until it has decayed as they would.
    static constexpr double expectedWeight = 60;

    // The parts of the requests that the regions are expected to serve; they add up to 1.
    void begin(const std::map<RegionId, double> &expected, Instant now);
    bool hasBegun() const { return total_.at != Instant::never(); }
    void record(const RegionId &region, Instant now);
    double penaltyMs(const RegionId &region, Instant now) const;

private:
    // Counts that decay; `at` is when they were last brought up to date.
    struct Counts
    {
        double recent = 0;
        double baseline = 0;
        Instant at = Instant::never();

        void decay(Instant now);
    };

    Counts total_;
    std::map<RegionId, Counts> regions_;
};

} // namespace bluebellshift::gateway
