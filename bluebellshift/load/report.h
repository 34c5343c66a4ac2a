// A run's summary as JSON and as a table, and two runs side by side.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "bluebellshift/load/runcheck.h"
#include "bluebellshift/load/summary.h"

namespace bluebellshift::load {

// Latencies are in milliseconds.
nlohmann::json jsonOf(const Summary &summary);
nlohmann::json jsonOf(const RunCheck &check);

// One line for all, then one for each team.
std::string tableOf(const Summary &summary);
std::string tableOf(const RunCheck &check);

// One line for each number that both have: its path, both values, and the
// second divided by the first ("-" when the first is 0).
std::string compare(const nlohmann::json &first, const nlohmann::json &second);

} // namespace bluebellshift::load
