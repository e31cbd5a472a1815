#include "chestnutvane/process/gateway/store/feed_content.h"

#include "chestnutvane/base/deflate.h"
#include "chestnutvane/process/gateway/store/entry_codec.h"

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

// Increased with each change that older instances cannot decode.
constexpr int formatVersion = 3;
// Several times the largest store content that an instance can hold.
constexpr std::size_t maxUnpackedBytes = 16U << 20U;

Json encodeList(const WatchResult &list)
{
    return Json::array({list.version, encodeEntries(list.entries), list.era});
}

// Throws Json::exception.
WatchResult decodeList(const Json &json)
{
    WatchResult list;
    list.version = json.at(0);
    list.entries = decodeEntries(json.at(1));
    list.era = json.at(2);
    return list;
}

} // namespace

std::string packLists(const WatchResult &operatorKeys, const WatchResult &targets)
{
    std::string bytes;
    Json::to_cbor(Json::array({encodeList(operatorKeys), encodeList(targets)}), bytes);
    return deflateBytes(bytes);
}

std::string encodeFeedContent(const std::string &packedLists, Milliseconds operatorAge,
                              Milliseconds targetsAge)
{
    std::string bytes;
    Json::to_cbor(Json::array({formatVersion, operatorAge.count(), targetsAge.count(),
                               Json::binary({packedLists.begin(), packedLists.end()})}),
                  bytes);
    return bytes;
}

Result<FeedContent, FeedContentError> decodeFeedContent(std::string_view bytes)
{
    try {
        const Json json = Json::from_cbor(bytes.begin(), bytes.end());
        if (json.at(0).get<int>() != formatVersion)
            return FeedContentError{"unsupported feed content format version " + json.at(0).dump()};
        const auto &packed = json.at(3).get_binary();
        const auto unpacked =
                inflateBytes(std::string(packed.begin(), packed.end()), maxUnpackedBytes);
        if (!unpacked)
            return FeedContentError{
                    "feed content is not valid compressed data, or exceeds 16 MiB decompressed"};
        const Json lists = Json::from_cbor(*unpacked);
        return FeedContent{
                {decodeList(lists.at(0)), Milliseconds(json.at(1).get<Milliseconds::rep>())},
                {decodeList(lists.at(1)), Milliseconds(json.at(2).get<Milliseconds::rep>())}};
    } catch (const Json::exception &failure) {
        return FeedContentError{failure.what()};
    }
}

} // namespace chestnutvane
