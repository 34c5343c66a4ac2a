// Raw sockets on the loopback address, to send bytes that no HTTP library would
// send.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace bluebellshift::http::testing {

// Returns a port that was free at the time of the call.
std::uint16_t freePort();

// Sends bytes and returns all received bytes until the server closes the
// connection or sends nothing for `idleTimeoutMillis`.
std::string exchange(std::uint16_t port, const std::string &bytes, int idleTimeoutMillis = 300);

// Accepts one connection at a time, reads a request up to its blank line, sends
// what the responder returns and closes the connection.
class RawServer
{
public:
    using Responder = std::function<std::string(const std::string &request)>;

    explicit RawServer(Responder responder);
    ~RawServer();

    std::uint16_t port() const { return port_; }
    int requestCount() const { return requests_; }

private:
    void run();

    const Responder responder_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    int requests_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace bluebellshift::http::testing
