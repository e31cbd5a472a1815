#include "chestnutvane/process/gateway/fleet/report_parts.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

constexpr const char *erasName = "e";
constexpr const char *quotaUsageName = "q";
constexpr const char *quotaHeardName = "h";
constexpr const char *statedSpeedsName = "s";
constexpr const char *teamUsesName = "t";

// Demand is sent as a whole number of tenths, which takes a few bytes in place of nine.
constexpr double demandScale = 10;

Json encodeQuotaUsage(const std::vector<TeamUsage> &usage)
{
    Json list = Json::array();
    for (const TeamUsage &team : usage) {
        list.push_back(team.team);
        list.push_back(team.episode);
        list.push_back(team.admitted);
        list.push_back(std::llround(team.demandPerSecond * demandScale));
    }
    return list;
}

std::vector<TeamUsage> decodeQuotaUsage(const Json &list)
{
    constexpr std::size_t fields = 4;
    std::vector<TeamUsage> usage;
    for (std::size_t i = 0; i + fields <= list.size(); i += fields) {
        const double demand = list.at(i + 3).get<double>() / demandScale;
        if (std::isfinite(demand) && demand >= 0)
            usage.push_back({list.at(i), list.at(i + 1), list.at(i + 2), demand});
    }
    return usage;
}

Json encodeTeamUses(const std::vector<TeamUse> &uses)
{
    Json list = Json::array();
    for (const auto &[team, usedMs, entitledMs] : uses) {
        list.push_back(team);
        list.push_back(usedMs);
        list.push_back(entitledMs);
    }
    return list;
}

std::vector<TeamUse> decodeTeamUses(const Json &list)
{
    constexpr std::size_t fields = 3;
    std::vector<TeamUse> uses;
    for (std::size_t i = 0; i + fields <= list.size(); i += fields)
        uses.push_back({list.at(i), list.at(i + 1), list.at(i + 2)});
    return uses;
}

Json encodeSpeeds(const std::vector<StatedSpeed> &speeds)
{
    Json list = Json::array();
    for (const auto &[target, percent, age] : speeds) {
        list.push_back(target);
        list.push_back(percent);
        list.push_back(age.count());
    }
    return list;
}

std::vector<StatedSpeed> decodeSpeeds(const Json &list)
{
    constexpr std::size_t fields = 3;
    std::vector<StatedSpeed> speeds;
    for (std::size_t i = 0; i + fields <= list.size() && speeds.size() < maxReportedSpeeds;
         i += fields)
        speeds.push_back({list.at(i), list.at(i + 1),
                          Milliseconds(list.at(i + 2).get<Milliseconds::rep>())});
    return speeds;
}

} // namespace

Json encodeParts(const LoadReport &report)
{
    Json parts = Json::object();
    if (report.targetsFeed.era != 0 || report.operatorFeed.era != 0)
        parts[erasName] = {report.targetsFeed.era, report.operatorFeed.era};
    if (!report.quotaUsage.empty())
        parts[quotaUsageName] = encodeQuotaUsage(report.quotaUsage);
    if (report.quotaHeard > 0)
        parts[quotaHeardName] = report.quotaHeard;
    if (!report.statedSpeeds.empty())
        parts[statedSpeedsName] = encodeSpeeds(report.statedSpeeds);
    if (!report.teamUses.empty())
        parts[teamUsesName] = encodeTeamUses(report.teamUses);
    return parts;
}

void decodeParts(const Json &parts, LoadReport &report)
{
    if (const auto eras = parts.find(erasName); eras != parts.end()) {
        report.targetsFeed.era = eras->at(0);
        report.operatorFeed.era = eras->at(1);
    }
    if (const auto usage = parts.find(quotaUsageName); usage != parts.end())
        report.quotaUsage = decodeQuotaUsage(*usage);
    if (const auto heard = parts.find(quotaHeardName); heard != parts.end())
        report.quotaHeard = *heard;
    if (const auto speeds = parts.find(statedSpeedsName); speeds != parts.end())
        report.statedSpeeds = decodeSpeeds(*speeds);
    if (const auto uses = parts.find(teamUsesName); uses != parts.end())
        report.teamUses = decodeTeamUses(*uses);
}

} // namespace chestnutvane
