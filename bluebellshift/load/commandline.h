// The command line of bluebellload.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/load/callers.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

struct CommandLine
{
    ScheduleOptions schedule;
    CallerOptions callers;
    std::vector<core::Endpoint> runsFrom; // targets whose counts are checked
    std::string output;                   // file for the result as JSON; empty: none
    std::vector<std::string> compared;    // two files to compare, instead of a run
};

// Names what is wrong. Prints the help and exits for --help.
absl::StatusOr<CommandLine> parseCommandLine(int argc, const char **argv);

} // namespace bluebellshift::load
