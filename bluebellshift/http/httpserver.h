// An HTTP server with one handler, on ulfius.
//
//   HttpServer server(options, [](const HttpRequest &request) {
//       HttpResponse response;
//       response.status = 200;
//       return response;
//   });
//   absl::Status started = server.start();
//
// Each connection has a thread of its own, so the handler may block.
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
    std::size_t bodyBytesMost = 1024 * 1024;
    std::size_t headerBytesMost = 16 * 1024; // request line and all headers
    std::size_t headersMost = 64;
    unsigned connectionsMost = 2000;
    unsigned idleSecondsMost = 60; // a silent connection is closed
};

struct HttpRequest
{
    std::string method;
    std::string path;  // as sent, not decoded
    std::string query; // without the '?'
    std::vector<core::Header> headers;
    std::string body;
    std::uint32_t clientAddress = 0;    // IPv4, host byte order
    std::function<bool()> isCallerGone; // whether the caller closed its connection

    // The value of the first header of that name, in any case; or null.
    const std::string *header(const char *name) const;
    // The decoded value of a query parameter; empty when absent.
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
    // Builds the answer to a request that breaks a limit or the protocol.
    using FaultHandler = std::function<HttpResponse(int status, const std::string &message)>;

    HttpServer(HttpServerOptions options, Handler handler, FaultHandler faultHandler);
    ~HttpServer();

    absl::Status start();
    // Stops listening, then waits for the handlers under way.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace bluebellshift::http
