// HTTP/1.1 messages as the network layer hands them over, and the rules that
// decide which headers belong to one connection only.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bluebellshift/core/answer.h"

namespace bluebellshift::net {

using Headers = std::vector<core::Header>;

// A whole request, its body decoded from any chunks.
struct Request
{
    std::string method;
    std::string target; // path and query as sent
    Headers headers;
    std::string body;
    bool isKeepAlive = true;
};

// The first header of that name in any letter case, or null.
const std::string *findHeader(const Headers &headers, std::string_view name);

// Whether two header names are the same, in any letter case.
bool isSameName(std::string_view a, std::string_view b);

// The value of one cookie among the `Cookie` headers; empty if there is none.
std::string findCookie(const Headers &headers, std::string_view name);

// The headers that concern more than one connection, without `Content-Length`,
// which whoever writes the message states anew.
Headers endToEndHeaders(const Headers &headers);

// The bytes of a request, with its length stated when it has or may have a body.
std::string serializeRequest(const Request &request);

// The bytes of an answer. `omitBody`: the answer to HEAD, which has no body.
std::string serializeResponse(const core::Answer &response, bool closesConnection, bool omitBody);

} // namespace bluebellshift::net
