// Attempts of requests at targets, and the handling of their results.

#include <algorithm>

#include "chestnutvane/base/hash.h"
#include "chestnutvane/connection/port_probe.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// Connect timeouts, after which the path counts as broken. A lost first packet is retransmitted
// after 1 s, which is too late for most requests.
constexpr Milliseconds connectTimeoutInRegion{150};
constexpr Milliseconds connectTimeoutCrossRegion{400};
// Idle connections are reused for a short time only, to make a dead one unlikely.
constexpr Milliseconds maxConnectionIdleTime{4000};
constexpr std::size_t maxAnswerBytes = 16U << 20U;
// Failed connection attempts after which a request is refused.
constexpr int maxConnectFailures = 4;
// Initial and longest back-off of a target after failures.
constexpr Milliseconds initialBackOff{300};
constexpr Milliseconds maxBackOff{3000};
// Back-off after a target refused a request because its slots were full.
constexpr Milliseconds fullBackOff{50};
// Back-off for an address of another target; the next list of targets arrives within it.
constexpr Milliseconds misdirectedBackOff{1500};
// Weights of one attempt in moving averages.
constexpr double failureWeight = 0.15;
constexpr double responseSizeWeight = 0.1;
// A warm object is reported to the other instances again after capacity / warmReportRenewalDivisor
// other objects, before they would consider it evicted.
constexpr std::size_t warmReportRenewalDivisor = 2;
// Lower limit of the Retry-After time in refusals.
constexpr Milliseconds minRetryAfter{10};

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

template <class Message>
void eraseHopByHopHeaders(Message &message)
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

// Whether callers take an answer with this status as the promise that the request has not run.
bool promisesNotRun(http::status status)
{
    return status == http::status::request_timeout || status == http::status::misdirected_request
            || status == http::status::too_many_requests
            || status == http::status::service_unavailable;
}

void updateAverage(double &average, double sample, double weight)
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
    pending->sentAhead = candidate.load >= candidate.slots;
    pending->sentEstimate = work;
    pending->triedTargets.push_back(target->hash);
    target->receivedRequest = true;
    ++target->inFlight;
    teamShares_.onSent(pending->teamKey, work.mean, now);
    if (target->coldStartUntil > now) {
        constexpr std::chrono::seconds rateWindow{1};
        coldStartAttempts_.try_emplace(target->hash, rateWindow).first->second.add(now);
    }
    WarmObject warmObject{target->hash, pending->object};
    pending->sentObjectDepth = target->warmObjects.depth(pending->object);
    if (pending->object != 0)
        target->warmObjects.touch(pending->object, WarmCapacityEstimator::maxObjects);
    ExchangeRequest request;
    request.address = target->entry.address;
    request.message = makeMessage(*pending, *target, now);
    request.requestId = pending->id;
    request.names = settings_.headers;
    request.connectLimit =
            target->region == region_ ? connectTimeoutInRegion : connectTimeoutCrossRegion;
    request.limit = pending->deadlineAt + std::chrono::seconds(1); // deadlineTimer fires first
    request.maxAnswerBytes = maxAnswerBytes;
    request.maxIdle = maxConnectionIdleTime;
    metrics_.increment("vane_gateway_sends_total",
                       {{"service", pending->service},
                        {"region", target->region},
                        {"warm", candidate.warm ? "yes" : "no"}});
    logEvent(Event::RequestRouted,
             {{"request", pending->id},
              {"route", pending->route->name},
              {"team", pending->team},
              {"target", target->entry.id},
              {"region", target->region},
              {"revision", pending->table->revision()},
              {"object", pending->object},
              {"warm", candidate.warm ? 1 : 0},
              {"load", candidate.load},
              {"slots", candidate.slots},
              {"targets", pending->candidateCount},
              {"queued", pending->queueSize},
              {"oldest-report-ms", toMilliseconds(fleet_.oldestReportAge(now))},
              {"waited-ms", toMilliseconds(now - pending->call.arrival)},
              {"expected-ms", toMilliseconds(estimateResponseTime(candidate, work))}});
    pending->exchange = TargetExchange::start(
            io_, pool_, std::move(request),
            [this, pending](ExchangeResult result) { onResult(pending, std::move(result)); });
    const bool isWarmReportDue = !pending->sentObjectDepth
            || *pending->sentObjectDepth
                    >= warmCapacityOf(pending->service).warmCapacity() / warmReportRenewalDivisor;
    notifyLoadChange(pending->object != 0 && isWarmReportDue ? &warmObject : nullptr);
}

std::shared_ptr<HttpRequestMessage> Gateway::makeMessage(const PendingRequest &pending,
                                                         const Target &target, TimePoint now) const
{
    auto message = std::make_shared<HttpRequestMessage>(*pending.call.request);
    eraseHopByHopHeaders(*message);
    message->version(11);
    const auto left = std::max<std::int64_t>(toMilliseconds(pending.deadlineAt - now), 1);
    message->set(settings_.headers.deadlineMs, std::to_string(left));
    message->set(settings_.headers.expectedTarget, target.entry.id);
    if (!pending.table->teams().isEmpty() || !pending.policyTable->teams().isEmpty()) {
        message->erase(settings_.headers.credentials);
        message->erase(settings_.headers.team);
        if (!pending.team.empty())
            message->set(settings_.headers.team, pending.team);
    }
    if (!message->body().empty() || message->method() != http::verb::get)
        message->content_length(message->body().size());
    return message;
}

void Gateway::releaseSlot(const Pending &pending)
{
    --pending->target->inFlight;
    freedTargets_[pending->service].insert(pending->target->hash);
    pending->exchange = nullptr;
    notifyLoadChange(nullptr);
}

void Gateway::onResult(const Pending &pending, ExchangeResult result)
{
    const auto target = pending->target;
    releaseSlot(pending);
    if (result.connectTime) {
        auto &roundTripAverage =
                roundTrips_.try_emplace(target->entry.zone, *result.connectTime).first->second;
        constexpr int weight = 8; // covers about the last 8 connections
        roundTripAverage += (*result.connectTime - roundTripAverage) / weight;
    }
    const Duration run = std::max<Duration>(result.elapsed - roundTrip(*target), Duration{0});
    if (auto *answer = std::get_if<TargetAnswer>(&result.outcome))
        onAnswer(pending, std::move(*answer), run);
    else
        onFailure(pending, std::get<ExchangeError>(result.outcome), result.reused);
    schedulePass(pending->service, PassScope::Affected);
}

void Gateway::onAnswer(const Pending &pending, TargetAnswer answer, Duration run)
{
    const TimePoint now = Clock::now();
    Target &target = *pending->target;
    applyTargetWord(*pending, answer, now);
    hearSpeed(target, answer, now);
    ++pending->arrivals;
    constexpr unsigned firstFailureStatus = 500;
    const unsigned status = answer.message.result_int();
    if (answer.notRun) {
        updateAverage(target.failureRate, 1, failureWeight);
        if (answer.otherTarget) {
            chargeLostRequests(target.hash); // another process listens at its address
            target.backOffUntil = now + misdirectedBackOff;
            return retryOrAnswer(pending, "misdirected");
        }
        // A refusal with free slots counts as a failure; a back-off would leave the slots unused.
        const bool isFull = answer.load ? answer.load->running >= answer.load->slots
                                        : target.inFlight + 1 >= target.entry.slots;
        if (isFull)
            target.fullUntil = now + fullBackOff;
        pending->refusedWithFreeSlot = !isFull;
        return retryOrAnswer(pending, isFull ? "target-full" : "target-refused");
    }
    ++pending->runs;
    if (!crashWatch_.isEmpty())
        crashWatch_.onAnswered(requestFingerprint(*pending), now);
    if (target.consecutiveFailures > 0)
        target.consecutiveFailures = 0;
    updateAverage(target.failureRate, status >= firstFailureStatus ? 1 : 0, failureWeight);
    if (status >= firstFailureStatus) {
        pending->failureResponse = std::move(answer.message);
        return retryOrAnswer(pending, "target-failed");
    }
    if (isPlacedByWork(pending->service))
        learnWork(*pending, answer, run, now);
    else
        learnRunTime(*pending, run, now);
    const auto bodyBytes = static_cast<double>(answer.message.body().size());
    updateAverage(responseSizes_.try_emplace(pending->route->name, bodyBytes).first->second,
                  bodyBytes, responseSizeWeight);
    metrics_.observe(pending->route->name, now - pending->call.arrival);
    deliver(pending, std::move(answer.message), "ran");
}

void Gateway::applyTargetWord(const PendingRequest &pending, const TargetAnswer &answer,
                              TimePoint now)
{
    // Another target speaks of itself in a misdirected answer.
    const auto speaker = answer.otherTarget
            ? registry_.findByHash(reportKey(hash64(answer.answeredBy)))
            : pending.target;
    if (answer.leaving && speaker && speaker->entry.address == pending.target->entry.address)
        markLeaving(*speaker, pending.id, now);
    if (answer.otherTarget || answer.retryAfter.rule == RetryAfterRule::Absent)
        return;
    Target &target = *pending.target;
    const auto &[pause, rule] = answer.retryAfter;
    logEvent(Event::TargetPaused,
             {{"target", target.entry.id},
              {"request", pending.id},
              {"rule", enumName(retryAfterRuleNames, rule)},
              {"for-ms", toMilliseconds(pause)}});
    metrics_.increment("vane_gateway_target_pauses_total",
                       {{"rule", std::string(enumName(retryAfterRuleNames, rule))}});
    if (pause <= Duration::zero())
        return;
    target.pausedUntil = std::max(target.pausedUntil, now + pause);
    freedTargets_[pending.service].insert(target.hash); // places anew what waits for it
}

void Gateway::markLeaving(Target &target, const std::string &requestId, TimePoint now)
{
    pool_.drop(target.entry.address);
    if (target.leavingSince)
        return;
    target.leavingSince = now;
    target.warmObjects.clear();
    freedTargets_[target.entry.service].insert(target.hash); // places anew what waits for it
    logEvent(Event::TargetLeaving,
             {{"target", target.entry.id},
              {"request", requestId},
              {"drain-ms", settings_.drainTime.count()}});
    metrics_.increment("vane_gateway_targets_leaving_total", {{"service", target.entry.service}});
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
    if (failure.failure == ExchangeFailure::ConnectionLost && reached) {
        crashWatch_.onAttemptLost(requestFingerprint(*pending), pending->target->hash, now);
        probeAfterLoss(*pending->target, now);
    } else if (failure.failure == ExchangeFailure::ConnectFailed) {
        chargeLostRequests(pending->target->hash); // no process listens any more
    }
    recordFailure(*pending->target, failure, reused, now);
    retryOrAnswer(pending, enumName(exchangeFailureNames, failure.failure));
}

// Identifies a caller's request, also when it is repeated. The hash includes the caller, and its
// team, so that equal requests of others are not charged.
std::uint64_t Gateway::requestFingerprint(const PendingRequest &pending)
{
    const HttpRequestMessage &request = *pending.call.request;
    const auto text = [](const auto &view) { return std::string_view(view.data(), view.size()); };
    const Fingerprint print = fingerprint({.service = text(request[http::field::host]),
                                           .method = text(request.method_string()),
                                           .path = text(request.target()),
                                           .body = {request.body().data(), request.body().size()}});
    const std::string_view caller(pending.call.peer);
    return hash64(caller.substr(0, caller.rfind(':')), print.low ^ pending.teamKey);
}

bool Gateway::isCrashSuspect(const PendingRequest &pending) const
{
    return !crashWatch_.isEmpty()
            && !crashWatch_.mayBeSent(requestFingerprint(pending), Clock::now());
}

// Charges the requests that were lost at a target with the crash of that target.
void Gateway::chargeLostRequests(std::uint64_t target)
{
    const auto registered = registry_.findByHash(target);
    const auto charged = crashWatch_.onTargetDown(target, Clock::now());
    if (!charged.empty() && onCrashCharged_)
        onCrashCharged_();
    for (const std::uint64_t request : charged) {
        logEvent(Event::CrashCharged,
                 {{"service", registered ? registered->entry.service : std::string()},
                  {"target", registered ? registered->entry.id : std::string()},
                  {"fingerprint", request}});
    }
}

// Most crashes are followed by seconds in which no process listens. Without the probe, only another
// request for the target, or its entry in the store, would tell.
void Gateway::probeAfterLoss(Target &target, TimePoint now)
{
    constexpr Milliseconds probeInterval{300};
    // A process that ends closes its connections and its port in any order.
    constexpr ProbeTimes probeTimes{.delay = Milliseconds(100), .limit = Milliseconds(500)};
    if (now < target.nextProbeAt || target.pausedUntil > now)
        return;
    target.nextProbeAt = now + probeInterval;
    probePort(io_, target.entry.address, probeTimes,
              [this, alive = std::weak_ptr(lifetime_), hash = target.hash,
               id = target.entry.id](PortState state) {
                  if (alive.expired())
                      return;
                  const std::string result(enumName(portStateNames, state));
                  logEvent(Event::TargetProbeEnded, {{"target", id}, {"result", result}});
                  metrics_.increment("vane_gateway_probes_total", {{"result", result}});
                  if (state == PortState::Closed)
                      chargeLostRequests(hash);
              });
}

void Gateway::recordFailure(Target &target, const ExchangeError &failure, bool reused,
                            TimePoint now)
{
    updateAverage(target.failureRate, 1, failureWeight);
    if (failure.failure == ExchangeFailure::ConnectionLost) {
        pool_.drop(target.entry.address);
        if (reused)
            return; // a target may close an idle connection at any time
    }
    if (failure.failure == ExchangeFailure::Garbled)
        return;
    ++target.consecutiveFailures;
    if (failure.failure == ExchangeFailure::ConnectFailed)
        target.warmObjects.clear(); // no process listens, and a new one holds no objects
    constexpr int maxDoublings = 4;
    const auto backOff =
            initialBackOff * (1 << std::min(target.consecutiveFailures - 1, maxDoublings));
    target.backOffUntil = now + std::min(maxBackOff, Milliseconds(backOff));
    logEvent(Event::TargetAvoided,
             {{"target", target.entry.id},
              {"reason", enumName(exchangeFailureNames, failure.failure)},
              {"failures", target.consecutiveFailures},
              {"for-ms", toMilliseconds(target.backOffUntil - now)}});
}

void Gateway::retryOrAnswer(const Pending &pending, std::string_view reason)
{
    const TimePoint now = Clock::now();
    const Route &route = *pending->route;
    const bool isRepeatable = pending->runs == 0 || route.repeat == Repeat::Idempotent;
    const bool attemptsLeft = std::max(pending->runs, pending->arrivals) < route.maxAttempts
            && pending->connectFailures < maxConnectFailures;
    if (!pending->callerGone && isRepeatable && attemptsLeft && now < pending->deadlineAt
        && !isCrashSuspect(*pending)) {
        const bool needsBudget = pending->arrivals > 0;
        if (!needsBudget || retryLimiterOf(pending->service).tryAcquire(now, instanceCount(now))) {
            metrics_.increment("vane_gateway_retries_total", {{"reason", std::string(reason)}});
            logEvent(Event::RequestRetried,
                     {{"request", pending->id},
                      {"reason", reason},
                      {"runs", pending->runs},
                      {"window-requests", retryLimiterOf(pending->service).requests(now)},
                      {"window-retries", retryLimiterOf(pending->service).retries(now)},
                      {"instances", areInstancesKnown(now) ? instanceCount(now) : 0}});
            enqueue(pending);
            return schedulePass(pending->service, PassScope::Affected);
        }
    }
    // A target that refuses while slots are free does so at random, so the caller may retry at
    // once. If all slots are full, one is free after about a run.
    const auto work = runTimes_.estimate(route.name, pending->service, route.aim);
    answerUnserved(pending, reason,
                   pending->refusedWithFreeSlot ? immediateRetryAfter
                                                : retryAfterForRoom(*pending, work, now));
}

void Gateway::answerUnserved(const Pending &pending, std::string_view reason, Duration retryAfter)
{
    if (pending->failureResponse)
        return deliver(pending, std::move(*pending->failureResponse), "target-failed");
    if (pending->runs > 0)
        return answerWithError(pending, http::status::bad_gateway, reason);
    refuse(pending, http::status::service_unavailable, reason, retryAfter);
}

void Gateway::deliver(const Pending &pending, HttpResponseMessage message, std::string_view outcome)
{
    // The request has run: with such a status the caller would ask again, and it would run twice.
    if (pending->route->repeat == Repeat::AtMostOnce && promisesNotRun(message.result()))
        return answerWithError(pending, http::status::bad_gateway,
                               "ran-and-answered-" + std::to_string(message.result_int()));
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
    countForTeam(*pending, outcome);
    eraseHopByHopHeaders(message);
    finish(pending, std::move(message));
}

void Gateway::refuse(const Pending &pending, http::status status, std::string_view reason,
                     Duration retryAfter)
{
    returnQuota(*pending);
    HttpResponseMessage message(status, 11);
    const auto wait = std::max<Duration>(retryAfter, minRetryAfter);
    message.set(http::field::retry_after, retryAfterText(wait));
    logEvent(Event::RequestRefused,
             {{"request", pending->id},
              {"route", pending->route->name},
              {"team", pending->team},
              {"status", message.result_int()},
              {"reason", reason},
              {"outcome", "not-run"},
              {"arrivals", pending->arrivals},
              {"targets", pending->candidateCount},
              {"queued", pending->queueSize},
              {"expected-ms", toMilliseconds(pending->expectedResponseTime)},
              {"aim-left-ms", toMilliseconds(pending->aimAt - Clock::now())},
              {"revision", pending->table->revision()},
              {"retry-after-ms", toMilliseconds(wait)},
              {"ms", toMilliseconds(Clock::now() - pending->call.arrival)}});
    metrics_.increment("vane_gateway_requests_total",
                       {{"route", pending->route->name}, {"result", "refused"}});
    countForTeam(*pending, "refused");
    finish(pending, std::move(message));
}

void Gateway::answerWithError(const Pending &pending, http::status status, std::string_view reason)
{
    logEvent(Event::RequestEnded,
             {{"request", pending->id},
              {"result", reason},
              {"status", static_cast<int>(status)},
              {"outcome", "unknown"},
              {"target", pending->target->entry.id},
              {"warm", pending->sentWarm ? 1 : 0},
              {"expected-ms", toMilliseconds(pending->expectedResponseTime)},
              {"arrivals", pending->arrivals},
              {"ms", toMilliseconds(Clock::now() - pending->call.arrival)}});
    metrics_.increment("vane_gateway_requests_total",
                       {{"route", pending->route->name}, {"result", "failed"}});
    countForTeam(*pending, "failed");
    finish(pending, HttpResponseMessage(status, 11));
}

void Gateway::answerRevoked(const Pending &pending)
{
    if (pending->runs > 0)
        return answerUnserved(pending, "key-revoked", immediateRetryAfter);
    logEvent(Event::RequestRefused,
             {{"request", pending->id},
              {"route", pending->route->name},
              {"status", static_cast<int>(http::status::unauthorized)},
              {"reason", "key-revoked"},
              {"outcome", "not-run"},
              {"revision", pending->policyTable->revision()}});
    metrics_.increment("vane_gateway_access_denied_total", {{"reason", "key-revoked"}});
    returnQuota(*pending);
    finish(pending, HttpResponseMessage(http::status::unauthorized, 11));
}

void Gateway::countForTeam(const PendingRequest &pending, std::string_view result)
{
    if (pending.team.empty())
        return;
    // Bounds the number of metrics if configurations come with ever new teams.
    constexpr std::size_t maxLabelledTeams = 256;
    const bool isLabelled = labelledTeams_.contains(pending.team)
            || (labelledTeams_.size() < maxLabelledTeams
                && labelledTeams_.insert(pending.team).second);
    metrics_.increment("vane_gateway_team_requests_total",
                       {{"team", isLabelled ? pending.team : std::string("other")},
                        {"result", std::string(result)}});
}

void Gateway::finish(const Pending &pending, HttpResponseMessage message)
{
    if (std::exchange(pending->done, true))
        return;
    --pendingCount_;
    pending->deadlineTimer.cancel();
    if (!pending->id.empty())
        message.set(settings_.headers.requestId, pending->id);
    pending->call.answer(std::move(message));
}

} // namespace chestnutvane
