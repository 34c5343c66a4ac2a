// HTTP calls by libcurl.
#pragma once

#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/ctl/adminclient.h"

namespace bluebellshift::ctl {

// Each call goes out on a new connection, which libcurl never sends again on.
SendHttp makeCurlTransport(const core::Endpoint &vm, core::Duration timeout);

} // namespace bluebellshift::ctl
