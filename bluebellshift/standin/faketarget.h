// A target's behaviour, with its faults. HttpServer gives it a network face.
//
//   FakeTarget target(settings, runs, clock);
//   HttpReply reply = target.serve(request); // any path; blocks for the service time
//
// The answer to a request is JSON that tells what the target received, so that
// a caller can check that it got the whole answer to its own request:
//
//   {"target","method","url","caller","length","hash","headers":[names]}
//
// `caller` is the request's header X-Caller-Id and `hash` is hashOf(body).
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
inline constexpr char loadReportHeader[] = "Load-Report"; // "busy/slots", in each answer
inline constexpr char notRunHeader[] = "Not-Run";       // "true" in the 503 of a target that sheds
inline constexpr char callerIdHeader[] = "X-Caller-Id"; // echoed in the body

// The XXH64 of a body in 16 hexadecimal digits.
std::string hashOf(const std::string &body);

struct TargetSettings
{
    core::TargetId id;
    core::RegionId region;
    int slots = 3; // more requests at once are shed
    core::Duration serviceTime;
};

struct TargetFaults
{
    bool isUnhealthy = false;
    bool isLeaving = false;
    bool isShedding = false;         // refuses every request with Not-Run
    int status = 200;                // of the answers
    core::Duration answerDelay;      // from the end of the work to the answer
    double slowFactor = 1;           // of the service time
    core::Duration coldDuration;     // from when the fault is set
    double coldFactor = 4;           // of the service time while it is cold
    bool isReportMisleading = false; // always reports no busy slot
    core::Duration reportLag;        // how old a load report may be

    // These strike every `everyNthRequest`-th request.
    std::uint32_t everyNthRequest = 1;
    bool isDroppingAnswer = false;     // runs it and closes the connection without an answer
    bool isTruncatingAnswer = false;   // Content-Length states more than is sent
    bool isMisroutingAnswer = false;   // answers with the answer to another request
    bool isSendingExtraAnswer = false; // sends a second answer after the first
    std::size_t oversizeBytes = 0;     // appended to the body
};

struct TargetCounts
{
    std::uint64_t requests = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;       // the client closed its connection before the answer
    std::uint64_t requestsWithKey = 0; // requests with an Authorization header
    std::uint64_t probes = 0;
    int maxBusy = 0;
};

class FakeTarget
{
public:
    // `runs` must outlive the target.
    FakeTarget(TargetSettings settings, RunRecord &runs, std::function<core::Instant()> clock);

    // Answers a request or a probe (GET /health).
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
    HttpReply previousReply_; // the last whole answer, for crossed answers
};

} // namespace bluebellshift::standin
