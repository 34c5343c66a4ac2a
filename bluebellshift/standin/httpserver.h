// An HTTP server for stand-ins that can misbehave on purpose.
//
//   HttpServer server({ "127.0.0.1", 0 }, HttpServerOptions(),
//                     [](const HttpRequest &request) { return HttpReply(); });
//   absl::Status started = server.start();
//   int port = server.port(); // chosen by the kernel
//
// The handler runs in one thread for each connection and may block. It gets the
// body byte for byte as received.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::standin {

struct HttpRequest
{
    std::string method;
    std::string url;                          // as received, with the query
    std::string path;                         // percent-decoded, without the query
    std::map<std::string, std::string> query; // percent-decoded
    std::vector<core::Header> headers;
    std::string body;
    // Blocks for a length of time. Returns false early when the client closes
    // its connection.
    std::function<bool(core::Duration)> waitWhileConnected;

    // Ignores case; returns "" when there is no such header.
    std::string header(const std::string &name) const;
    // Returns `fallback` when the parameter is missing or not a number.
    std::uint64_t queryNumber(const std::string &parameter, std::uint64_t fallback) const;
};

// How much of the reply reaches the client before the connection is closed.
enum class Delivery {
    Complete,
    Truncated, // Content-Length states the whole body, half of it is sent
    None,      // not one byte
};

struct HttpReply
{
    int status = 200;
    std::vector<core::Header> headers;
    std::string body;
    Delivery delivery = Delivery::Complete;
    std::string extraBytes; // sent after the reply on the same connection
};

using HttpHandler = std::function<HttpReply(const HttpRequest &)>;

struct HttpServerOptions
{
    unsigned maxConnections = 1000;
};

class HttpServer
{
public:
    // Port 0 lets the kernel choose.
    HttpServer(core::Endpoint endpoint, HttpServerOptions options, HttpHandler handler);
    ~HttpServer(); // stops
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    absl::Status start();
    // Waits for running handlers.
    void stop();
    std::uint16_t port() const { return endpoint_.port; }

private:
    struct Instance;

    core::Endpoint endpoint_;
    const HttpServerOptions options_;
    const HttpHandler handler_;
    std::unique_ptr<Instance> instance_; // null while stopped
};

} // namespace bluebellshift::standin
