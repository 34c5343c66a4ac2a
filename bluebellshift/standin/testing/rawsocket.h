// Plain loopback sockets, for tests that check the bytes on the wire.
//
//   RawConnection connection(port);
//   connection.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
//   RawReply reply = connection.readReply();
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace bluebellshift::standin {

struct RawReply
{
    int status = 0;   // 0: the connection closed before the status line arrived
    std::string head; // status line and headers
    std::string body; // the received part of the Content-Length bytes
    bool isWhole = false;

    // Returns "" if there is no such header.
    std::string header(const std::string &name) const;
};

class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    // Takes ownership of a connected socket.
    static RawConnection adopt(int socket);
    ~RawConnection();
    RawConnection(RawConnection &&other) noexcept;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(const std::string &bytes);
    RawReply readReply();
    // Reads up to and including `end`, or all that arrives before the peer closes.
    std::string readUntil(const std::string &end);
    std::string readBytes(std::size_t count);
    // Blocks until a byte is available. Returns false if the peer has closed.
    bool waitForBytes();
    // Reads and discards all that arrives before the peer closes.
    void waitForEnd();
    void close();
    // Closes with a TCP reset.
    void reset();
    void shutDownSend();

private:
    RawConnection() = default;
    bool readMore();

    int socket_ = -1;
    std::string buffer_;
};

class RawListener
{
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    std::uint16_t port() const { return port_; }
    RawConnection accept();
    // Returns whether accept() would return at once.
    bool hasConnection() const;

private:
    int socket_ = -1;
    std::uint16_t port_ = 0;
};

// Accepts one connection, reads the request's head and a part of its body, replies without
// reading the rest, and ends the connection.
class EarlyReplier
{
public:
    enum class Ending { Reset, ShutDownSend };

    EarlyReplier(std::string reply, Ending ending, std::size_t readBodyBytes,
                 std::chrono::milliseconds pauseBeforeEnd = {});
    ~EarlyReplier(); // waits for the connection's end

    std::uint16_t port() const { return listener_.port(); }

private:
    RawListener listener_;
    std::thread thread_;
};

} // namespace bluebellshift::standin
