// The value of the store key "config/head": the accepted configuration and its recent changes.
//
// Example:
//
//   if (auto head = decodeConfigHead(entry.value); isOk(head))
//       ChangeState state = lookUpChange(value(head), changeId, baseRevision);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"

namespace chestnutvane {

inline constexpr std::string_view configHeadKey = "config/head";

// Changes that head remembers, its own included.
inline constexpr std::size_t configHistoryLength = 64;

struct ConfigChange
{
    std::uint64_t revision = 0;
    std::string changeId;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

// Revision 0 stands for a store without a configuration.
struct ConfigHead
{
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::string rules; // text of the rule file
    std::vector<ConfigChange> history; // oldest first; the last one is this revision

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

// Why a value is no head.
enum class ConfigHeadError {
    NotJson,
    MissingMember, // a member is absent or has another type
    BadHistory, // empty, too long, not consecutive, or not ending with this revision
};

inline constexpr EnumName<ConfigHeadError> configHeadErrorNames[] = {
        {ConfigHeadError::NotJson, "not-json"},
        {ConfigHeadError::MissingMember, "missing-member"},
        {ConfigHeadError::BadHistory, "bad-history"},
};

// Encodes a head as JSON. Bytes in the texts that are not UTF-8 are replaced by U+FFFD.
std::string encodeConfigHead(const ConfigHead &head);

// Decodes a head and checks its history.
Result<ConfigHead, ConfigHeadError> decodeConfigHead(std::string_view text);

// Returns the head that follows when a change is accepted on top of another one.
ConfigHead nextConfigHead(const ConfigHead &base, std::string changeId, std::string author,
                          std::string rules);

// What a head tells about a change that was written on top of a base revision.
enum class ChangeState {
    Accepted,
    Superseded, // another change took its place; it was not accepted and never will be
    Pending, // head is still at the base; a write under way may yet take effect
    Unknown, // head has moved too far past the base to tell
};

inline constexpr EnumName<ChangeState> changeStateNames[] = {
        {ChangeState::Accepted, "accepted"},
        {ChangeState::Superseded, "superseded"},
        {ChangeState::Pending, "open"},
        {ChangeState::Unknown, "forgotten"},
};

// Looks a change up in head and its history. A head below the base is Unknown: the store has lost
// writes, and nothing can be told from it.
ChangeState lookUpChange(const ConfigHead &head, std::string_view changeId,
                         std::uint64_t baseRevision);

} // namespace chestnutvane
