#include "chestnutvane/process/target_health.h"

#include <nlohmann/json.hpp>

#include "chestnutvane/base/hash.h"

namespace chestnutvane {

TargetReport readTargetHealth(TargetId target, const HttpResponse &response)
{
    TargetReport report{.target = target, .age = Milliseconds(0)};
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object()) {
        if (const auto load = body.find("load"); load != body.end() && load->is_number())
            report.load = load->get<double>();
        if (const auto leaving = body.find("leaving");
            leaving != body.end() && leaving->is_boolean())
            report.leaving = leaving->get<bool>();
        if (const auto age = body.find("age-ms"); age != body.end() && age->is_number_unsigned())
            report.age = Milliseconds(age->get<std::uint32_t>());
    }
    if (const auto *id = findHeader(response.headers, "Vane-Start-Id"))
        report.startId = hash64(*id);
    return report;
}

} // namespace chestnutvane
