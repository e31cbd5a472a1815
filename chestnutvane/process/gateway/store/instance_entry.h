// Encoding of the entry with which an instance registers itself in the store.
//
// Pure functions without state.
#pragma once

#include <optional>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/fleet/load_report.h"

namespace chestnutvane {

// The entry expires so long after the last renewal of its lease.
inline constexpr Milliseconds instanceEntryTtl{3000};

// Encodes the value of an entry (JSON).
std::string encodeInstanceEntry(const PeerIdentity &peer);

// Decodes an entry. Returns std::nullopt for anything that encodeInstanceEntry() does not write.
std::optional<PeerIdentity> decodeInstanceEntry(const std::string &text);

} // namespace chestnutvane
