#include "chestnutvane/process/gateway/store/learned_state.h"

#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

// Increased with each change that older instances cannot decode.
constexpr int formatVersion = 1;

Json encodeMean(const RunTimeAverage &mean)
{
    return Json::array({mean.seconds, mean.runs});
}

// Throws Json::exception.
RunTimeAverage decodeMean(const Json &json)
{
    return {json.at(0).get<double>(), json.at(1).get<int>()};
}

} // namespace

std::string encodeLearnedState(const LearnedState &state)
{
    Json routes = Json::array();
    for (const auto &[name, runs] : state.times.routes)
        routes.push_back(Json::array({name, encodeMean(runs.warm), encodeMean(runs.cold)}));
    Json services = Json::array();
    for (const auto &[name, mean] : state.times.services)
        services.push_back(Json::array({name, encodeMean(mean)}));
    Json warmCapacities = Json::array();
    for (const auto &[name, capacity] : state.warmCapacities)
        warmCapacities.push_back(Json::array({name, capacity}));
    Json targets = Json::array();
    for (const LearnedTarget &target : state.targets)
        targets.push_back(Json::array({target.target, target.startedAt, target.objects}));
    std::string bytes;
    Json::to_cbor(Json::array({formatVersion, routes, services, warmCapacities, targets}), bytes);
    return bytes;
}

Result<LearnedState, LearnedStateError> decodeLearnedState(std::string_view bytes)
{
    try {
        const Json list = Json::from_cbor(bytes.begin(), bytes.end());
        if (list.at(0).get<int>() != formatVersion)
            return LearnedStateError{"unsupported learned state format version "
                                     + list.at(0).dump()};
        LearnedState state;
        for (const Json &item : list.at(1))
            state.times.routes[item.at(0)] = {decodeMean(item.at(1)), decodeMean(item.at(2))};
        for (const Json &item : list.at(2))
            state.times.services[item.at(0)] = decodeMean(item.at(1));
        for (const Json &item : list.at(3))
            state.warmCapacities[item.at(0)] = item.at(1).get<std::size_t>();
        for (const Json &item : list.at(4))
            state.targets.push_back(
                    {item.at(0), item.at(1), item.at(2).get<std::vector<std::uint64_t>>()});
        return state;
    } catch (const Json::exception &failure) {
        return LearnedStateError{failure.what()};
    }
}

} // namespace chestnutvane
