// An HTTP/1.1 client on the process's one event loop: for targets and for the
// platform's store.
//
//   HttpClient client(loop);
//   CallId call = client.start({ "10.1.0.9", 8080 }, "target-7", serializeRequest(request),
//                              options, [](CallResult &&result) { ... });
//   client.cancel(call); // the callback is not called any more
//
// Contracts:
//  - A call's bytes are written once, on one connection; nothing is ever sent again.
//  - The callback is called exactly once, from the loop, unless the call is cancelled.
//  - Only a whole answer in the protocol that belongs to the request counts as
//    Answered. An answer that names another request is passed over. A connection that
//    brought a byte too many carries no other call.
//  - Idle connections are kept by pool name and closed as soon as the other end sends
//    or closes anything.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::net {

using CallId = std::uint64_t; // never 0, never used again

enum class CallOutcome {
    Answered,
    ConnectFailed, // not one byte was sent
    Cut,           // the connection ended before the answer was whole
    Malformed,     // what came is no answer to this request
    TimedOut,
};

const char *toText(CallOutcome outcome);

struct CallResult
{
    CallOutcome outcome = CallOutcome::ConnectFailed;
    core::AnswerPointer response;    // Answered only
    bool hasResponseStarted = false; // at least one byte came back
    bool isReused = false;           // the connection had carried a call before
    core::Duration connectTime;      // of a connection made for the call; zero if none was
};

struct CallOptions
{
    core::Duration connectTimeout = core::Duration::millis(500);
    core::Duration timeout = core::Duration::seconds(10); // for the whole call
    // Once the answer has begun, the call ends after this long without a byte of it, and
    // `timeout` counts no more: a long answer takes its time. Zero: `timeout` holds.
    core::Duration readIdleTimeout;
    // A kept connection is used if it has been idle for at most this; zero: a new one.
    core::Duration maxReuseIdleTime = core::Duration::seconds(8);
    std::string idHeader;  // a header of the request that its answer repeats
    std::string requestId; // its value; empty: not looked at
    bool isHead = false;   // the answer has no body
};

class HttpClient
{
public:
    using Callback = std::function<void(CallResult &&)>;

    static constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

    explicit HttpClient(boost::asio::io_context &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    CallId start(const core::Endpoint &endpoint, const std::string &pool, std::string bytes,
                 const CallOptions &options, Callback callback);

    // Ends the call and its connection at once.
    void cancel(CallId call);

    // Closes the idle connections of a pool.
    void closeIdle(const std::string &pool);

    std::size_t idleCount() const;
    std::uint64_t connectionsMade() const { return connectionsMade_; }

private:
    class Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    ConnectionPointer takeIdle(const std::string &pool, core::Duration idleMost);
    void putIdle(const ConnectionPointer &connection);
    void removeIdle(Connection *connection);
    void sweep();

    boost::asio::io_context &loop_;
    boost::asio::steady_timer sweepTimer_;
    bool isSweeping_ = false;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> idle_; // newest last
    std::unordered_map<CallId, ConnectionPointer> calls_;
    CallId lastCall_ = 0;
    std::uint64_t connectionsMade_ = 0;
};

} // namespace bluebellshift::net
