#include "chestnutvane/process/caller_service.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "chestnutvane/connection/query_string.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr std::string_view servicePrefix = "/s/";
constexpr std::string_view lookUpPath = "/v1/look-up";
constexpr Milliseconds probeTimeout{500};
constexpr int notFound = 404;
constexpr int badRequest = 400;
constexpr int unavailable = 503;

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

// Headers that concern one connection, or that only the system may set.
bool isPassedOn(std::string_view name)
{
    constexpr std::string_view kept[] = {
            "connection", "keep-alive", "transfer-encoding", "content-length", "host",
            "upgrade",    "te",         "trailer",           "expect",         "proxy-connection"};
    constexpr std::string_view own = "vane-";
    if (name.size() > own.size() && equalsIgnoreCase(name.substr(0, own.size()), own))
        return false;
    return std::none_of(std::begin(kept), std::end(kept),
                        [name](std::string_view other) { return equalsIgnoreCase(name, other); });
}

std::vector<HttpHeader> passedOnHeaders(const std::vector<HttpHeader> &headers)
{
    std::vector<HttpHeader> result;
    for (const auto &header : headers) {
        if (isPassedOn(header.name))
            result.push_back(header);
    }
    return result;
}

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

ForwardAnswer refusal(Outcome outcome, Reason reason, int status)
{
    return {.outcome = outcome, .reason = reason, .status = status};
}

ForwardAnswer answerOf(const OnceResult &result)
{
    ForwardAnswer answer{
            .outcome = result.outcome, .reason = result.reason, .status = result.status};
    if (result.answer) {
        for (const auto &[name, text] : result.answer->headers)
            answer.headers.push_back({name, text});
        answer.body = result.answer->body;
    }
    return answer;
}

OnceResult onceResultOf(FlowResult result)
{
    OnceResult once{.outcome = result.outcome, .reason = result.reason, .status = result.status};
    if (result.outcome == Outcome::Ran) {
        auto answer = std::make_shared<OnceAnswer>();
        answer->status = result.status;
        for (auto &[name, text] : result.headers)
            answer->headers.emplace_back(std::move(name), std::move(text));
        answer->body = std::move(result.body);
        once.answer = std::move(answer);
    }
    return once;
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
        respond(toResponse(
                internal::refusal(Outcome::NotRun, Reason::BadRequest, internal::notFound)));
    }
}

void CallerService::handleLookUp(const ServerRequest &request, const Responder &respond)
{
    const auto service = queryValue(request.query, "service");
    auto client = queryValue(request.query, "client");
    if (client.empty())
        client = request.remoteAddress;
    const auto found = members_.mayTakeWork() ? lookUps_.lookUp(service, client)
                                              : Result<LookUpAnswer, Reason>(Reason::Isolated);
    if (!isOk(found)) {
        const auto reason = error(found);
        const int status = reason == Reason::UnknownService ? internal::notFound
                : reason == Reason::BadRequest              ? internal::badRequest
                                                            : internal::unavailable;
        respond(toResponse(internal::refusal(Outcome::NotRun, reason, status)));
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
    if (!members_.mayTakeWork())
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
            conclude(call, keyRefusal(false));
        else
            startOnce(call, *key);
        return;
    }
    runFlow(
            call,
            [this, call](FlowResult result) {
                ForwardAnswer answer{.outcome = result.outcome,
                                     .reason = result.reason,
                                     .status = result.status,
                                     .headers = std::move(result.headers),
                                     .body = std::move(result.body)};
                logEnd(*call, answer);
                call->answer(std::move(answer));
            },
            [this](const RequestClass &requestClass, const AttemptHistory &history,
                   Duration remaining) {
                const auto expected = instance_.metrics.meanLatency(requestClass.name);
                return instance_.retryBudget.use([&](RetryBudget &budget) {
                    return mayRetry(requestClass, history, remaining, expected, budget)
                            == RetryVerdict::Retry;
                });
            });
}

void CallerService::startOnce(const std::shared_ptr<Call> &call, const std::string &keyText)
{
    const auto parsed = parseOneTimeKey(keyText);
    if (!isOk(parsed)) {
        conclude(call, keyRefusal(true));
        return;
    }
    const auto &key = value(parsed);
    const auto print = fingerprint({call->requestClass.service, call->request.method,
                                    call->request.path, call->request.query, *call->body});
    const OnceWaiter waiter = nextWaiter_++;
    {
        const std::lock_guard lock(waitersMutex_);
        waiters_[waiter] = call;
    }
    const auto source = call->forwarded ? OnceSource::Peer : OnceSource::Caller;
    const auto begin = instance_.once.use(
            [&](OnceTable &once) { return once.begin(key, print, waiter, source, Clock::now()); });
    if (std::holds_alternative<OnceWait>(begin)) {
        waitForResult(call, key, waiter);
        return;
    }
    {
        const std::lock_guard lock(waitersMutex_);
        waiters_.erase(waiter);
    }
    if (std::holds_alternative<OnceRun>(begin))
        runOnce(call, key);
    else if (const auto *other = std::get_if<OnceForward>(&begin))
        forward(call, keyText, other->incarnation);
    else if (const auto *stored = std::get_if<OnceStored>(&begin))
        conclude(call, stored->result);
    else
        conclude(call, std::get<OnceRefused>(begin).result);
}

void CallerService::waitForResult(const std::shared_ptr<Call> &call, const OneTimeKey &key,
                                  OnceWaiter waiter)
{
    instance_.workers->after(call->deadline - Clock::now(), [this, call, key, waiter] {
        const auto result = instance_.once.use(
                [&](OnceTable &once) { return once.giveUpWaiting(key, waiter); });
        if (!result)
            return;
        {
            const std::lock_guard lock(waitersMutex_);
            waiters_.erase(waiter);
        }
        conclude(call, *result);
    });
}

void CallerService::runOnce(const std::shared_ptr<Call> &call, const OneTimeKey &key)
{
    runFlow(
            call,
            [this, call, key](FlowResult result) {
                const auto finished = instance_.once.use([&](OnceTable &once) {
                    return once.finish(key, internal::onceResultOf(std::move(result)),
                                       Clock::now());
                });
                std::vector<std::shared_ptr<Call>> waiting;
                {
                    const std::lock_guard lock(waitersMutex_);
                    for (const auto waiter : finished.waiters) {
                        if (const auto entry = waiters_.find(waiter); entry != waiters_.end()) {
                            waiting.push_back(entry->second);
                            waiters_.erase(entry);
                        }
                    }
                }
                conclude(call, finished.result);
                for (const auto &other : waiting)
                    conclude(other, finished.result);
            },
            [this, key](const RequestClass &requestClass, const AttemptHistory &history,
                        Duration remaining) {
                const bool allowed = instance_.once.use([&](OnceTable &once) {
                    return once.mayDispatchAgain(key, coveringOutcome(history));
                });
                return allowed && instance_.retryBudget.use([&](RetryBudget &budget) {
                    return mayRetry(requestClass, history, remaining, Duration::zero(), budget)
                            == RetryVerdict::Retry;
                });
            });
}

void CallerService::forward(const std::shared_ptr<Call> &call, const std::string &keyText,
                            const std::string &incarnation)
{
    std::string address;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.record.incarnation == incarnation && member.status != MemberStatus::Gone)
                address = member.record.peerAddress;
        }
    });
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call->deadline - Clock::now());
    if (address.empty() || remaining.count() <= 0) {
        conclude(call, ownerUnreachable());
        return;
    }
    logEvent(Event::RequestForwarded, {{"request", call->number}, {"owner", address}});
    const ForwardRequest message{.service = call->requestClass.service,
                                 .method = call->request.method,
                                 .path = call->request.path,
                                 .query = call->request.query,
                                 .headers = internal::passedOnHeaders(call->request.headers),
                                 .body = *call->body,
                                 .key = keyText,
                                 .remaining = remaining};
    instance_.peers->call(address, "forward", encode(message), remaining,
                          [this, call](Result<std::string, PeerError> reply) {
                              if (isOk(reply)) {
                                  auto answer = decodeForwardAnswer(value(reply));
                                  if (isOk(answer)) {
                                      logEnd(*call, value(answer));
                                      call->answer(std::move(value(answer)));
                                      return;
                                  }
                              }
                              conclude(call, ownerUnreachable());
                          });
}

void CallerService::handleForward(const std::string &body, std::function<void(std::string)> reply)
{
    auto decoded = decodeForwardRequest(body);
    const auto version = instance_.version();
    const RequestClass *found = nullptr;
    if (isOk(decoded) && version)
        found = version->classes.find(value(decoded).service, value(decoded).path);
    if (found == nullptr) {
        reply(encode(internal::refusal(Outcome::Unknown, Reason::NoMatchingClass,
                                       internal::unavailable)));
        return;
    }
    auto &message = value(decoded);
    auto call = std::make_shared<Call>();
    call->number = nextNumber_++;
    call->version = version;
    call->requestClass = *found;
    call->startedAt = Clock::now();
    call->deadline = call->startedAt + std::min(message.remaining, found->deadline);
    call->forwarded = true;
    call->body = std::make_shared<const std::string>(std::move(message.body));
    call->request.method = message.method;
    call->request.path = message.path;
    call->request.query = message.query;
    call->request.headers = std::move(message.headers);
    ++inFlight_;
    call->answer = [this, reply = std::move(reply)](const ForwardAnswer &answer) {
        reply(encode(answer));
        --inFlight_;
    };
    startOnce(call, message.key);
}

void CallerService::runFlow(
        const std::shared_ptr<Call> &call, std::function<void(FlowResult)> done,
        std::function<bool(const RequestClass &, const AttemptHistory &, Duration)> retry)
{
    IncomingRequest incoming;
    incoming.number = call->number;
    incoming.id = instance_.incarnation + "-" + std::to_string(call->number);
    incoming.requestClass = call->requestClass;
    incoming.method = call->request.method;
    incoming.path = call->request.path;
    incoming.query = call->request.query;
    incoming.headers = internal::passedOnHeaders(call->request.headers);
    incoming.body = call->body;
    incoming.fingerprint = fingerprint({call->requestClass.service, call->request.method,
                                        call->request.path, call->request.query, *call->body})
                                   .low;
    incoming.deadline = call->deadline;
    incoming.regions = lookUps_.servingRegions(*call->version, call->requestClass.service);
    if (incoming.regions.empty()) {
        done({.outcome = Outcome::NotRun,
              .reason = Reason::NoTarget,
              .status = internal::unavailable});
        return;
    }
    instance_.retryBudget.use([](RetryBudget &budget) { budget.onRequest(); });
    RequestFlow::create(makeServices(call, std::move(retry)), std::move(incoming), std::move(done))
            ->start();
}

RequestServices CallerService::makeServices(
        const std::shared_ptr<Call> &call,
        std::function<bool(const RequestClass &, const AttemptHistory &, Duration)> retry)
{
    RequestServices services;
    services.now = [] { return Clock::now(); };
    services.askGrant = [this, call](GrantWish wish, std::function<void(GrantReply)> reply) {
        const auto region = wish.region;
        grants_.ask(std::move(wish),
                    [this, call, region, reply = std::move(reply)](GrantReply result) {
                        if (const auto *slot = std::get_if<HeldSlot>(&result))
                            noteGrant(*call, *slot, region);
                        else
                            steering_.onRefused(call->requestClass.service, region);
                        reply(std::move(result));
                    });
    };
    services.release = [this, call](const HeldSlot &slot, GrantResult result,
                                    Duration serviceTime) {
        grants_.release(slot, result, serviceTime);
        noteRelease(*call, slot, result, serviceTime);
    };
    services.send = [this](HttpRequest request, std::function<void(ExchangeResult)> done) {
        request.maxResponseBytes = instance_.settings.maxBodyBytes;
        return instance_.targets->send(
                std::move(request), [this, done = std::move(done)](ExchangeResult result) {
                    instance_.workers->post(
                            [done, shared = std::make_shared<ExchangeResult>(std::move(result))] {
                                done(std::move(*shared));
                            });
                });
    };
    services.cancelExchange = [this](HttpClient::SendId id) { instance_.targets->cancel(id); };
    services.after = [this](Duration delay, std::function<void()> task) {
        instance_.workers->after(delay, std::move(task));
    };
    services.probe = [this](const HeldSlot &slot, std::function<void(bool)> done) {
        probe(slot, std::move(done));
    };
    services.abandonConnections = [this](const HeldSlot &slot) {
        instance_.targets->abandonConnections(slot.targetAddress);
    };
    services.mayRetry = [this, call, retry = std::move(retry)](const RequestClass &requestClass,
                                                               const AttemptHistory &history,
                                                               Duration remaining) {
        const bool again = retry(requestClass, history, remaining);
        if (again) {
            instance_.metrics.increment("vane_retries_total", {{"class", requestClass.name}});
            logEvent(Event::RequestRetried,
                     {{"request", call->number},
                      {"class", requestClass.name},
                      {"attempts", history.attempts}});
        }
        return again;
    };
    return services;
}

void CallerService::noteGrant(const Call &call, const HeldSlot &slot, const std::string &region)
{
    const auto own = instance_.region();
    if (region != own)
        steering_.onLinkBytes(own, region, call.body->size());
    instance_.configuration.use([&](ConfigurationState &state) {
        state.drains.workStarted(slot.targetName, Clock::now());
    });
    if (isSampled(call.number))
        logEvent(Event::RequestRouted,
                 {{"request", call.number},
                  {"revision", call.version->revision},
                  {"class", call.requestClass.name},
                  {"region", region},
                  {"target", slot.targetName},
                  {"epoch", slot.id.epoch},
                  {"reason", "granted-by-broker"}});
}

void CallerService::noteRelease(const Call &call, const HeldSlot &slot, GrantResult result,
                                Duration serviceTime)
{
    instance_.configuration.use([&](ConfigurationState &state) {
        state.drains.workEnded(slot.targetName, Clock::now());
    });
    const auto target = call.version->targets.find(slot.target);
    if (target == call.version->targets.end())
        return;
    const auto region = regionOfZone(*call.version, target->second.zone);
    if (result == GrantResult::Succeeded)
        steering_.onServed(call.requestClass.service, region, serviceTime);
    else if (result == GrantResult::Shed)
        steering_.onRefused(call.requestClass.service, region);
}

void CallerService::probe(const HeldSlot &slot, std::function<void(bool)> done)
{
    logEvent(Event::ConnectionSilent, {{"target", slot.targetName}});
    HttpRequest request{.method = "GET",
                        .url = "http://" + slot.targetAddress + "/health",
                        .timeout = internal::probeTimeout,
                        .connectTimeout = internal::probeTimeout,
                        .freshConnection = true};
    instance_.targets->send(
            std::move(request),
            [this, name = slot.targetName, done = std::move(done)](ExchangeResult result) {
                instance_.workers->post([done, name, answered = isOk(result)] {
                    logEvent(Event::TargetProbed,
                             {{"target", name}, {"answered", answered ? "yes" : "no"}});
                    done(answered);
                });
            });
}

void CallerService::conclude(const std::shared_ptr<Call> &call, const OnceResult &result)
{
    auto answer = internal::answerOf(result);
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
        if (internal::isPassedOn(header.name))
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
