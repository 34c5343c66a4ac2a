// Raw sockets on the loopback address, for what no HTTP library would send.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace bluebellshift::http::testing {

// A port that was free a moment ago.
std::uint16_t freePort();

// Sends bytes and returns all that comes back until the server closes, stops
// for `quietMillis`, or `untilBytes` have come.
std::string exchange(std::uint16_t port, const std::string &bytes, int quietMillis = 300);

// Listens, and for each connection reads a request up to its blank line and
// lets `answer` say what to send; then closes the connection.
class RawServer
{
public:
    using Answer = std::function<std::string(const std::string &request)>;

    explicit RawServer(Answer answer);
    ~RawServer();

    std::uint16_t port() const { return port_; }
    int requestCount() const { return requests_; }

private:
    void run();

    const Answer answer_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    int requests_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace bluebellshift::http::testing
