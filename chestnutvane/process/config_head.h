// Encodes and decodes the value of the store key "config/head": the accepted configuration and its
// most recent changes.
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

// Maximum number of changes in the history of a head, including the head's own.
inline constexpr std::size_t configHistoryLength = 64;

// An accepted change and the revision that it created.
struct ConfigChange
{
    std::uint64_t revision = 0;
    std::string changeId;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

// The accepted configuration. Revision 0 stands for a store without a configuration.
struct ConfigHead
{
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::string rules; // text of the rule file
    std::vector<ConfigChange> history; // oldest first; ends with this revision

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

// Reason why a value cannot be decoded as a head.
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

// Encodes a head as JSON. Invalid UTF-8 in strings is replaced by U+FFFD.
std::string encodeConfigHead(const ConfigHead &head);

// Decodes a head from JSON and validates its history.
Result<ConfigHead, ConfigHeadError> decodeConfigHead(std::string_view text);

// Returns the head that results when a change is accepted on top of a base. Drops the oldest change
// if the history exceeds configHistoryLength.
ConfigHead nextConfigHead(const ConfigHead &base, std::string changeId, std::string author,
                          std::string rules);

// State of a change that was written on top of a base revision, as derived from a head.
enum class ChangeState {
    Accepted,
    Superseded, // another change followed the base: this one never was and never will be accepted
    Pending, // the head is still at the base, so a write in flight may take effect
    Unknown, // the history of the head does not reach back to the base
};

inline constexpr EnumName<ChangeState> changeStateNames[] = {
        {ChangeState::Accepted, "accepted"},
        {ChangeState::Superseded, "superseded"},
        {ChangeState::Pending, "open"},
        {ChangeState::Unknown, "forgotten"},
};

// Looks up a change in the history of a head. If the revision of the head is below the base, the
// store has lost writes, and the state is Unknown.
ChangeState lookUpChange(const ConfigHead &head, std::string_view changeId,
                         std::uint64_t baseRevision);

} // namespace chestnutvane
