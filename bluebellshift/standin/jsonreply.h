// Replies in JSON, and settings from JSON, for the stand-ins' HTTP faces.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "bluebellshift/standin/httpserver.h"

namespace bluebellshift::standin {

HttpReply jsonReply(int status, const nlohmann::json &json);
HttpReply errorReply(int status, const std::string &message);

// Overwrites fields of `json` with those of the JSON object in `text`. Fails
// without a change when a field does not exist in `json` or has another type.
absl::Status updateKnownFields(const std::string &text, nlohmann::json &json);

} // namespace bluebellshift::standin
