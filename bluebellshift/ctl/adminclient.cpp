// A write is never resent after its reply was lost, because it may have been
// applied. A conflict is reported by the store, so the value was not written and
// the next attempt starts from the stored value.
#include "bluebellshift/ctl/adminclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bluebellshift::ctl {
namespace {

using nlohmann::json;

constexpr char objectsPath[] = "/admin/v1/objects/";
constexpr int maxEditAttempts = 8;
constexpr core::Duration conflictRetryDelay = core::Duration::millis(250);

json parseJson(const std::string &text)
{
    return json::parse(text, nullptr, false);
}

absl::Status statusOf(const HttpReply &reply)
{
    const json body = parseJson(reply.body);
    std::string message = fmt::format("HTTP status {}", reply.status);
    if (body.is_object() && body.contains("message") && body["message"].is_string())
        message = body["message"].get<std::string>();
    switch (reply.status) {
    case 200:
        return absl::OkStatus();
    case 400:
        return absl::InvalidArgumentError(message);
    case 401:
        return absl::UnauthenticatedError(message);
    case 403:
        return absl::PermissionDeniedError(message);
    case 404:
        return absl::NotFoundError(message);
    case 409:
        return absl::AbortedError(message);
    case 412:
        return absl::FailedPreconditionError(message);
    case 503:
        return absl::UnavailableError(message);
    default:
        return absl::UnknownError(message);
    }
}

absl::Status malformedReplyError()
{
    return absl::UnknownError("the VM's reply is malformed");
}

// Reads typed fields of a JSON object. A field that is missing or has another type
// reads as a default value and clears isComplete().
class FieldReader
{
public:
    explicit FieldReader(const json &document)
        : document_(document)
    {
    }
    template<typename T> T get(const char *name)
    {
        const bool isPresent = document_.is_object() && document_.contains(name);
        if constexpr (std::is_same_v<T, std::string>) {
            if (isPresent && document_[name].is_string())
                return document_[name].get<T>();
        } else if constexpr (std::is_same_v<T, bool>) {
            if (isPresent && document_[name].is_boolean())
                return document_[name].get<T>();
        } else if (isPresent && document_[name].is_number_integer()) {
            return document_[name].get<T>();
        }
        isComplete_ = false;
        return T();
    }
    core::Revision revision(const char *name) { return core::Revision(get<std::uint64_t>(name)); }
    bool isComplete() const { return isComplete_; }

private:
    const json &document_;
    bool isComplete_ = true;
};

absl::StatusOr<core::Object> parseObject(const json &document)
{
    FieldReader fields(document);
    core::Object object;
    object.kind = fields.get<std::string>("kind");
    object.name = fields.get<std::string>("name");
    object.version = fields.revision("version");
    object.value = fields.get<std::string>("value");
    if (!fields.isComplete())
        return malformedReplyError();
    return object;
}

std::string objectPath(const std::string &kind, const std::string &name)
{
    return objectsPath + percentEncode(kind) + "/" + percentEncode(name);
}

} // namespace

std::string percentEncode(const std::string &text)
{
    std::string encoded;
    for (const char c : text) {
        const bool isUnreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
        if (isUnreserved)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

AdminClient::AdminClient(SendHttp send, std::string operatorKey,
                         std::function<void(core::Duration)> pause)
    : send_(std::move(send))
    , operatorKey_(std::move(operatorKey))
    , pause_(std::move(pause))
{
}

absl::StatusOr<std::string> AdminClient::call(const char *method, const std::string &path,
                                              const std::string &body) const
{
    const absl::StatusOr<HttpReply> reply = send_({ method, path, body, "Bearer " + operatorKey_ });
    if (!reply.ok())
        return reply.status();
    const absl::Status status = statusOf(*reply);
    if (!status.ok())
        return status;
    return reply->body;
}

absl::StatusOr<HttpReply> AdminClient::get(const std::string &path) const
{
    return send_({ "GET", path, "", "" });
}

absl::StatusOr<core::Object> AdminClient::read(const std::string &kind,
                                               const std::string &name) const
{
    const auto body = call("GET", objectPath(kind, name), "");
    if (!body.ok())
        return body.status();
    return parseObject(parseJson(*body));
}

absl::StatusOr<std::vector<core::Object>> AdminClient::list(const std::string &kind) const
{
    const auto body = call("GET", objectsPath + percentEncode(kind), "");
    if (!body.ok())
        return body.status();
    const json document = parseJson(*body);
    if (!document.is_object() || !document.contains("objects") || !document["objects"].is_array())
        return malformedReplyError();
    std::vector<core::Object> objects;
    for (const json &entry : document["objects"]) {
        const auto object = parseObject(entry);
        if (!object.ok())
            return object.status();
        objects.push_back(*object);
    }
    return objects;
}

absl::StatusOr<FleetStatus> AdminClient::status() const
{
    const auto body = call("GET", "/admin/v1/status", "");
    if (!body.ok())
        return body.status();
    const json document = parseJson(*body);
    FieldReader fields(document);
    FleetStatus status;
    status.operatorId = core::OperatorId(fields.get<std::string>("operator"));
    status.vm = core::VmId(fields.get<std::string>("vm"));
    status.revision = fields.revision("revision");
    status.isFresh = fields.get<bool>("fresh");
    status.isReady = fields.get<bool>("ready");
    status.reason = fields.get<std::string>("reason");
    status.bundle = fields.get<std::string>("bundle");
    if (!fields.isComplete() || !document.contains("peers") || !document["peers"].is_array())
        return malformedReplyError();
    for (const json &entry : document["peers"]) {
        FieldReader peer(entry);
        PeerStatus next;
        next.vm = core::VmId(peer.get<std::string>("id"));
        next.revision = peer.revision("revision");
        next.isAlive = peer.get<bool>("alive");
        next.isReady = peer.get<bool>("ready");
        next.isLeaving = peer.get<bool>("leaving");
        next.age = core::Duration::millis(peer.get<std::int64_t>("age_ms"));
        if (!peer.isComplete())
            return malformedReplyError();
        status.peers.push_back(next);
    }
    return status;
}

absl::StatusOr<core::Revision> AdminClient::write(const std::string &kind, const std::string &name,
                                                  core::Revision expected,
                                                  const std::string &value) const
{
    const std::string path =
        fmt::format("{}?expected={}", objectPath(kind, name), expected.number());
    const auto body = call("PUT", path, value);
    if (!body.ok())
        return body.status();
    const json document = parseJson(*body);
    FieldReader fields(document);
    const core::Revision version = fields.revision("version");
    if (!fields.isComplete())
        return malformedReplyError();
    return version;
}

absl::StatusOr<core::Revision> AdminClient::edit(const std::string &kind, const std::string &name,
                                                 const Change &change) const
{
    absl::StatusOr<core::Revision> accepted = core::Revision();
    for (int round = 0; round < maxEditAttempts; ++round) {
        if (round > 0)
            pause_(conflictRetryDelay);
        absl::StatusOr<core::Object> stored = read(kind, name);
        if (absl::IsNotFound(stored.status()))
            stored = core::Object { kind, name, {}, "", false };
        if (!stored.ok())
            return stored.status();
        const absl::StatusOr<std::string> value = change(stored->value);
        if (!value.ok())
            return value.status();
        accepted = write(kind, name, stored->version, *value);
        if (!absl::IsAborted(accepted.status()))
            return accepted;
    }
    return accepted;
}

} // namespace bluebellshift::ctl
