#include "bluebellshift/http/testing/rawsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellshift::http::testing {

namespace {

constexpr std::size_t chunkBytes = 4096;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOnFreePort(std::uint16_t *port)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(listener, 16);
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    *port = ntohs(address.sin_port);
    return listener;
}

// Appends the next bytes received. Returns false at the end of the stream, on an
// error or after `millis` without data.
bool receiveSome(int socket, int millis, std::string *bytes)
{
    pollfd entry { socket, POLLIN, 0 };
    if (poll(&entry, 1, millis) <= 0)
        return false;
    char chunk[chunkBytes];
    const ssize_t count = recv(socket, chunk, sizeof chunk, 0);
    if (count <= 0)
        return false;
    bytes->append(chunk, static_cast<std::size_t>(count));
    return true;
}

} // namespace

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    close(listenOnFreePort(&port));
    return port;
}

std::string exchange(std::uint16_t port, const std::string &bytes, int idleTimeoutMillis)
{
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    std::string received;
    if (connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        while (receiveSome(client, idleTimeoutMillis, &received)) { }
    }
    close(client);
    return received;
}

RawServer::RawServer(Responder responder)
    : responder_(std::move(responder))
{
    listener_ = listenOnFreePort(&port_);
    thread_ = std::thread([this] { run(); });
}

RawServer::~RawServer()
{
    isStopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
}

void RawServer::run()
{
    constexpr int requestTimeoutMillis = 2000;
    while (!isStopping_) {
        const int connection = accept(listener_, nullptr, nullptr);
        if (connection < 0)
            return;
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos
               && receiveSome(connection, requestTimeoutMillis, &request)) { }
        ++requests_;
        const std::string answer = responder_(request);
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        close(connection);
    }
}

} // namespace bluebellshift::http::testing
