// HTTP/1.1 messages as the network layer passes them to the application, and the
// rules that distinguish hop-by-hop from end-to-end headers.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellshift/core/answer.h"

namespace bluebellshift::net {

using Headers = std::vector<core::Header>;

// A complete request. A chunked body is already decoded.
struct Request
{
    std::string method;
    std::string target; // path and query as sent
    Headers headers;
    std::string body;
    bool isKeepAlive = true;
};

// Returns the value of the first header with this name (case-insensitive), or null.
const std::string *findHeader(const Headers &headers, std::string_view name);

// Compares two header names without regard to case.
bool isSameName(std::string_view a, std::string_view b);

// Returns the value of a cookie from the `Cookie` headers; empty if there is none.
std::string findCookie(const Headers &headers, std::string_view name);

// Returns N of `Keep-Alive: timeout=N`, or nothing if the header is absent or N no number.
std::optional<std::chrono::seconds> parseKeepAliveTimeout(const Headers &headers);

// Returns the end-to-end headers without `Content-Length`, which the serializer of
// the message sets again.
Headers endToEndHeaders(const Headers &headers);

// Serializes a request. `Content-Length` is set if the request has a body or its
// method allows one.
std::string serializeRequest(const Request &request);

// Serializes a response. `omitBody` is for the response to HEAD, which carries the
// headers only.
// A response without a final status is written as 502.
std::string serializeResponse(const core::Answer &response, bool closesConnection, bool omitBody);

} // namespace bluebellshift::net
