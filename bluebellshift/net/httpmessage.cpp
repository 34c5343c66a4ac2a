#include "bluebellshift/net/httpmessage.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace bluebellshift::net {
namespace {

constexpr std::array<std::string_view, 9> connectionHeaders = {
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

// Calls `visit` with each trimmed part; stops when it returns true.
template<typename Visit> bool anyPart(std::string_view text, char separator, Visit visit)
{
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (visit(trim(text.substr(0, end))))
            return true;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return false;
}

bool isNamedByConnection(const Headers &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const core::Header &header) {
        return isSameName(header.name, "Connection")
            && anyPart(header.value, ',', [&](auto part) { return isSameName(part, name); });
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

bool statesLength(const Request &request)
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
        const bool isFound = anyPart(header.value, ';', [&](std::string_view part) {
            const auto equals = part.find('=');
            if (equals == std::string_view::npos || part.substr(0, equals) != name)
                return false;
            value = std::string(part.substr(equals + 1));
            return true;
        });
        if (isFound)
            break;
    }
    return value;
}

Headers endToEndHeaders(const Headers &headers)
{
    const bool hasConnection = findHeader(headers, "Connection") != nullptr;
    Headers kept;
    kept.reserve(headers.size());
    for (const core::Header &header : headers) {
        const auto isThis = [&](std::string_view name) { return isSameName(name, header.name); };
        if (isThis("Content-Length")
            || std::any_of(connectionHeaders.begin(), connectionHeaders.end(), isThis)
            || (hasConnection && isNamedByConnection(headers, header.name)))
            continue;
        kept.push_back(header);
    }
    return kept;
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
    if (statesLength(request))
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

std::string serializeAnswer(const core::Answer &answer, bool closes, bool headerOnly)
{
    std::string bytes;
    bytes.reserve(256 + answer.body.size());
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.status));
    bytes += "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    bytes.append(reason.data(), reason.size());
    bytes += "\r\n";
    appendHeaders(answer.headers, &bytes);
    if (answer.status != 204 && answer.status != 304)
        bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    if (closes)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    if (!headerOnly)
        bytes += answer.body;
    return bytes;
}

} // namespace bluebellshift::net
