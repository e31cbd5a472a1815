#include "chestnutvane/version/team_access.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace chestnutvane {
namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

// Returns the key in the credentials, or an empty text if they have another scheme.
std::string_view keyOf(std::string_view credentials, std::string_view scheme)
{
    const auto space = credentials.find(' ');
    if (space == std::string_view::npos
        || !equalsIgnoringCase(credentials.substr(0, space), scheme))
        return {};
    const auto begin = credentials.find_first_not_of(' ', space);
    if (begin == std::string_view::npos)
        return {};
    return credentials.substr(begin, credentials.find_last_not_of(' ') + 1 - begin);
}

} // namespace

Access accessOf(const RouteTable &table, const Route &route, std::string_view credentials,
                std::string_view scheme)
{
    const TeamTable &teams = table.teams();
    if (teams.isEmpty())
        return {};
    const std::string_view key = keyOf(credentials, scheme);
    const Team *team = key.empty() ? nullptr : teams.findByKey(key);
    if (route.openToAll)
        return {AccessVerdict::Open, team};
    if (team != nullptr)
        return {AccessVerdict::Team, team};
    return {key.empty() ? AccessVerdict::NoKey : AccessVerdict::UnknownKey, nullptr};
}

int importanceOf(const Route &route, const Team *team)
{
    return team != nullptr ? team->importance.value_or(route.importance) : route.importance;
}

std::optional<std::vector<std::string>> homesOf(const Route &route, const Team *team)
{
    if (team == nullptr || team->homeRegions.empty()) {
        if (route.homeRegions.empty())
            return std::nullopt;
        return route.homeRegions;
    }
    if (route.homeRegions.empty())
        return team->homeRegions;
    std::vector<std::string> common;
    std::copy_if(route.homeRegions.begin(), route.homeRegions.end(), std::back_inserter(common),
                 [team](const std::string &region) {
                     return std::find(team->homeRegions.begin(), team->homeRegions.end(), region)
                             != team->homeRegions.end();
                 });
    return common;
}

} // namespace chestnutvane
