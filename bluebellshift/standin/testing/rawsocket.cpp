// Blocking sockets with a buffer for bytes that were read past the end of a reply.
#include "bluebellshift/standin/testing/rawsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace bluebellshift::standin {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

std::string RawReply::header(const std::string &name) const
{
    std::size_t line = head.find("\r\n");
    while (line != std::string::npos) {
        line += 2;
        const bool isMatch = strncasecmp(head.c_str() + line, name.c_str(), name.size()) == 0;
        if (isMatch && head.compare(line + name.size(), 2, ": ") == 0) {
            const std::size_t begin = line + name.size() + 2;
            return head.substr(begin, head.find("\r\n", begin) - begin);
        }
        line = head.find("\r\n", line);
    }
    return std::string();
}

RawConnection::RawConnection(std::uint16_t port)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(port);
    if (connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        close();
}

RawConnection RawConnection::adopt(int socket)
{
    RawConnection connection;
    connection.socket_ = socket;
    return connection;
}

RawConnection::RawConnection(RawConnection &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
    , buffer_(std::move(other.buffer_))
{
}

RawConnection::~RawConnection()
{
    close();
}

void RawConnection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

void RawConnection::reset()
{
    const linger discard { 1, 0 };
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    close();
}

void RawConnection::shutDownSend()
{
    shutdown(socket_, SHUT_WR);
}

void RawConnection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<std::size_t>(n);
    }
}

bool RawConnection::readMore()
{
    char bytes[16384];
    const ssize_t n = recv(socket_, bytes, sizeof(bytes), 0);
    if (n <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
}

bool RawConnection::waitForBytes()
{
    return !buffer_.empty() || readMore();
}

void RawConnection::waitForEnd()
{
    while (!readBytes(readChunkBytes).empty()) { }
}

std::string RawConnection::readUntil(const std::string &end)
{
    std::size_t found = buffer_.find(end);
    while (found == std::string::npos && readMore())
        found = buffer_.find(end);
    return readBytes(found == std::string::npos ? buffer_.size() : found + end.size());
}

std::string RawConnection::readBytes(std::size_t count)
{
    while (buffer_.size() < count && readMore()) { }
    std::string bytes = buffer_.substr(0, count);
    buffer_.erase(0, bytes.size());
    return bytes;
}

RawReply RawConnection::readReply()
{
    RawReply reply;
    reply.head = readUntil("\r\n\r\n");
    if (reply.head.rfind("HTTP/1.1 ", 0) != 0)
        return reply;
    reply.status = std::atoi(reply.head.c_str() + 9);
    const auto length = std::strtoull(reply.header("Content-Length").c_str(), nullptr, 10);
    reply.body = readBytes(length);
    reply.isWhole = reply.body.size() == length;
    return reply;
}

RawListener::RawListener()
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    if (bind(socket_, generic, size) == 0 && listen(socket_, SOMAXCONN) == 0)
        getsockname(socket_, generic, &size);
    port_ = ntohs(address.sin_port);
}

RawListener::~RawListener()
{
    close(socket_);
}

RawConnection RawListener::accept()
{
    return RawConnection::adopt(::accept(socket_, nullptr, nullptr));
}

bool RawListener::hasConnection() const
{
    pollfd entry { socket_, POLLIN, 0 };
    return poll(&entry, 1, 0) > 0;
}

EarlyReplier::EarlyReplier(std::string reply, Ending ending, std::size_t readBodyBytes,
                           std::chrono::milliseconds pauseBeforeEnd)
    : thread_([this, reply = std::move(reply), ending, readBodyBytes, pauseBeforeEnd] {
        RawConnection connection = listener_.accept();
        connection.readUntil("\r\n\r\n");
        connection.readBytes(readBodyBytes);
        connection.send(reply);
        std::this_thread::sleep_for(pauseBeforeEnd);
        if (ending == Ending::Reset) {
            connection.reset();
            return;
        }
        connection.shutDownSend();
        connection.waitForEnd();
    })
{
}

EarlyReplier::~EarlyReplier()
{
    thread_.join();
}

} // namespace bluebellshift::standin
