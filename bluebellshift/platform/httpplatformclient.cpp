// Each call is one libcurl transfer.
//
// libcurl silently resends a request, including PUT and POST, if a reused
// connection closes before the first byte of the reply, and then reports success.
// A conditional write that is applied twice would conflict with itself, so each
// write uses a new handle and a new connection, for which libcurl never retries.
// The cost is one connection set-up per write, which is negligible because one VM
// makes only a few writes per second. Reads and watches are idempotent and reuse
// their connection.
//
// A write is Unreachable only if no connection was made. Once connected, the
// platform may have received the request, so any outcome but a complete,
// well-formed reply is Unknown.
#include "bluebellshift/platform/httpplatformclient.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <mutex>
#include <utility>

namespace bluebellshift::platform {

using core::Duration;
using core::Object;
using core::PlatformOutcome;
using core::Revision;
using Json = nlohmann::json;

namespace {

enum class Transfer { Complete, Incomplete, NotConnected };

void initialiseCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

// Escapes all characters but the unreserved ones of RFC 3986.
std::string percentEncoded(const std::string &text)
{
    static const char hexDigits[] = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        const bool isUnreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
        if (isUnreserved) {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += hexDigits[c >> 4];
        out += hexDigits[c & 15];
    }
    return out;
}

// Returns a discarded value if the text is not a JSON object.
Json parseJsonObject(const std::string &text)
{
    Json json = Json::parse(text, nullptr, false);
    return json.is_object() ? json : Json(Json::value_t::discarded);
}

bool hasNumber(const Json &json, const char *field)
{
    return json.contains(field) && json[field].is_number_unsigned();
}

std::string textOf(const Json &json, const char *field)
{
    return json.contains(field) && json[field].is_string() ? json[field].get<std::string>()
                                                           : std::string();
}

bool flagOf(const Json &json, const char *field)
{
    return json.contains(field) && json[field].is_boolean() && json[field].get<bool>();
}

WriteResult unreachable(const std::string &kind, const std::string &name)
{
    WriteResult result;
    result.outcome = PlatformOutcome::Unreachable;
    result.object.kind = kind;
    result.object.name = name;
    return result;
}

// Returns false if the JSON value lacks a version or a kind.
bool parseObject(const Json &json, Object &object)
{
    if (!json.is_object() || !hasNumber(json, "version"))
        return false;
    object.kind = textOf(json, "kind");
    object.name = textOf(json, "name");
    object.version = Revision(json["version"].get<std::uint64_t>());
    object.value = textOf(json, "value");
    object.deleted = flagOf(json, "deleted");
    return !object.kind.empty();
}

} // namespace

struct HttpPlatformClient::Handle
{
    Handle()
        : curl(curl_easy_init())
    {
    }
    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;
    ~Handle() { curl_easy_cleanup(curl); }

    CURL *curl;
};

struct HttpPlatformClient::Call
{
    const char *method = "GET";
    std::string url;
    const std::string *body = nullptr;
    Duration wait;             // how long the store may hold a watch
    bool forbidsRetry = false; // the request must not be sent twice
};

struct HttpPlatformClient::Reply
{
    Transfer transfer = Transfer::Incomplete;
    long status = 0;
    std::string body;
    std::size_t maxBodyBytes = 0;

    PlatformOutcome failure() const
    {
        return transfer == Transfer::NotConnected ? PlatformOutcome::Unreachable
                                                  : PlatformOutcome::Unknown;
    }
    bool isCompleteWith(long expectedStatus) const
    {
        return transfer == Transfer::Complete && status == expectedStatus;
    }
    static std::size_t append(char *data, std::size_t size, std::size_t count, void *user);
};

std::size_t HttpPlatformClient::Reply::append(char *data, std::size_t size, std::size_t count,
                                              void *user)
{
    auto *reply = static_cast<Reply *>(user);
    const std::size_t bytes = size * count;
    if (reply->body.size() + bytes > reply->maxBodyBytes)
        return 0; // makes libcurl abort the transfer
    reply->body.append(data, bytes);
    return bytes;
}

namespace {

int abortIfInterrupted(void *user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<std::atomic<bool> *>(user)->load() ? 1 : 0;
}

Transfer transferOf(CURL *curl, CURLcode code)
{
    if (code == CURLE_OK)
        return Transfer::Complete;
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
        return Transfer::NotConnected;
    curl_off_t connectMicros = 0;
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connectMicros);
    const bool isUnconnected = code == CURLE_OPERATION_TIMEDOUT && connectMicros == 0;
    return isUnconnected ? Transfer::NotConnected : Transfer::Incomplete;
}

void setBody(CURL *curl, const std::string &body)
{
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
}

} // namespace

HttpPlatformClient::HttpPlatformClient(core::Endpoint platform, HttpPlatformOptions options)
    : options_(options)
    , baseUrl_("http://" + platform.address + ":" + std::to_string(platform.port))
{
    initialiseCurl();
    persistentHandle_ = std::make_unique<Handle>();
}

HttpPlatformClient::~HttpPlatformClient() = default;

std::string HttpPlatformClient::objectUrl(const std::string &kind, const std::string &name) const
{
    return baseUrl_ + "/v1/objects/" + percentEncoded(kind) + "/" + percentEncoded(name);
}

HttpPlatformClient::Reply HttpPlatformClient::perform(const Call &call)
{
    Handle fresh;
    CURL *curl = call.forbidsRetry ? fresh.curl : persistentHandle_->curl;
    Reply reply;
    reply.maxBodyBytes = options_.maxReplyBytes;
    curl_easy_reset(curl); // keeps the connection
    curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options_.connectTimeout.toMillis()));
    const Duration timeout = options_.callTimeout + call.wait;
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.toMillis()));
    if (call.body != nullptr)
        setBody(curl, *call.body);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Reply::append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &abortIfInterrupted);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &interrupted_);
    if (call.forbidsRetry) {
        curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_slist *headers = curl_slist_append(nullptr, "Expect:"); // don't wait for "100 Continue"
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    const CURLcode code = curl_easy_perform(curl);
    curl_slist_free_all(headers);
    reply.transfer = transferOf(curl, code);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

ReadResult HttpPlatformClient::read(const std::string &kind, const std::string &name)
{
    Call call;
    call.url = objectUrl(kind, name);
    const Reply reply = perform(call);
    ReadResult result;
    result.object.kind = kind;
    result.object.name = name;
    if (reply.isCompleteWith(404)) {
        result.outcome = PlatformOutcome::Missing;
        return result;
    }
    Object object;
    if (!reply.isCompleteWith(200) || !parseObject(parseJsonObject(reply.body), object)) {
        result.outcome = reply.failure();
        return result;
    }
    result.outcome = PlatformOutcome::Done;
    result.object = std::move(object);
    return result;
}

WriteResult HttpPlatformClient::write(const std::string &kind, const std::string &name,
                                      Revision expected, const std::string &value)
{
    if (value.size() > maxValueBytes)
        return unreachable(kind, name);
    Call call;
    call.method = "PUT";
    call.url = objectUrl(kind, name) + "?expected=" + std::to_string(expected.number());
    call.body = &value;
    call.forbidsRetry = true;
    WriteResult result = sendChange(call, kind, name);
    if (result.outcome == PlatformOutcome::Done)
        result.object.value = value;
    return result;
}

WriteResult HttpPlatformClient::remove(const std::string &kind, const std::string &name,
                                       Revision expected)
{
    Call call;
    call.method = "DELETE";
    call.url = objectUrl(kind, name) + "?expected=" + std::to_string(expected.number());
    call.forbidsRetry = true;
    WriteResult result = sendChange(call, kind, name);
    if (result.outcome == PlatformOutcome::Done)
        result.object.deleted = true;
    return result;
}

WriteResult HttpPlatformClient::sendChange(const Call &call, const std::string &kind,
                                           const std::string &name)
{
    WriteResult result;
    result.object.kind = kind;
    result.object.name = name;
    const Reply reply = perform(call);
    const Json json = parseJsonObject(reply.body);
    const bool isDone = reply.isCompleteWith(200);
    if ((!isDone && !reply.isCompleteWith(409)) || json.is_discarded()
        || !hasNumber(json, "version")) {
        result.outcome = reply.failure();
        return result;
    }
    result.outcome = isDone ? PlatformOutcome::Done : PlatformOutcome::Conflict;
    result.object.version = Revision(json["version"].get<std::uint64_t>());
    result.object.value = textOf(json, "value");
    return result;
}

WatchResult HttpPlatformClient::watch(Revision after, Duration wait)
{
    Call call;
    call.url = baseUrl_ + "/v1/watch?after=" + std::to_string(after.number())
        + "&wait_ms=" + std::to_string(wait.toMillis());
    call.wait = wait;
    return fetchChanges(call);
}

WatchResult HttpPlatformClient::list()
{
    Call call;
    call.url = baseUrl_ + "/v1/objects";
    WatchResult result = fetchChanges(call);
    result.isComplete = result.outcome == PlatformOutcome::Done;
    return result;
}

WatchResult HttpPlatformClient::fetchChanges(const Call &call)
{
    WatchResult result;
    const Reply reply = perform(call);
    const Json json = parseJsonObject(reply.body);
    if (!reply.isCompleteWith(200) || json.is_discarded() || !hasNumber(json, "revision")
        || !json.contains("objects") || !json["objects"].is_array()) {
        result.outcome = reply.failure();
        return result;
    }
    for (const Json &entry : json["objects"]) {
        Object object;
        if (!parseObject(entry, object))
            return WatchResult();
        result.objects.push_back(std::move(object));
    }
    result.outcome = PlatformOutcome::Done;
    result.revision = Revision(json["revision"].get<std::uint64_t>());
    result.isComplete = flagOf(json, "complete");
    if (hasNumber(json, "waited_ms"))
        result.waited = Duration::millis(json["waited_ms"].get<std::int64_t>());
    return result;
}

} // namespace bluebellshift::platform
