#include "chestnutvane/process/gateway/feed_content.h"

#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

// Raised with each change that older instances cannot read.
constexpr int formatVersion = 1;

Json encodePart(const FeedPart &part)
{
    Json entries = Json::array();
    for (const StoreEntry &entry : part.list.entries)
        entries.push_back(Json::array({entry.key, entry.version,
                                       Json::binary({entry.value.begin(), entry.value.end()})}));
    return Json::array({part.age.count(), part.list.version, entries});
}

FeedPart decodePart(const Json &json)
{
    FeedPart part;
    part.age = Milliseconds(json.at(0).get<Milliseconds::rep>());
    part.list.version = json.at(1);
    for (const Json &item : json.at(2)) {
        const auto &bytes = item.at(2).get_binary();
        part.list.entries.push_back({item.at(0), {bytes.begin(), bytes.end()}, item.at(1)});
    }
    return part;
}

} // namespace

std::string encodeFeedContent(const FeedContent &content)
{
    std::string bytes;
    Json::to_cbor(Json::array({formatVersion, encodePart(content.operatorKeys),
                               encodePart(content.targets)}),
                  bytes);
    return bytes;
}

Result<FeedContent, FeedContentError> decodeFeedContent(std::string_view bytes)
{
    try {
        const Json list = Json::from_cbor(bytes.begin(), bytes.end());
        if (list.at(0).get<int>() != formatVersion)
            return FeedContentError{"format version " + list.at(0).dump()};
        return FeedContent{decodePart(list.at(1)), decodePart(list.at(2))};
    } catch (const Json::exception &failure) {
        return FeedContentError{failure.what()};
    }
}

} // namespace chestnutvane
