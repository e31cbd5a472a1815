#include "chestnutvane/process/config_head.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

bool hasString(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_string();
}

bool hasNumber(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

// Returns whether the history has a valid length, is consecutive, and ends with the head's change.
bool isHistoryValid(const ConfigHead &head)
{
    if (head.history.empty() || head.history.size() > configHistoryLength || head.revision == 0
        || head.history.back() != ConfigChange{head.revision, head.changeId})
        return false;
    return std::adjacent_find(head.history.begin(), head.history.end(),
                              [](const ConfigChange &a, const ConfigChange &b) {
                                  return a.revision + 1 != b.revision;
                              })
            == head.history.end();
}

} // namespace

std::string encodeConfigHead(const ConfigHead &head)
{
    Json history = Json::array();
    for (const auto &change : head.history)
        history.push_back({{"revision", change.revision}, {"change", change.changeId}});
    const Json json = {{"revision", head.revision},
                       {"change", head.changeId},
                       {"author", head.author},
                       {"rules", head.rules},
                       {"history", std::move(history)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigHead, ConfigHeadError> decodeConfigHead(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return ConfigHeadError::NotJson;
    if (!json.is_object() || !hasNumber(json, "revision") || !hasString(json, "change")
        || !hasString(json, "author") || !hasString(json, "rules") || !json.contains("history")
        || !json["history"].is_array())
        return ConfigHeadError::MissingMember;
    ConfigHead head{.revision = json["revision"],
                    .changeId = json["change"],
                    .author = json["author"],
                    .rules = json["rules"],
                    .history = {}};
    for (const Json &change : json["history"]) {
        if (!change.is_object() || !hasNumber(change, "revision") || !hasString(change, "change"))
            return ConfigHeadError::MissingMember;
        head.history.push_back({change["revision"], change["change"]});
    }
    if (!isHistoryValid(head))
        return ConfigHeadError::BadHistory;
    return head;
}

ConfigHead nextConfigHead(const ConfigHead &base, std::string changeId, std::string author,
                          std::string rules)
{
    ConfigHead head{.revision = base.revision + 1,
                    .changeId = std::move(changeId),
                    .author = std::move(author),
                    .rules = std::move(rules),
                    .history = base.history};
    head.history.push_back({head.revision, head.changeId});
    if (head.history.size() > configHistoryLength)
        head.history.erase(head.history.begin());
    return head;
}

ChangeState lookUpChange(const ConfigHead &head, std::string_view changeId,
                         std::uint64_t baseRevision)
{
    const auto hasId = [&](const ConfigChange &change) { return change.changeId == changeId; };
    if (std::any_of(head.history.begin(), head.history.end(), hasId))
        return ChangeState::Accepted;
    if (head.revision == baseRevision)
        return ChangeState::Pending;
    // The write expects the base revision, so it can only have created the revision after it.
    const auto followsBase = [&](const ConfigChange &change) {
        return change.revision == baseRevision + 1;
    };
    return std::any_of(head.history.begin(), head.history.end(), followsBase)
            ? ChangeState::Superseded
            : ChangeState::Unknown;
}

} // namespace chestnutvane
