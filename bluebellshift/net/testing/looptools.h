// Raw sockets and event loop helpers for tests of the network layer. A test waits for
// the expected event; hangLimit only ends a test that hangs.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace bluebellshift::net::testing {

inline constexpr std::chrono::seconds hangLimit { 20 };

// Runs the loop until `isDone` returns true; returns false after hangLimit.
inline bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &isDone)
{
    const auto limit = std::chrono::steady_clock::now() + hangLimit;
    while (!isDone()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        if (loop.stopped())
            loop.restart();
        loop.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
}

// Returns a port that was free at the time of the call.
inline std::uint16_t freePort(boost::asio::io_context &loop)
{
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

// Either end of a connection; records all bytes received.
class RawPeer
{
public:
    explicit RawPeer(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
        read();
    }

    static RawPeer connect(boost::asio::io_context &loop, std::uint16_t port)
    {
        boost::asio::ip::tcp::socket socket(loop);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        return RawPeer(std::move(socket));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(state_->socket, boost::asio::buffer(bytes));
    }
    // Sends while the loop runs, for more bytes than the sockets hold.
    void sendFromLoop(std::string bytes)
    {
        const auto sending = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(state_->socket, boost::asio::buffer(*sending),
                                 [sending](const boost::system::error_code &, std::size_t) {});
    }
    void close() { state_->socket.close(); }
    // Closes with a TCP reset.
    void reset()
    {
        state_->socket.set_option(boost::asio::socket_base::linger(true, 0));
        state_->socket.close();
    }
    void shutDownSend() { state_->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    const std::string &received() const { return state_->received; }
    bool isEnded() const { return state_->isEnded; }

private:
    struct State
    {
        explicit State(boost::asio::ip::tcp::socket connectedSocket)
            : socket(std::move(connectedSocket))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string received;
        char buffer[8192];
        bool isEnded = false;
    };

    void read()
    {
        state_ = std::make_shared<State>(std::move(socket_));
        readMore(state_);
    }
    static void readMore(const std::shared_ptr<State> &state)
    {
        state->socket.async_read_some(
            boost::asio::buffer(state->buffer),
            [state](const boost::system::error_code &error, std::size_t size) {
                state->received.append(state->buffer, size);
                if (error)
                    state->isEnded = true;
                else
                    readMore(state);
            });
    }

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<State> state_;
};

} // namespace bluebellshift::net::testing
