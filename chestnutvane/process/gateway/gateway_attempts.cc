// Attempts of requests at targets, and what follows from their ends.

#include <algorithm>

#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// A path that takes longer to open a connection is taken for cut; the first packet that is lost is
// sent again after a second, which is too late for most requests.
constexpr Milliseconds connectLimitInRegion{150};
constexpr Milliseconds connectLimitAcross{400};
// Idle connections are reused for a short time only, so that one that went silent is rarely met.
constexpr Milliseconds maxIdleConnection{4000};
constexpr std::size_t maxAnswerBytes = 16U << 20U;
// Connections that one request may fail to open before it is refused.
constexpr int maxConnectFailures = 4;
// First and longest time for which a target gets nothing after a failure.
constexpr Milliseconds firstAvoidance{300};
constexpr Milliseconds longestAvoidance{3000};
// For so long nothing is sent to a target that refused a request for lack of room.
constexpr Milliseconds fullPause{50};
// An address that belongs to another target is left alone until the next list of targets is there.
constexpr Milliseconds misdirectedPause{1500};
// Weights of one attempt in the moving averages of a target.
constexpr double failureWeight = 0.15;
constexpr double slownessWeight = 0.2;
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;
// The other instances are told again of an object that a target holds once this part of the objects
// that it keeps were served there since: before they would take it for forgotten.
constexpr std::size_t noteRenewal = 2;
// Refusals tell the caller to come back within these bounds.
constexpr Milliseconds atOnce{10};
constexpr Milliseconds shortestRetryAfter{10};

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// Removes the headers that concern one connection only.
template <class Message>
void eraseConnectionHeaders(Message &message)
{
    const std::string listed(message[http::field::connection]);
    std::size_t begin = 0;
    while (begin < listed.size()) {
        const std::size_t comma = std::min(listed.find(',', begin), listed.size());
        std::string name = listed.substr(begin, comma - begin);
        std::erase(name, ' ');
        if (!name.empty())
            message.erase(name);
        begin = comma + 1;
    }
    for (const auto field :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::te, http::field::trailer, http::field::transfer_encoding,
          http::field::upgrade, http::field::expect, http::field::content_length})
        message.erase(field);
}

void fadeIn(double &average, double sample, double weight)
{
    average += (sample - average) * weight;
}

} // namespace

void Gateway::send(const Pending &pending, const std::shared_ptr<Target> &target,
                   const Candidate &candidate, const WorkEstimate &work)
{
    const TimePoint now = Clock::now();
    pending->target = target;
    pending->sentWarm = candidate.warm;
    pending->sentWork = work;
    pending->tried.push_back(target->hash);
    target->used = true;
    ++target->inFlight;
    if (target->coldUntil > now) {
        constexpr std::chrono::seconds paceWindow{1};
        coldSends_.try_emplace(target->hash, paceWindow).first->second.add(now);
    }
    WarmObject note{target->hash, pending->object};
    pending->sentDepth = target->warm.depth(pending->object);
    if (pending->object != 0)
        target->warm.touch(pending->object, KeptObjects::most);
    ExchangeRequest request;
    request.address = target->entry.address;
    request.message = makeMessage(*pending, *target, now);
    request.requestId = pending->id;
    request.names = settings_.headers;
    request.connectLimit = target->region == region_ ? connectLimitInRegion : connectLimitAcross;
    request.limit = pending->limitAt + std::chrono::seconds(1); // the request's own timer is first
    request.maxAnswerBytes = maxAnswerBytes;
    request.maxIdle = maxIdleConnection;
    metrics_.increment("vane_gateway_sends_total",
                       {{"service", pending->service},
                        {"region", target->region},
                        {"warm", candidate.warm ? "yes" : "no"}});
    logEvent(Event::RequestRouted,
             {{"request", pending->id},
              {"route", pending->route->name},
              {"target", target->entry.id},
              {"region", target->region},
              {"revision", pending->table->revision()},
              {"object", pending->object},
              {"warm", candidate.warm ? 1 : 0},
              {"load", candidate.load},
              {"slots", candidate.slots},
              {"targets", pending->candidates},
              {"queued", pending->queued},
              {"oldest-report-ms", toMilliseconds(fleet_.oldestReportAge(now))},
              {"waited-ms", toMilliseconds(now - pending->call.arrival)},
              {"expected-ms", toMilliseconds(expectedAnswer(candidate, work))}});
    pending->exchange = TargetExchange::start(
            io_, pool_, std::move(request),
            [this, pending](ExchangeResult result) { onResult(pending, std::move(result)); });
    const bool isNews = !pending->sentDepth
            || *pending->sentDepth >= keptObjects(pending->service).kept() / noteRenewal;
    changed(pending->object != 0 && isNews ? &note : nullptr);
}

std::shared_ptr<HttpRequestMessage> Gateway::makeMessage(const PendingRequest &pending,
                                                         const Target &target, TimePoint now) const
{
    auto message = std::make_shared<HttpRequestMessage>(*pending.call.request);
    eraseConnectionHeaders(*message);
    message->version(11);
    const auto left = std::max<std::int64_t>(toMilliseconds(pending.limitAt - now), 1);
    message->set(settings_.headers.deadlineMs, std::to_string(left));
    message->set(settings_.headers.expectedTarget, target.entry.id);
    if (!message->body().empty() || message->method() != http::verb::get)
        message->content_length(message->body().size());
    return message;
}

void Gateway::release(const Pending &pending)
{
    --pending->target->inFlight;
    freedTargets_[pending->service].insert(pending->target->hash);
    pending->exchange = nullptr;
    changed(nullptr);
}

void Gateway::onResult(const Pending &pending, ExchangeResult result)
{
    const auto target = pending->target;
    release(pending);
    if (result.connectTime) {
        auto &known =
                roundTrips_.try_emplace(target->entry.zone, *result.connectTime).first->second;
        constexpr int weight = 8; // about the last 8 connections count
        known += (*result.connectTime - known) / weight;
    }
    const Duration run = std::max<Duration>(result.elapsed - roundTrip(*target), Duration{0});
    if (auto *answer = std::get_if<TargetAnswer>(&result.outcome))
        onAnswer(pending, std::move(*answer), run);
    else
        onFailure(pending, std::get<ExchangeError>(result.outcome), result.reused);
    schedulePump(pending->service, LookScope::Concerned);
}

void Gateway::onAnswer(const Pending &pending, TargetAnswer answer, Duration run)
{
    const TimePoint now = Clock::now();
    Target &target = *pending->target;
    ++pending->arrivals;
    constexpr unsigned firstFailureStatus = 500;
    const unsigned status = answer.message.result_int();
    if (answer.notRun) {
        fadeIn(target.failureRate, 1, failureWeight);
        if (answer.otherTarget) {
            target.avoidedUntil = now + misdirectedPause;
            return retryOrAnswer(pending, "misdirected");
        }
        // A target that refuses requests beside free slots fails; a pause would waste its slots.
        const bool isFull = answer.load ? answer.load->running >= answer.load->slots
                                        : target.inFlight + 1 >= target.entry.slots;
        if (isFull)
            target.fullUntil = now + fullPause;
        pending->refusedBesideRoom = !isFull;
        return retryOrAnswer(pending, isFull ? "target-full" : "target-refused");
    }
    ++pending->runs;
    if (!crashes_.isEmpty())
        crashes_.onAnswered(identityOf(*pending), now);
    if (target.failuresInRow > 0)
        target.failuresInRow = 0;
    fadeIn(target.failureRate, status >= firstFailureStatus ? 1 : 0, failureWeight);
    if (status >= firstFailureStatus) {
        pending->failedAnswer = std::move(answer.message);
        return retryOrAnswer(pending, "target-failed");
    }
    const Seconds expected = pending->sentWarm ? pending->sentWork.warm : pending->sentWork.cold;
    const bool cold = target.coldUntil > now;
    if (!cold && expected.count() > 0) {
        const double ratio = std::clamp(Seconds(run) / expected, minSlowness, maxSlowness);
        fadeIn(target.slowness, ratio, slownessWeight);
        constexpr double soundTarget = 1.5; // times of slow targets would spoil the estimate
        if (target.slowness < soundTarget) {
            const bool fast = WorkTimes::wasWarm(pending->sentWork, run);
            times_.learn(pending->route->name, pending->service, fast, run);
            if (pending->sentDepth)
                keptObjects(pending->service).learn(*pending->sentDepth, fast);
        }
    }
    metrics_.observe(pending->route->name, now - pending->call.arrival);
    deliver(pending, std::move(answer.message), "ran");
}

void Gateway::onFailure(const Pending &pending, const ExchangeError &failure, bool reused)
{
    const TimePoint now = Clock::now();
    const bool reached = failure.mayHaveRun;
    if (reached) {
        ++pending->arrivals;
        ++pending->runs;
    } else {
        ++pending->connectFailures;
    }
    if (failure.failure == ExchangeFailure::ConnectionLost && reached)
        crashes_.onLost(identityOf(*pending), pending->target->hash, now);
    else if (failure.failure == ExchangeFailure::ConnectFailed)
        chargeLost(pending->target->hash); // its process does not listen any more
    blame(*pending->target, failure, reused, now);
    retryOrAnswer(pending, enumName(exchangeFailureNames, failure.failure));
}

// Identifies what a caller asks for, also when it asks again. The caller counts, so that those who
// ask for the same page do not answer for each other.
std::uint64_t Gateway::identityOf(const PendingRequest &pending)
{
    const HttpRequestMessage &request = *pending.call.request;
    const auto text = [](const auto &view) { return std::string_view(view.data(), view.size()); };
    const Fingerprint print = fingerprint({.service = text(request[http::field::host]),
                                           .method = text(request.method_string()),
                                           .path = text(request.target()),
                                           .body = {request.body().data(), request.body().size()}});
    const std::string_view caller(pending.call.peer);
    return hash64(caller.substr(0, caller.rfind(':')), print.low);
}

bool Gateway::isCrashSuspect(const PendingRequest &pending) const
{
    return !crashes_.isEmpty() && !crashes_.mayBeSent(identityOf(pending), Clock::now());
}

// Charges the requests that were lost at a target with its crash.
void Gateway::chargeLost(std::uint64_t target)
{
    const auto known = registry_.findByHash(target);
    for (const std::uint64_t request : crashes_.onDown(target, Clock::now())) {
        logEvent(Event::CrashCharged,
                 {{"service", known ? known->entry.service : std::string()},
                  {"target", known ? known->entry.id : std::string()},
                  {"fingerprint", request}});
    }
}

void Gateway::blame(Target &target, const ExchangeError &failure, bool reused, TimePoint now)
{
    fadeIn(target.failureRate, 1, failureWeight);
    if (failure.failure == ExchangeFailure::ConnectionLost) {
        pool_.drop(target.entry.address);
        if (reused)
            return; // an idle connection may end at any moment
    }
    if (failure.failure == ExchangeFailure::Garbled)
        return;
    ++target.failuresInRow;
    if (failure.failure == ExchangeFailure::ConnectFailed)
        target.warm.clear(); // no process listens: a later one knows no object
    constexpr int maxDoublings = 4;
    const auto pause = firstAvoidance * (1 << std::min(target.failuresInRow - 1, maxDoublings));
    target.avoidedUntil = now + std::min(longestAvoidance, Milliseconds(pause));
    logEvent(Event::TargetAvoided,
             {{"target", target.entry.id},
              {"reason", enumName(exchangeFailureNames, failure.failure)},
              {"failures", target.failuresInRow},
              {"for-ms", toMilliseconds(target.avoidedUntil - now)}});
}

void Gateway::retryOrAnswer(const Pending &pending, std::string_view reason)
{
    const TimePoint now = Clock::now();
    const Route &route = *pending->route;
    const bool mayRepeat = pending->runs == 0 || route.repeat == Repeat::Idempotent;
    const bool triedNow = reason != "no-room" && reason != "no-target";
    const bool attemptsLeft = std::max(pending->runs, pending->arrivals) < route.maxAttempts
            && pending->connectFailures < maxConnectFailures;
    if (triedNow && mayRepeat && attemptsLeft && now < pending->limitAt
        && !isCrashSuspect(*pending)) {
        const bool needsBudget = pending->arrivals > 0;
        if (!needsBudget || retryWindow(pending->service).take(now, fleet_.peers().size() + 1)) {
            metrics_.increment("vane_gateway_retries_total", {{"reason", std::string(reason)}});
            logEvent(Event::RequestRetried,
                     {{"request", pending->id},
                      {"reason", reason},
                      {"runs", pending->runs},
                      {"window-requests", retryWindow(pending->service).requests(now)},
                      {"window-retries", retryWindow(pending->service).retries(now)},
                      {"instances", fleet_.peers().size() + 1}});
            enqueue(pending);
            return schedulePump(pending->service, LookScope::Concerned);
        }
    }
    if (pending->failedAnswer)
        return deliver(pending, std::move(*pending->failedAnswer), "target-failed");
    if (pending->runs > 0)
        return answerOwn(pending, http::status::bad_gateway, reason);
    const auto work = times_.estimate(route.name, pending->service, route.aim);
    // A target that refuses beside free slots does so at random, so the next attempt may come at
    // once; a slot of a full service is free after about a run.
    refuse(pending, reason, pending->refusedBesideRoom ? Duration(atOnce) : work.mean);
}

void Gateway::deliver(const Pending &pending, HttpResponseMessage message, std::string_view outcome)
{
    constexpr unsigned firstErrorStatus = 500;
    logEvent(message.result_int() < firstErrorStatus ? Event::RequestServed : Event::RequestEnded,
             {{"request", pending->id},
              {"result", outcome},
              {"status", message.result_int()},
              {"target", pending->target->entry.id},
              {"arrivals", pending->arrivals},
              {"ms", toMilliseconds(Clock::now() - pending->call.arrival)}});
    metrics_.increment("vane_gateway_requests_total",
                       {{"route", pending->route->name}, {"result", std::string(outcome)}});
    eraseConnectionHeaders(message);
    finish(pending, std::move(message));
}

void Gateway::refuse(const Pending &pending, std::string_view reason, Duration retryAfter)
{
    HttpResponseMessage message(http::status::service_unavailable, 11);
    const auto wait =
            std::clamp(retryAfter, Duration(shortestRetryAfter), Duration(longestRetryAfter));
    const std::string seconds = std::to_string(Seconds(wait).count());
    message.set(http::field::retry_after, seconds.substr(0, seconds.find('.') + 3));
    logEvent(Event::RequestRefused,
             {{"request", pending->id},
              {"route", pending->route->name},
              {"status", message.result_int()},
              {"reason", reason},
              {"outcome", "not-run"},
              {"arrivals", pending->arrivals},
              {"targets", pending->candidates},
              {"queued", pending->queued},
              {"expected-ms", toMilliseconds(pending->expected)},
              {"aim-left-ms", toMilliseconds(pending->aimAt - Clock::now())},
              {"revision", pending->table->revision()},
              {"retry-after-ms", toMilliseconds(wait)},
              {"ms", toMilliseconds(Clock::now() - pending->call.arrival)}});
    metrics_.increment("vane_gateway_requests_total",
                       {{"route", pending->route->name}, {"result", "refused"}});
    finish(pending, std::move(message));
}

void Gateway::answerOwn(const Pending &pending, http::status status, std::string_view reason)
{
    logEvent(Event::RequestEnded,
             {{"request", pending->id},
              {"result", reason},
              {"status", static_cast<int>(status)},
              {"outcome", "unknown"},
              {"target", pending->target->entry.id},
              {"warm", pending->sentWarm ? 1 : 0},
              {"expected-ms", toMilliseconds(pending->expected)},
              {"arrivals", pending->arrivals},
              {"ms", toMilliseconds(Clock::now() - pending->call.arrival)}});
    metrics_.increment("vane_gateway_requests_total",
                       {{"route", pending->route->name}, {"result", "failed"}});
    finish(pending, HttpResponseMessage(status, 11));
}

void Gateway::finish(const Pending &pending, HttpResponseMessage message)
{
    if (std::exchange(pending->done, true))
        return;
    --pending_;
    pending->limitTimer.cancel();
    if (!pending->id.empty())
        message.set(settings_.headers.requestId, pending->id);
    pending->call.answer(std::move(message));
}

} // namespace chestnutvane
