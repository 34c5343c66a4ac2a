// An HTTP server with a single handler, based on ulfius.
//
//   auto handler = [](const HttpRequest &request) {
//       HttpResponse response;
//       response.status = 200;
//       return response;
//   };
//   HttpServer server(options, handler, errorHandler);
//   absl::Status started = server.start();
//
// Each connection has its own thread, so the handlers may block and must be
// thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/roster.h"

namespace bluebellshift::http {

struct HttpServerOptions
{
    core::Endpoint listen;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024; // request line and all headers
    std::size_t maxHeaders = 64;
    unsigned maxConnections = 2000;
    unsigned idleTimeoutSeconds = 60; // then an idle connection is closed
};

struct HttpRequest
{
    std::string method;
    std::string path;  // as received, not percent-decoded
    std::string query; // without the '?'
    std::vector<core::Header> headers;
    std::string body;
    std::uint32_t clientAddress = 0;            // IPv4, host byte order
    std::function<bool()> isCallerDisconnected; // whether the caller closed the connection

    // Returns the value of the first header with that name, compared without case,
    // or null.
    const std::string *header(const char *name) const;
    // Returns the decoded value of a query parameter; empty if it is absent.
    std::string parameter(const std::string &name) const;
};

struct HttpResponse
{
    int status = 200;
    std::vector<core::Header> headers;
    std::string body;
};

class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;
    // Builds the response to a request that violates a limit or the protocol.
    using ErrorHandler = std::function<HttpResponse(int status, const std::string &message)>;

    HttpServer(HttpServerOptions options, Handler handler, ErrorHandler errorHandler);
    ~HttpServer();

    // Returns InvalidArgument if the address is malformed, Unavailable if the server
    // can't listen on it, and Internal if ulfius fails.
    absl::Status start();
    // Stops listening, then waits for the handlers in progress.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace bluebellshift::http
