// Turns a caller's HTTP request into what the daemon works with, or says what
// is wrong with it.
#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

// Both halves of one request: what the shell keeps and what the reducer sees.
struct ParsedRequest
{
    CallerRequest request;
    core::RequestArrived event; // `request` id not yet set
};

// Reads a request to "/s/{service}/{path}". InvalidArgument says which part is
// malformed: a path that a target could read in more than one way, a deadline
// that is no number, or the caller's key outside its header.
absl::StatusOr<ParsedRequest> parseCallerRequest(const http::HttpRequest &request);

// The digest of the key in "Authorization: Bearer KEY", or nothing.
std::optional<core::KeyDigest> keyDigestOf(const http::HttpRequest &request);

// A digest of what a retry of the same request must repeat.
std::uint64_t contentDigestOf(const std::string &pathAndQuery, const std::string &body);

// Removes headers that belong to one connection only.
std::vector<core::Header> withoutHopByHop(const std::vector<core::Header> &headers);

} // namespace bluebellshift::daemon
