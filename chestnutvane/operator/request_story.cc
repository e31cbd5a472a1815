#include "chestnutvane/operator/request_story.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace chestnutvane {
namespace internal {
namespace {

// How far from the request lines about its targets and instances count.
constexpr std::int64_t contextMs = 10'000;
constexpr std::int64_t msPerSecond = 1000;

// The number of a field of lines-dropped; other text counts nothing.
std::uint64_t toCount(std::string_view text)
{
    std::uint64_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

std::string seconds(std::int64_t milliseconds)
{
    return fmt::format("{:.1f} s", static_cast<double>(milliseconds) / msPerSecond);
}

std::string_view warmth(const LogRecord &record)
{
    return record.field("warm") == "1" ? "it served the object lately"
                                       : "it has not served the object lately";
}

// The records of one request and of its surroundings.
class Storyteller
{
public:
    Storyteller(const std::vector<LogRecord> &records, std::string_view request)
        : records_(records), request_(request)
    {
        for (const LogRecord &record : records_) {
            if (record.field("request") == request_)
                own_.push_back(&record);
        }
    }

    RequestStory tell()
    {
        RequestStory story;
        story.request = request_;
        if (own_.empty()) {
            story.cause = "No line names the request. It never reached an instance whose log is "
                          "here, or its lines were dropped.";
            return story;
        }
        inOrder();
        for (const LogRecord *record : own_)
            story.steps.push_back({record->time, record->instance, step(*record)});
        conclude(story);
        for (const std::string &id : targets_)
            story.targets.push_back(recordOf(id));
        for (const LogRecord &record : records_) {
            if (record.event == Event::LinesDropped && isNear(record)
                && record.instance == own_.front()->instance) {
                for (const auto &[name, count] : record.fields)
                    story.droppedLines += toCount(count);
            }
        }
        return story;
    }

private:
    // Sorts by time, but keeps the order of each instance where its clock went back.
    void inOrder()
    {
        std::map<std::string, std::int64_t> latest;
        std::vector<std::pair<std::int64_t, const LogRecord *>> timed;
        for (const LogRecord *record : own_) {
            auto &time = latest.try_emplace(record->instance, record->milliseconds).first->second;
            time = std::max(time, record->milliseconds);
            timed.emplace_back(time, record);
        }
        std::stable_sort(timed.begin(), timed.end(),
                         [](const auto &a, const auto &b) { return a.first < b.first; });
        for (std::size_t i = 0; i < own_.size(); ++i)
            own_[i] = timed[i].second;
    }

    [[nodiscard]] bool isNear(const LogRecord &record) const
    {
        return record.milliseconds >= own_.front()->milliseconds - contextMs
                && record.milliseconds <= own_.back()->milliseconds + contextMs;
    }

    // The last record of the instance before the time given for which the condition holds.
    template <class Condition>
    const LogRecord *lastBefore(const LogRecord &time, Condition condition) const
    {
        const LogRecord *last = nullptr;
        for (const LogRecord &record : records_) {
            if (&record == &time)
                break;
            if (record.instance == time.instance && record.milliseconds <= time.milliseconds
                && condition(record))
                last = &record;
        }
        return last;
    }

    // What the instance knew of the configuration, the store and a target, with ages.
    std::string beliefs(const LogRecord &record, std::string_view target)
    {
        std::string text;
        const auto add = [&](const LogRecord *cause, const std::string &words) {
            if (cause != nullptr)
                text += fmt::format("; {} {} before", words,
                                    seconds(record.milliseconds - cause->milliseconds));
        };
        if (const auto revision = record.field("revision"); !revision.empty())
            add(lastBefore(record,
                           [&](const LogRecord &other) {
                               return other.event == Event::RoutesAdopted
                                       && other.field("revision") == revision;
                           }),
                fmt::format("revision {} adopted", revision));
        const auto *store = lastBefore(record, [](const LogRecord &other) {
            return other.event == Event::StoreFailed || other.event == Event::StoreRegained;
        });
        if (store != nullptr && store->event == Event::StoreFailed)
            add(store, "contact with the store lost");
        if (target.empty())
            return text;
        const auto *news = lastBefore(record, [&](const LogRecord &other) {
            return (other.event == Event::TargetChanged || other.event == Event::TargetAvoided)
                    && other.field("target") == target;
        });
        if (news != nullptr)
            add(news,
                news->event == Event::TargetChanged
                        ? fmt::format("target {}", news->field("what"))
                        : fmt::format("target avoided after {}", news->field("reason")));
        return text;
    }

    std::string step(const LogRecord &record)
    {
        const auto field = [&record](std::string_view name) { return record.field(name); };
        const std::string target(field("target"));
        if (!target.empty()
            && std::find(targets_.begin(), targets_.end(), target) == targets_.end())
            targets_.push_back(target);
        switch (record.event) {
        case Event::RequestRouted:
            return fmt::format("sent to target {} in {}: {}, {} of {} slots used, answer expected "
                               "in {} ms, waited {} ms; oldest report of load {} ms old{}",
                               target, field("region"), warmth(record), field("load"),
                               field("slots"), field("expected-ms"), field("waited-ms"),
                               field("oldest-report-ms"), beliefs(record, target));
        case Event::RequestWaits:
            return fmt::format("waits for target {}: {}, {} of {} slots used, {} before it, {} "
                               "waiting in all, answer expected in {} ms{}",
                               target, warmth(record), field("load"), field("slots"),
                               field("ahead"), field("queued"), field("expected-ms"),
                               beliefs(record, target));
        case Event::RequestRetried:
            return fmt::format("to be sent again after {}; {} retries for {} requests in the "
                               "window, {} instances",
                               field("reason"), field("window-retries"), field("window-requests"),
                               field("instances"));
        case Event::RequestRefused:
            return fmt::format("refused with status {}: {}; {} targets, {} waiting, best answer "
                               "expected in {} ms, {} ms left of the aim, come back after {} ms{}",
                               field("status"), field("reason"), field("targets"), field("queued"),
                               field("expected-ms"), field("aim-left-ms"), field("retry-after-ms"),
                               beliefs(record, {}));
        case Event::RequestServed:
            return fmt::format("answer of target {} with status {} after {} ms", target,
                               field("status"), field("ms"));
        case Event::RequestEnded:
            if (field("result") == "caller-gone")
                return "the caller closed its connection";
            return fmt::format("ended without an answer: {}, status {}, outcome {}, after {} ms",
                               field("result"), field("status"), field("outcome"), field("ms"));
        default: {
            std::string text(eventRow(record.event).name);
            for (const auto &[name, value] : record.fields)
                text += name == "request" ? "" : fmt::format(" {}={}", name, value);
            return text;
        }
        }
    }

    void conclude(RequestStory &story) const
    {
        const LogRecord *end = nullptr;
        bool callerGone = false;
        for (const LogRecord *record : own_) {
            if (record->field("result") == "caller-gone")
                callerGone = true;
            else if (record->event == Event::RequestServed || record->event == Event::RequestEnded
                     || record->event == Event::RequestRefused)
                end = record;
        }
        const std::string target = targets_.empty() ? "" : targets_.back();
        if (end == nullptr)
            return concludeWithoutEnd(story, callerGone, target);
        if (end->event == Event::RequestServed) {
            story.end = StoryEnd::Served;
            story.cause = callerGone ? "It was served, but the caller had gone." : "It was served.";
        } else if (end->event == Event::RequestRefused) {
            story.end = StoryEnd::Refused;
            story.cause = refusalCause(end->field("reason"));
        } else {
            story.end = StoryEnd::Failed;
            story.cause = failureCause(end->field("result"), target);
        }
    }

    void concludeWithoutEnd(RequestStory &story, bool callerGone, const std::string &target) const
    {
        const LogRecord &last = *own_.back();
        if (callerGone) {
            story.end = StoryEnd::CallerGone;
            story.cause = "The caller left before the answer.";
            return;
        }
        for (const LogRecord &record : records_) {
            if (record.event == Event::Started && record.instance == last.instance
                && record.milliseconds >= last.milliseconds) {
                story.end = StoryEnd::InstanceDied;
                story.cause = fmt::format(
                        "Instance {} ended before the answer and started again {} later; target {} "
                        "may have run the request.",
                        last.instance, seconds(record.milliseconds - last.milliseconds), target);
                return;
            }
        }
        story.end = StoryEnd::Unknown;
        story.cause = fmt::format("The log of {} has no line about the end.", last.instance);
    }

    static std::string refusalCause(std::string_view reason)
    {
        if (reason == "no-room")
            return "All usable targets were so busy that the answer would have come too late.";
        if (reason == "no-target")
            return "No target was usable: all had left, drained, failed lately, or were tried.";
        if (reason == "target-full" || reason == "target-refused")
            return "The targets that were tried refused it, and no attempt was left.";
        if (reason == "time-limit")
            return "It waited until its time limit without being sent.";
        if (reason == "targets-pause")
            return "All usable targets had asked for a pause (target-paused) that ends too late "
                   "for "
                   "it.";
        if (reason == "shutdown")
            return "The instance was shutting down and might have ended before the answer; nothing "
                   "was sent, and the caller may send it to another instance.";
        if (reason == "no-route")
            return "No route of the revision in force has this host and path.";
        if (reason == "no-configuration")
            return "The instance had not read a configuration yet.";
        return fmt::format("It was refused: {}.", reason);
    }

    static std::string failureCause(std::string_view result, const std::string &target)
    {
        if (result == "time-limit")
            return fmt::format("Target {} gave no answer until the time limit.", target);
        if (result == "connection-lost")
            return fmt::format("Target {} closed the connection without an answer; the request may "
                               "have run and must not be repeated, or no attempt was left.",
                               target);
        if (result == "garbled")
            return fmt::format("The bytes from target {} were no answer to this request.", target);
        if (result == "target-failed")
            return fmt::format("Target {} answered with a failure of its own.", target);
        return fmt::format("The attempt at target {} failed: {}.", target, result);
    }

    // Counts what other requests met at a target.
    [[nodiscard]] TargetRecord recordOf(const std::string &id) const
    {
        TargetRecord result;
        result.id = id;
        for (const LogRecord &record : records_) {
            if (record.field("target") != id || !isNear(record)
                || record.field("request") == request_)
                continue;
            result.served += record.event == Event::RequestServed ? 1 : 0;
            result.failed += record.event == Event::RequestEnded ? 1 : 0;
            result.avoided += record.event == Event::TargetAvoided ? 1 : 0;
        }
        return result;
    }

    const std::vector<LogRecord> &records_;
    std::string request_;
    std::vector<const LogRecord *> own_;
    std::vector<std::string> targets_;
};

} // namespace
} // namespace internal

RequestStory tellStory(const std::vector<LogRecord> &records, std::string_view request)
{
    return internal::Storyteller(records, request).tell();
}

std::string storyText(const RequestStory &story)
{
    std::string text =
            fmt::format("request {}: {}\n", story.request, enumName(storyEndNames, story.end));
    for (const auto &[time, instance, words] : story.steps)
        text += fmt::format("  {} {} {}\n", time, instance, words);
    text += fmt::format("cause: {}\n", story.cause);
    for (const TargetRecord &target : story.targets)
        text += fmt::format("target {}: {} other requests served, {} failed, avoided {} times, in "
                            "the 10 s around\n",
                            target.id, target.served, target.failed, target.avoided);
    if (story.droppedLines > 0)
        text += fmt::format("{} lines of the instance are missing in the 10 s around\n",
                            story.droppedLines);
    return text;
}

} // namespace chestnutvane
