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

// Time that a target's own answer at the deadline may take on its way back.
constexpr Milliseconds limitMargin{60};
// Share by which old failures of a target lose weight with each tick, so that it is tried again.
constexpr double fadePerTick = 0.05;

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

// Counts of an earlier start of the instance are those of another counter.
HolderId newCounter(const std::string &instanceId)
{
    return {hash64(instanceId), std::random_device{}()};
}

// Late requests go last: they take no slot from one that can still meet its aim.
auto queueOrder(const PendingRequest &pending, TimePoint now)
{
    return std::tuple(pending.aimAt <= now, pending.route->importance, pending.call.arrival);
}

} // namespace

Gateway::Gateway(net::io_context &io, const GatewaySettings &settings, Metrics &metrics)
    : io_(io), settings_(settings), metrics_(metrics), region_(settings.regionOf(settings.zone)),
      registry_(settings.zoneRegions), lookTimer_(io),
      crashes_(newCounter(settings.instanceId), region_)
{ }

void Gateway::handle(Call call)
{
    const HttpRequestMessage &request = *call.request;
    const std::string id = headerText(request, settings_.headers.requestId);
    const auto answerNow = [&](http::status status, std::string_view reason) {
        HttpResponseMessage message(status, 11);
        if (!id.empty())
            message.set(settings_.headers.requestId, id);
        constexpr const char *retrySoon = "0.3"; // seconds; a start takes about as long
        if (status == http::status::service_unavailable)
            message.set(http::field::retry_after, retrySoon);
        logEvent(Event::RequestRefused,
                 {{"request", id}, {"status", static_cast<int>(status)}, {"reason", reason}});
        call.answer(std::move(message));
    };
    if (!table_)
        return answerNow(http::status::service_unavailable, "no-configuration");
    const Route *route = table_->find(
            std::string_view(request[http::field::host].data(), request[http::field::host].size()),
            std::string_view(request.target().data(), request.target().size()));
    if (route == nullptr)
        return answerNow(http::status::not_found, "no-route");
    const auto pending = makePending(std::move(call), *route);
    pending->call.onGone([this, pending] { onGone(pending); });
    pending->limitTimer.expires_at(pending->limitAt + limitMargin);
    pending->limitTimer.async_wait([this, pending](const boost::system::error_code &ended) {
        if (!ended && !pending->done)
            onLimit(pending);
    });
    retryWindow(pending->service).onRequest(pending->call.arrival);
    if (isCrashSuspect(*pending))
        return refuse(pending, "crash-suspect", longestRetryAfter);
    enqueue(pending);
    pump(pending->service, LookScope::Concerned);
}

Gateway::Pending Gateway::makePending(Call call, const Route &route)
{
    auto pending = std::make_shared<PendingRequest>(io_);
    const HttpRequestMessage &request = *call.request;
    pending->table = table_;
    pending->route = &route;
    pending->service = splits_.next(route);
    pending->id = headerText(request, settings_.headers.requestId);
    if (const std::string key = headerText(request, settings_.headers.objectKey);
        route.objectAffinity && !key.empty())
        pending->object = reportKey(hash64(key, hash64(route.pathPrefix)));
    Milliseconds limit = route.timeLimit;
    if (auto deadline = parseMilliseconds(headerText(request, settings_.headers.deadlineMs)))
        limit = std::min(limit, *deadline);
    pending->aimAt = call.arrival + route.aim;
    pending->limitAt = call.arrival + limit;
    pending->call = std::move(call);
    ++pending_;
    return pending;
}

void Gateway::enqueue(const Pending &pending)
{
    Queue &queue = queues_[pending->service];
    const TimePoint now = Clock::now();
    pending->plannedTarget = 0;
    const auto position =
            std::find_if(queue.begin(), queue.end(), [&pending, now](const Pending &other) {
                return queueOrder(*other, now) > queueOrder(*pending, now);
            });
    queue.insert(position, pending);
}

void Gateway::leaveQueue(const Pending &pending)
{
    std::erase(queues_[pending->service], pending);
    if (pending->plannedTarget != 0)
        freedTargets_[pending->service].insert(pending->plannedTarget);
}

void Gateway::onGone(const Pending &pending)
{
    if (pending->done)
        return;
    const bool running = pending->exchange != nullptr;
    logEvent(Event::RequestEnded,
             {{"request", pending->id}, {"result", "caller-gone"}, {"running", running ? 1 : 0}});
    // An at-most-once request that a target works on is left to end: its effect is wanted.
    if (running && pending->route->repeat != Repeat::Idempotent)
        return;
    if (running) {
        pending->exchange->cancel();
        release(pending);
    } else {
        leaveQueue(pending);
    }
    pending->done = true;
    pending->limitTimer.cancel();
    --pending_;
    schedulePump(pending->service, LookScope::Concerned);
}

void Gateway::onLimit(const Pending &pending)
{
    if (pending->exchange) {
        pending->exchange->cancel();
        ++pending->runs;
        ++pending->arrivals;
        release(pending);
        schedulePump(pending->service, LookScope::Concerned);
    } else {
        leaveQueue(pending);
    }
    if (pending->failedAnswer)
        return deliver(pending, std::move(*pending->failedAnswer), "target-failed");
    if (pending->runs > 0)
        return answerOwn(pending, http::status::gateway_timeout, "time-limit");
    refuse(pending, "time-limit", Milliseconds{0});
}

void Gateway::reconsider()
{
    for (const auto &[service, queue] : queues_) {
        if (!queue.empty())
            schedulePump(service, LookScope::All);
    }
}

void Gateway::reconsiderLater()
{
    if (lookArranged_)
        return;
    if (Clock::now() >= nextLook_)
        return reconsider();
    lookArranged_ = true;
    lookTimer_.expires_at(nextLook_);
    lookTimer_.async_wait([this](const boost::system::error_code &ended) {
        lookArranged_ = false;
        if (!ended)
            reconsider();
    });
}

void Gateway::noteWarm(const std::vector<WarmObject> &notes)
{
    for (const auto &[hash, object] : notes) {
        const auto target = registry_.findByHash(hash);
        if (!target)
            continue;
        target->used = true;
        target->warm.touch(object, KeptObjects::most);
    }
}

void Gateway::fillReport(LoadReport &report) const
{
    report.revision = table_ ? table_->revision() : 0;
    for (const auto &[service, queue] : queues_) {
        if (!queue.empty())
            report.queued[hash64(service)] = static_cast<int>(queue.size());
    }
    for (const auto &[hash, target] : registry_.all()) {
        if (target->inFlight > 0)
            report.inFlight[hash] = target->inFlight;
    }
}

void Gateway::tick()
{
    for (const auto &[hash, target] : registry_.all()) {
        target->slowness += (1 - target->slowness) * fadePerTick;
        target->failureRate *= 1 - fadePerTick;
    }
    pool_.expire(Clock::now());
    fleet_.expire(Clock::now());
    crashes_.expire(Clock::now());
    metrics_.set("vane_gateway_pending_requests", {}, static_cast<double>(pending_));
    reconsider();
}

void Gateway::changed(const WarmObject *note)
{
    if (onChange_)
        onChange_(note);
}

KeptObjects &Gateway::keptObjects(const std::string &service)
{
    return kept_.try_emplace(service, settings_.warmObjects).first->second;
}

RetryWindow &Gateway::retryWindow(const std::string &service)
{
    return retryWindows_.try_emplace(service, settings_.retryBound).first->second;
}

} // namespace chestnutvane
