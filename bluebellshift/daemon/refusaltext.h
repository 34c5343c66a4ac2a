// Converts refusals into HTTP responses; docs/interface.md lists the codes and
// statuses.
#pragma once

#include <string>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

// Returns the HTTP status of a refusal.
int statusOf(core::RefusalCode code);

// Returns a response with the status of the code and the JSON body
// {"code", "run", "message"}.
http::HttpResponse refusalResponse(const core::Refusal &refusal);

// Returns the response to a request that is rejected before the reducer sees it,
// with the code of a malformed request.
http::HttpResponse errorResponse(int status, const std::string &message);

// Returns a response with a JSON body.
http::HttpResponse jsonResponse(int status, const std::string &body);

} // namespace bluebellshift::daemon
