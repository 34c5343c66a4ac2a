// An answer is a target's JSON, which names the caller and the hash of the body
// it received. Anything else with a "code" is a refusal of a VM. A request
// without a ticket is tried again only when the refusal says that it was not run
// or when no connection was made; one with a ticket also after silence. A ticket
// that was refused as not run stays so for good, which is why another attempt
// needs a new one.
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

std::string textOf(const Json &json, const char *field)
{
    return json.contains(field) && json[field].is_string() ? json[field].get<std::string>()
                                                           : std::string();
}

bool isOwnAnswer(const Json &json, const SentRequest &request)
{
    return textOf(json, "caller") == request.callerId
        && textOf(json, "hash") == standin::hashOf(request.body);
}

bool listsKey(const Json &json)
{
    if (!json.contains("headers") || !json["headers"].is_array())
        return false;
    return std::any_of(json["headers"].begin(), json["headers"].end(), [](const Json &name) {
        return name.is_string()
            && strcasecmp(name.get_ref<const std::string &>().c_str(), "Authorization") == 0;
    });
}

// Refusals that another VM, or a little time, may mend.
bool isPassing(const std::string &code)
{
    static const char *const codes[] = {
        "leaving",      "not-ready",        "view-stale",         "no-capacity",
        "records-full", "home-unreachable", "ticket-in-progress", "ticket-expired"
    };
    return std::find(std::begin(codes), std::end(codes), code) != std::end(codes);
}

Verdict refusalOf(const Json &json, const SentRequest &request)
{
    Verdict verdict;
    verdict.end = End::Refused;
    verdict.code = textOf(json, "code");
    const std::string run = textOf(json, "run");
    if (run == "not-run")
        verdict.claim = Run::NotRun;
    if (run == "ran")
        verdict.claim = Run::Ran;
    const bool isSafe = request.isTicketed || verdict.claim == Run::NotRun;
    verdict.mayTryAgain = isSafe && isPassing(verdict.code);
    verdict.isTicketSpent = verdict.claim == Run::NotRun;
    return verdict;
}

} // namespace

Verdict judge(const SentRequest &request, const HttpResult &result)
{
    Verdict verdict;
    if (!result.isWhole) {
        if (result.isUnconnected && !request.isTicketed)
            verdict.claim = Run::NotRun;
        verdict.mayTryAgain = request.isTicketed || result.isUnconnected;
        return verdict;
    }
    const Json json = Json::parse(result.body, nullptr, false);
    if (json.is_object() && json.contains("code"))
        return refusalOf(json, request);
    verdict.end = End::Wrong;
    if (!json.is_object())
        return verdict;
    verdict.hasSeenKey = listsKey(json);
    if (isOwnAnswer(json, request)) {
        verdict.end = result.status < badRequest ? End::Answered : End::TargetError;
        verdict.claim = Run::Ran;
        return verdict;
    }
    // A target that sheds says so without naming the caller.
    if (result.status >= badRequest && !json.contains("caller"))
        verdict.end = End::TargetError;
    return verdict;
}

std::string ticketOf(const HttpResult &result)
{
    if (!result.isWhole || result.status != 200)
        return std::string();
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() ? textOf(json, "ticket") : std::string();
}

std::string ticketIdOf(const std::string &ticket)
{
    return base::sha256Hex(ticket).substr(0, ticketIdLength);
}

} // namespace bluebellshift::load
