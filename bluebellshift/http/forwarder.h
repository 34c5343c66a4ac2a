// Sends one request to one target and reads the whole answer.
//
//   Forwarder forwarder({ clock, answerBytesMost });
//   Forwarder::Result result = forwarder.send(attempt, isCancelled);
//   if (result.outcome == core::AttemptOutcome::Answered) { ... }
//
// Safe to call from many threads at once; each call blocks its thread.
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
    std::size_t answerBytesMost = 1024 * 1024; // body of one answer
    std::size_t idleConnectionsMost = 16;      // kept for each target
    core::Duration connectTimeout = core::Duration::millis(1000);
};

// One attempt. Headers are sent as they are.
struct ForwardAttempt
{
    core::Endpoint endpoint;
    std::string method;
    std::string pathAndQuery;
    std::vector<core::Header> headers;
    std::string body;
    core::Instant validUntil; // not sent after this
    core::Instant deadline;
    bool mayReuseConnection = false;
};

class Forwarder
{
public:
    struct Result
    {
        core::AttemptOutcome outcome = core::AttemptOutcome::NeverSent;
        core::AnswerPointer answer; // Answered and Shed
        int reportedBusySlots = -1; // from the header Load-Report; -1: none
        bool answerBegun = false;   // a final status line came
    };

    Forwarder(ForwarderOptions options, base::Clock clock);
    ~Forwarder();

    // Blocks until the answer is whole, the deadline passes, or `isCancelled`
    // returns true; it is asked every few tens of milliseconds.
    //
    // A connection is used again only after a whole answer, and only for
    // attempts that allow it: libcurl resends a request by itself when a
    // connection that was kept turns out to be closed.
    Result send(const ForwardAttempt &attempt, const std::function<bool()> &isCancelled);

private:
    class Connection;

    std::unique_ptr<Connection> takeConnection(const ForwardAttempt &attempt);
    void keepConnection(const ForwardAttempt &attempt, std::unique_ptr<Connection> connection);

    const ForwarderOptions options_;
    const base::Clock clock_;
    std::mutex mutex_;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_; // by address and port
};

} // namespace bluebellshift::http
