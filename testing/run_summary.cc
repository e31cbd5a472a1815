#include "testing/run_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "testing/caller_results.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

void addClass(RunSummary &summary, const std::string &name, const json &report, bool atMostOnce,
              const std::map<std::string, int> &runsByTag)
{
    auto &result = summary.classes[name];
    result.sent += report.at("sent").get<std::uint64_t>();
    result.whole += report.at("whole").get<std::uint64_t>();
    result.notRun += report.at("not-run").get<std::uint64_t>();
    result.unknown += report.at("unknown").get<std::uint64_t>();
    for (const auto &[reason, count] : report.at("reasons").items())
        result.reasons[reason] += count.get<int>();
    const auto latencies = report.at("latencies-us").get<std::vector<std::int64_t>>();
    result.latenciesUs.insert(result.latenciesUs.end(), latencies.begin(), latencies.end());
    for (const auto &[tag, outcome] : report.at("tags").items()) {
        const auto found = runsByTag.find(tag);
        const int runs = found == runsByTag.end() ? 0 : found->second;
        if (atMostOnce && runs > 1)
            ++summary.ranTwice;
        if (outcome == "not-run" && runs > 0)
            ++summary.notRunButRan;
    }
}

} // namespace

void addUnits(RunSummary &summary, const json &status)
{
    for (const auto &row : status.value("units", json::array())) {
        auto &unit = summary.units[row.value("service", "") + "/" + row.value("region", "")];
        const int slots = row.value("slots", 0);
        const int inUse = row.value("in-use", 0);
        const double use = slots == 0 ? 0.0 : static_cast<double>(inUse) / slots;
        if (use >= unit.highestUse) {
            unit.highestUse = use;
            unit.highestInUse = inUse;
            unit.slots = slots;
        }
        unit.mostQueued = std::max(unit.mostQueued, row.value("queued", 0));
        if (!row.value("rebuilding", true))
            unit.leastHeadroom = std::min(unit.leastHeadroom, row.value("headroom", 0.0));
    }
}

void addReports(RunSummary &summary, const std::vector<json> &callers,
                std::vector<TargetRecord> records, const std::set<std::string> &atMostOnceClasses)
{
    std::map<std::string, int> runsByTag;
    for (const auto &record : records) {
        summary.aboveSlots += record.aboveSlots;
        if (!record.reachable)
            ++summary.missingReports;
        for (const auto &[tag, runs] : record.runsByTag)
            runsByTag[tag] += runs;
    }
    for (const auto &report : callers) {
        if (!report.is_object()) {
            ++summary.missingReports;
            continue;
        }
        for (const auto &[name, result] : report.at("classes").items())
            addClass(summary, name, result, atMostOnceClasses.contains(name), runsByTag);
        summary.wrongAnswers += report.at("crossed").get<std::uint64_t>()
                + report.at("cut").get<std::uint64_t>()
                + report.at("damaged-uploads").get<std::uint64_t>();
        summary.unansweredSends += report.at("unanswered-sends").get<std::uint64_t>();
        summary.failedLookUps += report.at("failed-look-ups").get<std::uint64_t>();
    }
    for (auto &[name, result] : summary.classes)
        std::sort(result.latenciesUs.begin(), result.latenciesUs.end());
    summary.targets = std::move(records);
}

std::string formatSummary(const RunSummary &summary, const RuleSet &rules)
{
    std::string text;
    auto out = std::back_inserter(text);
    fmt::format_to(out, "{:<14}{:>8}{:>8}{:>9}{:>9}{:>10}{:>10}{:>10}  {}\n", "class", "sent",
                   "whole", "not-run", "unknown", "p50 ms", "p99 ms", "p99.9 ms", "reasons");
    for (const auto &[name, result] : summary.classes) {
        std::string reasons;
        for (const auto &[reason, count] : result.reasons)
            reasons += fmt::format("{}{} {}", reasons.empty() ? "" : ", ", count, reason);
        fmt::format_to(out, "{:<14}{:>8}{:>8}{:>9}{:>9}{:>10.1f}{:>10.1f}{:>10.1f}  {}\n", name,
                       result.sent, result.whole, result.notRun, result.unknown,
                       percentileMs(result.latenciesUs, 0.5),
                       percentileMs(result.latenciesUs, 0.99),
                       percentileMs(result.latenciesUs, 0.999), reasons);
    }
    fmt::format_to(out, "\n{:<24}{:>14}{:>12}{:>16}{:>13}\n", "unit", "highest use", "in use",
                   "least headroom", "most queued");
    for (const auto &[name, unit] : summary.units)
        fmt::format_to(out, "{:<24}{:>13.0f}%{:>12}{:>15.0f}%{:>13}\n", name, 100 * unit.highestUse,
                       fmt::format("{}/{}", unit.highestInUse, unit.slots),
                       100 * unit.leastHeadroom, unit.mostQueued);
    fmt::format_to(out, "\n{:<12}{:<8}{:>14}{:>10}{:>8}\n", "target", "zone", "highest use",
                   "headroom", "runs");
    for (const auto &target : rules.targets) {
        for (const auto &record : summary.targets) {
            if (record.name == target.name)
                fmt::format_to(out, "{:<12}{:<8}{:>14}{:>9}%{:>8}\n", target.name, target.zone,
                               fmt::format("{}/{}", record.mostRunning, target.slots),
                               100 * (target.slots - record.mostRunning) / target.slots,
                               record.runs);
        }
    }
    fmt::format_to(out, "\nsends without an answer: {}, failed look-ups: {}\n",
                   summary.unansweredSends, summary.failedLookUps);
    fmt::format_to(out, "at-most-once requests that ran twice: {}\n", summary.ranTwice);
    fmt::format_to(out, "answers cut or crossed: {}\n", summary.wrongAnswers);
    fmt::format_to(out, "dispatches above slots: {}\n", summary.aboveSlots);
    fmt::format_to(out, "not-run answers whose request ran: {}\n", summary.notRunButRan);
    if (summary.missingReports != 0)
        fmt::format_to(out, "callers or targets without a report: {}\n", summary.missingReports);
    return text;
}

} // namespace chestnutvane
