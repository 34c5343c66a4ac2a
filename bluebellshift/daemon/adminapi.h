// Serves the administration API over HTTP; docs/interface.md lists the calls.
//
//   AdminApi api(operators, hooks);
//   HttpResponse response = api.handle(request);
//
// Every call must carry an operator's key. Reads are answered from this VM's
// view of the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/daemon/requestrunner.h"
#include "bluebellshift/http/httpserver.h"
#include "bluebellshift/shell/operators.h"

namespace bluebellshift::daemon {

class AdminApi
{
public:
    using MakeEvent = std::function<core::EventBody(core::RequestId)>;

    struct Hooks
    {
        // Posts the event of a new request and blocks until its outcome.
        std::function<RequestOutcome(const MakeEvent &)> serve;
        std::function<core::WallTime()> wallTime;
        std::function<void(core::LogRecord)> log;
    };

    AdminApi(shell::Operators operators, Hooks hooks);

    // Blocks until the response is ready. Thread-safe.
    http::HttpResponse handle(const http::HttpRequest &request);

private:
    http::HttpResponse handleObject(const http::HttpRequest &request, const shell::Operator &actor);
    http::HttpResponse readObjects(const std::string &kind, const std::string &name,
                                   const shell::Operator &actor);
    http::HttpResponse changeObject(const http::HttpRequest &request, const std::string &kind,
                                    const std::string &name, const shell::Operator &actor);
    http::HttpResponse handleStatus(const shell::Operator &actor);
    http::HttpResponse reject(int status, const char *code, const std::string &message);
    std::vector<core::Object> findObjects(const std::string &kind, const std::string &name);
    std::optional<core::Object> findObject(const std::string &kind, const std::string &name);

    const shell::Operators operators_;
    const Hooks hooks_;
};

} // namespace bluebellshift::daemon
