// The part of CallerService that runs a request to a target: grants, exchanges and their notes.

#include "chestnutvane/process/call_answer.h"
#include "chestnutvane/process/caller_service.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr Milliseconds probeTimeout{500};
// A planned handover of a broker takes less; a request that goes to another region instead pays a
// round trip of about this length.
constexpr Milliseconds brokerWait{100};
constexpr int unavailable = 503;

} // namespace
} // namespace internal

void CallerService::runFlow(const std::shared_ptr<Call> &call, std::function<void(FlowResult)> done,
                            RetryRule retry)
{
    IncomingRequest incoming;
    incoming.number = call->number;
    incoming.id = instance_.incarnation + "-" + std::to_string(call->number);
    incoming.requestClass = call->requestClass;
    incoming.method = call->request.method;
    incoming.path = call->request.path;
    incoming.query = call->request.query;
    incoming.headers = passedOnHeaders(call->request.headers);
    incoming.body = call->body;
    incoming.fingerprint = fingerprint({call->requestClass.service, call->request.method,
                                        call->request.path, call->request.query, *call->body})
                                   .low;
    incoming.deadline = call->deadline;
    const auto region = lookUps_.firstRegion(*call->version, call->requestClass.service);
    if (!region) {
        done({.outcome = Outcome::NotRun,
              .reason = Reason::NoTarget,
              .status = internal::unavailable});
        return;
    }
    incoming.region = *region;
    instance_.retryBudget.use([](RetryBudget &budget) { budget.onRequest(); });
    const auto flow = RequestFlow::create(makeServices(call, std::move(retry)), std::move(incoming),
                                          [this, done = std::move(done)](FlowResult result) {
                                              noteAnswerBytes(result);
                                              done(std::move(result));
                                          });
    // The result of an at-most-once request is kept for a repeat, so it runs on without its caller.
    if (call->request.closeWatch && call->requestClass.repeat != Repeat::AtMostOnce)
        call->request.closeWatch->onClose([weak = std::weak_ptr(flow)] {
            if (const auto running = weak.lock())
                running->cancel();
        });
    flow->start();
}

RequestServices CallerService::makeServices(const std::shared_ptr<Call> &call, RetryRule retry)
{
    RequestServices services;
    services.now = [] { return Clock::now(); };
    services.after = [this](Duration delay, std::function<void()> task) {
        instance_.workers->after(delay, std::move(task));
    };
    addGrantServices(services, call);
    addTargetServices(services);
    services.admitRetry = [this, call, retry = std::move(retry)](const RequestClass &requestClass,
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

void CallerService::addGrantServices(RequestServices &services, const std::shared_ptr<Call> &call)
{
    services.requestGrant = [this, call](GrantRequestSpec wish,
                                         std::function<void(GrantReply)> reply) {
        const auto region = wish.region;
        if (lookUps_.hasRoomElsewhere(*call->version, call->requestClass.service, region))
            wish.brokerWait = std::min<Duration>(wish.queueLimit, internal::brokerWait);
        grants_.requestGrant(std::move(wish),
                             [this, call, region, reply = std::move(reply)](GrantReply result) {
                                 if (const auto *slot = std::get_if<HeldSlot>(&result))
                                     noteGrant(*call, *slot, region);
                                 else
                                     steering_.onRefused(call->requestClass.service, region);
                                 reply(std::move(result));
                             });
    };
    services.fallbackRegion = [this, call](std::span<const std::string> tried, Reason reason) {
        const double point = static_cast<double>(randomNumber() >> 11) * 0x1p-53;
        auto next = lookUps_.fallbackRegion(*call->version, call->requestClass.service, tried,
                                            reason, point);
        if (next)
            noteFallback(*call, tried.back(), *next, reason);
        return next;
    };
    services.release = [this, call](const HeldSlot &slot, GrantResult result,
                                    Duration serviceTime) {
        grants_.release(slot, result, serviceTime);
        noteRelease(*call, slot, result, serviceTime);
    };
}

void CallerService::addTargetServices(RequestServices &services)
{
    services.send = [this](HttpRequest request, std::function<void(HttpExchangeResult)> done) {
        request.maxResponseBytes = instance_.settings.maxBodyBytes;
        return instance_.targets->send(
                std::move(request), [this, done = std::move(done)](HttpExchangeResult result) {
                    instance_.workers->post(
                            [done,
                             shared = std::make_shared<HttpExchangeResult>(std::move(result))] {
                                done(std::move(*shared));
                            });
                });
    };
    services.cancelExchange = [this](HttpClient::SendId id) { instance_.targets->cancel(id); };
    services.probe = [this](const HeldSlot &slot, std::function<void(bool)> done) {
        probe(slot, std::move(done));
    };
    services.abandonConnections = [this](const HeldSlot &slot) {
        instance_.targets->abandonConnections(slot.targetAddress);
    };
}

void CallerService::noteGrant(const Call &call, const HeldSlot &slot, const std::string &region)
{
    const auto own = instance_.region();
    if (region != own)
        steering_.onLinkBytes(own, region, call.body->size());
    instance_.configuration.use([&](ConfigurationState &state) {
        state.drains.onRequestStarted(slot.targetName, Clock::now());
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

void CallerService::noteAnswerBytes(const FlowResult &result)
{
    const auto own = instance_.region();
    if (result.outcome == Outcome::Ran && result.region != own)
        steering_.onLinkBytes(result.region, own, result.body.size());
}

void CallerService::noteFallback(const Call &call, const std::string &from, const std::string &to,
                                 Reason reason)
{
    instance_.metrics.increment("vane_fallbacks_total", {{"from", from}, {"to", to}});
    if (isSampled(call.number))
        logEvent(Event::RequestFellBack,
                 {{"request", call.number},
                  {"class", call.requestClass.name},
                  {"from", from},
                  {"to", to},
                  {"reason", enumName(reasonNames, reason)}});
}

void CallerService::noteRelease(const Call &call, const HeldSlot &slot, GrantResult result,
                                Duration serviceTime)
{
    instance_.configuration.use([&](ConfigurationState &state) {
        state.drains.onRequestEnded(slot.targetName, Clock::now());
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
            [this, name = slot.targetName, done = std::move(done)](HttpExchangeResult result) {
                instance_.workers->post([done, name, answered = isOk(result)] {
                    logEvent(Event::TargetProbed,
                             {{"target", name}, {"answered", answered ? "yes" : "no"}});
                    done(answered);
                });
            });
}

} // namespace chestnutvane
