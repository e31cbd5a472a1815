#include "chestnutvane/process/gateway/gateway.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <tuple>

#include <boost/asio/post.hpp>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {
namespace {

// Grace period after the deadline, for a target's response at the deadline to arrive.
constexpr Milliseconds responseMargin{60};
// About the start-up time of an instance.
constexpr Milliseconds startupRetryAfter{300};
// Decay of the failure rate and run time factor per tick, so that an avoided target is tried again.
constexpr double decayPerTick = 0.05;

std::optional<Milliseconds> parseMilliseconds(std::string_view text)
{
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size() || number < 0)
        return std::nullopt;
    return Milliseconds(static_cast<std::int64_t>(number));
}

std::string headerText(const HttpRequestMessage &request, const std::string &name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

// Identifies this incarnation, because crash counts of an earlier incarnation belong to another
// counter.
HolderId makeCounterId(const std::string &instanceId)
{
    return {hash64(instanceId), std::random_device{}()};
}

// Orders requests whose aim has passed last, so that they occupy no slot in which another request
// could still meet its aim.
auto queueOrder(const PendingRequest &pending, TimePoint now)
{
    return std::tuple(pending.aimAt <= now, pending.importance, pending.call.arrival);
}

} // namespace

Gateway::Gateway(net::io_context &io, const GatewaySettings &settings, Metrics &metrics)
    : io_(io), settings_(settings), metrics_(metrics), region_(settings.regionOf(settings.zone)),
      registry_(settings.zoneRegions), passTimer_(io),
      crashWatch_(makeCounterId(settings.instanceId), region_),
      quotas_(hash64(settings.instanceId, std::random_device{}())), shutdownTimer_(io),
      pauseTimer_(io)
{ }

void Gateway::handle(Call call)
{
    const HttpRequestMessage &request = *call.request;
    if (!table_)
        return call.answer(refusalAtArrival(request, http::status::service_unavailable,
                                            "no-configuration", startupRetryAfter));
    const Route *route = table_->find(
            std::string_view(request[http::field::host].data(), request[http::field::host].size()),
            std::string_view(request.target().data(), request.target().size()));
    if (route == nullptr)
        return call.answer(
                refusalAtArrival(request, http::status::not_found, "no-route", Duration{0}));
    const Access access = accessFor(request, *table_, *route);
    if (!access.isAllowed())
        return call.answer(denial(request, access));
    const auto pending = makePending(std::move(call), *route, access);
    pending->call.onGone([this, pending] { onCallerDisconnected(pending); });
    pending->deadlineTimer.expires_at(pending->deadlineAt + responseMargin);
    pending->deadlineTimer.async_wait([this, pending](const boost::system::error_code &ended) {
        if (!ended && !pending->done)
            onDeadline(pending);
    });
    if (!chargeQuota(*pending))
        return refuse(pending, http::status::too_many_requests, "over-quota",
                      pending->quotaRetryAfter);
    retryLimiterOf(pending->service).onRequest(pending->call.arrival);
    if (isCrashSuspect(*pending))
        return refuse(pending, http::status::service_unavailable, "crash-suspect", maxRetryAfter);
    enqueue(pending);
    runPass(pending->service, PassScope::Affected);
}

std::optional<HttpResponseMessage> Gateway::refuseHead(const HttpRequestMessage &head,
                                                       int &importance)
{
    if (!table_)
        return std::nullopt;
    const auto text = [](const auto &view) { return std::string_view(view.data(), view.size()); };
    const Route *route = table_->find(text(head[http::field::host]), text(head.target()));
    if (route == nullptr)
        return refusalAtArrival(head, http::status::not_found, "no-route", Duration{0});
    const Access access = accessFor(head, *table_, *route);
    importance = importanceOf(*route, access.team);
    return access.isAllowed() ? std::nullopt : std::optional(denial(head, access));
}

HttpResponseMessage Gateway::refusalAtArrival(const HttpRequestMessage &request,
                                              http::status status, std::string_view reason,
                                              Duration retryAfter) const
{
    const std::string id = headerText(request, settings_.headers.requestId);
    HttpResponseMessage message(status, 11);
    if (!id.empty())
        message.set(settings_.headers.requestId, id);
    if (retryAfter > Duration::zero())
        message.set(http::field::retry_after, retryAfterText(retryAfter));
    logEvent(Event::RequestRefused,
             {{"request", id}, {"status", static_cast<int>(status)}, {"reason", reason}});
    return message;
}

Access Gateway::accessFor(const HttpRequestMessage &request, const RouteTable &table,
                          const Route &route) const
{
    const auto found = request.find(settings_.headers.credentials);
    const std::string_view credentials = found == request.end()
            ? std::string_view()
            : std::string_view(found->value().data(), found->value().size());
    return accessOf(table, route, credentials, settings_.headers.credentialScheme);
}

HttpResponseMessage Gateway::denial(const HttpRequestMessage &request, const Access &access)
{
    const auto reason = enumName(accessVerdictNames, access.verdict);
    metrics_.increment("vane_gateway_access_denied_total", {{"reason", std::string(reason)}});
    // A request without a key is judged like one with a wrong key: the newest configuration may
    // have opened its route.
    const std::string credentials = headerText(request, settings_.headers.credentials);
    const Milliseconds age = configurationAge_ ? configurationAge_() : Milliseconds{0};
    if (unknownKeys_.judge(credentials, BootClock::now(), age) == KeyJudgement::Wrong)
        return refusalAtArrival(request, http::status::unauthorized, reason, Duration{0});
    return refusalAtArrival(request, http::status::service_unavailable, "key-not-known-yet",
                            confirmationTimeout);
}

void Gateway::setPolicy(PendingRequest &pending, std::shared_ptr<const RouteTable> table,
                        const Route &route, const Team *team)
{
    pending.policyTable = std::move(table);
    pending.team = team != nullptr ? team->name : std::string();
    pending.teamKey = team != nullptr ? team->id : 0;
    pending.homeRegions = homesOf(route, team);
}

Gateway::Pending Gateway::makePending(Call call, const Route &route, const Access &access)
{
    auto pending = std::make_shared<PendingRequest>(io_);
    const HttpRequestMessage &request = *call.request;
    pending->table = table_;
    pending->route = &route;
    pending->importance = importanceOf(route, access.team);
    setPolicy(*pending, table_, route, access.team);
    pending->service = splits_.next(route);
    pending->id = headerText(request, settings_.headers.requestId);
    if (const std::string key = headerText(request, settings_.headers.objectKey);
        route.objectAffinity && !key.empty())
        pending->object = reportKey(hash64(key, hash64(route.pathPrefix)));
    Milliseconds limit = route.timeLimit;
    if (auto deadline = parseMilliseconds(headerText(request, settings_.headers.deadlineMs)))
        limit = std::min(limit, *deadline);
    pending->aimAt = call.arrival + route.aim;
    pending->deadlineAt = call.arrival + limit;
    pending->call = std::move(call);
    ++pendingCount_;
    return pending;
}

void Gateway::enqueue(const Pending &pending)
{
    Queue &queue = queues_[pending->service];
    const TimePoint now = Clock::now();
    pending->plannedTarget = 0;
    if (pending->triedTargets.empty())
        countArrival(*pending, now);
    const auto position =
            std::find_if(queue.begin(), queue.end(), [&pending, now](const Pending &other) {
                return queueOrder(*other, now) > queueOrder(*pending, now);
            });
    queue.insert(position, pending);
}

void Gateway::dequeue(const Pending &pending)
{
    std::erase(queues_[pending->service], pending);
    if (pending->plannedTarget != 0)
        freedTargets_[pending->service].insert(pending->plannedTarget);
}

void Gateway::onCallerDisconnected(const Pending &pending)
{
    if (pending->done)
        return;
    const bool running = pending->exchange != nullptr;
    logEvent(Event::RequestEnded,
             {{"request", pending->id}, {"result", "caller-gone"}, {"running", running ? 1 : 0}});
    // An at-most-once request in flight is not cancelled: the caller wants its effect. It is not
    // sent again.
    if (running && pending->route->repeat != Repeat::Idempotent) {
        pending->callerGone = true;
        return;
    }
    if (running) {
        pending->exchange->cancel();
        releaseSlot(pending);
    } else {
        dequeue(pending);
        returnQuota(*pending);
    }
    pending->done = true;
    pending->deadlineTimer.cancel();
    --pendingCount_;
    schedulePass(pending->service, PassScope::Affected);
}

void Gateway::onDeadline(const Pending &pending)
{
    if (pending->exchange) {
        pending->exchange->cancel();
        ++pending->runs;
        ++pending->arrivals;
        releaseSlot(pending);
        schedulePass(pending->service, PassScope::Affected);
    } else {
        dequeue(pending);
    }
    if (pending->failureResponse)
        return deliver(pending, std::move(*pending->failureResponse), "target-failed");
    if (pending->runs > 0)
        return answerWithError(pending, http::status::gateway_timeout, "time-limit");
    refuse(pending, http::status::service_unavailable, "time-limit", Milliseconds{0});
}

void Gateway::scheduleFullPasses()
{
    for (const auto &[service, queue] : queues_) {
        if (!queue.empty())
            schedulePass(service, PassScope::All);
    }
}

void Gateway::scheduleThrottledPasses()
{
    if (isPassTimerSet_)
        return;
    if (Clock::now() >= earliestFullPass_)
        return scheduleFullPasses();
    isPassTimerSet_ = true;
    passTimer_.expires_at(earliestFullPass_);
    passTimer_.async_wait([this](const boost::system::error_code &ended) {
        isPassTimerSet_ = false;
        if (!ended)
            scheduleFullPasses();
    });
}

void Gateway::applyWarmObjects(const std::vector<WarmObject> &warmObjects)
{
    for (const auto &[hash, object] : warmObjects) {
        const auto target = registry_.findByHash(hash);
        if (!target)
            continue;
        target->receivedRequest = true;
        target->warmObjects.touch(object, WarmCapacityEstimator::maxObjects);
    }
}

void Gateway::fillReport(LoadReport &report) const
{
    report.teamUses = teamShares_.report(Clock::now());
    report.revision = table_ ? table_->revision() : 0;
    for (const auto &[service, queue] : queues_) {
        if (!queue.empty())
            report.queued[hash64(service)] = static_cast<int>(queue.size());
    }
    for (const auto &[hash, target] : registry_.all()) {
        if (target->inFlight > 0)
            report.inFlight[hash] = target->inFlight;
    }
    fillStatedSpeeds(report);
}

void Gateway::beginShutdown(const ShutdownWindow &window)
{
    shutdown_ = window;
    scheduleFullPasses();
    shutdownTimer_.expires_at(window.begin + shutdownSendTime);
    shutdownTimer_.async_wait([this](const boost::system::error_code &ended) {
        if (!ended)
            scheduleFullPasses();
    });
}

void Gateway::tick()
{
    for (const auto &[hash, target] : registry_.all()) {
        target->runTimeFactor += (1 - target->runTimeFactor) * decayPerTick;
        target->speed.decay(decayPerTick);
        target->failureRate *= 1 - decayPerTick;
    }
    pool_.expire(Clock::now());
    fleet_.expire(Clock::now());
    updateQuotaInstances();
    crashWatch_.expire(Clock::now());
    updateTeamShares(Clock::now());
    metrics_.set("vane_gateway_pending_requests", {}, static_cast<double>(pendingCount_));
    scheduleFullPasses();
}

void Gateway::notifyLoadChange(const WarmObject *warmObject)
{
    if (onLoadChange_)
        onLoadChange_(warmObject);
}

WarmCapacityEstimator &Gateway::warmCapacityOf(const std::string &service)
{
    return warmCapacities_.try_emplace(service, settings_.assumedWarmCapacity).first->second;
}

RetryLimiter &Gateway::retryLimiterOf(const std::string &service)
{
    return retryLimiters_.try_emplace(service, settings_.retryLimit).first->second;
}

} // namespace chestnutvane
