// A single timer checks all connections for timeouts: one timer per connection would
// cost a wake-up per request.
#include "bluebellshift/net/httpserver.h"

#include <algorithm>
#include <vector>

#include "bluebellshift/net/httpserverconnection.h"

namespace bluebellshift::net {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

constexpr std::chrono::milliseconds sweepInterval { 250 }; // precision of the timeouts
constexpr int listenBacklog = 1024;

// Shares of the budget. Large messages are refused from 0.75 on (ByteBudget), all from 1 on:
// callers that hold the room without taking or sending anything are ended before that.
constexpr double stalledShare = 0.7; // above it, callers that have stalled are ended
constexpr double freedOfStalled = 0.65;
constexpr double fullShare = 0.9; // above it, any caller, the slowest first
constexpr double freedOfFull = 0.85;
constexpr std::chrono::seconds stalledRead { 1 }; // without reading any byte of a response
constexpr std::chrono::seconds stalledSend { 3 }; // without sending any byte of a request
// Each search for the longest idle connection examines all of them. One for each new connection
// took the processor of a VM that got thousands of connections a second above its limit.
constexpr std::chrono::milliseconds idlestSearchInterval { 20 };

} // namespace

HttpServer::HttpServer(asio::io_context &loop, ByteBudget &budget,
                       std::function<ServerLimits()> limits, ServerHooks hooks)
    : loop_(loop)
    , budget_(budget)
    , limits_(std::move(limits))
    , hooks_(std::move(hooks))
    , acceptor_(loop)
    , sweepTimer_(loop)
    , reliefTimer_(loop)
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
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        if (connections_.size() < limits_().maxConnections || closeIdlest()) {
            connections_.insert(connection);
            connection->start();
        } else {
            connection->reportLimit("descriptors", "closed-unread");
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
        relieveBudget();
        if (std::exchange(isAcceptRetryPending_, false) && acceptor_.is_open())
            accept();
        sweep();
    });
}

bool HttpServer::closeIdlest()
{
    const auto now = Clock::now();
    if (now - idlestSearchedAt_ < idlestSearchInterval)
        return false;
    idlestSearchedAt_ = now;
    std::shared_ptr<Connection> found;
    const auto isBefore = [](const Connection &a, const Connection &b) {
        return a.isIdle() != b.isIdle() ? a.isIdle() : a.lastActivityAt() < b.lastActivityAt();
    };
    for (const auto &connection : connections_) {
        if (!connection->isIdle() && !connection->isHoldingUp(now))
            continue;
        if (!found || isBefore(*connection, *found))
            found = connection;
    }
    if (!found)
        return false;
    found->reportLimit("descriptors", "closed-idle");
    found->close();
    return true;
}

void HttpServer::relieveBudgetSoon()
{
    const auto limit = static_cast<double>(budget_.limit());
    if (isReliefPending_ || static_cast<double>(budget_.used()) <= limit * stalledShare)
        return;
    isReliefPending_ = true;
    // Not at once: the caller may be in the middle of handling the connection that is closed.
    reliefTimer_.expires_after(std::chrono::seconds(0));
    reliefTimer_.async_wait([this](error_code error) {
        if (error)
            return;
        isReliefPending_ = false;
        relieveBudget();
    });
}

void HttpServer::relieveBudget()
{
    const auto share = [this] {
        return static_cast<double>(budget_.used()) / static_cast<double>(budget_.limit());
    };
    if (share() <= stalledShare)
        return;
    const bool isFull = share() > fullShare;
    const auto now = Clock::now();
    std::vector<std::pair<double, std::shared_ptr<Connection>>> slowest;
    for (const auto &connection : connections_) {
        const bool isUnread = connection->unreadBytes() > 0;
        if (!isUnread && connection->arrivingBytes() == 0)
            continue;
        if (isFull || connection->stalledFor(now) > (isUnread ? stalledRead : stalledSend))
            slowest.emplace_back(connection->secondsToDrain(now), connection);
    }
    std::sort(slowest.begin(), slowest.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    for (const auto &[seconds, connection] : slowest) {
        if (share() <= (isFull ? freedOfFull : freedOfStalled))
            return;
        connection->evict();
    }
}

} // namespace bluebellshift::net
