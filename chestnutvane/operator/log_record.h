// Reads saved log lines back.
//
// Example:
//
//   for (const LogRecord &record : parseLog(text))
//       std::cout << record.instance << " " << record.field("request") << "\n";
//
// Pure functions without state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chestnutvane/process/events.h"

namespace chestnutvane {

// One log line, taken apart.
struct LogRecord
{
    std::string time; // as written
    std::int64_t milliseconds = 0; // the same, from an arbitrary day on
    std::string instance;
    Event event = Event::Started;
    std::vector<std::pair<std::string, std::string>> fields;

    // The value of a field, empty if the line has none of this name.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

// Takes a line apart. Text in front of the time is passed over, as collectors of logs add their
// own. Nothing for a line that is no event.
std::optional<LogRecord> parseLogLine(std::string_view line);

// All records of a text, in its order; other lines are passed over.
std::vector<LogRecord> parseLog(std::string_view text);

} // namespace chestnutvane
