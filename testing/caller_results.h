// Checks the answers that a caller stand-in got and counts the outcomes by class.
//
// Example:
//
//   CallerResults results;
//   results.onSent("checkout");
//   results.check({.tag = tag, .bodyDigest = digest, .answerBytes = 100}, response);
//   results.onEnd("checkout", tag, CallerOutcome::Whole, "none", latency);
//
// Not thread-safe.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"

namespace chestnutvane {

// What a caller knows at the end of a request and all its resends.
enum class CallerOutcome {
    Whole, // a complete answer of a target
    NotRun, // every send was refused with "not-run"
    Unknown,
};

inline constexpr EnumName<CallerOutcome> callerOutcomeNames[] = {
        {CallerOutcome::Whole, "whole"},
        {CallerOutcome::NotRun, "not-run"},
        {CallerOutcome::Unknown, "unknown"},
};

// What the answer to a request must look like.
struct ExpectedAnswer
{
    std::string tag;
    std::string bodyDigest; // of the body sent
    std::size_t answerBytes = 0; // the tag is the least
};

class CallerResults
{
public:
    void onSent(const std::string &className);
    void onEnd(const std::string &className, const std::string &tag, CallerOutcome outcome,
               const std::string &reason, Duration latency);
    void onUnanswered() { ++unanswered_; }
    void onFailedLookUp() { ++failedLookUps_; }

    // Counts an answer that belongs to another request (crossed), is shorter or longer than asked
    // for (cut), or tells of another body than the one sent (damaged upload).
    void check(const ExpectedAnswer &expected, const HttpResponse &response);

    // Returns {"classes": {NAME: {"sent", "whole", "not-run", "unknown", "p50-ms", "p99-ms",
    // "p99.9-ms", "latencies-us", "reasons", "tags": {TAG: OUTCOME}}}, "crossed", "cut",
    // "damaged-uploads", "unanswered-sends", "failed-look-ups"}. Latencies are of whole answers.
    nlohmann::json report() const;

private:
    struct ClassResult
    {
        std::uint64_t sent = 0;
        std::map<CallerOutcome, std::uint64_t> ends;
        std::vector<std::int64_t> latenciesUs;
        std::map<std::string, int> reasons;
        std::map<std::string, std::string> tags;
    };

    std::map<std::string, ClassResult> classes_;
    int crossed_ = 0;
    int cut_ = 0;
    int damagedUploads_ = 0;
    int unanswered_ = 0;
    int failedLookUps_ = 0;
};

// Returns the value below which the given part of the sorted values lies, in ms; 0 without values.
double percentileMs(const std::vector<std::int64_t> &sortedUs, double part);

} // namespace chestnutvane
