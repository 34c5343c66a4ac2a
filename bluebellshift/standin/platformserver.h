// The HTTP server of the platform's stand-in; docs/interface.md describes the
// protocol.
//
//   PlatformServer server(service, { "127.0.0.1", 0 });
//   absl::Status started = server.start();
#pragma once

#include "bluebellshift/standin/httpserver.h"
#include "bluebellshift/standin/platformservice.h"

namespace bluebellshift::standin {

// Answers one request to the object API or below /standin/.
HttpReply servePlatform(PlatformService &service, const HttpRequest &request);

class PlatformServer
{
public:
    // `service` must outlive the server; stop() closes it.
    PlatformServer(PlatformService &service, core::Endpoint endpoint);
    ~PlatformServer();

    absl::Status start() { return server_.start(); }
    void stop();
    std::uint16_t port() const { return server_.port(); }

private:
    PlatformService &service_;
    HttpServer server_;
};

} // namespace bluebellshift::standin
