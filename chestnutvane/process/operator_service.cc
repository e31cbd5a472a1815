#include "chestnutvane/process/operator_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "chestnutvane/connection/query_string.h"
#include "chestnutvane/process/operator_rows.h"
#include "chestnutvane/version/rule_parser.h"

namespace chestnutvane {
namespace internal {
namespace {

using nlohmann::json;

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr std::int64_t minApplyTimeoutMs = 100;
constexpr std::int64_t maxApplyTimeoutMs = 60'000; // below the HTTP server's limit of a handler
constexpr std::size_t maxNameBytes = 128; // of a change id or an author; head keeps 64 change ids

ServerResponse jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

ServerResponse textResponse(int status, std::string text)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(text)};
}

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

// The answer to rules that cannot be used, or nothing if they can.
std::optional<json> ruleFaults(std::string_view rules)
{
    json mistakes = json::array();
    if (const auto parsed = parseRules(rules); !isOk(parsed)) {
        for (const auto &mistake : error(parsed))
            mistakes.push_back({{"line", mistake.line},
                                {"column", mistake.column},
                                {"kind", enumName(ruleMistakeKindNames, mistake.kind)},
                                {"message", mistake.message},
                                {"remedy", mistake.remedy}});
    }
    const auto compiled = compileVersion(0, rules);
    if (isOk(compiled))
        return std::nullopt;
    return json{{"error", "bad-rules"},
                {"detail", error(compiled).detail},
                {"mistakes", std::move(mistakes)}};
}

// What a head tells about a change. Without a base revision an absent change is "not-found".
json changeReport(const ConfigHead &head, std::string_view id, std::optional<std::uint64_t> base)
{
    json body{{"change-id", id},
              {"head-revision", head.revision},
              {"oldest-revision", head.history.empty() ? 0 : head.history.front().revision}};
    for (const auto &entry : head.history) {
        if (entry.changeId == id) {
            body["state"] = enumName(changeStateNames, ChangeState::Accepted);
            body["revision"] = entry.revision;
            return body;
        }
    }
    body["state"] = base ? enumName(changeStateNames, lookUpChange(head, id, *base)) : "not-found";
    return body;
}

// Reads the body of an apply. Throws json::exception if a member is absent or has another type.
ApplyRequest toApplyRequest(const json &body)
{
    ApplyRequest change;
    change.rules = body.at("rules").get<std::string>();
    change.baseRevision = body.at("base-revision").get<std::uint64_t>();
    change.changeId = body.at("change-id").get<std::string>();
    change.author = body.at("author").get<std::string>();
    change.repeated = body.value("repeated", false);
    change.timeout = Milliseconds(std::clamp<std::int64_t>(
            body.value("timeout-ms", static_cast<std::int64_t>(change.timeout.count())),
            minApplyTimeoutMs, maxApplyTimeoutMs));
    return change;
}

bool isNameLength(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes;
}

} // namespace
} // namespace internal

OperatorService::OperatorService(Instance &instance, BrokerService &brokers,
                                 ConfigService &configuration, LookUpService &lookUps,
                                 CallerService &callers)
    : instance_(instance), brokers_(brokers), configuration_(configuration), lookUps_(lookUps),
      callers_(callers)
{ }

void OperatorService::handle(ServerRequest request, Responder respond)
{
    if (request.path == "/healthz")
        respond(internal::textResponse(200, "ok\n"));
    else if (request.path == "/readyz")
        respond(internal::textResponse(ready() ? 200 : internal::unavailable,
                                       ready() ? "ready\n" : "not ready\n"));
    else if (request.path == "/metrics")
        metrics(respond);
    else if (request.path == "/v1/status")
        status(respond);
    else if (request.path == "/v1/config")
        config(respond);
    else if (request.path == "/v1/change")
        change(request, std::move(respond));
    else if (request.path == "/v1/explain")
        explain(request, respond);
    else if (request.path == "/v1/apply" && request.method == "POST")
        apply(request, std::move(respond));
    else if (request.path == "/v1/suspects")
        suspects(respond);
    else if (request.path == "/v1/suspects/clear" && request.method == "POST")
        clearSuspect(request, respond);
    else
        respond(internal::jsonResponse(internal::notFound, {{"error", "unknown-path"}}));
}

bool OperatorService::ready()
{
    const bool serving = instance_.membership.use(
            [](MembershipState &state) { return !state.leaving && !state.isolated; });
    return serving
            && instance_.configuration.use([](ConfigurationState &state) { return state.ready; });
}

void OperatorService::metrics(const Responder &respond)
{
    for (const auto &report : brokers_.reports())
        instance_.metrics.set("vane_headroom",
                              {{"service", report.service}, {"region", report.region}},
                              report.headroom);
    instance_.metrics.set("vane_requests_in_flight", {}, callers_.inFlight());
    instance_.configuration.use([&](ConfigurationState &state) {
        instance_.metrics.set("vane_revision", {},
                              static_cast<double>(state.holder.head().revision));
        if (!state.version)
            return;
        for (const auto &target : state.version->rules.targets) {
            if (const auto time = state.drains.drainTime(target.name))
                instance_.metrics.set("vane_drain_seconds", {{"target", target.name}},
                                      std::chrono::duration<double>(*time).count());
        }
    });
    respond(internal::textResponse(200, instance_.metrics.exposition()));
}

void OperatorService::status(const Responder &respond)
{
    internal::json body{
            {"instance", instance_.settings.instanceId}, {"incarnation", instance_.incarnation},
            {"zone", instance_.settings.zone},           {"ready", ready()},
            {"in-flight", callers_.inFlight()},          {"members", internal::json::array()},
            {"units", internal::json::array()},          {"fleet-units", internal::json::array()}};
    const auto version = instance_.version();
    instance_.configuration.use([&](ConfigurationState &state) {
        body["revision"] = state.holder.head().revision;
        body["change-id"] = state.holder.head().changeId;
    });
    instance_.membership.use([&](MembershipState &state) {
        body["isolated"] = state.isolated;
        body["leaving"] = state.leaving;
        body["store-reachable"] = state.store.reachable;
        for (const auto &member : state.table.members(Clock::now())) {
            internal::json row{{"id", member.record.id},
                               {"zone", member.record.zone},
                               {"status", enumName(memberStatusNames, member.status)},
                               {"revision", member.record.revision},
                               {"operator-address", member.record.operatorAddress},
                               {"brokers", internal::json::array()},
                               {"headroom", internal::json::array()}};
            for (const auto &unit : member.record.brokers)
                row["brokers"].push_back(unit.service + "/" + unit.region);
            for (const auto &unit : member.record.headroom)
                row["headroom"].push_back({{"service", unit.service},
                                           {"region", unit.region},
                                           {"free-slots", unit.freeSlots},
                                           {"total-slots", unit.totalSlots},
                                           {"queued", unit.queued}});
            body["members"].push_back(std::move(row));
        }
        const auto now = Clock::now();
        for (const auto &unit :
             fleetUnits(version.get(), state.table.members(now), state.headroom, now))
            body["fleet-units"].push_back(fleetUnitJson(unit));
    });
    for (const auto &report : brokers_.reports())
        body["units"].push_back({{"service", report.service},
                                 {"region", report.region},
                                 {"epoch", report.epoch},
                                 {"slots", report.status.slots},
                                 {"effective-slots", report.status.effectiveSlots},
                                 {"in-use", report.status.inUse},
                                 {"queued", report.status.queued},
                                 {"rebuilding", report.status.rebuilding},
                                 {"headroom", report.headroom}});
    respond(internal::jsonResponse(200, body));
}

void OperatorService::config(const Responder &respond)
{
    const auto head = instance_.configuration.use(
            [](ConfigurationState &state) { return state.holder.head(); });
    respond(internal::jsonResponse(200,
                                   {{"revision", head.revision},
                                    {"change-id", head.changeId},
                                    {"author", head.author},
                                    {"rules", head.rules}}));
}

void OperatorService::change(const ServerRequest &request, Responder respond)
{
    const auto id = queryValue(request.query, "id");
    const auto baseText = queryValue(request.query, "base");
    const auto base = internal::toNumber(baseText);
    if (id.empty() || (!baseText.empty() && !base)) {
        respond(internal::jsonResponse(
                internal::badRequest,
                {{"error", "bad-request"},
                 {"detail", "id must be a change id, and base a whole number or left out"}}));
        return;
    }
    // The store is asked first, because this instance may not have heard of the change yet.
    instance_.store.get(
            std::string(configHeadKey),
            [this, id, base, respond = std::move(respond)](Result<StoreEntry, StoreError> result) {
                instance_.recordStoreCall(isStoreAnswer(result), Clock::now());
                std::optional<ConfigHead> head;
                if (isOk(result)) {
                    if (auto decoded = decodeConfigHead(value(result).value); isOk(decoded))
                        head = std::move(value(decoded));
                } else if (error(result).failure == StoreFailure::NotFound) {
                    head = ConfigHead{};
                }
                const bool fromStore = head.has_value();
                if (!head)
                    head = instance_.configuration.use(
                            [](ConfigurationState &state) { return state.holder.head(); });
                auto body = internal::changeReport(*head, id, base);
                body["source"] = fromStore ? "store" : "instance";
                respond(internal::jsonResponse(200, body));
            });
}

void OperatorService::explain(const ServerRequest &request, const Responder &respond)
{
    const auto service = queryValue(request.query, "service");
    const auto client = queryValue(request.query, "client");
    const auto answer = lookUps_.lookUp(service, client);
    if (!isOk(answer)) {
        respond(internal::jsonResponse(internal::badRequest,
                                       {{"error", enumName(reasonNames, error(answer))}}));
        return;
    }
    internal::json body{{"region", value(answer).region},
                        {"revision", value(answer).revision},
                        {"steps", value(answer).steps},
                        {"instances", internal::json::array()}};
    for (const auto &entry : value(answer).entries)
        body["instances"].push_back(
                {{"id", entry.id}, {"zone", entry.zone}, {"weight", entry.weight}});
    respond(internal::jsonResponse(200, body));
}

void OperatorService::apply(const ServerRequest &request, Responder respond)
{
    const auto body = internal::json::parse(request.body, nullptr, false);
    ApplyRequest change;
    try {
        change = internal::toApplyRequest(body);
    } catch (const internal::json::exception &failure) {
        respond(internal::jsonResponse(internal::badRequest,
                                       {{"error", "bad-request"}, {"detail", failure.what()}}));
        return;
    }
    if (!internal::isNameLength(change.changeId) || !internal::isNameLength(change.author)) {
        respond(internal::jsonResponse(
                internal::badRequest,
                {{"error", "bad-request"},
                 {"detail", "change-id and author must have 1 to 128 bytes"}}));
        return;
    }
    if (auto faults = internal::ruleFaults(change.rules)) {
        respond(internal::jsonResponse(internal::badRequest, *faults));
        return;
    }
    const auto base = change.baseRevision;
    configuration_.apply(
            std::move(change), [base, respond = std::move(respond)](ApplyVerdict verdict) {
                internal::json answer{{"change-id", verdict.changeId},
                                      {"base-revision", base},
                                      {"outcome", enumName(applyOutcomeNames, verdict.outcome)},
                                      {"reason", enumName(applyReasonNames, verdict.reason)}};
                if (verdict.head) {
                    answer["revision"] = verdict.head->revision;
                    // Other changes may have followed before this one was looked up.
                    if (verdict.outcome == ApplyOutcome::Accepted)
                        answer["revision"] =
                                internal::changeReport(*verdict.head, verdict.changeId, base)
                                        .value("revision", verdict.head->revision);
                    if (verdict.outcome == ApplyOutcome::Conflict) {
                        answer["author"] = verdict.head->author;
                        answer["rules"] = verdict.head->rules;
                    }
                }
                respond(internal::jsonResponse(200, answer));
            });
}

void OperatorService::suspects(const Responder &respond)
{
    constexpr CrashSuspectSettings limits; // the broker service uses the defaults
    const auto list = brokers_.suspects();
    internal::json body{{"instance", instance_.settings.instanceId},
                        {"region", list.region},
                        {"region-limit", limits.regionLimit},
                        {"fleet-limit", limits.fleetLimit},
                        {"suspects", internal::json::array()}};
    for (const auto &suspect : list.suspects)
        body["suspects"].push_back(suspectJson(suspect));
    respond(internal::jsonResponse(200, body));
}

void OperatorService::clearSuspect(const ServerRequest &request, const Responder &respond)
{
    const auto body = internal::json::parse(request.body, nullptr, false);
    std::optional<std::uint64_t> fingerprint;
    if (body.is_object() && body.contains("fingerprint") && body["fingerprint"].is_string())
        fingerprint = internal::toNumber(body["fingerprint"].get_ref<const std::string &>());
    if (!fingerprint) {
        respond(internal::jsonResponse(
                internal::badRequest,
                {{"error", "bad-request"}, {"detail", "fingerprint must be a text of digits"}}));
        return;
    }
    const auto crashes = brokers_.clearSuspect(*fingerprint);
    internal::json answer{{"instance", instance_.settings.instanceId},
                          {"fingerprint", std::to_string(*fingerprint)},
                          {"crashes", crashes},
                          {"silent", internal::json::array()}};
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.status == MemberStatus::Silent)
                answer["silent"].push_back(member.record.id);
        }
    });
    respond(internal::jsonResponse(200, answer));
}

} // namespace chestnutvane
