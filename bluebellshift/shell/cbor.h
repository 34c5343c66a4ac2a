// Reading of CBOR from anyone: bounded in depth, length and count.
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"

namespace bluebellshift::shell {

// Arrays of numbers, booleans, nulls and byte strings; texts are read as byte
// strings. Maps, tags, arrays without a length, nesting beyond 8 levels, arrays
// of more than 4,096 entries and more than 262,144 values are InvalidArgument.
absl::StatusOr<nlohmann::json> parseCbor(std::string_view bytes);

std::string writeCbor(const nlohmann::json &value);

} // namespace bluebellshift::shell
