// Fetches what the stand-ins for targets counted.
#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/load/runcheck.h"

namespace bluebellshift::load {

// Adds up the counts of several processes, one endpoint of each.
absl::StatusOr<RunCounts> fetchRuns(const std::vector<core::Endpoint> &endpoints);

} // namespace bluebellshift::load
