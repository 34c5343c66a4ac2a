// The usual service time of each route with an object that is not warm, as this VM measured it.
//
//   ServiceTimes times;
//   const auto learned = times.learn(route, measuredMs, mayBeWarm, slowness);
//   const Duration usual = times.expected(route);
#pragma once

#include <string>
#include <unordered_map>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::gateway::targets {

class ServiceTimes
{
public:
    static constexpr double warmFactor = 0.3;                              // against a cold object
    static constexpr core::Duration initial = core::Duration::millis(600); // until measured
    // A target's slowness within these limits is treated as 1, since service times vary by
    // themselves.
    static constexpr double minUsualSlowness = 0.6;
    static constexpr double maxUsualSlowness = 1.5;
    // Samples of a route until its usual time is reliable enough to judge targets by it.
    static constexpr int minSamples = 8;

    struct Learned
    {
        bool isFirst = false; // of its route
        bool isWarm = false;
    };

    // Learns from a response of a target that takes `slowness` times as long as usual, and updates
    // the slowness. A response that is much faster than usual is taken to have had a warm object.
    Learned learn(const std::string &route, double measuredMs, bool mayBeWarm, double &slowness);

    // The mean of all requests of a service, with any object.
    void recordMean(const core::ServiceId &service, core::Duration elapsed);
    double meanMillis(const core::ServiceId &service) const;

    core::Duration expected(const std::string &route) const;
    bool isReliable(const std::string &route) const;
    static double effectiveSlowness(double slowness);

private:
    struct Usual
    {
        double millis = 0;
        int samples = 0;
    };

    std::unordered_map<std::string, Usual> routes_;
    std::unordered_map<core::ServiceId, double> meansMs_;
};

} // namespace bluebellshift::gateway::targets
