#include "testing/caller_results.h"

#include <algorithm>

namespace chestnutvane {

using nlohmann::json;

void CallerResults::onSent(const std::string &className)
{
    ++classes_[className].sent;
}

void CallerResults::onEnd(const std::string &className, const std::string &tag,
                          CallerOutcome outcome, const std::string &reason, Duration latency)
{
    auto &result = classes_[className];
    result.tags[tag] = enumName(callerOutcomeNames, outcome);
    ++result.ends[outcome];
    if (outcome == CallerOutcome::Whole)
        result.latenciesUs.push_back(std::chrono::duration_cast<Microseconds>(latency).count());
    else
        ++result.reasons[reason];
}

void CallerResults::check(const ExpectedAnswer &expected, const HttpResponse &response)
{
    const auto *tag = findHeader(response.headers, "Answer-Tag");
    const auto *digest = findHeader(response.headers, "Answer-Body-Digest");
    if (tag == nullptr || *tag != expected.tag || !response.body.starts_with(expected.tag))
        ++crossed_;
    if (response.body.size() != std::max(expected.answerBytes, expected.tag.size()))
        ++cut_;
    if (digest == nullptr || *digest != expected.bodyDigest)
        ++damagedUploads_;
}

json CallerResults::report() const
{
    json classes = json::object();
    for (const auto &[name, result] : classes_) {
        auto latencies = result.latenciesUs;
        std::sort(latencies.begin(), latencies.end());
        const auto ends = [&ended = result.ends](CallerOutcome outcome) {
            const auto found = ended.find(outcome);
            return found == ended.end() ? 0 : found->second;
        };
        classes[name] = {{"sent", result.sent},
                         {"whole", ends(CallerOutcome::Whole)},
                         {"not-run", ends(CallerOutcome::NotRun)},
                         {"unknown", ends(CallerOutcome::Unknown)},
                         {"p50-ms", percentileMs(latencies, 0.5)},
                         {"p99-ms", percentileMs(latencies, 0.99)},
                         {"p99.9-ms", percentileMs(latencies, 0.999)},
                         {"latencies-us", latencies},
                         {"reasons", result.reasons},
                         {"tags", result.tags}};
    }
    return {{"classes", std::move(classes)},
            {"crossed", crossed_},
            {"cut", cut_},
            {"damaged-uploads", damagedUploads_},
            {"unanswered-sends", unanswered_},
            {"failed-look-ups", failedLookUps_}};
}

double percentileMs(const std::vector<std::int64_t> &sortedUs, double part)
{
    if (sortedUs.empty())
        return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(sortedUs.size()));
    return static_cast<double>(sortedUs[std::min(at, sortedUs.size() - 1)]) / 1000;
}

} // namespace chestnutvane
