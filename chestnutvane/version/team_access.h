// Which team a request belongs to, and what follows from that: whether it may be served, its
// importance, and the regions that may serve it.
//
// Example:
//
//   const Access access = accessOf(table, route, request["Authorization"], "Bearer");
//   if (access.verdict == AccessVerdict::UnknownKey)
//       refuse();
//
// Pure functions without state.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

enum class AccessVerdict {
    Open, // the configuration has no teams, or the route is open to all
    Team, // a team holds the key
    NoKey, // the request has no key
    UnknownKey, // no team holds the key
};

inline constexpr EnumName<AccessVerdict> accessVerdictNames[] = {
        {AccessVerdict::Open, "open"},
        {AccessVerdict::Team, "team"},
        {AccessVerdict::NoKey, "no-key"},
        {AccessVerdict::UnknownKey, "unknown-key"},
};

struct Access
{
    AccessVerdict verdict = AccessVerdict::Open;
    // The team that holds the key, of the table given; set for open routes also.
    const Team *team = nullptr;

    [[nodiscard]] bool isAllowed() const
    {
        return verdict == AccessVerdict::Open || verdict == AccessVerdict::Team;
    }
};

// Decides by the credentials of a request ("SCHEME KEY"; the scheme is compared without regard to
// case). Credentials of another scheme hold no key.
Access accessOf(const RouteTable &table, const Route &route, std::string_view credentials,
                std::string_view scheme);

// The importance of a team's requests on a route; 0 is the most important.
int importanceOf(const Route &route, const Team *team);

// The regions that may serve a team's requests on a route; nothing if any may. Homes of the route
// and of the team both bind, so the list is empty if they have no region in common.
std::optional<std::vector<std::string>> homesOf(const Route &route, const Team *team);

} // namespace chestnutvane
