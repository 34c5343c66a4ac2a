// Strict decoders for the JSON values of the platform's objects. A field that is missing
// or of the wrong type is an InvalidArgument error that names the field.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/roster.h"

namespace bluebellshift::core {

// {"digests": [{"digest": "<64 hex digits>", ...}]}
absl::StatusOr<std::vector<KeyDigest>> decodeKeyDigests(const std::string &json);

// [{"id", "region", "failure_domain", "address", "port", "slots", "connections", "leaving"}]
absl::StatusOr<std::vector<Target>> decodeTargetList(const ServiceId &service,
                                                     const std::string &json);

// [{"id", "region", "failure_domain", "callers": {"address", "port"}, "peers": {...}, "leaving"}]
absl::StatusOr<std::vector<Vm>> decodeVmList(const std::string &json);

// {"toml": "...", ...}
absl::StatusOr<std::string> decodeBundleText(const std::string &json);

} // namespace bluebellshift::core
