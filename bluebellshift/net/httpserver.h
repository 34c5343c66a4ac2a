// An HTTP/1.1 server driven by the process's single event loop.
//
//   HttpServer server(loop, budget, [] { return ServerLimits(); }, hooks);
//   absl::Status status = server.listen({ "10.1.0.7", 8080 });
//   // hooks.onRequest(exchange, request), then later:
//   server.respond(exchange, response, /*closesConnection=*/false);
//
// Requests are dispatched complete, several of one connection at a time (pipelining);
// responses are sent in the order of the requests. The server itself rejects requests
// that it can't dispatch with 400, 408, 413, 431 or 501, and closes the connection. A
// request for whose body the budget has no room is rejected with 503 and Retry-After
// before its body is read, or as soon as the room is used up where no length is given.
//
// What callers make the server hold is bounded: requests and responses count against the
// budget; requests of a connection are not dispatched while it has too much unread; and when
// the budget is nearly full, the connections that hold the most for the longest are closed
// (docs/design/caller-budget.md).
//
// Contracts:
//  - Each exchange ends with exactly one respond() or one onAborted(); respond() for an
//    exchange that has ended does nothing.
//  - A request whose method is not idempotent is dispatched only when it is the first
//    pending one of its connection: after a response that closes the connection, the
//    caller assumes that later pipelined requests were not read.
//  - All methods and hooks run on the loop's thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/net/bytebudget.h"
#include "bluebellshift/net/httpmessage.h"

namespace bluebellshift::net {

using ExchangeId = std::uint64_t; // never 0, never reused

struct ServerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
    core::Duration headerTimeout =
        core::Duration::seconds(3); // for the complete headers of a request
    core::Duration idleTimeout = core::Duration::seconds(15);
    // Above the limit, the connection that has been idle for the longest is closed.
    std::size_t maxConnections = 2000;
    // Of trailers, or of one chunk's size and extensions.
    std::uint32_t maxTrailerBytes = 16 * 1024;
    // Responses of one connection; above it, no more of its requests are read or dispatched.
    std::size_t maxUnwrittenBytes = 256 * 1024;
    // Dispatched requests of all connections. Above it, the first request of a connection is
    // refused with 503 and Retry-After, and the requests behind it wait.
    std::size_t maxRequestsInProgress = 4000;
};

// A limit that a caller has reached.
struct LimitReached
{
    const char *limit;     // the key of the settings
    std::string caller;    // ADDRESS:PORT
    std::size_t heldBytes; // for the caller's connection
    const char *action;
};

// The Retry-After of a request for whose body there is no room.
inline constexpr int noRoomRetrySeconds = 1;

struct ServerHooks
{
    std::function<void(ExchangeId, Request &&)> onRequest;
    // The connection was closed by the caller, broke, or was closed by an earlier
    // response before this exchange was answered.
    std::function<void(ExchangeId)> onAborted;
    // The server rejected a request with this status, after `bytes` of its body. Optional.
    std::function<void(int status, std::size_t bytes)> onRejected;
    // A limit has ended a connection or a request. Optional.
    std::function<void(const LimitReached &)> onLimitReached = {};
};

class HttpServer
{
public:
    // `limits` is called when a connection is accepted, when a request starts and at each
    // check for timeouts.
    HttpServer(boost::asio::io_context &loop, ByteBudget &budget,
               std::function<ServerLimits()> limits, ServerHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Returns Unavailable if the address can't be bound.
    absl::Status listen(const core::Endpoint &endpoint);

    void respond(ExchangeId exchange, const core::Answer &response, bool closesConnection);

    // Aborts the exchange, and all others of its connection, if the caller has closed the
    // connection, even where that has not been read yet. Returns whether it has.
    bool abortIfCallerClosed(ExchangeId exchange);

    // Resets the exchange's connection without a response.
    void resetConnection(ExchangeId exchange);

    // From now on idle connections are closed, and each response closes its connection, unless
    // other requests of the connection have been read or are arriving: these are answered first.
    void beginDrain();
    // Stops accepting connections.
    void stopListening();

    // Whether responses, or requests that have begun to arrive, are not finished yet.
    bool isBusy() const;
    std::size_t connectionCount() const { return connections_.size(); }
    std::size_t pendingCount() const { return exchanges_.size(); }

private:
    class Connection;

    void accept();
    void sweep();
    // Closes an idle connection, or one whose request head is late; false if there is none, or if
    // the last search was just before.
    bool closeIdlest();
    // Closes the slowest and largest connections if the budget is nearly full.
    void relieveBudget();
    void relieveBudgetSoon();

    boost::asio::io_context &loop_;
    ByteBudget &budget_;
    const std::function<ServerLimits()> limits_;
    const ServerHooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweepTimer_;
    boost::asio::steady_timer reliefTimer_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, Connection *> exchanges_;
    ExchangeId lastExchange_ = 0;
    std::size_t requestsInProgress_ = 0; // dispatched
    bool isDraining_ = false;
    bool isReliefPending_ = false;
    bool isAcceptRetryPending_ = false;
    std::chrono::steady_clock::time_point idlestSearchedAt_;
};

} // namespace bluebellshift::net
