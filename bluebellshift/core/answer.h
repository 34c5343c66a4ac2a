// Answers to callers, and whether the request has run.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bluebellshift::core {

// Whether the request's action took place at a target, over the whole history of
// the request.
enum class Run {
    NotRun,  // certainly not started and never will be
    Ran,     // a target ran it and responded
    Unknown, // it may have run
};

struct Header
{
    std::string name;
    std::string value;
};

// A complete response of a target.
struct Answer
{
    int status = 0;
    std::vector<Header> headers;
    std::string body;
};

// Whether a status ends an HTTP request. Those below are of interim responses, and of none below
// 100; those above are not HTTP's.
constexpr bool isFinalStatus(int status)
{
    return status >= 200 && status < 600;
}

using AnswerPointer = std::shared_ptr<const Answer>;

// The codes are stable; see docs/interface.md for their HTTP status.
enum class RefusalCode {
    None,
    MalformedRequest,
    KeyMissing,
    KeyUnknown,
    ServiceUnknown,
    RouteUnknown,
    TicketMissing,
    TicketForged,
    TicketOfAnotherTeam,
    TicketExpired,
    TicketInProgress,
    OutcomeUnknown,
    OverRate,
    NoCapacity,
    RecordsFull,
    ViewStale,
    NotReady,
    Leaving,
    DeadlinePassed,
    TargetFailed,
    TargetTimedOut,
    AnswerCut,
    AnswerTooLarge,
    HomeUnreachable,
};

// Returns the names used in responses and logs, such as "ticket-missing" and
// "not-run".
const char *toText(RefusalCode code);
const char *toText(Run run);

struct Refusal
{
    RefusalCode code = RefusalCode::None;
    Run run = Run::NotRun;
    std::string message;
    int retryAfterMillis = 0; // 0: no Retry-After
};

} // namespace bluebellshift::core
