// One connection of an HttpServer; used by the server only.
//
// Each connection keeps one read outstanding, so that a close by the caller is detected while its
// requests are pending. Parsed requests are kept in a queue from the first pending one on; earlier
// responses have been queued for writing. Reading is paused while too many requests are pending or
// too many bytes of responses are unwritten; meanwhile the check for timeouts asks the socket
// whether the caller has closed.
#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "bluebellshift/net/httpserver.h"
#include "bluebellshift/net/responsequeue.h"

namespace bluebellshift::net {

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    using Clock = std::chrono::steady_clock;

    Connection(HttpServer &server, boost::asio::ip::tcp::socket socket);

    void start() { read(); }
    void respond(ExchangeId id, const core::Answer &response, bool closesConnection);

    // Enforces the timeouts for headers, bodies, idle and lingering connections, and detects
    // the caller's close while reading is paused.
    void checkTimeouts(Clock::time_point now, const ServerLimits &limits);
    // Whether the caller has closed the connection. Its close may wait in the socket while other
    // events are handled, and behind bytes that are not read yet.
    bool hasCallerClosed();

    bool isBusy() const;
    // Whether nothing is under way on the connection, and since when.
    bool isIdle() const;
    Clock::time_point lastActivityAt() const { return lastActivityAt_; }
    // Whether the caller lets the server wait: for the rest of a request, or to read a response.
    bool isHoldingUp(Clock::time_point now) const;

    // Bytes that are held until the caller reads its responses, or sends the rest of its request.
    std::size_t unreadBytes() const { return queue_.bytes() + waitingResponseBytes_; }
    std::size_t arrivingBytes() const;
    // For how long the caller has neither read nor sent anything of that.
    Clock::duration stalledFor(Clock::time_point now) const;
    // The time that the caller needs to take or send it, at the speed seen so far, in seconds.
    double secondsToDrain(Clock::time_point now) const;
    // Ends what the caller makes the server hold: rejects a request that is arriving, or closes
    // the connection.
    void evict();
    void reportLimit(const char *limit, const char *action);

    void reset();
    void close();

private:
    struct Exchange
    {
        ExchangeId id = 0;
        bool isHead = false;
        bool isKeepAlive = true;
        bool isDispatched = false;
        bool closesConnection = false;
        std::size_t headBytes = 0;
        std::optional<Request> request;       // until it is dispatched
        std::optional<std::string> bytes;     // of the response
        std::unique_ptr<ByteHolding> holding; // of the request, then of the response
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    // Also true for a part of the head, which the parser has taken from the buffer.
    bool hasRequestStarted() const
    {
        return parser_ && (buffer_.size() > 0 || parser_->got_some());
    }
    // Whether the last pending request has a response that closes the connection. Bytes behind it
    // are not read as requests.
    bool hasLastResponse() const;
    // Whether requests are neither read nor dispatched until the caller has read its responses.
    bool isPaused() const { return queue_.bytes() > limits_.maxUnwrittenBytes; }

    void read();
    void onRead(error_code error, std::size_t size);
    void parse();
    // Returns whether the budget has room for the request: for its whole body where its
    // length is given, else for what has arrived.
    bool holdRequest();
    // Returns whether the budget has room for the heads of all pending requests, beyond what each
    // connection may hold.
    bool holdHeads();
    void resetParser();
    void sendContinueIfAsked();
    // Queues the parsed request for dispatch. Rejects requests that are well formed but
    // that a more lenient parser could interpret differently (request smuggling).
    void finishRequest();
    void dispatchReady();
    Exchange *nextReady();
    // Refuses a request that can't be dispatched as too many are in progress.
    void refuseUndispatched(Exchange *exchange);
    void rejectRequest(int status);
    void flush();
    void release(const Exchange &exchange);
    void abortPending();
    void write();
    void onWritten(error_code error, std::size_t size);

    HttpServer &server_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::unique_ptr<ByteHolding> requestHolding_; // of the request that is arriving
    ByteHolding headHolding_;                     // of all heads
    ResponseQueue queue_;                         // responses being written
    std::deque<Exchange> exchanges_;              // pending, in the order of their requests
    std::size_t headBytes_ = 0;                   // of the pending requests
    std::size_t waitingResponseBytes_ = 0;        // behind a request without a response
    std::size_t writtenBytes_ = 0;                // since writeStartedAt_
    ServerLimits limits_;                         // since the last request began
    Clock::time_point lastActivityAt_;            // of the last request or response
    Clock::time_point lastReadAt_;
    Clock::time_point lastWrittenAt_;
    Clock::time_point requestStartedAt_;
    Clock::time_point writeStartedAt_; // of the first response in the queue
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isClosing_ = false;   // the last response is being written
    bool isLingering_ = false; // the last response is written; waiting for the caller to close
    bool isClosed_ = false;
    bool isRejecting_ = false; // a rejected request ends the connection
    bool isExpectChecked_ = false;
};

} // namespace bluebellshift::net
