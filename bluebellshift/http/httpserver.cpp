// A default endpoint receives every request; routing is left to the handler.
// ulfius does not expose the socket of a connection, which is needed to detect
// that a caller has disconnected, so the sockets that libmicrohttpd reports are
// recorded by the client's address and port.
#include "bluebellshift/http/httpserver.h"
#include "bluebellshift/base/hex.h"

#include <arpa/inet.h>
#include <cstring>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>

#include <ulfius.h>

namespace bluebellshift::http {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size()
            && base::hexValue(text[i + 1]) >= 0 && base::hexValue(text[i + 2]) >= 0;
        if (isEscape) {
            decoded.push_back(
                static_cast<char>(base::hexValue(text[i + 1]) * 16 + base::hexValue(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

// Sockets of open connections, by the client's address and port. Thread-safe.
class SocketTable
{
public:
    static std::uint64_t keyOf(const sockaddr *address)
    {
        if (address == nullptr || address->sa_family != AF_INET)
            return 0;
        const auto *ipv4 = reinterpret_cast<const sockaddr_in *>(address);
        return (static_cast<std::uint64_t>(ntohl(ipv4->sin_addr.s_addr)) << 16)
            | ntohs(ipv4->sin_port);
    }
    void add(std::uint64_t key, int socket)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        sockets_[key] = socket;
    }
    void remove(std::uint64_t key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        sockets_.erase(key);
    }
    // A connection whose socket is unknown counts as open.
    bool isClosed(std::uint64_t key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = sockets_.find(key);
        if (found == sockets_.end())
            return false;
        char byte = 0;
        const ssize_t received = recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno == ECONNRESET);
    }

private:
    std::mutex mutex_;
    std::map<std::uint64_t, int> sockets_;
};

void onConnection(void *user, MHD_Connection *connection, void **,
                  MHD_ConnectionNotificationCode code)
{
    auto *sockets = static_cast<SocketTable *>(user);
    const auto *client = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (client == nullptr)
        return;
    const std::uint64_t key = SocketTable::keyOf(client->client_addr);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        sockets->remove(key);
        return;
    }
    const auto *socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (socket != nullptr)
        sockets->add(key, socket->connect_fd);
}

// ulfius stores one value for each exact spelling of a header name. To send a name
// several times, each occurrence gets a different letter case, which receivers
// ignore.
std::string withVariedCase(std::string name, unsigned occurrence)
{
    for (std::size_t i = 0; i < name.size() && occurrence > 0; ++i) {
        if (std::isalpha(static_cast<unsigned char>(name[i])) == 0)
            continue;
        if ((occurrence & 1) != 0)
            name[i] = static_cast<char>(name[i] ^ 0x20);
        occurrence >>= 1;
    }
    return name;
}

void fillResponse(const HttpResponse &from, _u_response *to)
{
    ulfius_set_binary_body_response(to, static_cast<unsigned>(from.status), from.body.data(),
                                    from.body.size());
    std::map<std::string, unsigned> seen;
    for (const core::Header &header : from.headers) {
        const unsigned occurrence = seen[header.name]++;
        u_map_put(to->map_header, withVariedCase(header.name, occurrence).c_str(),
                  header.value.c_str());
    }
}

} // namespace

const std::string *HttpRequest::header(const char *name) const
{
    for (const core::Header &header : headers) {
        if (strcasecmp(header.name.c_str(), name) == 0)
            return &header.value;
    }
    return nullptr;
}

std::string HttpRequest::parameter(const std::string &name) const
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        std::size_t end = query.find('&', begin);
        if (end == std::string::npos)
            end = query.size();
        const std::string pair = query.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos && percentDecoded(pair.substr(0, equals)) == name)
            return percentDecoded(pair.substr(equals + 1));
        begin = end + 1;
    }
    return {};
}

class HttpServer::Implementation
{
public:
    Implementation(HttpServerOptions options, Handler handler, ErrorHandler errorHandler)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , errorHandler_(std::move(errorHandler))
    {
    }

    absl::Status start();
    void stop();

private:
    static int onRequest(const _u_request *request, _u_response *response, void *user);
    HttpResponse handle(const _u_request &request);
    HttpRequest toHttpRequest(const _u_request &from);
    // Returns the status to reject the request with, or 0 if it is valid.
    int findError(const HttpRequest &request, std::string *message) const;

    const HttpServerOptions options_;
    const Handler handler_;
    const ErrorHandler errorHandler_;
    SocketTable sockets_;
    _u_instance instance_ {};
    bool running_ = false;
};

absl::Status HttpServer::Implementation::start()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.listen.port);
    if (inet_pton(AF_INET, options_.listen.address.c_str(), &address.sin_addr) != 1)
        return absl::InvalidArgumentError("\"" + options_.listen.address
                                          + "\" is not an IPv4 number");
    if (ulfius_init_instance(&instance_, options_.listen.port, &address, nullptr) != U_OK)
        return absl::InternalError("ulfius could not be initialised");
    instance_.check_utf8 = 0;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    // ulfius silently truncates a longer body; the extra byte shows that the limit was
    // exceeded.
    instance_.max_post_body_size = options_.maxBodyBytes + 1;
    ulfius_set_default_endpoint(&instance_, &Implementation::onRequest, this);

    MHD_OptionItem items[] = {
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed),
          nullptr },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr },
        { MHD_OPTION_SOCK_ADDR, 0, &address },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&onConnection), &sockets_ },
        { MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options_.maxConnections), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options_.idleTimeoutSeconds),
          nullptr },
        { MHD_OPTION_CONNECTION_MEMORY_LIMIT,
          static_cast<intptr_t>(options_.maxHeaderBytes + 16 * 1024), nullptr },
        { MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr },
        { MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr },
        { MHD_OPTION_END, 0, nullptr },
    };
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
        | MHD_USE_ITC | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&instance_, flags, items) != U_OK) {
        ulfius_clean_instance(&instance_);
        return absl::UnavailableError("can't listen on " + options_.listen.address + ":"
                                      + std::to_string(options_.listen.port));
    }
    running_ = true;
    return absl::OkStatus();
}

void HttpServer::Implementation::stop()
{
    if (!running_)
        return;
    running_ = false;
    ulfius_stop_framework(&instance_);
    ulfius_clean_instance(&instance_);
}

int HttpServer::Implementation::onRequest(const _u_request *request, _u_response *response,
                                          void *user)
{
    auto *self = static_cast<Implementation *>(user);
    fillResponse(self->handle(*request), response);
    return U_CALLBACK_COMPLETE;
}

HttpResponse HttpServer::Implementation::handle(const _u_request &from)
{
    const HttpRequest request = toHttpRequest(from);
    std::string message;
    const int errorStatus = findError(request, &message);
    if (errorStatus != 0)
        return errorHandler_(errorStatus, message);
    return handler_(request);
}

HttpRequest HttpServer::Implementation::toHttpRequest(const _u_request &from)
{
    HttpRequest request;
    request.method = from.http_verb;
    const std::string url = from.http_url;
    const std::size_t question = url.find('?');
    request.path = url.substr(0, question);
    if (question != std::string::npos)
        request.query = url.substr(question + 1);
    for (int i = 0; i < from.map_header->nb_values; ++i)
        request.headers.push_back({ from.map_header->keys[i], from.map_header->values[i] });
    if (from.binary_body != nullptr)
        request.body.assign(static_cast<const char *>(from.binary_body), from.binary_body_length);
    const std::uint64_t key = SocketTable::keyOf(from.client_address);
    request.clientAddress = static_cast<std::uint32_t>(key >> 16);
    request.isCallerDisconnected = [this, key] { return sockets_.isClosed(key); };
    return request;
}

int HttpServer::Implementation::findError(const HttpRequest &request, std::string *message) const
{
    if (request.header("Content-Length") != nullptr
        && request.header("Transfer-Encoding") != nullptr) {
        *message = "both Content-Length and Transfer-Encoding are given";
        return statusBadRequest;
    }
    if (request.headers.size() > options_.maxHeaders) {
        *message = std::to_string(request.headers.size()) + " headers are more than "
            + std::to_string(options_.maxHeaders);
        return statusHeadersTooLarge;
    }
    std::size_t bytes = request.path.size() + request.query.size();
    for (const core::Header &header : request.headers)
        bytes += header.name.size() + header.value.size();
    if (bytes > options_.maxHeaderBytes) {
        *message = "headers of " + std::to_string(bytes) + " bytes are longer than "
            + std::to_string(options_.maxHeaderBytes);
        return statusHeadersTooLarge;
    }
    if (request.body.size() > options_.maxBodyBytes) {
        *message = "the body is longer than " + std::to_string(options_.maxBodyBytes) + " bytes";
        return statusBodyTooLarge;
    }
    return 0;
}

HttpServer::HttpServer(HttpServerOptions options, Handler handler, ErrorHandler errorHandler)
    : implementation_(std::make_unique<Implementation>(std::move(options), std::move(handler),
                                                       std::move(errorHandler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start()
{
    return implementation_->start();
}

void HttpServer::stop()
{
    implementation_->stop();
}

} // namespace bluebellshift::http
