#include "bluebellshift/daemon/refusaltext.h"

#include <nlohmann/json.hpp>

namespace bluebellshift::daemon {

using core::RefusalCode;

namespace {

constexpr RefusalText refusalTexts[] = {
    { RefusalCode::None, "internal", 500 },
    { RefusalCode::MalformedRequest, "malformed-request", 400 },
    { RefusalCode::KeyMissing, "key-missing", 401 },
    { RefusalCode::KeyUnknown, "key-unknown", 401 },
    { RefusalCode::ServiceUnknown, "service-unknown", 404 },
    { RefusalCode::RouteUnknown, "route-unknown", 404 },
    { RefusalCode::TicketMissing, "ticket-missing", 428 },
    { RefusalCode::TicketForged, "ticket-forged", 403 },
    { RefusalCode::TicketOfAnotherTeam, "ticket-of-another-team", 403 },
    { RefusalCode::TicketExpired, "ticket-expired", 410 },
    { RefusalCode::TicketInProgress, "ticket-in-progress", 409 },
    { RefusalCode::OutcomeUnknown, "outcome-unknown", 504 },
    { RefusalCode::OverRate, "over-rate", 429 },
    { RefusalCode::NoCapacity, "no-capacity", 503 },
    { RefusalCode::RecordsFull, "records-full", 503 },
    { RefusalCode::ViewStale, "view-stale", 503 },
    { RefusalCode::NotReady, "not-ready", 503 },
    { RefusalCode::Leaving, "leaving", 503 },
    { RefusalCode::DeadlinePassed, "deadline-passed", 504 },
    { RefusalCode::TargetFailed, "target-failed", 502 },
    { RefusalCode::TargetTimedOut, "target-timed-out", 504 },
    { RefusalCode::AnswerCut, "answer-cut", 502 },
    { RefusalCode::AnswerTooLarge, "answer-too-large", 502 },
    { RefusalCode::HomeUnreachable, "home-unreachable", 503 },
};

} // namespace

const RefusalText &refusalTextOf(RefusalCode code)
{
    for (const RefusalText &text : refusalTexts) {
        if (text.code == code)
            return text;
    }
    return refusalTexts[0];
}

const char *runText(core::Run run)
{
    switch (run) {
    case core::Run::NotRun:
        return "not-run";
    case core::Run::Ran:
        return "ran";
    case core::Run::Unknown:
        break;
    }
    return "unknown";
}

http::HttpResponse jsonResponse(int status, const std::string &body)
{
    http::HttpResponse response;
    response.status = status;
    response.headers = { { "Content-Type", "application/json" } };
    response.body = body;
    return response;
}

http::HttpResponse refusalResponse(const core::Refusal &refusal)
{
    const RefusalText &text = refusalTextOf(refusal.code);
    const nlohmann::json body = { { "code", text.text },
                                  { "run", runText(refusal.run) },
                                  { "message", refusal.message } };
    http::HttpResponse response = jsonResponse(text.status, body.dump());
    if (refusal.retryAfterMillis > 0) {
        const int seconds = (refusal.retryAfterMillis + 999) / 1000;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    return response;
}

http::HttpResponse faultResponse(int status, const std::string &message)
{
    core::Refusal refusal { RefusalCode::MalformedRequest, core::Run::NotRun, message, 0 };
    http::HttpResponse response = refusalResponse(refusal);
    response.status = status;
    return response;
}

} // namespace bluebellshift::daemon
