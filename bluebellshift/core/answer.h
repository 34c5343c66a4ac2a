// Answers to callers, and what is known of the request's run.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bluebellshift::core {

// Whether the request's action took place at a target, over its whole history.
enum class Run {
    NotRun,  // certainly never started, and never will for this attempt
    Ran,     // a target ran it and gave the answer
    Unknown, // it may have run
};

struct Header
{
    std::string name;
    std::string value;
};

// One whole answer of a target.
struct Answer
{
    int status = 0;
    std::vector<Header> headers;
    std::string body;
};

using AnswerPointer = std::shared_ptr<const Answer>;

// Stable codes of refusals; see docs/interface.md for their HTTP status.
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

// The names that callers and logs see, such as "ticket-missing" and "not-run".
const char *toText(RefusalCode code);
const char *toText(Run run);

struct Refusal
{
    RefusalCode code = RefusalCode::None;
    Run run = Run::NotRun;
    std::string message;
    int retryAfterMillis = 0; // 0: no advice
};

} // namespace bluebellshift::core
