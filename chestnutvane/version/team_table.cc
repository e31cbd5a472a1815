#include "chestnutvane/version/team_table.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {
namespace {

// Whether a header can hold the name: a line end in it would forge headers.
bool isHeaderSafe(std::string_view name)
{
    return !name.empty()
            && std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// Truncates the hash of a name to 32 bits; 0 stands for no team.
std::uint64_t teamId(std::string_view name)
{
    constexpr std::uint64_t mask = 0xffffffff;
    return std::max<std::uint64_t>(hash64(name) & mask, 1);
}

bool isAmount(double number)
{
    return std::isfinite(number) && number >= 0;
}

std::optional<TeamFault> checkSpec(const TeamSpec &spec)
{
    if (!isHeaderSafe(spec.name))
        return TeamFault::BadName;
    if (!isAmount(spec.requestsPerSecond) || !isAmount(spec.burst))
        return TeamFault::BadQuota;
    if (std::find(spec.keys.begin(), spec.keys.end(), "") != spec.keys.end())
        return TeamFault::BadKey;
    return std::nullopt;
}

} // namespace

Result<TeamTable, TeamError> TeamTable::create(const std::vector<TeamSpec> &specs)
{
    TeamTable table;
    std::set<std::uint64_t> ids;
    for (const TeamSpec &spec : specs) {
        if (const auto fault = checkSpec(spec))
            return TeamError{*fault, spec.name};
        const std::uint64_t id = teamId(spec.name);
        if (!ids.insert(id).second)
            return TeamError{TeamFault::SameName, spec.name};
        for (const std::string &key : spec.keys) {
            const auto [held, isNew] = table.byKey_.emplace(table.hash_(key), table.teams_.size());
            if (!isNew && held->second != table.teams_.size())
                return TeamError{TeamFault::SharedKey, spec.name};
        }
        table.teams_.push_back({spec.name, id, spec.importance, spec.homeRegions,
                                spec.requestsPerSecond, spec.burst});
    }
    return table;
}

const Team *TeamTable::findByKey(std::string_view key) const
{
    const auto found = byKey_.find(hash_(key));
    return found == byKey_.end() ? nullptr : &teams_[found->second];
}

} // namespace chestnutvane
