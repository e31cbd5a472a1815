// Tells the story of one request from the log lines of several instances: what was decided, with
// which inputs and how old they were, how it ended, and what else is known of the targets that it
// was given.
//
// Example:
//
//   std::vector<LogRecord> records = parseLog(text);
//   RequestStory story = tellStory(records, "6d284590d8fafa5f");
//   std::cout << storyText(story);
//
// Pure functions without state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/operator/log_record.h"

namespace chestnutvane {

enum class StoryEnd {
    Unknown, // no line tells the end
    Served,
    Refused,
    Failed,
    CallerGone,
    InstanceDied, // its instance started again without a line about the end
    NotFound, // no line names the request
};

inline constexpr EnumName<StoryEnd> storyEndNames[] = {
        {StoryEnd::Unknown, "unknown"},        {StoryEnd::Served, "served"},
        {StoryEnd::Refused, "refused"},        {StoryEnd::Failed, "failed"},
        {StoryEnd::CallerGone, "caller-gone"}, {StoryEnd::InstanceDied, "instance-died"},
        {StoryEnd::NotFound, "not-found"},
};

// What the logs hold of a target around the request.
struct TargetRecord
{
    std::string id;
    int served = 0; // other requests that it answered
    int failed = 0; // other requests that ended without its answer, or with a failure of it
    int avoided = 0; // times that an instance avoided it
};

struct StoryStep
{
    std::string time;
    std::string instance;
    std::string text;
};

struct RequestStory
{
    std::string request;
    StoryEnd end = StoryEnd::NotFound;
    std::string cause; // one sentence
    std::vector<StoryStep> steps; // in order, with what the instance believed
    std::vector<TargetRecord> targets;
    std::uint64_t droppedLines = 0; // by the instances of the request, around it
};

// Tells the story of a request. Records of one instance keep their order, also where its clock
// jumped; those of several are put together by their times.
RequestStory tellStory(const std::vector<LogRecord> &records, std::string_view request);

// The story as text of several lines.
std::string storyText(const RequestStory &story);

} // namespace chestnutvane
