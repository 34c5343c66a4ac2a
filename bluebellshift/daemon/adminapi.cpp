// A change is checked against this VM's view, which may lag behind the store. The
// write is conditional on the version in the view, so it can only replace the
// version that the check saw.
#include "bluebellshift/daemon/adminapi.h"

#include <cstdlib>

#include <nlohmann/json.hpp>

#include "bluebellshift/daemon/refusaltext.h"
#include "bluebellshift/shell/crypto.h"

namespace bluebellshift::daemon {

using nlohmann::json;

namespace {

constexpr char objectsPrefix[] = "/admin/v1/objects/";
constexpr char statusPath[] = "/admin/v1/status";
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

json toJson(const core::Object &object)
{
    return { { "kind", object.kind },
             { "name", object.name },
             { "version", object.version.number() },
             { "value", object.value } };
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::strtoull(text.c_str(), nullptr, 10);
}

json peerJson(const core::PeerReport &peer)
{
    return { { "id", peer.vm.text() },      { "revision", peer.viewRevision.number() },
             { "alive", peer.isAlive },     { "ready", peer.isReady },
             { "leaving", peer.isLeaving }, { "age_ms", peer.age.toMillis() } };
}

// Decodes percent escapes. Returns nullopt if one is malformed.
std::optional<std::string> decodeSegment(const std::string &segment)
{
    std::string text;
    for (std::size_t i = 0; i < segment.size(); ++i) {
        if (segment[i] != '%') {
            text += segment[i];
            continue;
        }
        const absl::StatusOr<std::string> byte = shell::fromHex(segment.substr(i + 1, 2));
        if (!byte.ok() || byte->size() != 1)
            return std::nullopt;
        text += *byte;
        i += 2;
    }
    return text;
}

json statusJson(const core::StatusReturned &status, const shell::Operator &actor)
{
    json peers = json::array();
    for (const core::PeerReport &peer : status.peers)
        peers.push_back(peerJson(peer));
    return { { "operator", actor.id.text() },
             { "vm", status.vm.text() },
             { "revision", status.viewRevision.number() },
             { "fresh", status.isFresh },
             { "ready", status.isReady },
             { "reason", status.reason },
             { "bundle", status.bundle },
             { "peers", peers } };
}

} // namespace

AdminApi::AdminApi(shell::Operators operators, Hooks hooks)
    : operators_(std::move(operators))
    , hooks_(std::move(hooks))
{
}

http::HttpResponse AdminApi::reject(int status, const char *code, const std::string &message)
{
    const json body = { { "code", code }, { "message", message } };
    return jsonResponse(status, body.dump());
}

http::HttpResponse AdminApi::handle(const http::HttpRequest &request)
{
    const std::string *authorization = request.header("Authorization");
    const absl::StatusOr<shell::Operator> actor =
        operators_.authenticate(authorization == nullptr ? std::string() : *authorization);
    if (!actor.ok()) {
        hooks_.log({ core::log::operatorRejected, { { "path", request.path } } });
        return reject(statusUnauthorized, "operator-unknown",
                      std::string(actor.status().message()));
    }
    if (request.path == statusPath)
        return request.method == "GET"
            ? handleStatus(*actor)
            : reject(statusMethodNotAllowed, "method-not-allowed", request.method);
    if (request.path.compare(0, sizeof objectsPrefix - 1, objectsPrefix) == 0)
        return handleObject(request, *actor);
    return reject(statusNotFound, "path-unknown", "path \"" + request.path + "\" does not exist");
}

http::HttpResponse AdminApi::handleObject(const http::HttpRequest &request,
                                          const shell::Operator &actor)
{
    const std::string rest = request.path.substr(sizeof objectsPrefix - 1);
    const std::size_t slash = rest.find('/');
    const auto kind = decodeSegment(rest.substr(0, slash));
    const auto name =
        decodeSegment(slash == std::string::npos ? std::string() : rest.substr(slash + 1));
    if (!kind.has_value() || !name.has_value())
        return reject(statusBadRequest, "path-malformed", "a percent escape is broken");
    if (request.method == "GET")
        return readObjects(*kind, *name, actor);
    if (request.method == "PUT" && !name->empty())
        return changeObject(request, *kind, *name, actor);
    return reject(statusMethodNotAllowed, "method-not-allowed",
                  "method \"" + request.method + "\" is not allowed on \"" + request.path + "\"");
}

http::HttpResponse AdminApi::readObjects(const std::string &kind, const std::string &name,
                                         const shell::Operator &actor)
{
    const absl::Status allowed = shell::checkRead(actor, kind);
    if (!allowed.ok())
        return reject(statusForbidden, "role-missing", std::string(allowed.message()));
    const std::vector<core::Object> objects = findObjects(kind, name);
    if (!name.empty()) {
        if (objects.empty())
            return reject(statusNotFound, "object-unknown",
                          "object " + kind + "/" + name + " does not exist");
        return jsonResponse(statusOk, toJson(objects.front()).dump());
    }
    json list = json::array();
    for (const core::Object &object : objects)
        list.push_back(toJson(object));
    return jsonResponse(statusOk, json({ { "objects", list } }).dump());
}

http::HttpResponse AdminApi::changeObject(const http::HttpRequest &request, const std::string &kind,
                                          const std::string &name, const shell::Operator &actor)
{
    const std::optional<std::uint64_t> expected = parseNumber(request.parameter("expected"));
    if (!expected.has_value())
        return reject(statusBadRequest, "expected-missing",
                      "expected=\"" + request.parameter("expected")
                          + "\" is not the version of the object; 0: it must not exist");
    shell::ProposedChange change { kind, name, findObject(kind, name), request.body };
    const core::Revision storedVersion =
        change.stored.has_value() ? change.stored->version : core::Revision();
    // The response to a conflict contains the stored value, so it requires permission to read.
    absl::Status allowed = shell::checkRead(actor, kind);
    if (allowed.ok() && storedVersion.number() != *expected) {
        json body = change.stored.has_value() ? toJson(*change.stored) : json::object();
        body["code"] = "conflict";
        body["message"] = "version " + std::to_string(storedVersion.number()) + " is stored";
        return jsonResponse(statusConflict, body.dump());
    }
    if (allowed.ok())
        allowed =
            shell::checkChange(actor, change, [this](const std::string &k, const std::string &n) {
                return findObject(k, n);
            });
    if (!allowed.ok()) {
        const bool isForbidden = absl::IsPermissionDenied(allowed);
        if (isForbidden)
            hooks_.log({ core::log::operatorRejected,
                         { { "operator", actor.id.text() }, { "kind", kind }, { "name", name } } });
        if (absl::IsFailedPrecondition(allowed))
            return reject(statusPreconditionFailed, "rule-broken", std::string(allowed.message()));
        return reject(isForbidden ? statusForbidden : statusBadRequest,
                      isForbidden ? "role-missing" : "change-invalid",
                      std::string(allowed.message()));
    }

    core::ChangeRequested event;
    event.by = actor.id;
    event.kind = kind;
    event.name = name;
    event.expected = core::Revision(*expected);
    event.value = request.body;
    event.summary = shell::summarizeChange(change);
    event.at = hooks_.wallTime();
    const RequestOutcome outcome = hooks_.serve([&event](core::RequestId id) {
        event.request = id;
        return event;
    });
    const auto *ended = std::get_if<core::ChangeEnded>(&outcome);
    if (ended == nullptr)
        return reject(statusGatewayTimeout, "outcome-unknown", "the change may have taken effect");
    json body = toJson(ended->object);
    switch (ended->outcome) {
    case core::PlatformOutcome::Done:
        return jsonResponse(statusOk, body.dump());
    case core::PlatformOutcome::Conflict:
    case core::PlatformOutcome::Missing:
        body["code"] = "conflict";
        body["message"] = "another change came first";
        return jsonResponse(statusConflict, body.dump());
    case core::PlatformOutcome::Unreachable:
        return reject(statusUnavailable, "platform-unreachable", "the change did not take effect");
    case core::PlatformOutcome::Unknown:
        break;
    }
    return reject(statusGatewayTimeout, "outcome-unknown", "the change may have taken effect");
}

http::HttpResponse AdminApi::handleStatus(const shell::Operator &actor)
{
    const RequestOutcome outcome =
        hooks_.serve([](core::RequestId id) { return core::StatusRequested { id }; });
    if (const auto *status = std::get_if<core::StatusReturned>(&outcome))
        return jsonResponse(statusOk, statusJson(*status, actor).dump());
    return reject(statusUnavailable, "not-ready", "no status was made");
}

std::vector<core::Object> AdminApi::findObjects(const std::string &kind, const std::string &name)
{
    const RequestOutcome outcome = hooks_.serve([&](core::RequestId id) {
        core::ObjectsRequested event;
        event.request = id;
        event.kind = kind;
        event.name = name;
        return event;
    });
    if (const auto *returned = std::get_if<core::ObjectsReturned>(&outcome))
        return returned->objects;
    return {};
}

std::optional<core::Object> AdminApi::findObject(const std::string &kind, const std::string &name)
{
    const std::vector<core::Object> objects = findObjects(kind, name);
    if (objects.empty())
        return std::nullopt;
    return objects.front();
}

} // namespace bluebellshift::daemon
