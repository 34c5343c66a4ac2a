// Refusals as HTTP answers; docs/interface.md lists codes and statuses.
#pragma once

#include <string>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

// The HTTP status of a refusal.
int statusOf(core::RefusalCode code);

// {"code", "run", "message"} with the status of the code.
http::HttpResponse refusalResponse(const core::Refusal &refusal);

// A refusal by the HTTP server itself, before any decision.
http::HttpResponse faultResponse(int status, const std::string &message);

// A JSON body.
http::HttpResponse jsonResponse(int status, const std::string &body);

} // namespace bluebellshift::daemon
