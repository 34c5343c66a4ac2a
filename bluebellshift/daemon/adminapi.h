// The administration API over HTTP; docs/interface.md lists the calls.
//
//   AdminApi face(operators, hooks);
//   HttpResponse response = face.handle(request);
//
// Every call shows an operator's key. Reads come from this VM's view.
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
        // Posts the event and waits for its end.
        std::function<RequestOutcome(const MakeEvent &)> serve;
        std::function<core::WallTime()> wallTime;
        std::function<void(core::LogRecord)> log;
    };

    AdminApi(shell::Operators operators, Hooks hooks);

    // Blocks until the answer is there. Safe from many threads.
    http::HttpResponse handle(const http::HttpRequest &request);

private:
    http::HttpResponse handleObject(const http::HttpRequest &request, const shell::Operator &by);
    http::HttpResponse readObjects(const std::string &kind, const std::string &name,
                                   const shell::Operator &by);
    http::HttpResponse change(const http::HttpRequest &request, const std::string &kind,
                              const std::string &name, const shell::Operator &by);
    http::HttpResponse tellStatus(const shell::Operator &by);
    http::HttpResponse reject(int status, const char *code, const std::string &message);
    std::vector<core::Object> findObjects(const std::string &kind, const std::string &name);
    std::optional<core::Object> findObject(const std::string &kind, const std::string &name);

    const shell::Operators operators_;
    const Hooks hooks_;
};

} // namespace bluebellshift::daemon
