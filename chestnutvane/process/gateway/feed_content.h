// What an instance has read from the store, for another one that starts while the store is away, or
// that missed a change.
//
// Example:
//
//   std::string body = encodeFeedContent(packLists(operatorKeys, targets), operatorAge,
//   targetsAge); if (auto content = decodeFeedContent(body); isOk(content))
//       feed.applyPeerContent(value(content), requestStart);
//
// Pure functions without state.
#pragma once

#include <string>
#include <string_view>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// The entries of one prefix.
struct PrefixContent
{
    WatchResult list;
    Milliseconds age{0}; // since the start of the read that showed or confirmed it
};

struct FeedContent
{
    PrefixContent operatorKeys;
    PrefixContent targets;
};

struct FeedContentError
{
    std::string detail;
};

// Packs the lists of both prefixes (CBOR, compressed). Values may be any bytes. Worth keeping for
// as long as the lists stay the same: it takes most of the time.
std::string packLists(const WatchResult &operatorKeys, const WatchResult &targets);

// Encodes a content from packed lists and their ages (CBOR).
std::string encodeFeedContent(const std::string &packedLists, Milliseconds operatorAge,
                              Milliseconds targetsAge);

// Decodes it. Errors: anything that encodeFeedContent() does not write.
Result<FeedContent, FeedContentError> decodeFeedContent(std::string_view bytes);

} // namespace chestnutvane
