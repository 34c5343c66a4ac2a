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
    std::vector<core::Endpoint> standInEndpoints; // stand-ins for targets whose counts are checked
    std::string output;                           // path of the JSON result; empty: none
    std::vector<std::string> comparedFiles;       // two result files to compare instead of a run
};

// Returns InvalidArgument with a message that names the wrong option. Prints the help
// and exits for --help.
absl::StatusOr<CommandLine> parseCommandLine(int argc, const char **argv);

} // namespace bluebellshift::load
