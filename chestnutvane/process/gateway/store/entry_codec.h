// Encoding of store entries in messages between instances (nlohmann::json values for CBOR).
//
// Pure functions without state.
#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "chestnutvane/process/store.h"

namespace chestnutvane {

// Encodes entries; values may be any bytes.
inline nlohmann::json encodeEntries(const std::vector<StoreEntry> &entries)
{
    auto list = nlohmann::json::array();
    for (const StoreEntry &entry : entries)
        list.push_back(nlohmann::json::array(
                {entry.key, entry.version,
                 nlohmann::json::binary({entry.value.begin(), entry.value.end()})}));
    return list;
}

// Decodes entries. Throws nlohmann::json::exception for anything else.
inline std::vector<StoreEntry> decodeEntries(const nlohmann::json &list)
{
    std::vector<StoreEntry> entries;
    for (const auto &item : list) {
        const auto &bytes = item.at(2).get_binary();
        entries.push_back({item.at(0), {bytes.begin(), bytes.end()}, item.at(1)});
    }
    return entries;
}

} // namespace chestnutvane
