// Each connection keeps one read outstanding for its whole lifetime. While the
// connection is idle, any completion of that read closes it: a close, a reset or
// unsolicited bytes. This is the cheapest way to notice that a target closed the
// connection before the next request, and the only way to detect a duplicate response
// that arrives late.
//
// A duplicate response may also arrive after the next request has been sent. The
// echoed request id distinguishes it from the expected response; the connection is
// then not reused.
//
// A socket reports a reset once, to the read or to the write, and the next read then meets
// a plain end of stream. A response whose body ends with the connection is therefore
// judged when the last write has completed too.
#include "bluebellshift/net/httpclient.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "bluebellshift/net/httpmessage.h"
#include "bluebellshift/net/readdeadline.h"
#include "bluebellshift/net/socketoptions.h"

namespace bluebellshift::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

constexpr std::size_t readBytes = 4096;              // per read call
constexpr std::size_t maxWriteBytes = 64 * 1024;     // per write call
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;  // of a response
constexpr std::size_t maxIdleConnections = 8;        // per pool
constexpr std::chrono::seconds maxIdleTimeout { 8 }; // also the default without a Keep-Alive header
constexpr std::chrono::milliseconds idleTimeoutMargin { 1000 }; // before the peer's own timeout
constexpr std::chrono::seconds sweepInterval { 1 };
constexpr int maxMismatchedResponses = 2; // responses to other requests
constexpr int switchingProtocols = 101;
constexpr int maxInterimResponses = 8; // 1xx, before the final response

std::chrono::microseconds toChrono(core::Duration duration)
{
    return std::chrono::microseconds(duration.toMicros());
}

} // namespace

const char *toText(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::ConnectFailed:
        return "connect-failed";
    case CallOutcome::Cut:
        return "cut";
    case CallOutcome::Malformed:
        return "malformed";
    case CallOutcome::TooLarge:
        return "too-large";
    case CallOutcome::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection>
{
public:
    Connection(HttpClient &client, std::string pool)
        : client_(client)
        , pool_(std::move(pool))
        , socket_(client.loop_)
        , timer_(client.loop_)
        , holding_(client.budget_)
    {
    }

    const std::string &pool() const { return pool_; }
    Clock::time_point idleSince() const { return idleSince_; }
    bool isExpired(Clock::time_point now) const { return now - idleSince_ >= idleTimeout_; }

    void startCall(CallId call, const core::Endpoint &endpoint, std::string bytes,
                   const CallOptions &options, Callback callback)
    {
        call_ = call;
        options_ = options;
        readDeadline_ = ReadDeadline(toChrono(options.readIdleTimeout), options.minBytesPerSecond);
        callback_ = std::move(callback);
        outgoing_ = std::move(bytes);
        isWritten_ = false;
        writeError_.clear();
        response_.reset();
        result_ = CallResult();
        result_.isReused = isConnected_;
        mismatchedResponses_ = 0;
        interimResponses_ = 0;
        resetParser();
        deadline_ = Clock::now() + toChrono(options.timeout);
        if (isConnected_) {
            setTimer(deadline_, CallOutcome::TimedOut);
            write();
            return;
        }
        connect(endpoint);
    }

    // Closes the connection of a call that has no response, without invoking the callback. A
    // reset discards what the socket still holds of the request: a regular close would deliver
    // it, however late.
    void abort()
    {
        error_code ignored; // without the option the close is a regular one
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    // Closes the connection without invoking the callback.
    void close()
    {
        callback_ = nullptr;
        call_ = 0;
        isClosed_ = true;
        holding_.set(0);
        error_code ignored; // the socket is discarded either way
        timer_.cancel(ignored);
        socket_.close(ignored);
    }

private:
    using Parser = http::response_parser<http::string_body>;

    void connect(const core::Endpoint &endpoint)
    {
        error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (error) {
            asio::post(client_.loop_,
                       [self = shared_from_this()] { self->finish(CallOutcome::ConnectFailed); });
            return;
        }
        ++client_.connectionsMade_;
        connectStartedAt_ = Clock::now();
        setTimer(std::min(deadline_, Clock::now() + toChrono(options_.connectTimeout)),
                 CallOutcome::ConnectFailed);
        socket_.async_connect(
            { address, endpoint.port },
            [self = shared_from_this()](error_code failed) { self->onConnected(failed); });
    }

    void onConnected(error_code error)
    {
        if (isClosed_)
            return;
        if (error) {
            finish(CallOutcome::ConnectFailed);
            return;
        }
        isConnected_ = true;
        result_.connectTime = core::Duration::micros(
            std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - connectStartedAt_)
                .count());
        setClientSocketOptions(socket_);
        setTimer(deadline_, CallOutcome::TimedOut);
        read();
        write();
    }

    void setTimer(Clock::time_point at, CallOutcome outcome)
    {
        // A wait that has expired can't be cancelled: its completion may still be queued in
        // the loop when the next wait starts. The generation identifies such a stale completion.
        const std::uint64_t generation = ++timerGeneration_;
        timer_.expires_at(at);
        timer_.async_wait([self = shared_from_this(), outcome, generation](error_code error) {
            if (!error && self->timerGeneration_ == generation && self->call_ != 0
                && !self->isClosed_)
                self->finish(outcome);
        });
    }

    void write()
    {
        isWriting_ = true;
        // The rest of the request is of no use once the peer has closed its side after the
        // response.
        const auto nextBytes = [self = shared_from_this()](error_code error, std::size_t) {
            return error || self->isStreamEnded_ ? 0 : maxWriteBytes;
        };
        asio::async_write(socket_, asio::buffer(outgoing_), nextBytes,
                          [self = shared_from_this()](error_code error, std::size_t size) {
                              self->onWritten(error, size);
                          });
    }

    void onWritten(error_code error, std::size_t size)
    {
        isWriting_ = false;
        if (isClosed_)
            return;
        // A broken connection ends the call only by the read, after any response that
        // arrived before.
        isWritten_ = !error && size == outgoing_.size();
        writeError_ = error;
        if (isStreamEnded_)
            finishAtStreamEnd();
    }

    void read()
    {
        socket_.async_read_some(buffer_.prepare(readBytes),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    self->onRead(error, size);
                                });
    }

    void onRead(error_code error, std::size_t size)
    {
        if (isClosed_)
            return;
        if (call_ == 0) { // idle
            client_.removeIdle(this);
            close();
            return;
        }
        if (error) {
            onReadFailed(error);
            return;
        }
        result_.hasResponseStarted = true;
        if (options_.readIdleTimeout > core::Duration()) {
            readDeadline_.onBytes(Clock::now(), size);
            setTimer(readDeadline_.at(), CallOutcome::TimedOut);
        }
        buffer_.commit(size);
        parse();
        if (!isClosed_)
            read();
    }

    void onReadFailed(error_code error)
    {
        error_code parsed;
        if (error == asio::error::eof && parser_->got_some()) {
            parser_->put_eof(parsed);
            if (!parsed && parser_->is_done()) {
                isStreamEnded_ = true;
                if (!isWriting_)
                    finishAtStreamEnd();
                else
                    socket_.cancel(parsed); // a write that is not done completes at once
                return;
            }
        }
        finish(CallOutcome::Cut);
    }

    // Finishes a call whose response ends with the connection.
    void finishAtStreamEnd()
    {
        // EPIPE: the target had closed its side in order before it reset the connection.
        if (writeError_ && writeError_ != asio::error::broken_pipe
            && writeError_ != asio::error::operation_aborted) {
            finish(CallOutcome::Cut);
            return;
        }
        isReusable_ = false;
        processResponse();
        if (!isClosed_) // it was the response to another request
            finish(CallOutcome::Cut);
    }

    void resetParser()
    {
        parser_.emplace();
        parser_->eager(false); // it would make room for the body before it checks the length
        parser_->header_limit(maxHeaderBytes);
        parser_->body_limit(client_.budget_.largestHolding());
        parser_->skip(options_.isHead);
    }

    void parse()
    {
        while (call_ != 0 && !isClosed_ && buffer_.size() > 0) {
            error_code error;
            const std::size_t used = parser_->put(buffer_.data(), error);
            buffer_.consume(used);
            parser_->eager(!error && parser_->is_header_done());
            if (error == http::error::body_limit || !holdResponse()) {
                finish(CallOutcome::TooLarge);
                return;
            }
            if (error && error != http::error::need_more) {
                finish(CallOutcome::Malformed);
                return;
            }
            if (parser_->is_header_done() && !hasStatus()) {
                finish(CallOutcome::Malformed);
                return;
            }
            if (parser_->is_done()) {
                processResponse();
                continue;
            }
            if (error == http::error::need_more || used == 0)
                break;
        }
        if (buffer_.size() == 0)
            buffer_.shrink_to_fit();
    }

    // Returns whether the budget has room for the part of the response received so far.
    bool holdResponse() { return holding_.resize(parser_->get().body().size() + buffer_.size()); }

    // Whether the response has a status that may follow a request which asks for no upgrade.
    bool hasStatus() const
    {
        const auto status = static_cast<int>(parser_->get().result_int());
        return core::isFinalStatus(status)
            || (status >= 100 && status < 200 && status != switchingProtocols);
    }

    // Finishes the call with the parsed response if it matches the request.
    void processResponse()
    {
        const bool keepsAlive = parser_->keep_alive();
        auto message = parser_->release();
        auto response = std::make_shared<core::Answer>();
        response->status = message.result_int();
        for (const auto &field : message)
            response->headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        response->body = std::move(message.body());
        if (response->status < 200) { // an interim response
            if (++interimResponses_ > maxInterimResponses) {
                finish(CallOutcome::Malformed);
                return;
            }
            resetParser();
            return;
        }
        if (!matchesRequest(*response)) {
            isReusable_ = false;
            if (++mismatchedResponses_ > maxMismatchedResponses) {
                finish(CallOutcome::Malformed);
                return;
            }
            resetParser();
            return;
        }
        isReusable_ = isReusable_ && keepsAlive && buffer_.size() == 0;
        idleTimeout_ = maxIdleTimeout;
        if (const auto stated = parseKeepAliveTimeout(response->headers))
            idleTimeout_ = std::min<Clock::duration>(maxIdleTimeout, *stated - idleTimeoutMargin);
        response_ = std::move(response);
        // The response may arrive before the request is fully written. The connection is
        // then closed, and the rest of the request is never sent.
        finish(CallOutcome::Answered);
    }

    // Returns whether the response belongs to this call. A response without a request id
    // may be a late one to an earlier request, and one with several ids names another request
    // too, so neither matches.
    bool matchesRequest(const core::Answer &response) const
    {
        if (options_.requestId.empty())
            return true;
        const auto isId = [this](const auto &header) {
            return boost::beast::iequals(header.name, options_.idHeader);
        };
        const auto &headers = response.headers;
        const auto id = std::find_if(headers.begin(), headers.end(), isId);
        return id != headers.end() && id->value == options_.requestId
            && std::find_if(id + 1, headers.end(), isId) == headers.end();
    }

    void finish(CallOutcome outcome)
    {
        const CallId call = call_;
        Callback callback = std::move(callback_);
        callback_ = nullptr;
        call_ = 0;
        result_.outcome = outcome;
        result_.response = outcome == CallOutcome::Answered ? response_ : nullptr;
        CallResult result = std::move(result_);
        const auto self = shared_from_this();
        client_.calls_.erase(call);
        holding_.set(0);
        ++timerGeneration_;
        error_code ignored; // a stale completion is ignored by its generation
        timer_.cancel(ignored);
        if (outcome == CallOutcome::Answered && isReusable_ && isWritten_
            && idleTimeout_ > Clock::duration::zero()) {
            std::string().swap(outgoing_);
            response_.reset();
            idleSince_ = Clock::now();
            client_.putIdle(self);
        } else if (outcome == CallOutcome::Answered) {
            close();
        } else {
            abort();
        }
        if (callback)
            callback(std::move(result));
    }

    HttpClient &client_;
    const std::string pool_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    ByteHolding holding_; // of the response
    CallId call_ = 0;     // 0: idle
    CallOptions options_;
    Callback callback_;
    CallResult result_;
    std::string outgoing_;
    error_code writeError_; // of `outgoing_`
    core::AnswerPointer response_;
    Clock::time_point deadline_;
    ReadDeadline readDeadline_;
    Clock::time_point connectStartedAt_;
    Clock::time_point idleSince_;
    Clock::duration idleTimeout_ = maxIdleTimeout;
    std::uint64_t timerGeneration_ = 0; // of the timer's current wait
    int mismatchedResponses_ = 0;
    int interimResponses_ = 0;
    bool isConnected_ = false;
    bool isWriting_ = false;
    bool isWritten_ = false;
    bool isStreamEnded_ = false;
    bool isClosed_ = false;
    bool isReusable_ = true;
};

HttpClient::HttpClient(asio::io_context &loop, ByteBudget &budget, std::size_t maxIdle)
    : loop_(loop)
    , budget_(budget)
    , maxIdle_(maxIdle)
    , sweepTimer_(loop)
{
}

HttpClient::~HttpClient()
{
    for (const auto &[call, connection] : std::exchange(calls_, {}))
        connection->close();
    for (const auto &[pool, connections] : std::exchange(idle_, {})) {
        for (const ConnectionPointer &connection : connections)
            connection->close();
    }
}

CallId HttpClient::start(const core::Endpoint &endpoint, const std::string &pool, std::string bytes,
                         const CallOptions &options, Callback callback)
{
    const CallId call = ++lastCall_;
    // Without an id, a late response to an earlier request could not be told from its own.
    const bool mayReuse = options.idHeader.empty() || !options.requestId.empty();
    ConnectionPointer connection =
        mayReuse ? takeIdle(pool, options.maxReuseIdleTime) : ConnectionPointer();
    if (!connection)
        connection = std::make_shared<Connection>(*this, pool);
    calls_[call] = connection;
    connection->startCall(call, endpoint, std::move(bytes), options, std::move(callback));
    return call;
}

void HttpClient::cancel(CallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    const ConnectionPointer connection = found->second;
    calls_.erase(found);
    connection->abort();
}

void HttpClient::closeIdle(const std::string &pool)
{
    const auto found = idle_.find(pool);
    if (found == idle_.end())
        return;
    const auto connections = std::move(found->second);
    idle_.erase(found);
    for (const ConnectionPointer &connection : connections)
        connection->close();
}

std::size_t HttpClient::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[pool, connections] : idle_)
        count += connections.size();
    return count;
}

HttpClient::ConnectionPointer HttpClient::takeIdle(const std::string &pool,
                                                   core::Duration maxIdleTime)
{
    const auto found = idle_.find(pool);
    if (found == idle_.end() || maxIdleTime <= core::Duration())
        return nullptr;
    const auto now = Clock::now();
    const ConnectionPointer newest = found->second.back();
    if (newest->isExpired(now) || now - newest->idleSince() > toChrono(maxIdleTime))
        return nullptr;
    removeIdle(newest.get());
    return newest;
}

void HttpClient::putIdle(const ConnectionPointer &connection)
{
    std::vector<ConnectionPointer> &pool = idle_[connection->pool()];
    pool.push_back(connection);
    if (pool.size() > maxIdleConnections) {
        const ConnectionPointer oldest = pool.front();
        pool.erase(pool.begin());
        oldest->close();
    }
    if (idleCount() > maxIdle_)
        closeOldestIdle();
    if (!isSweeping_) {
        isSweeping_ = true;
        sweep();
    }
}

void HttpClient::removeIdle(Connection *connection)
{
    const auto found = idle_.find(connection->pool());
    if (found == idle_.end())
        return;
    auto &pool = found->second;
    pool.erase(std::remove_if(pool.begin(), pool.end(),
                              [&](const auto &idle) { return idle.get() == connection; }),
               pool.end());
    if (pool.empty())
        idle_.erase(found);
}

void HttpClient::closeOldestIdle()
{
    ConnectionPointer oldest;
    for (const auto &[pool, connections] : idle_) {
        if (!oldest || connections.front()->idleSince() < oldest->idleSince())
            oldest = connections.front();
    }
    removeIdle(oldest.get());
    oldest->close();
}

// Closes expired idle connections; rescheduled as long as any connection is idle.
void HttpClient::sweep()
{
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([this](error_code error) {
        if (error)
            return;
        const auto now = Clock::now();
        std::vector<ConnectionPointer> expired;
        for (const auto &[pool, connections] : idle_) {
            for (const ConnectionPointer &connection : connections) {
                if (connection->isExpired(now))
                    expired.push_back(connection);
            }
        }
        for (const ConnectionPointer &connection : expired) {
            removeIdle(connection.get());
            connection->close();
        }
        if (idle_.empty())
            isSweeping_ = false;
        else
            sweep();
    });
}

} // namespace bluebellshift::net
