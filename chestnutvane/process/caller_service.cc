#include "chestnutvane/process/caller_service.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "chestnutvane/connection/query_string.h"
#include "chestnutvane/process/call_answer.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view servicePrefix = "/s/";
constexpr std::string_view lookUpPath = "/v1/look-up";
constexpr int notFound = 404;
constexpr int badRequest = 400;
constexpr int unavailable = 503;

// The deadline of a request: what the caller asks for, at most the deadline of its class.
Result<Milliseconds, Reason> timeLimit(const ServerRequest &request, const RequestClass &found)
{
    const auto *text = findHeader(request.headers, "Vane-Deadline-Ms");
    if (text == nullptr)
        return found.deadline;
    std::int64_t wanted = 0;
    const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), wanted);
    if (failure != std::errc{} || end != text->data() + text->size() || wanted <= 0)
        return Reason::BadRequest;
    return std::min(found.deadline, Milliseconds(wanted));
}

} // namespace
} // namespace internal

CallerService::CallerService(Instance &instance, LookUpService &lookUps, GrantService &grants,
                             MemberService &members, SteeringService &steering)
    : instance_(instance), lookUps_(lookUps), grants_(grants), members_(members),
      steering_(steering)
{ }

void CallerService::handle(ServerRequest request, Responder respond)
{
    if (request.path == internal::lookUpPath) {
        handleLookUp(request, respond);
    } else if (request.path.starts_with(internal::servicePrefix)) {
        handleService(std::move(request), std::move(respond));
    } else {
        respond(toResponse(refusal(Outcome::NotRun, Reason::BadRequest, internal::notFound)));
    }
}

void CallerService::handleLookUp(const ServerRequest &request, const Responder &respond)
{
    const auto service = queryValue(request.query, "service");
    auto client = queryValue(request.query, "client");
    if (client.empty())
        client = request.remoteAddress;
    const auto found = members_.mayAcceptWork() ? lookUps_.lookUp(service, client)
                                                : Result<LookUpAnswer, Reason>(Reason::Isolated);
    if (!isOk(found)) {
        const auto reason = error(found);
        const int status = reason == Reason::UnknownService ? internal::notFound
                : reason == Reason::BadRequest              ? internal::badRequest
                                                            : internal::unavailable;
        respond(toResponse(refusal(Outcome::NotRun, reason, status)));
        return;
    }
    const auto &answer = value(found);
    nlohmann::json body{{"service", service},
                        {"region", answer.region},
                        {"revision", answer.revision},
                        {"ttl-ms", answer.ttl.count()},
                        {"instances", nlohmann::json::array()}};
    for (const auto &entry : answer.entries)
        body["instances"].push_back({{"id", entry.id},
                                     {"zone", entry.zone},
                                     {"address", entry.address},
                                     {"weight", entry.weight},
                                     {"key-prefix", entry.keyPrefix}});
    if (const auto number = nextNumber_++; isSampled(number))
        logEvent(Event::LookUpAnswered,
                 {{"client", client},
                  {"service", service},
                  {"region", answer.region},
                  {"revision", answer.revision},
                  {"first", answer.entries.front().id},
                  {"steps", answer.steps.empty() ? "no-clients-rule" : answer.steps.back()}});
    instance_.metrics.increment("vane_look_ups_total");
    respond({.status = 200,
             .headers = {{"Content-Type", "application/json"}, {"Vane-Outcome", "ran"}},
             .body = body.dump()});
}

void CallerService::handleService(ServerRequest request, Responder respond)
{
    auto call = std::make_shared<Call>();
    call->number = nextNumber_++;
    call->startedAt = Clock::now();
    call->version = instance_.version();
    ++inFlight_;
    call->answer = [this, respond = std::move(respond)](ForwardAnswer answer) {
        respond(toResponse(std::move(answer)));
        --inFlight_;
    };
    // A request with a key may have run through an earlier send, so a refusal ahead of the once
    // table cannot say that it did not.
    const bool keyed = findHeader(request.headers, "Vane-Key") != nullptr;
    const Outcome early = keyed ? Outcome::Unknown : Outcome::NotRun;
    const auto fail = [&](Reason reason, int status) {
        conclude(call, {.outcome = early, .reason = reason, .status = status});
    };
    const bool ready =
            instance_.configuration.use([](ConfigurationState &state) { return state.ready; });
    if (!call->version || !ready)
        return fail(Reason::NoConfiguration, internal::unavailable);
    if (!members_.mayAcceptWork())
        return fail(Reason::Isolated, internal::unavailable);
    const auto rest = request.path.substr(internal::servicePrefix.size());
    const auto service = rest.substr(0, rest.find('/'));
    const auto path = rest.size() > service.size() ? rest.substr(service.size()) : "/";
    if (!findService(call->version->plan, service))
        return fail(Reason::UnknownService, internal::notFound);
    const auto *found = call->version->classes.find(service, path);
    if (found == nullptr)
        return fail(Reason::NoMatchingClass, internal::notFound);
    const auto limit = internal::timeLimit(request, *found);
    if (!isOk(limit))
        return fail(Reason::BadRequest, internal::badRequest);
    call->requestClass = *found;
    call->deadline = call->startedAt + value(limit);
    request.path = path;
    call->body = std::make_shared<const std::string>(std::move(request.body));
    request.body.clear();
    call->request = std::move(request);
    startCall(std::move(call));
}

void CallerService::startCall(std::shared_ptr<Call> call)
{
    if (call->requestClass.repeat == Repeat::AtMostOnce) {
        const auto *key = findHeader(call->request.headers, "Vane-Key");
        if (key == nullptr)
            conclude(call, invalidKeyResult(false));
        else
            startOnce(call, *key);
        return;
    }
    runFlow(
            call,
            [this, call](FlowResult result) {
                ForwardAnswer answer = answerOf(std::move(result));
                logEnd(*call, answer);
                call->answer(std::move(answer));
            },
            [this](const RequestClass &requestClass, const AttemptHistory &history,
                   Duration remaining) {
                const auto expected = instance_.metrics.meanLatency(requestClass.name);
                return instance_.retryBudget.use([&](RetryBudget &budget) {
                    return decideRetry(requestClass, history, remaining, expected, budget)
                            == RetryDecision::Retry;
                });
            });
}

void CallerService::conclude(const std::shared_ptr<Call> &call, const OnceResult &result)
{
    auto answer = answerOf(result);
    logEnd(*call, answer);
    call->answer(std::move(answer));
}

void CallerService::logEnd(const Call &call, const ForwardAnswer &answer)
{
    const auto latency = Clock::now() - call.startedAt;
    const auto outcome = enumName(outcomeNames, answer.outcome);
    const auto reason = enumName(reasonNames, answer.reason);
    instance_.metrics.increment("vane_requests_total",
                                {{"class", call.requestClass.name},
                                 {"outcome", std::string(outcome)},
                                 {"reason", std::string(reason)}});
    const bool ran = answer.outcome == Outcome::Ran;
    if (ran)
        instance_.metrics.observe(call.requestClass.name, latency);
    if (!isSampled(call.number))
        return;
    logEvent(ran ? Event::RequestEnded : Event::RequestRefused,
             {{"request", call.number},
              {"class", call.requestClass.name},
              {"status", answer.status},
              {"outcome", outcome},
              {"reason", reason},
              {"ms", std::chrono::duration<double, std::milli>(latency).count()}});
}

ServerResponse CallerService::toResponse(ForwardAnswer answer) const
{
    ServerResponse response{.status = answer.status};
    for (auto &header : answer.headers) {
        if (isPassedOn(header.name))
            response.headers.push_back(std::move(header));
    }
    response.headers.push_back(
            {"Vane-Outcome", std::string(enumName(outcomeNames, answer.outcome))});
    if (answer.reason != Reason::None)
        response.headers.push_back(
                {"Vane-Reason", std::string(enumName(reasonNames, answer.reason))});
    if (answer.reason == Reason::KeyRequired || answer.reason == Reason::KeyMalformed)
        response.headers.push_back({"Vane-Key-Prefix", instance_.once.use([](OnceTable &once) {
                                        return once.prefix(Clock::now());
                                    })});
    response.body = std::move(answer.body);
    return response;
}

} // namespace chestnutvane
