// Sends HTTP calls with libcurl.
#pragma once

#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/ctl/adminclient.h"

namespace bluebellshift::ctl {

// Opens a new connection for each call, so that libcurl never resends a request.
SendHttp makeCurlTransport(const core::Endpoint &vm, core::Duration timeout);

} // namespace bluebellshift::ctl
