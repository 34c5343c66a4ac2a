// What a run's outcomes mean, for all and for each team.
//
//   Summary summary = summarize(options, arrivals, outcomes);
//   summary.worst; // the worst-served team
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebellshift/load/histogram.h"
#include "bluebellshift/load/outcome.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

struct Tally
{
    std::uint64_t offered = 0;
    std::uint64_t withinRate = 0; // admitted by an ideal token bucket
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedWithinRate = 0; // refused, though the ideal bucket admits it
    std::uint64_t targetErrors = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrong = 0;
    std::uint64_t keysSeen = 0;
    std::uint64_t pending = 0;
    std::uint64_t attempts = 0;
    Histogram latency; // of answered requests

    // Answered requests for each one within the rate; at most 1.
    double servedFraction() const;
    // How many fewer were answered than the ideal bucket admits.
    std::uint64_t shortfall() const;
};

struct Summary
{
    Tally all;
    std::map<std::string, Tally> teams;
    std::string worst; // the team with the smallest served fraction, then the largest p99
    std::map<std::string, std::uint64_t> refusals;           // by code
    std::map<std::string, std::uint64_t> refusalsWithinRate; // by code
    Histogram startDelay;                                    // how late the tool itself was
    core::Duration scheduled;                                // to the last arrival
    core::Duration drain; // from the last arrival to the last end
};

// `outcomes` has the outcome of each arrival at the same position.
Summary summarize(const ScheduleOptions &options, const std::vector<Arrival> &arrivals,
                  const std::vector<Outcome> &outcomes);

} // namespace bluebellshift::load
