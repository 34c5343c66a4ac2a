#include "bluebellshift/net/httpserverconnection.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace bluebellshift::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t readBytes = 4096;          // per read call
constexpr std::size_t maxPipelinedRequests = 32; // pending, per connection
constexpr std::chrono::milliseconds lingerTimeout {
    1000
};                                                     // for the caller to read the last response
constexpr std::chrono::seconds bodyIdleTimeout { 10 }; // without a byte of the body
constexpr std::chrono::seconds requestTimeout { 60 };  // for a whole request
constexpr std::chrono::seconds writeTimeout { 30 };    // for the caller to read a response
// How long a caller may pause while all connections are in use.
constexpr std::chrono::milliseconds maxHeadHoldUp { 500 };
constexpr std::chrono::seconds maxHoldUp { 3 };
// A request is held twice while it is forwarded: as received and as sent.
constexpr std::size_t copiesOfRequest = 2;
// Heads of a connection's requests count against the budget only beyond this size: an ordinary
// head of some hundred bytes costs no more than the connection itself.
constexpr std::size_t uncountedHeadBytes = 8 * 1024;
constexpr std::size_t bytesPerHeader = 2 * sizeof(std::string);

std::chrono::microseconds toChrono(core::Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

double toSeconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
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

core::Answer rejection(int status)
{
    core::Answer response { status, {}, {} };
    if (status == 503)
        response.headers.push_back({ "Retry-After", std::to_string(noRoomRetrySeconds) });
    return response;
}

} // namespace

HttpServer::Connection::Connection(HttpServer &server, asio::ip::tcp::socket socket)
    : server_(server)
    , socket_(std::move(socket))
    , requestHolding_(std::make_unique<ByteHolding>(server.budget_))
    , headHolding_(server.budget_)
    , queue_(server.budget_)
    , limits_(server.limits_())
    , lastActivityAt_(Clock::now())
    , lastWrittenAt_(lastActivityAt_)
{
    error_code ignored; // on a broken connection the first read fails
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpServer::Connection::respond(ExchangeId id, const core::Answer &response,
                                     bool closesConnection)
{
    for (Exchange &exchange : exchanges_) {
        if (exchange.id != id)
            continue;
        const bool isLast = &exchange == &exchanges_.back() && buffer_.size() == 0 && !parser_;
        exchange.closesConnection =
            closesConnection || !exchange.isKeepAlive || (server_.isDraining_ && isLast);
        exchange.bytes = serializeResponse(response, exchange.closesConnection, exchange.isHead);
        exchange.holding->set(exchange.bytes->size());
        waitingResponseBytes_ += exchange.bytes->size();
        break;
    }
    flush();
    server_.relieveBudgetSoon();
}

void HttpServer::Connection::checkTimeouts(Clock::time_point now, const ServerLimits &limits)
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
    if (isWriting_ && now - writeStartedAt_ > writeTimeout) {
        close();
        return;
    }
    if (hasRequestStarted()) {
        if (isPaused())
            return;
        if (!parser_->is_header_done() && now - requestStartedAt_ > toChrono(limits.headerTimeout))
            rejectRequest(408);
        else if (parser_->is_header_done()
                 && (now - lastReadAt_ > bodyIdleTimeout
                     || now - requestStartedAt_ > requestTimeout))
            rejectRequest(408);
        return;
    }
    const bool isIdle = exchanges_.empty() && !isWriting_;
    if (isIdle && (server_.isDraining_ || now - lastActivityAt_ > toChrono(limits.idleTimeout)))
        close();
}

bool HttpServer::Connection::hasCallerClosed()
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

bool HttpServer::Connection::isBusy() const
{
    return isWriting_ || !exchanges_.empty() || hasRequestStarted();
}

bool HttpServer::Connection::isIdle() const
{
    return isLingering_ || !isBusy();
}

bool HttpServer::Connection::isHoldingUp(Clock::time_point now) const
{
    if (hasRequestStarted() && exchanges_.empty() && !isWriting_ && !parser_->is_header_done())
        return now - requestStartedAt_ > maxHeadHoldUp;
    return (unreadBytes() > 0 || (arrivingBytes() > 0 && exchanges_.empty()))
        && stalledFor(now) > maxHoldUp;
}

std::size_t HttpServer::Connection::arrivingBytes() const
{
    return hasRequestStarted() ? requestHolding_->bytes() + buffer_.size() : 0;
}

HttpServer::Connection::Clock::duration
HttpServer::Connection::stalledFor(Clock::time_point now) const
{
    if (!queue_.isEmpty())
        return now - lastWrittenAt_;
    // Responses behind a request without one wait for a target, not for the caller.
    return unreadBytes() == 0 && hasRequestStarted() ? now - lastReadAt_ : Clock::duration();
}

double HttpServer::Connection::secondsToDrain(Clock::time_point now) const
{
    const bool isUnread = unreadBytes() > 0;
    const std::size_t held = isUnread ? unreadBytes() : arrivingBytes();
    const std::size_t moved = isUnread ? writtenBytes_ : parser_->get().body().size();
    const auto since = !isUnread ? requestStartedAt_
        : queue_.isEmpty()       ? lastActivityAt_
                                 : writeStartedAt_;
    return static_cast<double>(held) * toSeconds(now - since) / static_cast<double>(moved + 1);
}

void HttpServer::Connection::evict()
{
    if (isClosed_)
        return;
    if (unreadBytes() == 0 && hasRequestStarted()) {
        reportLimit("memory_mb", "rejected");
        rejectRequest(503);
        return;
    }
    reportLimit("memory_mb", "closed");
    reset();
}

void HttpServer::Connection::reportLimit(const char *limit, const char *action)
{
    if (!server_.hooks_.onLimitReached)
        return;
    error_code error;
    const auto caller = socket_.remote_endpoint(error);
    LimitReached reached { limit, "unknown", unreadBytes() + arrivingBytes(), action };
    if (!error)
        reached.caller = caller.address().to_string() + ':' + std::to_string(caller.port());
    server_.hooks_.onLimitReached(reached);
}

void HttpServer::Connection::reset()
{
    error_code ignored; // without the option the close is a regular one
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void HttpServer::Connection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    const auto self = shared_from_this();
    error_code ignored; // the socket is discarded either way
    socket_.close(ignored);
    server_.connections_.erase(self);
    // At once, as the connection itself lives until its cancelled operations have completed.
    queue_.clear();
    requestHolding_->set(0);
    abortPending();
}

bool HttpServer::Connection::hasLastResponse() const
{
    return !exchanges_.empty() && exchanges_.back().bytes && exchanges_.back().closesConnection;
}

void HttpServer::Connection::read()
{
    if (isClosed_ || isReading_ || isPaused() || exchanges_.size() > maxPipelinedRequests)
        return;
    isReading_ = true;
    socket_.async_read_some(buffer_.prepare(readBytes),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                                self->onRead(error, size);
                            });
}

void HttpServer::Connection::onRead(error_code error, std::size_t size)
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
    if (!isRejecting_ && !isClosing_ && !hasLastResponse()) {
        buffer_.commit(size);
        parse(); // isReading_ stays set: a response during parsing must not start another read
    }
    isReading_ = false;
    read();
}

void HttpServer::Connection::parse()
{
    while (!isRejecting_ && !isClosing_ && !isClosed_ && !isPaused() && !hasLastResponse()
           && buffer_.size() > 0) {
        if (!parser_)
            resetParser();
        error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            rejectRequest(toStatus(error));
            return;
        }
        if ((parser_->is_header_done() && !holdRequest()) || !holdHeads()) {
            rejectRequest(503);
            return;
        }
        parser_->eager(parser_->is_header_done());
        if (parser_->is_done()) {
            finishRequest();
            continue;
        }
        // The parser takes trailers, and the line before a chunk, only when they are complete.
        if (parser_->is_header_done() && buffer_.size() > limits_.maxTrailerBytes) {
            reportLimit("trailer_bytes", "rejected");
            rejectRequest(431);
            return;
        }
        sendContinueIfAsked();
        if (error == http::error::need_more || used == 0)
            break;
    }
    if (buffer_.size() == 0)
        buffer_.shrink_to_fit();
}

bool HttpServer::Connection::holdRequest()
{
    const auto length = parser_->content_length();
    const std::uint64_t body = length ? *length : parser_->get().body().size();
    return requestHolding_->resize(copiesOfRequest * static_cast<std::size_t>(body));
}

bool HttpServer::Connection::holdHeads()
{
    const std::size_t bytes = copiesOfRequest * headBytes_ + buffer_.size();
    return headHolding_.resize(std::max(bytes, uncountedHeadBytes) - uncountedHeadBytes);
}

void HttpServer::Connection::resetParser()
{
    limits_ = server_.limits_();
    parser_.emplace();
    parser_->eager(false); // it would make room for the body before its length is checked
    parser_->header_limit(limits_.maxHeaderBytes);
    parser_->body_limit(limits_.maxBodyBytes);
    requestStartedAt_ = Clock::now();
    isExpectChecked_ = false;
}

void HttpServer::Connection::sendContinueIfAsked()
{
    if (isExpectChecked_ || !parser_->is_header_done() || !exchanges_.empty())
        return;
    isExpectChecked_ = true;
    const auto expect = parser_->get().find(http::field::expect);
    if (expect == parser_->get().end() || expect->value() != "100-continue")
        return;
    queue_.push("HTTP/1.1 100 Continue\r\n\r\n");
    write();
}

void HttpServer::Connection::finishRequest()
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
    exchange.headBytes = request.target.size();
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
        exchange.headBytes += name.size() + value.size() + bytesPerHeader;
        request.headers.push_back({ std::string(name), std::string(value) });
    }
    if (hostCount != 1 || request.target.empty() || request.target.front() != '/') {
        rejectRequest(400);
        return;
    }
    headBytes_ += exchange.headBytes;
    if (!holdHeads()) {
        headBytes_ -= exchange.headBytes;
        rejectRequest(503);
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
void HttpServer::Connection::dispatchReady()
{
    const auto self = shared_from_this();
    // A hook may respond, which removes exchanges, and may close the connection.
    while (!isClosed_ && !isClosing_ && !isPaused()) {
        Exchange *exchange = nextReady();
        if (exchange == nullptr)
            return;
        if (server_.requestsInProgress_ >= limits_.maxRequestsInProgress) {
            refuseUndispatched(exchange);
            continue;
        }
        exchange->isDispatched = true;
        ++server_.requestsInProgress_;
        Request request = std::move(*exchange->request);
        exchange->request.reset();
        server_.hooks_.onRequest(exchange->id, std::move(request));
    }
}

// Returns the next exchange that may be dispatched, or null.
HttpServer::Connection::Exchange *HttpServer::Connection::nextReady()
{
    for (Exchange &exchange : exchanges_) {
        if (!exchange.request)
            continue;
        const bool mayBeBehind = isIdempotentMethod(exchange.request->method)
            && server_.requestsInProgress_ < limits_.maxRequestsInProgress;
        return &exchange == &exchanges_.front() || mayBeBehind ? &exchange : nullptr;
    }
    return nullptr;
}

void HttpServer::Connection::refuseUndispatched(Exchange *exchange)
{
    reportLimit("requests_in_progress", "refused");
    if (server_.hooks_.onRejected)
        server_.hooks_.onRejected(503, exchange->request->body.size());
    exchange->request.reset();
    respond(exchange->id, rejection(503), false);
}

// Rejects a request that can't be dispatched and closes the connection after the
// responses that are still pending.
void HttpServer::Connection::rejectRequest(int status)
{
    const std::size_t bodyBytes = parser_ ? parser_->get().body().size() : 0;
    parser_.reset();
    buffer_.clear();
    requestHolding_->set(0);
    if (server_.hooks_.onRejected)
        server_.hooks_.onRejected(status, bodyBytes);
    Exchange exchange;
    exchange.id = ++server_.lastExchange_;
    exchange.closesConnection = true;
    exchange.bytes = serializeResponse(rejection(status), true, false);
    waitingResponseBytes_ += exchange.bytes->size();
    exchanges_.push_back(std::move(exchange));
    isRejecting_ = true;
    flush();
}

// Writes the responses that are next in order.
void HttpServer::Connection::flush()
{
    bool isMoved = false;
    while (!exchanges_.empty() && exchanges_.front().bytes && !isClosing_) {
        Exchange exchange = std::move(exchanges_.front());
        exchanges_.pop_front();
        release(exchange);
        if (queue_.isEmpty()) {
            writeStartedAt_ = Clock::now();
            lastWrittenAt_ = writeStartedAt_;
            writtenBytes_ = 0;
        }
        exchange.holding.reset();
        queue_.push(std::move(*exchange.bytes));
        isClosing_ = exchange.closesConnection;
        server_.exchanges_.erase(exchange.id);
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

// Takes an exchange that is no longer pending out of the sums.
void HttpServer::Connection::release(const Exchange &exchange)
{
    if (exchange.isDispatched)
        --server_.requestsInProgress_;
    waitingResponseBytes_ -= exchange.bytes ? exchange.bytes->size() : 0;
    headBytes_ -= exchange.headBytes;
    holdHeads(); // never fails to shrink
}

// Drops the exchanges behind a response that closes the connection: to the caller,
// these requests were not read. Dispatched ones are aborted as if the caller had
// disconnected.
void HttpServer::Connection::abortPending()
{
    std::deque<Exchange> rest;
    rest.swap(exchanges_);
    // All are removed before the first hook is called, as a hook may respond to other
    // exchanges.
    for (const Exchange &exchange : rest) {
        release(exchange);
        server_.exchanges_.erase(exchange.id);
    }
    for (const Exchange &exchange : rest) {
        if (exchange.isDispatched)
            server_.hooks_.onAborted(exchange.id);
    }
}

void HttpServer::Connection::write()
{
    if (isWriting_ || isClosed_ || queue_.isEmpty())
        return;
    isWriting_ = true;
    socket_.async_write_some(queue_.buffers(),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 self->onWritten(error, size);
                             });
}

void HttpServer::Connection::onWritten(error_code error, std::size_t size)
{
    isWriting_ = false;
    if (isClosed_)
        return;
    if (error) {
        close();
        return;
    }
    const bool wasPaused = isPaused();
    lastWrittenAt_ = Clock::now();
    writtenBytes_ += size;
    if (queue_.consume(size)) {
        writeStartedAt_ = lastWrittenAt_;
        writtenBytes_ = 0;
    }
    if (!queue_.isEmpty()) {
        write();
    } else if (isClosing_) {
        isLingering_ = true;
        lastActivityAt_ = lastWrittenAt_;
        error_code ignored; // on a broken connection the next read fails
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        read();
        return;
    }
    if (!wasPaused || isPaused())
        return;
    // The pause doesn't count for the timeouts of a request that was arriving.
    requestStartedAt_ = lastWrittenAt_;
    lastReadAt_ = lastWrittenAt_;
    dispatchReady();
    if (isClosed_ || isReading_)
        return;
    isReading_ = true; // as in onRead()
    parse();
    isReading_ = false;
    read();
}

} // namespace bluebellshift::net
