// The teams of one configuration revision, and which team holds a key.
//
// Example:
//
//   auto teams = TeamTable::create({{.name = "ticketing", .keys = {"k-1"}}});
//   if (const Team *team = value(teams).findByKey(key))
//       serveFor(*team);
//
// Holds digests of keys and no key. Immutable, so it may be read from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/keyed_hash.h"
#include "chestnutvane/base/result.h"

namespace chestnutvane {

struct Team
{
    std::string name;
    std::uint64_t id = 0; // 32-bit hash of the name for reports; never 0
    std::optional<int> importance; // replaces that of the route; 0 is the most important
    std::vector<std::string> homeRegions; // empty: any region may serve the team
    double requestsPerSecond = 0; // quota over all instances; 0: no limit
    double burst = 0; // requests allowed beyond the rate
};

// A team as configured, with its keys.
struct TeamSpec
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> importance;
    std::vector<std::string> homeRegions;
    double requestsPerSecond = 0;
    double burst = 0;
};

enum class TeamFault {
    BadName, // empty, or no header can hold it
    SameName, // two teams have the same name, or the same id
    BadKey, // a key is empty
    SharedKey, // two teams claim the same key
    BadQuota, // a rate or burst is negative or no number
};

inline constexpr EnumName<TeamFault> teamFaultNames[] = {
        {TeamFault::BadName, "bad-name"},   {TeamFault::SameName, "same-name"},
        {TeamFault::BadKey, "bad-key"},     {TeamFault::SharedKey, "shared-key"},
        {TeamFault::BadQuota, "bad-quota"},
};

struct TeamError
{
    TeamFault fault = TeamFault::BadName;
    std::string team;
};

class TeamTable
{
public:
    // A table without teams: requests need no key.
    TeamTable() = default;

    // Checks the teams and builds the index of keys. Errors: the first faulty team.
    static Result<TeamTable, TeamError> create(const std::vector<TeamSpec> &specs);

    // Returns the team that holds the key, or nullptr. Takes constant time.
    [[nodiscard]] const Team *findByKey(std::string_view key) const;

    [[nodiscard]] const std::vector<Team> &teams() const { return teams_; }
    [[nodiscard]] bool isEmpty() const { return teams_.empty(); }

private:
    KeyedHash hash_ = KeyedHash::createRandom();
    std::vector<Team> teams_;
    std::unordered_map<Digest, std::size_t, DigestHash> byKey_; // index in teams_
};

} // namespace chestnutvane
