// Parsers for command line values: comma-separated lists of key=value pairs.
//
//   absl::StatusOr<TeamLoad> team = parseTeam("name=multan,key=K,rate=400,limit=400,burst=800");
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/load/schedule.h"

namespace bluebellshift::load {

// Keys: name, key, rate, limit, burst, client (IPv4), vm (position in the list of VMs).
absl::StatusOr<TeamLoad> parseTeam(const std::string &text);

// Keys: name, weight, path (of idempotent requests), once (path of non-idempotent ones).
absl::StatusOr<ServiceLoad> parseService(const std::string &text);

// Keys: team, at_ms, factor, vm.
absl::StatusOr<LoadChange> parseChange(const std::string &text);

// Format: "ADDRESS:PORT".
absl::StatusOr<core::Endpoint> parseEndpoint(const std::string &text);

} // namespace bluebellshift::load
