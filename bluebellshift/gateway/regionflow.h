// Dampens sudden changes of the share of a region's requests that each region serves.
//
//   RegionFlow flow;
//   flow.begin({ { region, 0.6 }, ... });       // expected shares before any request
//   flow.record(region, now);                   // for each request sent to a region
//   score += flow.penaltyMs(region, now);       // for the next selection
//
// Each region's share of this VM's recent requests is compared with its share over a longer
// time. A region whose share has grown by more than a tolerance for random variation gets a
// penalty, and one whose share has shrunk gets a bonus. Shifts caused by free slots, warm
// objects and round trip times therefore happen gradually. A penalty never excludes a
// region, so that it causes no refusals.
#pragma once

#include <map>
#include <optional>

#include "bluebellshift/core/logevent.h"
#include "bluebellshift/gateway/trafficconfig.h"

namespace bluebellshift::gateway {

class RegionFlow
{
public:
    // Time constants of the two averages. The users' bound compares windows of 2 s.
    static constexpr Duration recentTime = Duration::seconds(2);
    static constexpr Duration baselineTime = Duration::seconds(6);
    static constexpr Duration logInterval = Duration::seconds(1);
    static constexpr double tolerance = 0.02;      // share of the requests
    static constexpr double randomTolerance = 0.2; // over the root of the recent requests
    static constexpr double maxPenaltyMs = 600;
    static constexpr double penaltyMsPerShare = 5000; // per unit of share beyond the tolerance

    // Weight of the expected shares, in requests. It decays like that of requests.
    static constexpr double expectedWeight = 60;

    // Sets the expected shares of the regions, which add up to 1.
    void begin(const std::map<RegionId, double> &expected, Instant now);
    bool hasBegun() const { return total_.at != Instant::never(); }
    void record(const RegionId &region, Instant now);
    double penaltyMs(const RegionId &region, Instant now) const;
    // The shares and penalties of all regions, once a second at most and only after requests.
    std::optional<core::LogRecord> logRecord(Instant now);

private:
    // Exponentially decaying counts, valid at `at`.
    struct Counts
    {
        double recent = 0;
        double baseline = 0;
        Instant at = Instant::never();
        int sinceLogged = 0; // requests since the latest log record

        void decay(Instant now);
    };

    Counts total_;
    std::map<RegionId, Counts> regions_;
    Instant loggedAt_ = Instant::never();
};

} // namespace bluebellshift::gateway
