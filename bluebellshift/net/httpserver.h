// An HTTP/1.1 server on the process's one event loop.
//
//   HttpServer server(loop, [] { return ServerLimits(); }, hooks);
//   absl::Status status = server.listen({ "10.1.0.7", 8080 });
//   // hooks.onRequest(exchange, request), then later:
//   server.respond(exchange, answer, /*closesConnection=*/false);
//
// Requests are handed over whole, several of one connection at a time; answers
// leave in the order of the requests. The server answers by itself what it can't
// hand over: 400, 408, 413, 431 and 501, each of which closes the connection.
//
// Contracts:
//  - Each exchange ends by exactly one respond() or by one onAborted(); respond() for an
//    exchange that is over does nothing.
//  - A request whose method is not idempotent is handed over only when it is the
//    first unanswered one of its connection, as a request behind an answer that
//    closes counts as not read by whoever sent it.
//  - Everything runs on the loop's thread.
#pragma once

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
#include "bluebellshift/net/httpmessage.h"

namespace bluebellshift::net {

using ExchangeId = std::uint64_t; // never 0, never used again

struct ServerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024;
    core::Duration headerTimeout = core::Duration::seconds(3); // for a whole request's headers
    core::Duration idleTimeout = core::Duration::seconds(15);
    std::size_t maxConnections = 2000; // accepted ones beyond are closed unread
};

struct ServerHooks
{
    std::function<void(ExchangeId, Request &&)> onRequest;
    // The caller closed its connection, or it broke, before the answer.
    std::function<void(ExchangeId)> onAborted;
};

class HttpServer
{
public:
    // `limits` is asked when a request begins and when idle connections are looked at.
    HttpServer(boost::asio::io_context &loop, std::function<ServerLimits()> limits,
               ServerHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Unavailable: the address can't be bound.
    absl::Status listen(const core::Endpoint &endpoint);

    void respond(ExchangeId exchange, const core::Answer &response, bool closesConnection);

    // Resets the exchange's connection without an answer.
    void resetConnection(ExchangeId exchange);

    // From now on each answer closes its connection, and idle connections are closed.
    void beginDrain();
    // Takes no more connections.
    void stopListening();

    std::size_t connectionCount() const { return connections_.size(); }
    std::size_t pendingCount() const { return exchanges_.size(); }

private:
    class Connection;

    void accept();
    void sweep();

    boost::asio::io_context &loop_;
    const std::function<ServerLimits()> limits_;
    const ServerHooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweepTimer_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, Connection *> exchanges_;
    ExchangeId lastExchange_ = 0;
    bool isDraining_ = false;
    bool isAcceptRetryPending_ = false;
};

} // namespace bluebellshift::net
