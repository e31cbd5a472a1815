#include "chestnutvane/operator/log_record.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace chestnutvane {
namespace internal {
namespace {

// Reads a number of a fixed width; nothing if it is not one.
std::optional<std::int64_t> number(std::string_view text)
{
    std::int64_t result = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), result);
    if (text.empty() || failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return result;
}

// Reads "2026-12-04T06:16:26.243".
std::optional<std::int64_t> parseTime(std::string_view text)
{
    constexpr std::string_view shape = "dddd-dd-ddTdd:dd:dd.ddd";
    if (text.size() != shape.size())
        return std::nullopt;
    for (std::size_t i = 0; i < shape.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (shape[i] == 'd' ? !digit : text[i] != shape[i])
            return std::nullopt;
    }
    const auto part = [text](std::size_t begin, std::size_t length) {
        return number(text.substr(begin, length)).value_or(0);
    };
    namespace c = std::chrono;
    const c::sys_days day = c::year(static_cast<int>(part(0, 4)))
            / c::month(static_cast<unsigned>(part(5, 2)))
            / c::day(static_cast<unsigned>(part(8, 2)));
    const auto time = day.time_since_epoch() + c::hours(part(11, 2)) + c::minutes(part(14, 2))
            + c::seconds(part(17, 2));
    return c::duration_cast<c::milliseconds>(time).count() + part(20, 3);
}

std::optional<Event> eventOfNumber(std::string_view text)
{
    const auto wanted = number(text);
    for (const auto &row : eventRows) {
        if (wanted == static_cast<std::int64_t>(row.event))
            return row.event;
    }
    return std::nullopt;
}

// Takes the text up to the next blank.
std::string_view takeWord(std::string_view &rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto word = rest.substr(0, rest.find(' '));
    rest.remove_prefix(word.size());
    return word;
}

// Takes a value that may stand in quotes.
std::string takeValue(std::string_view &rest)
{
    if (!rest.starts_with('"')) {
        const auto word = rest.substr(0, rest.find(' '));
        rest.remove_prefix(word.size());
        return std::string(word);
    }
    std::string text;
    std::size_t at = 1;
    for (; at < rest.size() && rest[at] != '"'; ++at) {
        if (rest[at] == '\\' && at + 1 < rest.size())
            ++at;
        text += rest[at];
    }
    rest.remove_prefix(std::min(at + 1, rest.size()));
    return text;
}

} // namespace
} // namespace internal

std::string_view LogRecord::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key == name)
            return value;
    }
    return {};
}

std::optional<LogRecord> parseLogLine(std::string_view line)
{
    LogRecord record;
    std::string_view rest = line;
    for (;;) {
        const auto word = internal::takeWord(rest);
        if (word.empty())
            return std::nullopt;
        if (const auto time = internal::parseTime(word)) {
            record.time = word;
            record.milliseconds = *time;
            break;
        }
    }
    record.instance = internal::takeWord(rest);
    internal::takeWord(rest); // the level follows from the event
    const auto event = internal::eventOfNumber(internal::takeWord(rest));
    if (!event || internal::takeWord(rest) != eventRow(*event).name)
        return std::nullopt;
    record.event = *event;
    while (!rest.empty()) {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        record.fields.emplace_back(std::move(key), internal::takeValue(rest));
    }
    return record;
}

std::vector<LogRecord> parseLog(std::string_view text)
{
    std::vector<LogRecord> records;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(line.size() + 1, text.size()));
        if (auto record = parseLogLine(line))
            records.push_back(std::move(*record));
    }
    return records;
}

} // namespace chestnutvane
