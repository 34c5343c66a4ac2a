// Each connection keeps one read outstanding, so that a close by the caller is detected
// while its requests are pending. Parsed requests are kept in a queue from the first
// pending one on; earlier responses have been written. Reading is paused while more than
// maxPipelinedRequests requests are pending, which bounds memory to that many bodies per
// connection; meanwhile the check for timeouts asks the socket whether the caller has closed.
//
// A single timer checks all connections for timeouts: one timer per connection would
// cost a wake-up per request.
#include "bluebellshift/net/httpserver.h"

#include <algorithm>
#include <deque>
#include <optional>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace bluebellshift::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

constexpr std::size_t readBytes = 4096;                    // per read call
constexpr std::size_t maxPipelinedRequests = 32;           // pending, per connection
constexpr std::chrono::milliseconds sweepInterval { 250 }; // precision of the timeouts
constexpr std::chrono::milliseconds lingerTimeout {
    1000
};                                                     // for the caller to read the last response
constexpr std::chrono::seconds bodyIdleTimeout { 10 }; // without a byte of the body
constexpr std::chrono::seconds requestTimeout { 60 };  // for a whole request
constexpr std::chrono::seconds writeTimeout { 30 };    // for the caller to read its responses
// A request is held twice while it is forwarded: as received and as sent.
constexpr std::size_t copiesOfRequest = 2;
constexpr int listenBacklog = 1024;

std::chrono::microseconds toChrono(core::Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

// Returns whether a request with this method may be dispatched behind a pending one.
bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

int toStatus(const error_code &error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(HttpServer &server, asio::ip::tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , requestHolding_(std::make_unique<ByteHolding>(server.budget_))
        , responseHolding_(server.budget_)
        , lastActivityAt_(Clock::now())
    {
        error_code ignored; // on a broken connection the first read fails
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    void start() { read(); }

    void respond(ExchangeId id, const core::Answer &response, bool closesConnection)
    {
        for (Exchange &exchange : exchanges_) {
            if (exchange.id != id)
                continue;
            exchange.closesConnection =
                closesConnection || !exchange.isKeepAlive || server_.isDraining_;
            exchange.bytes =
                serializeResponse(response, exchange.closesConnection, exchange.isHead);
            exchange.holding->set(exchange.bytes->size());
            break;
        }
        flush();
    }

    // Enforces the timeouts for headers, bodies, idle and lingering connections, and detects
    // the caller's close while reading is paused.
    void checkTimeouts(Clock::time_point now, const ServerLimits &limits)
    {
        if (!isReading_ && hasCallerClosed()) {
            close();
            return;
        }
        if (isLingering_) {
            if (now - lastActivityAt_ > lingerTimeout)
                close();
            return;
        }
        if (parser_ && hasRequestStarted()) {
            if (!parser_->is_header_done()
                && now - requestStartedAt_ > toChrono(limits.headerTimeout))
                rejectRequest(408);
            else if (parser_->is_header_done()
                     && (now - lastReadAt_ > bodyIdleTimeout
                         || now - requestStartedAt_ > requestTimeout))
                rejectRequest(408);
            return;
        }
        if (isWriting_ && now - writeStartedAt_ > writeTimeout) {
            close();
            return;
        }
        const bool isIdle = exchanges_.empty() && !isWriting_;
        if (isIdle && (server_.isDraining_ || now - lastActivityAt_ > toChrono(limits.idleTimeout)))
            close();
    }

    // Whether the caller has closed the connection. Its close may wait in the socket while other
    // events are handled, and behind bytes that are not read yet.
    bool hasCallerClosed()
    {
        const int handle = socket_.native_handle();
        char byte = 0;
        const ssize_t size = recv(handle, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        if (size == 0)
            return true;
        if (size < 0)
            return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
        pollfd polled { handle, POLLRDHUP, 0 };
        return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    bool isBusy() const
    {
        return isWriting_ || !exchanges_.empty() || (parser_ && hasRequestStarted());
    }

    void reset()
    {
        error_code ignored; // without the option the close is a regular one
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void close()
    {
        if (isClosed_)
            return;
        isClosed_ = true;
        const auto self = shared_from_this();
        error_code ignored; // the socket is discarded either way
        socket_.close(ignored);
        server_.connections_.erase(self);
        abortPending();
    }

private:
    struct Exchange
    {
        ExchangeId id = 0;
        bool isHead = false;
        bool isKeepAlive = true;
        bool isDispatched = false;
        bool closesConnection = false;
        std::optional<Request> request;       // until it is dispatched
        std::optional<std::string> bytes;     // of the response
        std::unique_ptr<ByteHolding> holding; // of the request, then of the response
    };
    using Parser = http::request_parser<http::string_body>;

    // Also true for a part of the head, which the parser has taken from the buffer.
    bool hasRequestStarted() const { return buffer_.size() > 0 || parser_->got_some(); }

    void read()
    {
        if (isClosed_ || isReading_ || exchanges_.size() > maxPipelinedRequests)
            return;
        isReading_ = true;
        socket_.async_read_some(buffer_.prepare(readBytes),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    self->onRead(error, size);
                                });
    }

    void onRead(error_code error, std::size_t size)
    {
        if (isClosed_)
            return;
        if (error) {
            close();
            return;
        }
        lastReadAt_ = Clock::now();
        // Bytes after the last response are read and discarded, so that closing does not
        // send a reset.
        if (!isRejecting_ && !isClosing_) {
            buffer_.commit(size);
            parse(); // isReading_ stays set: a response during parsing must not start another read
        }
        isReading_ = false;
        read();
    }

    void parse()
    {
        while (!isRejecting_ && !isClosing_ && !isClosed_ && buffer_.size() > 0) {
            if (!parser_)
                resetParser();
            error_code error;
            const std::size_t used = parser_->put(buffer_.data(), error);
            buffer_.consume(used);
            if (error && error != http::error::need_more) {
                rejectRequest(toStatus(error));
                return;
            }
            if (parser_->is_header_done() && !holdRequest()) {
                rejectRequest(503);
                return;
            }
            if (parser_->is_done()) {
                finishRequest();
                continue;
            }
            sendContinueIfAsked();
            if (error == http::error::need_more || used == 0)
                break;
        }
        if (buffer_.size() == 0)
            buffer_.shrink_to_fit();
    }

    // Returns whether the budget has room for the request: for its whole body where its
    // length is given, else for what has arrived.
    bool holdRequest()
    {
        const auto length = parser_->content_length();
        const std::uint64_t body = length ? *length : parser_->get().body().size();
        return requestHolding_->resize(copiesOfRequest * static_cast<std::size_t>(body));
    }

    void resetParser()
    {
        const ServerLimits limits = server_.limits_();
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.maxHeaderBytes);
        parser_->body_limit(limits.maxBodyBytes);
        requestStartedAt_ = Clock::now();
        isExpectChecked_ = false;
    }

    void sendContinueIfAsked()
    {
        if (isExpectChecked_ || !parser_->is_header_done() || !exchanges_.empty())
            return;
        isExpectChecked_ = true;
        const auto expect = parser_->get().find(http::field::expect);
        if (expect == parser_->get().end() || expect->value() != "100-continue")
            return;
        outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }

    // Queues the parsed request for dispatch. Rejects requests that are well formed but
    // that a more lenient parser could interpret differently (request smuggling).
    void finishRequest()
    {
        auto message = parser_->release();
        parser_.reset();
        lastActivityAt_ = Clock::now();
        Exchange exchange;
        exchange.id = ++server_.lastExchange_;
        Request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.body = std::move(message.body());
        request.isKeepAlive = message.keep_alive();
        int hostCount = 0;
        for (const auto &field : message) {
            const auto name = field.name_string();
            const auto value = field.value();
            if (field.name() == http::field::host)
                ++hostCount;
            if (field.name() == http::field::transfer_encoding
                && !isSameName({ value.data(), value.size() }, "chunked")) {
                rejectRequest(501);
                return;
            }
            request.headers.push_back({ std::string(name), std::string(value) });
        }
        if (hostCount != 1 || request.target.empty() || request.target.front() != '/') {
            rejectRequest(400);
            return;
        }
        exchange.isHead = request.method == "HEAD";
        exchange.isKeepAlive = request.isKeepAlive;
        exchange.request = std::move(request);
        exchange.holding =
            std::exchange(requestHolding_, std::make_unique<ByteHolding>(server_.budget_));
        server_.exchanges_[exchange.id] = this;
        exchanges_.push_back(std::move(exchange));
        dispatchReady();
    }

    // Dispatches queued requests: idempotent ones at once, others when they are first.
    void dispatchReady()
    {
        const auto self = shared_from_this();
        // A hook may respond, which removes exchanges, and may close the connection.
        while (!isClosed_ && !isClosing_) {
            Exchange *exchange = nextReady();
            if (exchange == nullptr)
                return;
            exchange->isDispatched = true;
            Request request = std::move(*exchange->request);
            exchange->request.reset();
            server_.hooks_.onRequest(exchange->id, std::move(request));
        }
    }

    // Returns the next exchange that may be dispatched, or null.
    Exchange *nextReady()
    {
        for (Exchange &exchange : exchanges_) {
            if (!exchange.request)
                continue;
            const bool isFirst = &exchange == &exchanges_.front();
            return isFirst || isIdempotentMethod(exchange.request->method) ? &exchange : nullptr;
        }
        return nullptr;
    }

    // Rejects a request that can't be dispatched and closes the connection after the
    // responses that are still pending.
    void rejectRequest(int status)
    {
        const std::size_t bodyBytes = parser_ ? parser_->get().body().size() : 0;
        parser_.reset();
        buffer_.clear();
        requestHolding_->set(0);
        if (server_.hooks_.onRejected)
            server_.hooks_.onRejected(status, bodyBytes);
        core::Answer response { status, {}, {} };
        if (status == 503)
            response.headers.push_back({ "Retry-After", std::to_string(noRoomRetrySeconds) });
        Exchange exchange;
        exchange.id = ++server_.lastExchange_;
        exchange.closesConnection = true;
        exchange.bytes = serializeResponse(response, true, false);
        exchanges_.push_back(std::move(exchange));
        isRejecting_ = true;
        flush();
    }

    // Writes the responses that are next in order.
    void flush()
    {
        bool isMoved = false;
        while (!exchanges_.empty() && exchanges_.front().bytes && !isClosing_) {
            Exchange &exchange = exchanges_.front();
            outgoing_ += *exchange.bytes;
            isClosing_ = exchange.closesConnection;
            server_.exchanges_.erase(exchange.id);
            exchanges_.pop_front();
            isMoved = true;
        }
        if (isClosing_)
            abortPending();
        if (!isMoved)
            return;
        lastActivityAt_ = Clock::now();
        write();
        if (!isClosing_ && !exchanges_.empty())
            dispatchReady();
        read();
    }

    // Drops the exchanges behind a response that closes the connection: to the caller,
    // these requests were not read. Dispatched ones are aborted as if the caller had
    // disconnected.
    void abortPending()
    {
        std::deque<Exchange> rest;
        rest.swap(exchanges_);
        // All are removed before the first hook is called, as a hook may respond to other
        // exchanges.
        for (const Exchange &exchange : rest)
            server_.exchanges_.erase(exchange.id);
        for (const Exchange &exchange : rest) {
            if (exchange.isDispatched)
                server_.hooks_.onAborted(exchange.id);
        }
    }

    void write()
    {
        if (isWriting_ || isClosed_ || outgoing_.empty())
            return;
        isWriting_ = true;
        writeStartedAt_ = Clock::now();
        writing_.swap(outgoing_);
        outgoing_.clear();
        responseHolding_.set(writing_.size());
        asio::async_write(
            socket_, asio::buffer(writing_),
            [self = shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(error_code error)
    {
        isWriting_ = false;
        if (isClosed_)
            return;
        if (error) {
            close();
            return;
        }
        std::string().swap(writing_);
        responseHolding_.set(outgoing_.size());
        if (!outgoing_.empty()) {
            write();
        } else if (isClosing_) {
            isLingering_ = true;
            lastActivityAt_ = Clock::now();
            error_code ignored; // on a broken connection the next read fails
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            read();
        }
    }

    HttpServer &server_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::unique_ptr<ByteHolding> requestHolding_; // of the request that is arriving
    ByteHolding responseHolding_;                 // of the responses being written
    std::deque<Exchange> exchanges_;              // pending, in the order of their requests
    std::string outgoing_;
    std::string writing_;
    Clock::time_point lastActivityAt_; // of the last request or response
    Clock::time_point lastReadAt_;
    Clock::time_point requestStartedAt_;
    Clock::time_point writeStartedAt_;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isClosing_ = false;   // the last response is being written
    bool isLingering_ = false; // the last response is written; waiting for the caller to close
    bool isClosed_ = false;
    bool isRejecting_ = false; // a rejected request ends the connection
    bool isExpectChecked_ = false;
};

HttpServer::HttpServer(asio::io_context &loop, ByteBudget &budget,
                       std::function<ServerLimits()> limits, ServerHooks hooks)
    : loop_(loop)
    , budget_(budget)
    , limits_(std::move(limits))
    , hooks_(std::move(hooks))
    , acceptor_(loop)
    , sweepTimer_(loop)
{
}

HttpServer::~HttpServer()
{
    const auto connections = std::move(connections_);
    connections_.clear();
    exchanges_.clear();
    for (const auto &connection : connections)
        connection->close();
}

absl::Status HttpServer::listen(const core::Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        const asio::ip::tcp::endpoint tcpEndpoint(address, endpoint.port);
        acceptor_.open(tcpEndpoint.protocol(), error);
        if (!error)
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            acceptor_.bind(tcpEndpoint, error);
        if (!error)
            acceptor_.listen(listenBacklog, error);
    }
    if (error) {
        return absl::UnavailableError("can't listen on " + endpoint.address + ':'
                                      + std::to_string(endpoint.port) + ": " + error.message());
    }
    accept();
    sweep();
    return absl::OkStatus();
}

void HttpServer::respond(ExchangeId exchange, const core::Answer &response, bool closesConnection)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
        return;
    const std::shared_ptr<Connection> connection = found->second->shared_from_this();
    connection->respond(exchange, response, closesConnection);
}

bool HttpServer::abortIfCallerClosed(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
        return true;
    const std::shared_ptr<Connection> connection = found->second->shared_from_this();
    if (!connection->hasCallerClosed())
        return false;
    connection->close();
    return true;
}

void HttpServer::resetConnection(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found != exchanges_.end())
        found->second->shared_from_this()->reset();
}

void HttpServer::beginDrain()
{
    isDraining_ = true;
}

bool HttpServer::isBusy() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto &connection) { return connection->isBusy(); });
}

void HttpServer::stopListening()
{
    error_code ignored; // no connection is accepted afterwards either way
    acceptor_.close(ignored);
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (error) { // out of descriptors; the next sweep retries
            isAcceptRetryPending_ = true;
            return;
        }
        if (connections_.size() < limits_().maxConnections) {
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->start();
        }
        accept();
    });
}

void HttpServer::sweep()
{
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([this](error_code error) {
        if (error)
            return;
        const auto now = Clock::now();
        const ServerLimits limits = limits_();
        const auto connections = connections_;
        for (const auto &connection : connections)
            connection->checkTimeouts(now, limits);
        if (std::exchange(isAcceptRetryPending_, false) && acceptor_.is_open())
            accept();
        sweep();
    });
}

} // namespace bluebellshift::net
