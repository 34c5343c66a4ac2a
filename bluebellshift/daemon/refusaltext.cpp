#include "bluebellshift/daemon/refusaltext.h"

#include <nlohmann/json.hpp>

namespace bluebellshift::daemon {

using core::RefusalCode;

namespace {

struct RefusalStatus
{
    RefusalCode code;
    int status; // HTTP
};

constexpr RefusalStatus refusalStatuses[] = {
    { RefusalCode::None, 500 },
    { RefusalCode::MalformedRequest, 400 },
    { RefusalCode::KeyMissing, 401 },
    { RefusalCode::KeyUnknown, 401 },
    { RefusalCode::ServiceUnknown, 404 },
    { RefusalCode::RouteUnknown, 404 },
    { RefusalCode::TicketMissing, 428 },
    { RefusalCode::TicketForged, 403 },
    { RefusalCode::TicketOfAnotherTeam, 403 },
    { RefusalCode::TicketExpired, 410 },
    { RefusalCode::TicketInProgress, 409 },
    { RefusalCode::OutcomeUnknown, 504 },
    { RefusalCode::OverRate, 429 },
    { RefusalCode::NoCapacity, 503 },
    { RefusalCode::RecordsFull, 503 },
    { RefusalCode::ViewStale, 503 },
    { RefusalCode::NotReady, 503 },
    { RefusalCode::Leaving, 503 },
    { RefusalCode::DeadlinePassed, 504 },
    { RefusalCode::TargetFailed, 502 },
    { RefusalCode::TargetTimedOut, 504 },
    { RefusalCode::AnswerCut, 502 },
    { RefusalCode::AnswerTooLarge, 502 },
    { RefusalCode::HomeUnreachable, 503 },
};

} // namespace

int statusOf(RefusalCode code)
{
    for (const RefusalStatus &entry : refusalStatuses) {
        if (entry.code == code)
            return entry.status;
    }
    return refusalStatuses[0].status;
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
    const nlohmann::json body = { { "code", core::toText(refusal.code) },
                                  { "run", core::toText(refusal.run) },
                                  { "message", refusal.message } };
    http::HttpResponse response = jsonResponse(statusOf(refusal.code), body.dump());
    if (refusal.retryAfterMillis > 0) {
        const int seconds = (refusal.retryAfterMillis + 999) / 1000;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    return response;
}

http::HttpResponse errorResponse(int status, const std::string &message)
{
    core::Refusal refusal { RefusalCode::MalformedRequest, core::Run::NotRun, message, 0 };
    http::HttpResponse response = refusalResponse(refusal);
    response.status = status;
    return response;
}

} // namespace bluebellshift::daemon
