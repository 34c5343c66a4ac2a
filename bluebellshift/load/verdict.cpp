// An answer is a JSON object of a target with the caller id and the hash of the body
// that the target received. A JSON object with a "code" is a refusal by a VM. A request
// without a ticket is retried only if the refusal says that it was not run or if no
// connection was made; a request with a ticket also if no reply arrived. A ticket that
// was refused as not run is refused permanently, so another attempt needs a new one.
#include "bluebellshift/load/verdict.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <strings.h>

#include "bluebellshift/base/secrets.h"
#include "bluebellshift/standin/faketarget.h"

namespace bluebellshift::load {

using core::Run;
using Json = nlohmann::json;

namespace {

constexpr std::size_t ticketIdLength = 24; // hex digits
constexpr int badRequest = 400;

std::string stringField(const Json &json, const char *field)
{
    return json.contains(field) && json[field].is_string() ? json[field].get<std::string>()
                                                           : std::string();
}

bool matchesRequest(const Json &json, const SentRequest &request)
{
    return stringField(json, "caller") == request.callerId
        && stringField(json, "hash") == standin::hashOf(request.body);
}

bool listsAuthorization(const Json &json)
{
    if (!json.contains("headers") || !json["headers"].is_array())
        return false;
    return std::any_of(json["headers"].begin(), json["headers"].end(), [](const Json &name) {
        return name.is_string()
            && strcasecmp(name.get_ref<const std::string &>().c_str(), "Authorization") == 0;
    });
}

// Returns whether a retry, possibly at another VM, may succeed.
bool isTransient(const std::string &code)
{
    static const char *const codes[] = {
        "leaving",      "not-ready",        "view-stale",         "no-capacity",
        "records-full", "home-unreachable", "ticket-in-progress", "ticket-expired"
    };
    return std::find(std::begin(codes), std::end(codes), code) != std::end(codes);
}

Verdict parseRefusal(const Json &json, const SentRequest &request)
{
    Verdict verdict;
    verdict.kind = OutcomeKind::Refused;
    verdict.code = stringField(json, "code");
    const std::string run = stringField(json, "run");
    if (run == "not-run")
        verdict.claim = Run::NotRun;
    if (run == "ran")
        verdict.claim = Run::Ran;
    const bool isSafe = request.hasTicket || verdict.claim == Run::NotRun;
    verdict.mayRetry = isSafe && isTransient(verdict.code);
    verdict.needsNewTicket = verdict.claim == Run::NotRun;
    return verdict;
}

} // namespace

Verdict classifyReply(const SentRequest &request, const HttpResult &result)
{
    Verdict verdict;
    if (!result.isComplete) {
        if (result.isUnsent && !request.hasTicket)
            verdict.claim = Run::NotRun;
        verdict.mayRetry = request.hasTicket || result.isUnsent;
        return verdict;
    }
    const Json json = Json::parse(result.body, nullptr, false);
    if (json.is_object() && json.contains("code"))
        return parseRefusal(json, request);
    verdict.kind = OutcomeKind::Wrong;
    if (!json.is_object())
        return verdict;
    verdict.isKeyLeaked = listsAuthorization(json);
    if (matchesRequest(json, request)) {
        verdict.kind =
            result.status < badRequest ? OutcomeKind::Answered : OutcomeKind::TargetError;
        verdict.claim = Run::Ran;
        return verdict;
    }
    // A target that sheds load replies with an error that does not name the caller.
    if (result.status >= badRequest && !json.contains("caller"))
        verdict.kind = OutcomeKind::TargetError;
    return verdict;
}

std::string parseTicket(const HttpResult &result)
{
    if (!result.isComplete || result.status != 200)
        return std::string();
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() ? stringField(json, "ticket") : std::string();
}

std::string ticketIdOf(const std::string &ticket)
{
    return base::sha256Hex(ticket).substr(0, ticketIdLength);
}

} // namespace bluebellshift::load
