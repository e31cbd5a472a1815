#include "chestnutvane/request/request_flow.h"

#include <algorithm>

#include "chestnutvane/request/fallback_region.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr int badRequest = 400;
constexpr int unprocessableContent = 422;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

// An exchange is not started with less time than this, because its timeout is in whole
// milliseconds.
constexpr Milliseconds minExchangeTimeout{1};

} // namespace
} // namespace internal

AttemptResult classifyExchange(const HttpExchangeResult &result, const std::string &requestId)
{
    if (!isOk(result)) {
        const auto &failure = error(result);
        const Outcome outcome = failure.mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
        switch (failure.failure) {
        case HttpFailure::ConnectFailed:
            return {Outcome::NotRun, Reason::ConnectionLost, GrantResult::ConnectFailed};
        case HttpFailure::Timeout:
            return {outcome, Reason::DeadlineExceeded, GrantResult::TimedOut};
        case HttpFailure::Cancelled:
        case HttpFailure::ShuttingDown:
            return {outcome, Reason::Cancelled, GrantResult::Cancelled};
        case HttpFailure::BadRequest:
            return {Outcome::NotRun, Reason::BadRequest, GrantResult::NotSent};
        case HttpFailure::ResponseTooLarge:
            return {Outcome::Unknown, Reason::BodyTooLarge, GrantResult::Cancelled};
        case HttpFailure::ConnectionLost:
            return {outcome, Reason::ConnectionLost, GrantResult::ConnectionLost};
        }
    }
    const auto &response = value(result);
    const auto *id = findHeader(response.headers, "Vane-Request-Id");
    if (id != nullptr && *id != requestId)
        return {Outcome::Unknown, Reason::ConnectionLost, GrantResult::ConnectionLost};
    if (const auto *notRun = findHeader(response.headers, "Vane-Not-Run");
        response.status == internal::serviceUnavailable && notRun && *notRun == "1") {
        if (id == nullptr && response.reusedConnection) // it may answer an earlier request
            return {Outcome::Unknown, Reason::ConnectionLost, GrantResult::ConnectionLost};
        return {Outcome::NotRun, Reason::TargetRefused, GrantResult::Shed};
    }
    return {Outcome::Ran, Reason::None, GrantResult::Succeeded};
}

int httpStatusFor(Outcome outcome, Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
        return internal::badRequest;
    case Reason::CrashSuspect:
        return internal::unprocessableContent;
    case Reason::DeadlineExceeded:
        return internal::gatewayTimeout;
    default:
        return outcome == Outcome::NotRun ? internal::serviceUnavailable : internal::badGateway;
    }
}

std::shared_ptr<RequestFlow> RequestFlow::create(RequestServices services, IncomingRequest request,
                                                 Callback callback)
{
    return std::shared_ptr<RequestFlow>(
            new RequestFlow(std::move(services), std::move(request), std::move(callback)));
}

RequestFlow::RequestFlow(RequestServices services, IncomingRequest request, Callback callback)
    : services_(std::move(services)), request_(std::move(request)),
      callback_(std::move(callback)), triedRegions_{request_.region}
{ }

void RequestFlow::start()
{
    requestGrant(false);
}

bool RequestFlow::isAtMostOnce() const
{
    return request_.requestClass.repeat == Repeat::AtMostOnce;
}

bool RequestFlow::isInProgress(std::size_t index)
{
    const std::lock_guard lock(mutex_);
    return !finished_ && !attempts_[index].done;
}

void RequestFlow::requestGrant(bool hedge)
{
    GrantRequestSpec spec;
    {
        const std::lock_guard lock(mutex_);
        if (finished_)
            return;
        ++activeAttempts_;
        spec = {.service = request_.requestClass.service,
                .region = triedRegions_.back(),
                .importance = request_.requestClass.importance,
                .queueLimit = request_.requestClass.queueLimit,
                .deadline = request_.deadline,
                .fingerprint = request_.fingerprint,
                .tried = triedTargets_};
    }
    services_.requestGrant(std::move(spec), [self = shared_from_this(), hedge](GrantReply reply) {
        self->onGrant(std::move(reply), hedge);
    });
}

void RequestFlow::onGrant(GrantReply reply, bool hedge)
{
    if (const auto *reason = std::get_if<Reason>(&reply)) {
        onRefusal(*reason, hedge);
        return;
    }
    auto &slot = std::get<HeldSlot>(reply);
    bool unusable = false;
    {
        const std::lock_guard lock(mutex_);
        const auto endsAt = std::min(slot.endsAt, request_.deadline);
        unusable = finished_ || endsAt - services_.now() < internal::minExchangeTimeout;
    }
    if (unusable) {
        services_.release(slot, GrantResult::NotSent, Duration::zero());
        onRefusal(Reason::DeadlineExceeded, hedge);
        return;
    }
    beginAttempt(std::move(slot));
}

void RequestFlow::onRefusal(Reason reason, bool hedge)
{
    bool tryNextRegion = false;
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        --activeAttempts_;
        if (finished_ || activeAttempts_ > 0)
            return; // another attempt is active and determines the result
        if (firstRefusalReason_ == Reason::None)
            firstRefusalReason_ = reason;
        if (!hedge && services_.now() < request_.deadline) {
            if (auto next = services_.fallbackRegion(triedRegions_, reason)) {
                tryNextRegion = true;
                triedRegions_.push_back(std::move(*next));
            }
        }
        // The reason of the first region is more informative than that of a fallback region.
        const Reason reportedReason = isRegionSpecific(reason) ? firstRefusalReason_ : reason;
        const Outcome outcome = combinedOutcome(history_);
        result = {.outcome = outcome,
                  .reason = reportedReason,
                  .status = httpStatusFor(outcome, reportedReason),
                  .attempts = history_.attempts};
    }
    if (tryNextRegion)
        requestGrant(false);
    else
        finish(std::move(result));
}

void RequestFlow::beginAttempt(HeldSlot slot)
{
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        index = attempts_.size();
        triedTargets_.add(slot.target);
        firstRefusalReason_ = Reason::None;
        attempts_.push_back({.slot = slot, .startedAt = services_.now()});
    }
    const auto id = services_.send(makeHttpRequest(index, slot),
                                   [self = shared_from_this(), index](HttpExchangeResult result) {
                                       self->onExchangeResult(index, std::move(result));
                                   });
    bool finishedMeanwhile = false;
    {
        const std::lock_guard lock(mutex_);
        attempts_[index].sendId = id;
        finishedMeanwhile = finished_ && !attempts_[index].done;
    }
    if (finishedMeanwhile) // cancelExchanges() did not have the id yet
        services_.cancelExchange(id);
}

HttpRequest RequestFlow::makeHttpRequest(std::size_t index, const HeldSlot &slot)
{
    const auto endsAt = std::min(slot.endsAt, request_.deadline);
    const auto remaining =
            std::max(std::chrono::duration_cast<Milliseconds>(endsAt - services_.now()),
                     internal::minExchangeTimeout);
    HttpRequest httpRequest;
    httpRequest.method = request_.method;
    httpRequest.url = "http://" + slot.targetAddress + request_.path;
    if (!request_.query.empty())
        httpRequest.url += "?" + request_.query;
    httpRequest.headers = request_.headers;
    httpRequest.headers.push_back({"Vane-Request-Id", request_.id});
    httpRequest.headers.push_back({"Vane-Deadline-Ms", std::to_string(remaining.count())});
    httpRequest.body = request_.body;
    httpRequest.timeout = remaining;
    httpRequest.connectTimeout = std::min(remaining, Milliseconds(1000));
    httpRequest.freshConnection = isAtMostOnce() || index > 0;
    if (!isAtMostOnce()) {
        httpRequest.silenceLimit = request_.requestClass.silenceLimit;
        httpRequest.onSilence = [weak = weak_from_this(), index] {
            if (const auto self = weak.lock())
                self->onSilence(index);
        };
    }
    return httpRequest;
}

void RequestFlow::onSilence(std::size_t index)
{
    if (!isInProgress(index))
        return;
    HeldSlot slot;
    {
        const std::lock_guard lock(mutex_);
        slot = attempts_[index].slot;
    }
    services_.probe(slot, [self = shared_from_this(), slot, index](bool answered) {
        if (!answered)
            return; // the target has failed, not only the connection; the exchange ends by itself
        self->services_.abandonConnections(slot);
        if (!self->isAtMostOnce() && self->isInProgress(index) && self->admitHedge())
            self->requestGrant(true);
    });
}

bool RequestFlow::admitHedge()
{
    const std::lock_guard lock(mutex_);
    auto history = history_;
    for (const auto &attempt : attempts_) {
        if (!attempt.done)
            history = withAttempt(history, Outcome::Unknown); // no response yet
    }
    return services_.admitRetry(request_.requestClass, history,
                                request_.deadline - services_.now());
}

void RequestFlow::onExchangeResult(std::size_t index, HttpExchangeResult result)
{
    const auto attemptResult = classifyExchange(result, request_.id);
    HeldSlot slot;
    Duration serviceTime{};
    bool alreadyEnded = false;
    {
        const std::lock_guard lock(mutex_);
        auto &attempt = attempts_[index];
        alreadyEnded = attempt.done;
        attempt.done = true;
        slot = attempt.slot;
        serviceTime = services_.now() - attempt.startedAt;
    }
    if (alreadyEnded)
        return;
    if (attemptResult.outcome == Outcome::Unknown && isOk(result))
        services_.abandonConnections(slot); // the response belongs to another request
    services_.release(slot, attemptResult.grantResult, serviceTime);
    if (attemptResult.outcome == Outcome::Ran)
        onResponse(index, std::move(value(result)));
    else
        onFailure(index, attemptResult.outcome, attemptResult.reason);
}

void RequestFlow::onResponse(std::size_t index, HttpResponse response)
{
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        --activeAttempts_;
        history_ = withAttempt(history_, Outcome::Ran);
        result = {.outcome = Outcome::Ran,
                  .reason = Reason::None,
                  .status = response.status,
                  .headers = std::move(response.headers),
                  .body = std::move(response.body),
                  .target = attempts_[index].slot.targetName,
                  .region = triedRegions_.back(),
                  .attempts = history_.attempts};
    }
    finish(std::move(result));
    cancelExchanges();
}

void RequestFlow::onFailure(std::size_t index, Outcome outcome, Reason reason)
{
    bool retry = false;
    Milliseconds delay{0};
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        --activeAttempts_;
        history_ = withAttempt(history_, outcome);
        if (finished_ || activeAttempts_ > 0)
            return;
        const auto remaining = request_.deadline - services_.now();
        delay = outcome == Outcome::Unknown && reason == Reason::ConnectionLost
                ? lostConnectionRetryDelay
                : Milliseconds(0);
        retry = services_.admitRetry(request_.requestClass, history_, remaining - delay);
        const Outcome requestOutcome = combinedOutcome(history_);
        result = {.outcome = requestOutcome,
                  .reason = reason,
                  .status = httpStatusFor(requestOutcome, reason),
                  .target = attempts_[index].slot.targetName,
                  .attempts = history_.attempts};
    }
    if (retry && delay.count() > 0)
        services_.after(delay, [self = shared_from_this()] { self->requestGrant(false); });
    else if (retry)
        requestGrant(false);
    else
        finish(std::move(result));
}

void RequestFlow::finish(FlowResult result)
{
    Callback callback;
    {
        const std::lock_guard lock(mutex_);
        if (finished_)
            return;
        finished_ = true;
        callback = std::move(callback_);
    }
    callback(std::move(result));
}

void RequestFlow::cancel()
{
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        auto history = history_;
        for (const auto &attempt : attempts_) {
            if (!attempt.done)
                history = withAttempt(history, Outcome::Unknown);
        }
        const Outcome outcome = combinedOutcome(history);
        result = {.outcome = outcome,
                  .reason = Reason::Cancelled,
                  .status = httpStatusFor(outcome, Reason::Cancelled),
                  .attempts = history.attempts};
    }
    finish(std::move(result));
    cancelExchanges();
}

void RequestFlow::cancelExchanges()
{
    std::vector<HttpClient::SendId> sendIds;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &attempt : attempts_) {
            if (!attempt.done && attempt.sendId != 0)
                sendIds.push_back(attempt.sendId);
        }
    }
    for (const auto id : sendIds)
        services_.cancelExchange(id);
}

} // namespace chestnutvane
