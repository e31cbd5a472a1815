// Structured log lines: one line for an event, as "time instance level number name key=value ...".
//
// Lines go to the standard output. No call waits for its reader: lines wait in a bounded queue, and
// those dropped are counted and named by an event (log_queue.h).
//
// Example:
//
//   logEvent(Event::RequestRouted, {{"request", id}, {"target", name}, {"reason", "most-free"}});
//
// Thread-safe. No field may hold a body, a one-time key or a credential.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "chestnutvane/process/events.h"

namespace chestnutvane {

struct LogField
{
    LogField(std::string_view fieldKey, std::string_view text) : key(fieldKey), value(text) { }
    LogField(std::string_view fieldKey, const char *text) : key(fieldKey), value(text) { }
    LogField(std::string_view fieldKey, const std::string &text) : key(fieldKey), value(text) { }
    template <class Number>
    requires std::is_integral_v<Number> LogField(std::string_view fieldKey, Number number)
        : key(fieldKey), value(std::to_string(number))
    { }
    LogField(std::string_view fieldKey, double number); // three significant digits

    std::string_view key;
    std::string value;
};

// Sets the lowest level written and the sampling of routing decisions (events 200 to 299 of level
// info): one of "sample" requests is written. From then on lines go through the bounded queue. Call
// once, before the first line.
void setUpLog(LogLevel lowest, std::uint32_t sample, const std::string &instanceId);

// Tells whether a routing decision with this number is written. Callers that check it first spare
// the work of making the fields.
bool isSampled(std::uint64_t number);

// Writes a line if the event's level is high enough.
void logEvent(Event event, std::initializer_list<LogField> fields);

// Writes waiting lines that the reader of the standard output now has room for. Call it some times
// a second, for lines that no further line follows.
void flushLog();

} // namespace chestnutvane
