// Routes HTTP requests of callers and operators; docs/interface.md lists the
// calls.
//
//   CallerApi api(snapshot, hooks);
//   HttpResponse response = api.handle(request);
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "bluebellshift/base/snapshotcell.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/lookup.h"
#include "bluebellshift/daemon/pendingrequest.h"
#include "bluebellshift/daemon/readiness.h"
#include "bluebellshift/daemon/requestrunner.h"
#include "bluebellshift/http/httpserver.h"

namespace bluebellshift::daemon {

class CallerApi
{
public:
    using MakeEvent = std::function<core::EventBody(core::RequestId)>;

    struct Hooks
    {
        // Posts the event of a new request and blocks until its outcome.
        std::function<RequestOutcome(CallerRequest, const MakeEvent &,
                                     const std::function<bool()> &isCallerDisconnected)>
            serve;
        std::function<Readiness()> readiness;
        std::function<std::string()> metricsText;
        // Handles calls below /admin/.
        std::function<http::HttpResponse(const http::HttpRequest &)> handleAdminRequest;
    };

    CallerApi(const base::SnapshotCell<core::SteeringSnapshot> &snapshot, Hooks hooks);

    // Blocks until the response is ready. Thread-safe.
    http::HttpResponse handle(const http::HttpRequest &request);

private:
    http::HttpResponse lookup(const http::HttpRequest &request);
    http::HttpResponse issueTicket(const http::HttpRequest &request);
    http::HttpResponse serveRequest(const http::HttpRequest &request);
    http::HttpResponse handleReadiness();

    const base::SnapshotCell<core::SteeringSnapshot> &snapshot_;
    const Hooks hooks_;
};

} // namespace bluebellshift::daemon
