// Compares what callers were told with what the targets counted.
//
//   RunCheck check = checkRuns(arrivals, outcomes, runs);
//   check.isClean(); // nothing ran twice, and every claim was true
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebellshift/load/outcome.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

// What all targets counted together.
struct RunCounts
{
    std::map<std::string, std::uint32_t> byTicket; // by the ticket's id
    std::map<std::string, std::uint32_t> byCaller; // by X-Caller-Id
};

struct RunCheck
{
    std::uint64_t tickets = 0;         // that callers used
    std::uint64_t ranTwice = 0;        // tickets that ran more than once
    std::uint64_t strangers = 0;       // tickets counted that no caller used
    std::uint64_t claimedNotRun = 0;   // requests whose caller was told "not run" to the end
    std::uint64_t falseNotRun = 0;     // of those, ran all the same
    std::uint64_t claimedRan = 0;      // requests with an answer
    std::uint64_t falseRan = 0;        // of those, not counted by any target
    std::uint64_t unknown = 0;         // requests whose caller does not know
    std::vector<std::string> examples; // of what is wrong, a few

    bool isClean() const
    {
        return ranTwice == 0 && strangers == 0 && falseNotRun == 0 && falseRan == 0;
    }
};

// Takes away what had been counted before the run.
RunCounts countsSince(const RunCounts &before, const RunCounts &after);

// The X-Caller-Id of the arrival at a position; `run` tells runs apart.
std::string callerIdOf(std::uint64_t run, std::size_t position);

// `outcomes` has the outcome of each arrival at the same position.
RunCheck checkRuns(std::uint64_t run, const std::vector<Arrival> &arrivals,
                   const std::vector<Outcome> &outcomes, const RunCounts &counts);

} // namespace bluebellshift::load
