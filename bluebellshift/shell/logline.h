// Parses a line written by the logger.
//
//   std::optional<LogLine> line = parseLogLine(text);
//   if (line && line->value("request") == id)
//       ... // line->name, line->at
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bluebellshift/core/units.h"

namespace bluebellshift::shell {

struct LogLine
{
    std::string prefix; // text before the line, such as a log collector adds; trimmed
    core::WallTime at;
    std::string name;                                        // of the event
    std::vector<std::pair<std::string, std::string>> fields; // without time, level, event and name

    // Returns an empty string if there is no such field.
    std::string value(std::string_view field) const;
    // Formats the fields as in a log line.
    std::string fieldsText() const;
};

// Returns nullopt if the text contains no complete line of the logger.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace bluebellshift::shell
