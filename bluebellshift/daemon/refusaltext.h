// The text and the HTTP status of each refusal code; docs/interface.md lists
// them.
#pragma once

#include <string>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

struct RefusalText
{
    core::RefusalCode code;
    const char *text; // stable: callers may depend on it
    int status;       // HTTP
};

const RefusalText &refusalTextOf(core::RefusalCode code);

// "not-run", "ran" or "unknown".
const char *runText(core::Run run);

// {"code", "run", "message"} with the status of the code.
http::HttpResponse refusalResponse(const core::Refusal &refusal);

// A refusal by the HTTP server itself, before any decision.
http::HttpResponse faultResponse(int status, const std::string &message);

// A JSON body.
http::HttpResponse jsonResponse(int status, const std::string &body);

} // namespace bluebellshift::daemon
