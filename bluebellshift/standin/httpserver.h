// An HTTP server for stand-ins that can inject faults into its replies.
//
//   HttpServer server({ "127.0.0.1", 0 }, HttpServerOptions(),
//                     [](const HttpRequest &request) { return HttpReply(); });
//   absl::Status started = server.start();
//   int port = server.port(); // chosen by the kernel
//
// The handler runs in the connection's own thread and may block. It receives the
// body unchanged.
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
    // Blocks for a duration. Returns false early if the client closes its
    // connection.
    std::function<bool(core::Duration)> waitWhileConnected;

    // Ignores the case of the name; returns "" if there is no such header.
    std::string header(const std::string &name) const;
    // Returns `fallback` if the query parameter is missing or not a number.
    std::uint64_t queryNumber(const std::string &parameter, std::uint64_t fallback) const;
};

// How much of a reply the server sends. A connection with an incomplete reply is
// closed.
enum class Delivery {
    Complete,
    Truncated, // Content-Length states the whole body, half of which is sent
    None,      // no byte is sent
};

struct HttpReply
{
    int status = 200;
    std::vector<core::Header> headers;
    std::string body;
    Delivery delivery = Delivery::Complete;
    std::string extraBytes; // sent on the connection after the reply
};

using HttpHandler = std::function<HttpReply(const HttpRequest &)>;

struct HttpServerOptions
{
    unsigned maxConnections = 1000;
};

class HttpServer
{
public:
    // With port 0 the kernel chooses the port.
    HttpServer(core::Endpoint endpoint, HttpServerOptions options, HttpHandler handler);
    ~HttpServer(); // calls stop()
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    absl::Status start();
    // Blocks until all running handlers have returned.
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
