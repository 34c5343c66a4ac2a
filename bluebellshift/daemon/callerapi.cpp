#include "bluebellshift/daemon/callerapi.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include "bluebellshift/daemon/callerrequest.h"
#include "bluebellshift/daemon/refusaltext.h"

namespace bluebellshift::daemon {

using nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusUnavailable = 503;

http::HttpResponse refuse(core::RefusalCode code, const std::string &message)
{
    return refusalResponse({ code, core::Run::NotRun, message, 0 });
}

http::HttpResponse methodNotAllowed(const http::HttpRequest &request, const char *allowed)
{
    http::HttpResponse response = errorResponse(
        statusMethodNotAllowed,
        "method \"" + request.method + "\" is not allowed on \"" + request.path + "\"");
    response.headers.push_back({ "Allow", allowed });
    return response;
}

// Returns an IPv4 address in host byte order, or nullopt if `text` is not one.
std::optional<std::uint32_t> parseAddress(const std::string &text)
{
    in_addr address {};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1)
        return std::nullopt;
    return ntohl(address.s_addr);
}

std::string lookupJson(const core::LookupAnswer &answer)
{
    json vms = json::array();
    for (std::size_t i = 0; i < answer.count; ++i) {
        const core::WeightedVm &entry = *answer.vms[i];
        vms.push_back({ { "id", entry.vm.id.text() },
                        { "address", entry.vm.callers.address },
                        { "port", entry.vm.callers.port },
                        { "weight", entry.weight } });
    }
    const json body = { { "vms", vms }, { "cache_ms", answer.cacheTime.toMillis() } };
    return body.dump();
}

http::HttpResponse answerResponse(const core::Answer &answer)
{
    http::HttpResponse response;
    response.status = answer.status;
    for (const core::Header &header : withoutHopByHop(answer.headers)) {
        if (strcasecmp(header.name.c_str(), "Content-Length") != 0)
            response.headers.push_back(header);
    }
    response.body = answer.body;
    return response;
}

} // namespace

CallerApi::CallerApi(const base::SnapshotCell<core::SteeringSnapshot> &snapshot, Hooks hooks)
    : snapshot_(snapshot)
    , hooks_(std::move(hooks))
{
}

http::HttpResponse CallerApi::handle(const http::HttpRequest &request)
{
    if (request.path.compare(0, 3, "/s/") == 0)
        return serveRequest(request);
    if (request.path == "/v1/lookup")
        return request.method == "GET" ? lookup(request) : methodNotAllowed(request, "GET");
    if (request.path == "/v1/tickets")
        return request.method == "POST" ? issueTicket(request) : methodNotAllowed(request, "POST");
    if (request.path == "/healthz")
        return jsonResponse(statusOk, "{\"alive\":true}");
    if (request.path == "/readyz")
        return handleReadiness();
    if (request.path == "/metrics") {
        http::HttpResponse response;
        response.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        response.body = hooks_.metricsText();
        return response;
    }
    if (request.path.compare(0, 7, "/admin/") == 0)
        return hooks_.handleAdminRequest(request);
    return errorResponse(statusNotFound, "path \"" + request.path + "\" does not exist");
}

http::HttpResponse CallerApi::handleReadiness()
{
    const Readiness readiness = hooks_.readiness();
    const json body = { { "ready", readiness.isReady }, { "reason", readiness.reason } };
    return jsonResponse(readiness.isReady ? statusOk : statusUnavailable, body.dump());
}

http::HttpResponse CallerApi::lookup(const http::HttpRequest &request)
{
    const Readiness readiness = hooks_.readiness();
    if (!readiness.isReady)
        return refuse(core::RefusalCode::NotReady, readiness.reason);
    const std::string service = request.parameter("service");
    const std::string client = request.parameter("client");
    const std::optional<std::uint32_t> address =
        client.empty() ? request.clientAddress : parseAddress(client);
    if (!address.has_value())
        return refuse(core::RefusalCode::MalformedRequest,
                      "client \"" + client + "\" is not an IPv4 number");
    auto snapshot = snapshot_.read();
    if (!snapshot)
        return refuse(core::RefusalCode::NotReady, "no bundle is in force");
    const core::LookupAnswer answer = snapshot->lookup(core::ServiceId(service), *address);
    if (!answer.serviceExists)
        return refuse(core::RefusalCode::ServiceUnknown,
                      "service \"" + service + "\" does not exist");
    return jsonResponse(statusOk, lookupJson(answer));
}

http::HttpResponse CallerApi::issueTicket(const http::HttpRequest &request)
{
    core::TicketRequested event;
    event.service = core::ServiceId(request.parameter("service"));
    if (std::optional<core::KeyDigest> digest = keyDigestOf(request)) {
        event.hasKey = true;
        event.keyDigest = *digest;
    }
    const RequestOutcome outcome = hooks_.serve(
        CallerRequest(),
        [&event](core::RequestId id) {
            event.request = id;
            return event;
        },
        request.isCallerDisconnected);
    if (const auto *ticket = std::get_if<core::IssueTicket>(&outcome)) {
        const json body = { { "ticket", ticket->ticket },
                            { "valid_ms", ticket->validFor.toMillis() } };
        return jsonResponse(statusOk, body.dump());
    }
    if (const auto *refusal = std::get_if<core::RefuseCaller>(&outcome))
        return refusalResponse(refusal->refusal);
    return refuse(core::RefusalCode::None, "no ticket was made");
}

http::HttpResponse CallerApi::serveRequest(const http::HttpRequest &request)
{
    absl::StatusOr<ParsedRequest> parsed = parseCallerRequest(request);
    if (!parsed.ok())
        return refuse(core::RefusalCode::MalformedRequest, std::string(parsed.status().message()));
    const RequestOutcome outcome = hooks_.serve(
        std::move(parsed->request),
        [&parsed](core::RequestId id) {
            parsed->event.request = id;
            return std::move(parsed->event);
        },
        request.isCallerDisconnected);
    if (const auto *answer = std::get_if<core::AnswerCaller>(&outcome))
        return answerResponse(*answer->answer);
    if (const auto *refusal = std::get_if<core::RefuseCaller>(&outcome))
        return refusalResponse(refusal->refusal);
    return refusalResponse(
        { core::RefusalCode::None, core::Run::Unknown, "no answer was made", 0 });
}

} // namespace bluebellshift::daemon
