#include "chestnutvane/process/gateway/store/instance_entry.h"

#include <nlohmann/json.hpp>

namespace chestnutvane {

using Json = nlohmann::json;

std::string encodeInstanceEntry(const PeerIdentity &peer)
{
    return Json{{"id", peer.id},
                {"incarnation", peer.incarnation},
                {"zone", peer.zone},
                {"caller-address", peer.callerAddress},
                {"report-address", peer.reportAddress},
                {"metrics-address", peer.metricsAddress},
                {"core-share", peer.coreShare}}
            .dump();
}

std::optional<PeerIdentity> decodeInstanceEntry(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        return PeerIdentity{json.at("id"),
                            json.at("incarnation"),
                            json.at("zone"),
                            json.at("caller-address"),
                            json.at("report-address"),
                            json.at("metrics-address"),
                            json.value("core-share", 1.0)};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace chestnutvane
