// What an instance has read from the store, for another one that starts while the store is away.
//
// Example:
//
//   std::string body = encodeFeedContent(feed.content());
//   if (auto content = decodeFeedContent(body); isOk(content))
//       feed.takeShared(value(content), requestStart);
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
struct FeedPart
{
    WatchResult list;
    Milliseconds age{0}; // since the start of the read that showed or confirmed it
};

struct FeedContent
{
    FeedPart operatorKeys;
    FeedPart targets;
};

struct FeedContentError
{
    std::string detail;
};

// Encodes the content (CBOR). Values may be any bytes.
std::string encodeFeedContent(const FeedContent &content);

// Decodes it. Errors: anything that encodeFeedContent() does not write.
Result<FeedContent, FeedContentError> decodeFeedContent(std::string_view bytes);

} // namespace chestnutvane
