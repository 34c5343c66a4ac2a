#include "bluebellshift/net/httpmessage.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace bluebellshift::net {
namespace {

constexpr int badGateway = 502;

constexpr std::array<std::string_view, 9> hopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Calls `visit` with each trimmed element; stops and returns true once it returns true.
template<typename Visit> bool anyElement(std::string_view text, char separator, Visit visit)
{
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (visit(trim(text.substr(0, end))))
            return true;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return false;
}

bool isListedInConnection(const Headers &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const core::Header &header) {
        return isSameName(header.name, "Connection")
            && anyElement(header.value, ',',
                          [&](auto element) { return isSameName(element, name); });
    });
}

void appendHeaders(const Headers &headers, std::string *bytes)
{
    for (const core::Header &header : headers) {
        *bytes += header.name;
        *bytes += ": ";
        *bytes += header.value;
        *bytes += "\r\n";
    }
}

bool needsContentLength(const Request &request)
{
    return !request.body.empty()
        || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE");
}

} // namespace

bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return toLower(x) == toLower(y);
           });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const core::Header &header : headers) {
        if (isSameName(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::string findCookie(const Headers &headers, std::string_view name)
{
    std::string value;
    for (const core::Header &header : headers) {
        if (!isSameName(header.name, "Cookie"))
            continue;
        const bool isFound = anyElement(header.value, ';', [&](std::string_view element) {
            const auto equals = element.find('=');
            if (equals == std::string_view::npos || element.substr(0, equals) != name)
                return false;
            value = std::string(element.substr(equals + 1));
            return true;
        });
        if (isFound)
            break;
    }
    return value;
}

std::optional<std::chrono::seconds> parseKeepAliveTimeout(const Headers &headers)
{
    const std::string *value = findHeader(headers, "Keep-Alive");
    if (value == nullptr)
        return std::nullopt;
    const auto at = value->find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    constexpr std::size_t nameLength = 8; // "timeout="
    constexpr long maxSeconds = 3600;
    const char *begin = value->c_str() + at + nameLength;
    char *end = nullptr;
    const long seconds = std::strtol(begin, &end, 10);
    if (end == begin || seconds < 0)
        return std::nullopt;
    return std::chrono::seconds(std::min(seconds, maxSeconds));
}

Headers endToEndHeaders(const Headers &headers)
{
    const bool hasConnection = findHeader(headers, "Connection") != nullptr;
    Headers endToEnd;
    endToEnd.reserve(headers.size());
    for (const core::Header &header : headers) {
        const auto hasName = [&](std::string_view name) { return isSameName(name, header.name); };
        if (hasName("Content-Length")
            || std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), hasName)
            || (hasConnection && isListedInConnection(headers, header.name)))
            continue;
        endToEnd.push_back(header);
    }
    return endToEnd;
}

std::string serializeRequest(const Request &request)
{
    std::string bytes;
    bytes.reserve(512 + request.body.size());
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    appendHeaders(request.headers, &bytes);
    if (needsContentLength(request))
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

std::string serializeResponse(const core::Answer &response, bool closesConnection, bool omitBody)
{
    std::string bytes;
    bytes.reserve(256 + response.body.size());
    const int status = core::isFinalStatus(response.status) ? response.status : badGateway;
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    bytes += "HTTP/1.1 " + std::to_string(status) + ' ';
    bytes.append(reason.data(), reason.size());
    bytes += "\r\n";
    appendHeaders(response.headers, &bytes);
    if (status != 204 && status != 304)
        bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (closesConnection)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    if (!omitBody)
        bytes += response.body;
    return bytes;
}

} // namespace bluebellshift::net
