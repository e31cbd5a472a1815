#include "chestnutvane/process/log.h"

#include <easylogging++.h>

#include <atomic>

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

} // namespace
} // namespace internal

void setUpLog(LogLevel lowest, std::uint32_t sample, const std::string &instanceId)
{
    internal::lowestLevel = lowest;
    internal::sampleRate = sample;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + instanceId + " %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

bool isSampled(std::uint64_t number)
{
    return number % internal::sampleRate == 0;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto &row = eventRow(event);
    if (row.level < internal::lowestLevel.load(std::memory_order_relaxed))
        return;
    std::string line = std::to_string(static_cast<int>(event));
    line += ' ';
    line += row.name;
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        internal::appendValue(line, field.value);
    }
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

} // namespace chestnutvane
