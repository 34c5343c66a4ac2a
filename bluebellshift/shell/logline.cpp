#include "bluebellshift/shell/logline.h"

#include <algorithm>
#include <ctime>

namespace bluebellshift::shell {
namespace {

constexpr std::string_view timeField = "time=";
constexpr std::size_t timeLength = 24; // 2026-12-04T10:40:38.123Z
constexpr std::int64_t microsPerSecond = 1'000'000;
constexpr std::int64_t microsPerMilli = 1'000;

bool readNumber(std::string_view text, std::size_t at, std::size_t digits, int *number)
{
    *number = 0;
    for (std::size_t i = at; i < at + digits; ++i) {
        if (i >= text.size() || text[i] < '0' || text[i] > '9')
            return false;
        *number = *number * 10 + (text[i] - '0');
    }
    return true;
}

std::optional<core::WallTime> readTime(std::string_view text)
{
    std::tm time = {};
    int millis = 0;
    if (text.size() != timeLength || !readNumber(text, 0, 4, &time.tm_year)
        || !readNumber(text, 5, 2, &time.tm_mon) || !readNumber(text, 8, 2, &time.tm_mday)
        || !readNumber(text, 11, 2, &time.tm_hour) || !readNumber(text, 14, 2, &time.tm_min)
        || !readNumber(text, 17, 2, &time.tm_sec) || !readNumber(text, 20, 3, &millis))
        return std::nullopt;
    time.tm_year -= 1900;
    time.tm_mon -= 1;
    return core::WallTime::fromMicros(timegm(&time) * microsPerSecond + millis * microsPerMilli);
}

// Reads a plain or quoted value and removes it from `rest`.
std::optional<std::string> readValue(std::string_view *rest)
{
    std::string value;
    if (rest->empty() || rest->front() != '"') {
        const std::size_t end = std::min(rest->find(' '), rest->size());
        value = std::string(rest->substr(0, end));
        rest->remove_prefix(end);
        return value;
    }
    for (std::size_t i = 1; i < rest->size(); ++i) {
        const char c = (*rest)[i];
        if (c == '"') {
            rest->remove_prefix(i + 1);
            return value;
        }
        const bool isEscaped = c == '\\' && i + 1 < rest->size() && (*rest)[i + 1] != 'x';
        value += isEscaped ? (*rest)[++i] : c;
    }
    return std::nullopt; // the closing quote is missing
}

std::string trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return std::string(text.substr(begin, text.find_last_not_of(" \t") + 1 - begin));
}

} // namespace

std::string LogLine::value(std::string_view field) const
{
    for (const auto &[name, text] : fields) {
        if (name == field)
            return text;
    }
    return {};
}

std::string LogLine::fieldsText() const
{
    std::string text;
    for (const auto &[field, value] : fields) {
        const bool isPlain = !value.empty() && value.find(' ') == std::string::npos;
        text += (text.empty() ? "" : " ") + field + "=" + (isPlain ? value : '"' + value + '"');
    }
    return text;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
        text.remove_suffix(1);
    const std::size_t begin = text.find(timeField);
    if (begin == std::string_view::npos)
        return std::nullopt;
    LogLine line;
    line.prefix = trimmed(text.substr(0, begin));
    std::string_view rest = text.substr(begin);
    bool hasTime = false;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        const std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::optional<std::string> value = readValue(&rest);
        if (!value)
            return std::nullopt;
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        if (name == "time") {
            const std::optional<core::WallTime> at = readTime(*value);
            if (!at || hasTime)
                return std::nullopt;
            line.at = *at;
            hasTime = true;
        } else if (name == "name") {
            line.name = *std::move(value);
        } else if (name != "level" && name != "event") {
            line.fields.emplace_back(name, *std::move(value));
        }
    }
    return line.name.empty() ? std::nullopt : std::optional<LogLine>(std::move(line));
}

} // namespace bluebellshift::shell
