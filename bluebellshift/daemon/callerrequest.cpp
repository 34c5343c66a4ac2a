// The path selects the route, and the route decides whether a key is required.
// A path that a target might normalise differently ("//", "/../", an encoded
// slash) could match an open route here and a route that requires a key there,
// so such a path is rejected instead of rewritten.
#include "bluebellshift/daemon/callerrequest.h"

#include <algorithm>
#include <cstdlib>
#include <strings.h>

#include <xxhash.h>

#include "absl/status/status.h"
#include "bluebellshift/base/hex.h"
#include "bluebellshift/base/secrets.h"

namespace bluebellshift::daemon {

namespace {

constexpr char servicePrefix[] = "/s/";
constexpr char bearerPrefix[] = "Bearer ";
constexpr long maxDeadlineMillis = 10 * 60 * 1000;
constexpr std::size_t minSearchedKeyBytes = 8; // shorter keys are not searched for

bool equalsIgnoringCase(const std::string &a, const char *b)
{
    return strcasecmp(a.c_str(), b) == 0;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string lowerCase(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

// Whether the header is one that only the daemon reads or sets.
bool isReservedHeader(const std::string &name)
{
    return startsWith(lowerCase(name), "bluebellshift-");
}

bool isHopByHop(const std::string &name)
{
    static constexpr const char *names[] = { "Connection",
                                             "Keep-Alive",
                                             "Proxy-Authenticate",
                                             "Proxy-Authorization",
                                             "Proxy-Connection",
                                             "TE",
                                             "Trailer",
                                             "Transfer-Encoding",
                                             "Upgrade" };
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const char *other) { return equalsIgnoringCase(name, other); });
}

// Returns the options listed in all "Connection" headers, in lower case.
std::vector<std::string> connectionOptions(const std::vector<core::Header> &headers)
{
    std::vector<std::string> options;
    for (const core::Header &header : headers) {
        if (!equalsIgnoringCase(header.name, "Connection"))
            continue;
        std::string option;
        for (char c : header.value + ",") {
            if (c == ',') {
                options.push_back(lowerCase(option));
                option.clear();
            } else if (c != ' ' && c != '\t') {
                option.push_back(c);
            }
        }
    }
    return options;
}

std::string keyOf(const http::HttpRequest &request)
{
    const std::string *value = request.header("Authorization");
    if (value == nullptr || strncasecmp(value->c_str(), bearerPrefix, sizeof bearerPrefix - 1) != 0)
        return {};
    return value->substr(sizeof bearerPrefix - 1);
}

// Whether a percent-encoded character is one that a target may decode before it
// selects the route.
bool isNeedlesslyEncoded(int c)
{
    if (std::isalnum(c) != 0)
        return true;
    return c < ' ' || c == 0x7f
        || std::string("-._~/\\%;").find(static_cast<char>(c)) != std::string::npos;
}

bool isAmbiguousSegment(const std::string &segment)
{
    if (segment == "." || segment == "..")
        return true;
    const std::string lower = lowerCase(segment);
    for (std::size_t i = 0; i < lower.size(); ++i) {
        if (lower[i] != '%')
            continue;
        const int high = i + 2 < lower.size() ? base::hexValue(lower[i + 1]) : -1;
        const int low = i + 2 < lower.size() ? base::hexValue(lower[i + 2]) : -1;
        if (high < 0 || low < 0 || isNeedlesslyEncoded(high * 16 + low))
            return true;
    }
    return false;
}

// Checks that a path, which must start with '/', has only one reading.
absl::Status checkPath(const std::string &path)
{
    for (unsigned char c : path) {
        if (c <= ' ' || c >= 0x7f || c == '\\' || c == ';')
            return absl::InvalidArgumentError("path \"" + path
                                              + "\" has a character that must be encoded");
    }
    std::size_t begin = 1;
    while (begin <= path.size()) {
        std::size_t end = path.find('/', begin);
        if (end == std::string::npos)
            end = path.size();
        const std::string segment = path.substr(begin, end - begin);
        if (segment.empty() && end < path.size())
            return absl::InvalidArgumentError("path \"" + path + "\" has an empty segment");
        if (isAmbiguousSegment(segment))
            return absl::InvalidArgumentError("path segment \"" + segment + "\" is ambiguous");
        begin = end + 1;
    }
    return absl::OkStatus();
}

absl::StatusOr<core::Duration> deadlineOf(const http::HttpRequest &request)
{
    const std::string *text = request.header("Bluebellshift-Deadline-Ms");
    if (text == nullptr)
        return core::Duration();
    char *end = nullptr;
    const long millis = std::strtol(text->c_str(), &end, 10);
    if (text->empty() || *end != '\0' || millis <= 0 || millis > maxDeadlineMillis)
        return absl::InvalidArgumentError("deadline \"" + *text
                                          + "\" is not a number of milliseconds from 1 to "
                                          + std::to_string(maxDeadlineMillis));
    return core::Duration::millis(millis);
}

std::string valueOrEmpty(const std::string *value)
{
    return value == nullptr ? std::string() : *value;
}

// Rejects a request whose URL or body contains the caller's key, since both are
// forwarded to the target.
absl::Status checkKeyOnlyInHeader(const std::string &key, const http::HttpRequest &request)
{
    if (key.size() < minSearchedKeyBytes)
        return absl::OkStatus();
    if (request.path.find(key) != std::string::npos || request.query.find(key) != std::string::npos)
        return absl::InvalidArgumentError("the URL holds the caller's key");
    if (request.body.find(key) != std::string::npos)
        return absl::InvalidArgumentError("the body holds the caller's key");
    return absl::OkStatus();
}

std::vector<core::Header> headersForTarget(const http::HttpRequest &request, const std::string &key)
{
    std::vector<core::Header> remaining;
    for (core::Header &header : withoutHopByHop(request.headers)) {
        const bool isExcluded = isReservedHeader(header.name)
            || equalsIgnoringCase(header.name, "Authorization")
            || equalsIgnoringCase(header.name, "Host")
            || equalsIgnoringCase(header.name, "Content-Length")
            || equalsIgnoringCase(header.name, "Expect");
        const bool holdsKey =
            key.size() >= minSearchedKeyBytes && header.value.find(key) != std::string::npos;
        if (!isExcluded && !holdsKey)
            remaining.push_back(std::move(header));
    }
    return remaining;
}

} // namespace

std::uint64_t contentDigestOf(const std::string &pathAndQuery, const std::string &body)
{
    const std::uint64_t seed = XXH3_64bits(pathAndQuery.data(), pathAndQuery.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

std::vector<core::Header> withoutHopByHop(const std::vector<core::Header> &headers)
{
    const std::vector<std::string> options = connectionOptions(headers);
    std::vector<core::Header> remaining;
    for (const core::Header &header : headers) {
        const bool isListed =
            std::find(options.begin(), options.end(), lowerCase(header.name)) != options.end();
        if (!isListed && !isHopByHop(header.name))
            remaining.push_back(header);
    }
    return remaining;
}

std::optional<core::KeyDigest> keyDigestOf(const http::HttpRequest &request)
{
    const std::string key = keyOf(request);
    if (key.empty())
        return std::nullopt;
    return core::KeyDigest(base::sha256Hex(key));
}

absl::StatusOr<ParsedRequest> parseCallerRequest(const http::HttpRequest &request)
{
    if (!startsWith(request.path, servicePrefix))
        return absl::InvalidArgumentError("path \"" + request.path + "\" is not below "
                                          + servicePrefix);
    const std::size_t begin = sizeof servicePrefix - 1;
    std::size_t slash = request.path.find('/', begin);
    if (slash == std::string::npos)
        slash = request.path.size();
    const std::string service = request.path.substr(begin, slash - begin);
    const std::string path = slash == request.path.size() ? "/" : request.path.substr(slash);
    if (service.empty())
        return absl::InvalidArgumentError("path \"" + request.path + "\" names no service");
    if (absl::Status status = checkPath(path); !status.ok())
        return status;
    absl::StatusOr<core::Duration> deadline = deadlineOf(request);
    if (!deadline.ok())
        return deadline.status();
    const std::string key = keyOf(request);
    if (absl::Status status = checkKeyOnlyInHeader(key, request); !status.ok())
        return status;

    ParsedRequest parsed;
    parsed.request.method = request.method;
    parsed.request.pathAndQuery = request.query.empty() ? path : path + "?" + request.query;
    parsed.request.headers = headersForTarget(request, key);
    parsed.request.body = request.body;
    parsed.request.service = core::ServiceId(service);
    parsed.request.ticket = valueOrEmpty(request.header("Bluebellshift-Ticket"));
    if (std::optional<core::KeyDigest> digest = keyDigestOf(request))
        parsed.request.keyDigest = *digest;

    parsed.event.service = parsed.request.service;
    parsed.event.method = request.method;
    parsed.event.path = path;
    parsed.event.hasKey = !key.empty();
    parsed.event.keyDigest = parsed.request.keyDigest;
    parsed.event.ticket = parsed.request.ticket;
    parsed.event.idempotencyKey = valueOrEmpty(request.header("Idempotency-Key"));
    parsed.event.timeLeft = *deadline;
    parsed.event.clientAddress = request.clientAddress;
    parsed.event.bodyBytes = request.body.size();
    parsed.event.contentDigest = contentDigestOf(parsed.request.pathAndQuery, parsed.request.body);
    return parsed;
}

} // namespace bluebellshift::daemon
