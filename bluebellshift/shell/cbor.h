// CBOR reader for untrusted input, with limits on nesting, length and number of values.
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"

namespace bluebellshift::shell {

// Accepts arrays of numbers, booleans, nulls and byte strings; text strings are read
// as byte strings. Maps, tags, items of indefinite length, nesting deeper than 8
// levels, arrays of more than 4,096 entries and more than 262,144 values are
// InvalidArgument.
absl::StatusOr<nlohmann::json> parseCbor(std::string_view bytes);

std::string writeCbor(const nlohmann::json &value);

} // namespace bluebellshift::shell
