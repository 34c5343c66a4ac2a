// Simulates a target and its faults. HttpServer makes it reachable by network.
//
//   FakeTarget target(settings, runs, clock);
//   HttpReply reply = target.serve(request); // accepts any path; blocks for the service time
//
// The answer to a request is JSON that describes the request as received, so
// that a caller can check that the answer is complete and belongs to its request:
//
//   {"target","method","url","caller","length","hash","headers":[names]}
//
// `caller` is the value of the header X-Caller-Id and `hash` is hashOf(body).
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "bluebellshift/core/ids.h"
#include "bluebellshift/core/units.h"
#include "bluebellshift/standin/httpserver.h"
#include "bluebellshift/standin/runrecord.h"

namespace bluebellshift::standin {

// Header names of the protocol between a VM and a target.
inline constexpr char ticketIdHeader[] = "Bluebellshift-Ticket-Id";   // to the target
inline constexpr char requestIdHeader[] = "Bluebellshift-Request-Id"; // echoed in the answer
inline constexpr char loadReportHeader[] = "Load-Report";             // "busy/slots" in each answer
inline constexpr char notRunHeader[] = "Not-Run";                     // "true" in a 503 that sheds
inline constexpr char callerIdHeader[] = "X-Caller-Id";               // echoed in the answer's body

// Returns the XXH64 hash of a body as 16 hexadecimal digits.
std::string hashOf(const std::string &body);

struct TargetSettings
{
    core::TargetId id;
    core::RegionId region;
    int slots = 3; // the target sheds concurrent requests above this number
    core::Duration serviceTime;
};

struct TargetFaults
{
    bool isUnhealthy = false;
    bool isLeaving = false;
    bool isShedding = false;         // sheds every request with the header Not-Run
    int status = 200;                // HTTP status of the answers
    core::Duration answerDelay;      // added after the service time
    double slowFactor = 1;           // multiplies the service time
    core::Duration coldDuration;     // cold period, which starts when the fault is set
    double coldFactor = 4;           // multiplies the service time in the cold period
    bool isReportMisleading = false; // load reports always state 0 busy slots
    core::Duration reportLag;        // maximum age of the value that load reports state

    // The faults below apply to every `everyNthRequest`-th request only.
    std::uint32_t everyNthRequest = 1;
    bool isDroppingAnswer = false;   // runs the request and closes the connection without an answer
    bool isTruncatingAnswer = false; // sends fewer bytes than Content-Length states
    bool isMisroutingAnswer = false; // sends the answer to another request
    bool isSendingExtraAnswer = false; // sends a second, unsolicited answer after the first
    std::size_t oversizeBytes = 0;     // appended to the body
};

struct TargetCounts
{
    std::uint64_t requests = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;       // the client closed the connection before the answer
    std::uint64_t requestsWithKey = 0; // requests with an Authorization header
    std::uint64_t probes = 0;
    int maxBusy = 0;
};

class FakeTarget
{
public:
    // `runs` must outlive the target.
    FakeTarget(TargetSettings settings, RunRecord &runs, std::function<core::Instant()> clock);

    // Answers a request or a health probe (a request for /health).
    HttpReply serve(const HttpRequest &request);

    void setFaults(const TargetFaults &faults);
    TargetFaults faults() const;
    TargetCounts counts() const;
    const core::TargetId &id() const { return settings_.id; }

private:
    using Lock = std::unique_lock<std::mutex>;

    HttpReply answerProbe();
    HttpReply shedRequest();
    HttpReply runRequest(const HttpRequest &request, bool isFaulty);
    HttpReply composeAnswer(const HttpRequest &request, const TargetFaults &faults);
    core::Duration serviceTime() const;
    std::string loadReport();

    const TargetSettings settings_;
    RunRecord &runs_;
    const std::function<core::Instant()> clock_;
    mutable std::mutex mutex_;
    TargetFaults faults_;
    TargetCounts counts_;
    core::Instant faultsSetAt_;
    int busy_ = 0;
    int reportedBusy_ = 0;
    core::Instant reportedAt_ = core::Instant::never();
    HttpReply previousReply_; // the latest complete answer, for misrouted and extra answers
};

} // namespace bluebellshift::standin
