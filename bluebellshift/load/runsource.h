// Fetches the run counts of the stand-ins for targets.
#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/load/runcheck.h"

namespace bluebellshift::load {

// Returns the sum of the counts of several processes, given one endpoint of each.
// Unavailable: a process did not reply with its counts.
absl::StatusOr<RunCounts> fetchRunCounts(const std::vector<core::Endpoint> &endpoints);

} // namespace bluebellshift::load
