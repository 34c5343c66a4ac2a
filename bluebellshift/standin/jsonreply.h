// JSON replies and JSON settings for the stand-ins' HTTP servers.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "bluebellshift/standin/httpserver.h"

namespace bluebellshift::standin {

HttpReply jsonReply(int status, const nlohmann::json &json);
HttpReply errorReply(int status, const std::string &message);

// Overwrites fields of `json` with those of the JSON object in `text`. Changes
// nothing and fails with InvalidArgument if a field does not exist in `json` or has
// another type. Numbers must not be negative.
absl::Status updateKnownFields(const std::string &text, nlohmann::json &json);

} // namespace bluebellshift::standin
