// Formats the results of a run as JSON and as a table, and compares two results.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "bluebellshift/load/runcheck.h"
#include "bluebellshift/load/summary.h"

namespace bluebellshift::load {

// Durations are in milliseconds.
nlohmann::json jsonOf(const Summary &summary);
nlohmann::json jsonOf(const RunCheck &check);

// Returns a line for all requests and a line for each team, then the totals.
std::string tableOf(const Summary &summary);
std::string tableOf(const RunCheck &check);

// Returns a line for each number that both results contain: its path, both values and
// the ratio of the second to the first ("-" if the first is 0).
std::string compare(const nlohmann::json &first, const nlohmann::json &second);

} // namespace bluebellshift::load
