// Encoding of the entry with which an instance registers itself in the store.
//
// Pure functions without state.
#pragma once

#include <optional>
#include <string>

#include "chestnutvane/process/gateway/fleet/load_report.h"

namespace chestnutvane {

// Encodes the value of an entry (JSON).
std::string encodeInstanceEntry(const PeerIdentity &peer);

// Decodes an entry. Returns std::nullopt for anything that encodeInstanceEntry() does not write.
std::optional<PeerIdentity> decodeInstanceEntry(const std::string &text);

} // namespace chestnutvane
