#include "bluebellshift/core/answer.h"

namespace bluebellshift::core {

const char *toText(RefusalCode code)
{
    switch (code) {
    case RefusalCode::None:
        return "none";
    case RefusalCode::MalformedRequest:
        return "malformed-request";
    case RefusalCode::KeyMissing:
        return "key-missing";
    case RefusalCode::KeyUnknown:
        return "key-unknown";
    case RefusalCode::ServiceUnknown:
        return "service-unknown";
    case RefusalCode::RouteUnknown:
        return "route-unknown";
    case RefusalCode::TicketMissing:
        return "ticket-missing";
    case RefusalCode::TicketForged:
        return "ticket-forged";
    case RefusalCode::TicketOfAnotherTeam:
        return "ticket-of-another-team";
    case RefusalCode::TicketExpired:
        return "ticket-expired";
    case RefusalCode::TicketInProgress:
        return "ticket-in-progress";
    case RefusalCode::OutcomeUnknown:
        return "outcome-unknown";
    case RefusalCode::OverRate:
        return "over-rate";
    case RefusalCode::NoCapacity:
        return "no-capacity";
    case RefusalCode::RecordsFull:
        return "records-full";
    case RefusalCode::ViewStale:
        return "view-stale";
    case RefusalCode::NotReady:
        return "not-ready";
    case RefusalCode::Leaving:
        return "leaving";
    case RefusalCode::DeadlinePassed:
        return "deadline-passed";
    case RefusalCode::TargetFailed:
        return "target-failed";
    case RefusalCode::TargetTimedOut:
        return "target-timed-out";
    case RefusalCode::AnswerCut:
        return "answer-cut";
    case RefusalCode::AnswerTooLarge:
        return "answer-too-large";
    case RefusalCode::HomeUnreachable:
        return "home-unreachable";
    }
    return "none";
}

const char *toText(Run run)
{
    switch (run) {
    case Run::NotRun:
        return "not-run";
    case Run::Ran:
        return "ran";
    case Run::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace bluebellshift::core
