// Parses and validates callers' HTTP requests.
#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

// One request, split into what is forwarded and what the reducer decides by.
struct ParsedRequest
{
    CallerRequest request;
    core::RequestArrived event; // its `request` id is not set yet
};

// Parses a request to "/s/{service}/{path}". Returns InvalidArgument, with a
// message that names the malformed part, if a target could read the path in more
// than one way, the deadline is not a valid number, or the URL or the body
// contains the caller's key. Other headers that contain the key are dropped.
absl::StatusOr<ParsedRequest> parseCallerRequest(const http::HttpRequest &request);

// Returns the digest of the key in "Authorization: Bearer KEY", or nullopt if
// there is none.
std::optional<core::KeyDigest> keyDigestOf(const http::HttpRequest &request);

// Returns a digest of the content that a retry of a request must repeat
// unchanged.
std::uint64_t contentDigestOf(const std::string &pathAndQuery, const std::string &body);

// Returns the headers without the hop-by-hop ones.
std::vector<core::Header> withoutHopByHop(const std::vector<core::Header> &headers);

} // namespace bluebellshift::daemon
