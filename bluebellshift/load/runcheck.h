// Checks the outcomes reported to callers against the runs that the targets counted.
//
//   RunCheck check = checkRuns(run, arrivals, outcomes, counts);
//   check.isClean(); // no request ran twice, and every claim was true
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebellshift/load/outcome.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

// The number of runs that all targets counted.
struct RunCounts
{
    std::map<std::string, std::uint32_t> byTicket; // by ticket id
    std::map<std::string, std::uint32_t> byCaller; // by X-Caller-Id
};

struct RunCheck
{
    std::uint64_t tickets = 0;         // requests that used a ticket
    std::uint64_t ranTwice = 0;        // requests with a ticket that ran more than once
    std::uint64_t unknownTickets = 0;  // counted tickets that no outcome names
    std::uint64_t claimedNotRun = 0;   // requests reported as not run
    std::uint64_t falseNotRun = 0;     // of those, requests that ran
    std::uint64_t claimedRan = 0;      // requests reported as run
    std::uint64_t falseRan = 0;        // of those, requests that no target counted
    std::uint64_t unknown = 0;         // requests with an unknown run status
    std::vector<std::string> examples; // descriptions of the first violations

    bool isClean() const
    {
        return ranTwice == 0 && unknownTickets == 0 && falseNotRun == 0 && falseRan == 0;
    }
};

// Returns the counts of the run: `after` minus `before`.
RunCounts countsSince(const RunCounts &before, const RunCounts &after);

// Returns the X-Caller-Id of the arrival at a position. `run` identifies the run.
std::string callerIdOf(std::uint64_t run, std::size_t position);

// `outcomes` holds the outcome of each arrival at the same position.
RunCheck checkRuns(std::uint64_t run, const std::vector<Arrival> &arrivals,
                   const std::vector<Outcome> &outcomes, const RunCounts &counts);

} // namespace bluebellshift::load
