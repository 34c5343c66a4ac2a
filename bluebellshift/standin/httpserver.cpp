// Runs ulfius with one thread for each connection, started with options of
// libmicrohttpd for two reasons. The listening socket is created here, so that
// the kernel can choose the port. And the sockets of open connections are tracked:
// ulfius cannot close a connection without a reply, so Delivery::None shuts the
// socket down directly, which the library handles as a disconnected client. The
// same table is used to detect a client that disconnects while its request is
// being served, and to send bytes after a reply.
#include "bluebellshift/standin/httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <mutex>

namespace bluebellshift::standin {

std::string HttpRequest::header(const std::string &name) const
{
    for (const core::Header &h : headers) {
        if (strcasecmp(h.name.c_str(), name.c_str()) == 0)
            return h.value;
    }
    return std::string();
}

std::uint64_t HttpRequest::queryNumber(const std::string &parameter, std::uint64_t fallback) const
{
    const auto found = query.find(parameter);
    if (found == query.end() || found->second.empty())
        return fallback;
    char *end = nullptr;
    const std::uint64_t value = std::strtoull(found->second.c_str(), &end, 10);
    return *end == '\0' ? value : fallback;
}

namespace {

// The open connections by the client's address and port.
class ConnectionTable
{
public:
    void add(const sockaddr *client, int socket)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_[keyOf(client)] = { socket, std::string() };
    }
    void remove(const sockaddr *client)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(keyOf(client));
    }
    // Returns -1 if there is no such connection.
    int socketOf(const sockaddr *client)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = connections_.find(keyOf(client));
        return found == connections_.end() ? -1 : found->second.socket;
    }
    void queueAfterReply(const sockaddr *client, const std::string &bytes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = connections_.find(keyOf(client));
        if (found != connections_.end())
            found->second.bytesAfterReply = bytes;
    }
    void sendQueuedBytes(const sockaddr *client)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = connections_.find(keyOf(client));
        if (found == connections_.end() || found->second.bytesAfterReply.empty())
            return;
        const std::string bytes = std::move(found->second.bytesAfterReply);
        found->second.bytesAfterReply.clear();
        send(found->second.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

private:
    struct Connection
    {
        int socket = -1;
        std::string bytesAfterReply;
    };

    static std::uint64_t keyOf(const sockaddr *client)
    {
        const auto *in = reinterpret_cast<const sockaddr_in *>(client);
        return (static_cast<std::uint64_t>(in->sin_addr.s_addr) << 16) | in->sin_port;
    }

    std::mutex mutex_;
    std::map<std::uint64_t, Connection> connections_;
};

const sockaddr *clientOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return info == nullptr ? nullptr : info->client_addr;
}

void connectionChanged(void *user, MHD_Connection *connection, void **,
                       MHD_ConnectionNotificationCode code)
{
    auto *sockets = static_cast<ConnectionTable *>(user);
    const sockaddr *client = clientOf(connection);
    if (client == nullptr)
        return;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        sockets->remove(client);
        return;
    }
    const auto *socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (socket != nullptr)
        sockets->add(client, socket->connect_fd);
}

void requestCompleted(void *user, MHD_Connection *connection, void **request,
                      MHD_RequestTerminationCode code)
{
    mhd_request_completed(nullptr, connection, request, code);
    const sockaddr *client = clientOf(connection);
    if (client != nullptr)
        static_cast<ConnectionTable *>(user)->sendQueuedBytes(client);
}

// Returns false when the client closes its connection. POLLRDHUP is not set by a
// pipelined request.
bool waitWhileOpen(int socket, core::Duration duration)
{
    pollfd entry { socket, POLLRDHUP, 0 };
    return poll(&entry, 1, static_cast<int>(duration.toMillis())) <= 0;
}

// A body that ends before the length that Content-Length states.
struct TruncatedBody
{
    std::string sent;

    static ssize_t next(void *user, std::uint64_t offset, char *out, std::size_t most)
    {
        const auto *body = static_cast<TruncatedBody *>(user);
        if (offset >= body->sent.size())
            return U_STREAM_ERROR;
        const std::size_t count = std::min<std::size_t>(most, body->sent.size() - offset);
        std::memcpy(out, body->sent.data() + offset, count);
        return static_cast<ssize_t>(count);
    }
    static void free(void *user) { delete static_cast<TruncatedBody *>(user); }
};

// ulfius passes the path on undecoded.
std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size()
            && std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0
            && std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (!isEscape) {
            out += text[i];
            continue;
        }
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return out;
}

HttpRequest requestOf(const _u_request *from)
{
    HttpRequest request;
    request.method = from->http_verb;
    request.url = from->http_url;
    request.path = percentDecoded(from->url_path);
    for (const char **key = u_map_enum_keys(from->map_url); *key != nullptr; ++key)
        request.query[*key] = u_map_get(from->map_url, *key);
    for (const char **key = u_map_enum_keys(from->map_header); *key != nullptr; ++key)
        request.headers.push_back({ *key, u_map_get(from->map_header, *key) });
    if (from->binary_body_length > 0)
        request.body.assign(static_cast<const char *>(from->binary_body), from->binary_body_length);
    return request;
}

void fillResponse(_u_response *response, const HttpReply &reply)
{
    for (const core::Header &header : reply.headers)
        u_map_put(response->map_header, header.name.c_str(), header.value.c_str());
    const auto status = static_cast<unsigned>(reply.status);
    if (reply.delivery == Delivery::Complete) {
        ulfius_set_binary_body_response(response, status, reply.body.data(), reply.body.size());
        return;
    }
    auto *cut = new TruncatedBody { reply.body.substr(0, reply.body.size() / 2) };
    ulfius_set_stream_response(response, status, &TruncatedBody::next, &TruncatedBody::free,
                               reply.body.size() + 1, 4096, cut);
}

absl::Status systemError(const std::string &what)
{
    return absl::UnavailableError(what + ": " + std::strerror(errno));
}

} // namespace

struct HttpServer::Instance
{
    explicit Instance(const HttpHandler &serve)
        : handler(serve)
    {
    }
    ~Instance()
    {
        if (isRunning)
            ulfius_stop_framework(&ulfius);
        if (isInitialised)
            ulfius_clean_instance(&ulfius);
        else if (listener >= 0)
            close(listener);
    }

    absl::Status listen(core::Endpoint &endpoint);
    absl::Status run(std::uint16_t port, unsigned maxConnections);
    static int serve(const _u_request *request, _u_response *response, void *user);

    const HttpHandler &handler;
    ConnectionTable sockets;
    _u_instance ulfius {};
    int listener = -1;
    bool isInitialised = false;
    bool isRunning = false;
};

// Creates the listening socket and stores its port in `endpoint`.
absl::Status HttpServer::Instance::listen(core::Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return absl::InvalidArgumentError("address \"" + endpoint.address
                                          + "\" is not an IPv4 address");
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener < 0)
        return systemError("cannot create a socket");
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    if (bind(listener, generic, size) != 0 || ::listen(listener, SOMAXCONN) != 0)
        return systemError("cannot listen on port " + std::to_string(endpoint.port));
    getsockname(listener, generic, &size);
    endpoint.port = ntohs(address.sin_port);
    return absl::OkStatus();
}

absl::Status HttpServer::Instance::run(std::uint16_t port, unsigned maxConnections)
{
    if (ulfius_init_instance(&ulfius, port, nullptr, nullptr) != U_OK)
        return absl::InternalError("cannot initialise ulfius");
    isInitialised = true;
    ulfius.check_utf8 = 0;
    ulfius.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&ulfius, &Instance::serve, this);
    MHD_OptionItem options[] = {
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&requestCompleted), &sockets },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&connectionChanged), &sockets },
        { MHD_OPTION_LISTEN_SOCKET, listener, nullptr },
        { MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(maxConnections), nullptr },
        { MHD_OPTION_END, 0, nullptr },
    };
    const unsigned flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&ulfius, flags, options) != U_OK)
        return absl::InternalError("cannot start ulfius on port " + std::to_string(port));
    isRunning = true;
    return absl::OkStatus();
}

int HttpServer::Instance::serve(const _u_request *from, _u_response *response, void *user)
{
    auto *instance = static_cast<Instance *>(user);
    ConnectionTable &sockets = instance->sockets;
    const int socket = sockets.socketOf(from->client_address);
    HttpRequest request = requestOf(from);
    request.waitWhileConnected = [socket](core::Duration duration) {
        return waitWhileOpen(socket, duration);
    };
    const HttpReply reply = instance->handler(request);
    if (reply.delivery == Delivery::None)
        shutdown(socket, SHUT_RDWR);
    if (!reply.extraBytes.empty())
        sockets.queueAfterReply(from->client_address, reply.extraBytes);
    fillResponse(response, reply);
    return U_CALLBACK_COMPLETE;
}

HttpServer::HttpServer(core::Endpoint endpoint, HttpServerOptions options, HttpHandler handler)
    : endpoint_(std::move(endpoint))
    , options_(options)
    , handler_(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start()
{
    auto instance = std::make_unique<Instance>(handler_);
    absl::Status status = instance->listen(endpoint_);
    if (status.ok())
        status = instance->run(endpoint_.port, options_.maxConnections);
    if (status.ok())
        instance_ = std::move(instance);
    return status;
}

void HttpServer::stop()
{
    instance_.reset();
}

} // namespace bluebellshift::standin
