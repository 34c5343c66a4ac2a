// What callers and operators see over HTTP; docs/interface.md lists the calls.
//
//   CallerFace face(hooks);
//   HttpResponse response = face.handle(request);
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

class CallerFace
{
public:
    using MakeEvent = std::function<core::EventBody(core::RequestId)>;

    struct Hooks
    {
        // Posts the event of a new request and serves it to its end.
        std::function<RequestOutcome(CallerRequest, const MakeEvent &,
                                     const std::function<bool()> &isCallerGone)>
            serve;
        std::function<Readiness()> readiness;
        std::function<std::string()> metricsText;
        // Serves /admin/ calls.
        std::function<http::HttpResponse(const http::HttpRequest &)> administrate;
    };

    CallerFace(const base::SnapshotCell<core::SteeringSnapshot> &snapshot, Hooks hooks);

    // Blocks until the answer is there. Safe from many threads.
    http::HttpResponse handle(const http::HttpRequest &request);

private:
    http::HttpResponse lookup(const http::HttpRequest &request);
    http::HttpResponse giveTicket(const http::HttpRequest &request);
    http::HttpResponse serveRequest(const http::HttpRequest &request);
    http::HttpResponse tellReadiness();

    const base::SnapshotCell<core::SteeringSnapshot> &snapshot_;
    const Hooks hooks_;
};

} // namespace bluebellshift::daemon
