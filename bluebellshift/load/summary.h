// Aggregates the outcomes of a run, in total and by team.
//
//   Summary summary = summarize(options, arrivals, outcomes);
//   summary.worstTeam; // the worst-served team
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
    std::uint64_t refusedWithinRate = 0; // refused although the ideal bucket admits them
    std::uint64_t targetErrors = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrong = 0;
    std::uint64_t leakedKeys = 0;
    std::uint64_t pending = 0;
    std::uint64_t attempts = 0;
    Histogram latency; // of answered requests

    // Ratio of answered requests to those within the rate, at most 1.
    double servedFraction() const;
    // Number of requests that the ideal bucket admits minus those answered, at least 0.
    std::uint64_t shortfall() const;
};

struct Summary
{
    Tally all;
    std::map<std::string, Tally> teams;
    std::string worstTeam; // smallest served fraction; ties go to the largest p99
    std::map<std::string, std::uint64_t> refusals;           // by code
    std::map<std::string, std::uint64_t> refusalsWithinRate; // by code
    Histogram startDelay;                                    // lateness of the tool itself
    core::Duration lastArrival;                              // since the start
    core::Duration drainTime; // from the last arrival to the last outcome
};

// `outcomes` holds the outcome of each arrival at the same position.
Summary summarize(const ScheduleOptions &options, const std::vector<Arrival> &arrivals,
                  const std::vector<Outcome> &outcomes);

} // namespace bluebellshift::load
