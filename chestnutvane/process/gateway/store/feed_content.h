// Encoding of the content that an instance has read from the store, for a peer that starts while
// the store is unreachable or that missed a change.
//
// Example:
//
//   const std::string lists = packLists(operatorKeys, targets);
//   std::string body = encodeFeedContent(lists, operatorAge, targetsAge);
//   if (auto content = decodeFeedContent(body); isOk(content))
//       feed.applyPeerContent(value(content), requestedAt);
//
// Pure functions without state.
#pragma once

#include <string>
#include <string_view>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

// The content of one prefix.
struct PrefixContent
{
    WatchResult list;
    Milliseconds age{0}; // upper bound of the time since the content was read from the store
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

// Packs the lists of both prefixes (CBOR, compressed). Values may be any bytes. Cache the result
// while the lists are unchanged, as packing takes most of the encoding time.
std::string packLists(const WatchResult &operatorKeys, const WatchResult &targets);

// Encodes content from packed lists and their ages (CBOR).
std::string encodeFeedContent(const std::string &packedLists, Milliseconds operatorAge,
                              Milliseconds targetsAge);

// Decodes content. Errors: anything that encodeFeedContent() does not write.
Result<FeedContent, FeedContentError> decodeFeedContent(std::string_view bytes);

} // namespace chestnutvane
