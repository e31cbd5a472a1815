#include "chestnutvane/process/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <span>
#include <vector>

#include <unistd.h>

#include "chestnutvane/process/log_writer.h"

namespace chestnutvane {
namespace internal {
namespace {

std::atomic<LogLevel> lowestLevel{LogLevel::Info};
std::atomic<std::uint32_t> sampleRate{1};

// Quotes a value that contains a blank, a quote or a line break, so that a line can be split again.
void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"\r\n=") == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

LogWriter &standardOutput()
{
    static LogWriter writer(STDOUT_FILENO, {});
    return writer;
}

// The event of the line that this thread hands to the library, which passes on only its text.
thread_local Event currentEvent = Event::Started;

// Gives the formatted lines of the library to the bounded writer.
class BoundedDispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        constexpr bool withLineBreak = true;
        standardOutput().write(
                {currentEvent, message->logger()->logBuilder()->build(message, withLineBreak)});
    }
};

void writeLine(Event event, std::span<const LogField> fields)
{
    const auto &row = eventRow(event);
    if (row.level < lowestLevel.load(std::memory_order_relaxed))
        return;
    std::string line = std::to_string(static_cast<int>(event));
    line += ' ';
    line += row.name;
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    currentEvent = event;
    switch (row.level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

void reportDropped()
{
    const auto dropped = standardOutput().takeDropped();
    if (dropped.empty())
        return;
    std::vector<LogField> fields;
    fields.reserve(dropped.size());
    for (const auto &[event, count] : dropped)
        fields.emplace_back(eventRow(event).name, count);
    writeLine(Event::LinesDropped, fields);
}

} // namespace
} // namespace internal

LogField::LogField(std::string_view fieldKey, double number) : key(fieldKey)
{
    constexpr std::size_t longest = 16; // "-1.23e-308" and the end mark
    std::array<char, longest> text{};
    std::snprintf(text.data(), text.size(), "%.3g", number);
    value = text.data();
}

void setUpLog(LogLevel lowest, std::uint32_t sample, const std::string &instanceId)
{
    internal::lowestLevel = lowest;
    internal::sampleRate = sample;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + instanceId + " %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<internal::BoundedDispatch>("BoundedDispatch");
}

bool isSampled(std::uint64_t number)
{
    return number % internal::sampleRate == 0;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    internal::reportDropped();
    internal::writeLine(event, {fields.begin(), fields.size()});
}

void flushLog()
{
    internal::standardOutput().flush();
    internal::reportDropped();
}

} // namespace chestnutvane
