// Unknown keys and malformed numbers are rejected, so that a typing error does not
// silently select a default.
#include "bluebellshift/load/specs.h"

#include <cstdlib>
#include <functional>
#include <map>

namespace bluebellshift::load {

namespace {

using Setter = std::function<absl::Status(const std::string &value)>;
using Setters = std::map<std::string, Setter>;

absl::Status readNumber(const std::string &text, double &number)
{
    char *end = nullptr;
    number = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || number < 0)
        return absl::InvalidArgumentError("\"" + text + "\" is no number");
    return absl::OkStatus();
}

Setter textSetter(std::string &field)
{
    return [&field](const std::string &value) {
        field = value;
        return absl::OkStatus();
    };
}

Setter numberSetter(double &field)
{
    return [&field](const std::string &value) { return readNumber(value, field); };
}

Setter vmSetter(int &field)
{
    return [&field](const std::string &value) {
        double number = 0;
        const absl::Status status = readNumber(value, number);
        field = static_cast<int>(number);
        return status;
    };
}

template<typename Id> Setter idSetter(Id &field)
{
    return [&field](const std::string &value) {
        field = Id(value);
        return absl::OkStatus();
    };
}

absl::Status parsePairs(const std::string &text, const Setters &setters)
{
    std::size_t begin = 0;
    while (begin <= text.size()) {
        std::size_t end = text.find(',', begin);
        if (end == std::string::npos)
            end = text.size();
        const std::string pair = text.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        const auto setter = setters.find(pair.substr(0, equals));
        if (equals == std::string::npos || setter == setters.end())
            return absl::InvalidArgumentError("\"" + pair + "\" in \"" + text + "\" is unknown");
        const absl::Status status = setter->second(pair.substr(equals + 1));
        if (!status.ok())
            return absl::InvalidArgumentError(std::string(status.message()) + " in \"" + text
                                              + "\"");
        begin = end + 1;
    }
    return absl::OkStatus();
}

absl::Status missingKeyError(const char *key, const std::string &text)
{
    return absl::InvalidArgumentError(std::string("\"") + key + "\" is missing in \"" + text
                                      + "\"");
}

} // namespace

absl::StatusOr<TeamLoad> parseTeam(const std::string &text)
{
    TeamLoad team;
    const absl::Status status = parsePairs(text,
                                           { { "name", idSetter(team.team) },
                                             { "key", textSetter(team.key) },
                                             { "rate", numberSetter(team.ratePerSecond) },
                                             { "limit", numberSetter(team.limitPerSecond) },
                                             { "burst", numberSetter(team.burst) },
                                             { "client", textSetter(team.clientAddress) },
                                             { "vm", vmSetter(team.vm) } });
    if (!status.ok())
        return status;
    if (team.team.isEmpty())
        return missingKeyError("name", text);
    return team;
}

absl::StatusOr<ServiceLoad> parseService(const std::string &text)
{
    ServiceLoad service;
    service.path = "/";
    const absl::Status status = parsePairs(text,
                                           { { "name", idSetter(service.service) },
                                             { "weight", numberSetter(service.weight) },
                                             { "path", textSetter(service.path) },
                                             { "once", textSetter(service.nonIdempotentPath) } });
    if (!status.ok())
        return status;
    if (service.service.isEmpty())
        return missingKeyError("name", text);
    if (service.nonIdempotentPath.empty())
        service.nonIdempotentPath = service.path;
    return service;
}

absl::StatusOr<LoadChange> parseChange(const std::string &text)
{
    LoadChange change;
    double atMillis = 0;
    const absl::Status status = parsePairs(text,
                                           { { "team", idSetter(change.team) },
                                             { "at_ms", numberSetter(atMillis) },
                                             { "factor", numberSetter(change.factor) },
                                             { "vm", vmSetter(change.vm) } });
    if (!status.ok())
        return status;
    if (change.team.isEmpty())
        return missingKeyError("team", text);
    change.at = core::Duration::micros(static_cast<std::int64_t>(atMillis * 1000));
    return change;
}

absl::StatusOr<core::Endpoint> parseEndpoint(const std::string &text)
{
    constexpr double maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    double port = 0;
    const bool isComplete = colon != std::string::npos && colon > 0
        && readNumber(text.substr(colon + 1), port).ok() && port >= 1 && port <= maxPort;
    if (!isComplete)
        return absl::InvalidArgumentError("\"" + text + "\" is not ADDRESS:PORT");
    return core::Endpoint { text.substr(0, colon), static_cast<std::uint16_t>(port) };
}

} // namespace bluebellshift::load
