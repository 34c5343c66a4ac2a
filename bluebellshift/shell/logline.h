// Reads back a line that the logger wrote.
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
    std::string prefix; // what stands before the line, as a collector of logs may add; trimmed
    core::WallTime at;
    std::string name;                                        // of the event
    std::vector<std::pair<std::string, std::string>> fields; // without time, level, event and name

    // Empty: there is no such field.
    std::string value(std::string_view field) const;
    // The fields as they stood.
    std::string fieldsText() const;
};

// Empty: the text holds no whole line of the logger.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace bluebellshift::shell
