#include "chestnutvane/process/operator_rows.h"

#include <algorithm>

namespace chestnutvane {
namespace internal {
namespace {

nlohmann::json remainingJson(const std::optional<Duration> &remaining)
{
    return remaining ? nlohmann::json(std::chrono::ceil<Milliseconds>(*remaining).count())
                     : nlohmann::json();
}

} // namespace
} // namespace internal

nlohmann::json fleetUnitJson(const FleetUnit &unit)
{
    nlohmann::json row{
            {"service", unit.service}, {"region", unit.region},    {"configured", unit.configured},
            {"broker", nullptr},       {"broker-status", nullptr}, {"epoch", nullptr},
            {"free-slots", nullptr},   {"usable-slots", nullptr},  {"queued", nullptr},
            {"headroom", nullptr},     {"report-age-ms", nullptr}};
    if (unit.broker) {
        row["broker"] = unit.broker->instance;
        row["broker-status"] = enumName(memberStatusNames, unit.broker->status);
        row["epoch"] = unit.broker->epoch;
    }
    if (unit.report) {
        row["free-slots"] = unit.report->freeSlots;
        row["usable-slots"] = unit.report->usableSlots;
        row["queued"] = unit.report->queued;
        row["headroom"] = unit.report->headroom;
        row["report-age-ms"] = unit.report->age.count();
    }
    return row;
}

nlohmann::json suspectJson(const SuspectReport &suspect)
{
    nlohmann::json row{{"fingerprint", std::to_string(suspect.fingerprint)},
                       {"crashes", suspect.crashes},
                       {"refused", suspect.refusedFor.has_value()},
                       {"refused-for-ms", internal::remainingJson(suspect.refusedFor)},
                       {"age-ms", std::chrono::floor<Milliseconds>(suspect.age).count()},
                       {"clears", suspect.clears},
                       {"regions", nlohmann::json::array()}};
    for (const auto &region : suspect.regions) {
        // The limit of the fleet holds in each region.
        const auto remaining = std::max(region.refusedFor, suspect.refusedFor);
        row["regions"].push_back({{"region", region.region},
                                  {"crashes", region.crashes},
                                  {"refused", remaining.has_value()},
                                  {"refused-for-ms", internal::remainingJson(remaining)}});
    }
    return row;
}

} // namespace chestnutvane
