// Sends requests to targets over HTTP/1.1 and reads complete responses.
//
//   Forwarder forwarder(ForwarderOptions(), clock);
//   Forwarder::Result result = forwarder.send(attempt, isCancelled);
//   if (result.outcome == core::AttemptOutcome::Answered) { ... }
//
// Thread-safe; each call blocks its thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "bluebellshift/base/clock.h"
#include "bluebellshift/core/answer.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/roster.h"
#include "bluebellshift/core/units.h"

namespace bluebellshift::http {

struct ForwarderOptions
{
    std::size_t maxAnswerBytes = 1024 * 1024; // body of one response
    std::size_t maxIdleConnectionsPerTarget = 16;
    core::Duration connectTimeout = core::Duration::millis(1000);
};

// One attempt to send a request. Headers are sent unchanged.
struct ForwardAttempt
{
    core::Endpoint endpoint;
    std::string method;
    std::string pathAndQuery;
    std::vector<core::Header> headers;
    std::string body;
    core::Instant validUntil; // end of the lease: the request is not sent later
    core::Instant deadline;
    bool mayReuseConnection = false;
};

class Forwarder
{
public:
    struct Result
    {
        core::AttemptOutcome outcome = core::AttemptOutcome::NeverSent;
        core::AnswerPointer answer; // set if Answered or Shed
        int reportedBusySlots = -1; // from the header Load-Report; -1: not reported
        bool answerBegun = false;   // a final status line was received
    };

    Forwarder(ForwarderOptions options, base::Clock clock);
    ~Forwarder();

    // Blocks until the response is complete, the attempt fails, the deadline passes
    // or `isCancelled` returns true; it is polled every few tens of milliseconds.
    //
    // A connection is reused only after a complete response, and only for attempts
    // that allow it: libcurl silently resends a request if a reused connection
    // turns out to be closed.
    Result send(const ForwardAttempt &attempt, const std::function<bool()> &isCancelled);

private:
    class Connection;

    std::unique_ptr<Connection> acquireConnection(const ForwardAttempt &attempt);
    void storeIdleConnection(const ForwardAttempt &attempt, std::unique_ptr<Connection> connection);

    const ForwarderOptions options_;
    const base::Clock clock_;
    std::mutex mutex_;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_; // by address and port
};

} // namespace bluebellshift::http
