#include "chestnutvane/request/request_flow.h"

#include <algorithm>

#include "chestnutvane/request/fallback_region.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr int badRequest = 400;
constexpr int conflictingContent = 422;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

// The shortest time for which an exchange is begun; timeouts of exchanges are whole milliseconds.
constexpr Milliseconds minExchangeTime{1};

} // namespace
} // namespace internal

AttemptVerdict judgeExchange(const ExchangeResult &result, const std::string &requestId)
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
    if (const auto *id = findHeader(response.headers, "Vane-Request-Id"); id && *id != requestId)
        return {Outcome::Unknown, Reason::ConnectionLost, GrantResult::ConnectionLost};
    if (const auto *notRun = findHeader(response.headers, "Vane-Not-Run");
        response.status == internal::unavailable && notRun && *notRun == "1")
        return {Outcome::NotRun, Reason::TargetRefused, GrantResult::Shed};
    return {Outcome::Ran, Reason::None, GrantResult::Succeeded};
}

int statusOf(Outcome outcome, Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
        return internal::badRequest;
    case Reason::CrashSuspect:
        return internal::conflictingContent;
    case Reason::DeadlineExceeded:
        return internal::gatewayTimeout;
    default:
        return outcome == Outcome::NotRun ? internal::unavailable : internal::badGateway;
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
      callback_(std::move(callback)), regions_{request_.region}
{ }

void RequestFlow::start()
{
    askGrant(false);
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

void RequestFlow::askGrant(bool hedge)
{
    GrantWish wish;
    {
        const std::lock_guard lock(mutex_);
        if (finished_)
            return;
        ++running_;
        wish = {.service = request_.requestClass.service,
                .region = regions_.back(),
                .importance = request_.requestClass.importance,
                .queueLimit = request_.requestClass.queueLimit,
                .deadline = request_.deadline,
                .fingerprint = request_.fingerprint,
                .tried = tried_};
    }
    services_.askGrant(std::move(wish), [self = shared_from_this(), hedge](GrantReply reply) {
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
    bool unused = false;
    {
        const std::lock_guard lock(mutex_);
        const auto endsAt = std::min(slot.endsAt, request_.deadline);
        unused = finished_ || endsAt - services_.now() < internal::minExchangeTime;
    }
    if (unused) {
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
        --running_;
        if (finished_ || running_ > 0)
            return; // another attempt is still in progress and will answer
        if (firstRefusal_ == Reason::None)
            firstRefusal_ = reason;
        if (!hedge && services_.now() < request_.deadline) {
            if (auto next = services_.fallbackRegion(regions_, reason)) {
                tryNextRegion = true;
                regions_.push_back(std::move(*next));
            }
        }
        // The refusal of the first region says more than that of a fallback.
        const Reason told = isRegionSpecific(reason) ? firstRefusal_ : reason;
        const Outcome outcome = combinedOutcome(history_);
        result = {.outcome = outcome,
                  .reason = told,
                  .status = statusOf(outcome, told),
                  .attempts = history_.attempts};
    }
    if (tryNextRegion)
        askGrant(false);
    else
        finish(std::move(result));
}

void RequestFlow::beginAttempt(HeldSlot slot)
{
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        index = attempts_.size();
        tried_.add(slot.target);
        firstRefusal_ = Reason::None;
        attempts_.push_back({.slot = slot, .startedAt = services_.now()});
    }
    const auto id = services_.send(exchangeRequest(index, slot),
                                   [self = shared_from_this(), index](ExchangeResult result) {
                                       self->onExchange(index, std::move(result));
                                   });
    bool unwanted = false;
    {
        const std::lock_guard lock(mutex_);
        attempts_[index].sendId = id;
        unwanted = finished_ && !attempts_[index].done;
    }
    if (unwanted) // the request ended while the exchange was begun
        services_.cancelExchange(id);
}

HttpRequest RequestFlow::exchangeRequest(std::size_t index, const HeldSlot &slot)
{
    const auto endsAt = std::min(slot.endsAt, request_.deadline);
    const auto remaining =
            std::max(std::chrono::duration_cast<Milliseconds>(endsAt - services_.now()),
                     internal::minExchangeTime);
    HttpRequest exchange;
    exchange.method = request_.method;
    exchange.url = "http://" + slot.targetAddress + request_.path;
    if (!request_.query.empty())
        exchange.url += "?" + request_.query;
    exchange.headers = request_.headers;
    exchange.headers.push_back({"Vane-Request-Id", request_.id});
    exchange.headers.push_back({"Vane-Deadline-Ms", std::to_string(remaining.count())});
    exchange.body = request_.body;
    exchange.timeout = remaining;
    exchange.connectTimeout = std::min(remaining, Milliseconds(1000));
    exchange.freshConnection = isAtMostOnce() || index > 0;
    if (!isAtMostOnce()) {
        exchange.silenceLimit = request_.requestClass.silenceLimit;
        exchange.onSilence = [weak = weak_from_this(), index] {
            if (const auto self = weak.lock())
                self->onSilence(index);
        };
    }
    return exchange;
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
            return; // the target itself is at fault; the exchange ends by its own means
        self->services_.abandonConnections(slot);
        if (!self->isAtMostOnce() && self->isInProgress(index) && self->mayHedge())
            self->askGrant(true);
    });
}

bool RequestFlow::mayHedge()
{
    const std::lock_guard lock(mutex_);
    auto history = history_;
    for (const auto &attempt : attempts_) {
        if (!attempt.done)
            history = withAttempt(history, Outcome::Unknown); // silent so far
    }
    return services_.mayRetry(request_.requestClass, history, request_.deadline - services_.now());
}

void RequestFlow::onExchange(std::size_t index, ExchangeResult result)
{
    const auto verdict = judgeExchange(result, request_.id);
    HeldSlot slot;
    Duration serviceTime{};
    bool late = false;
    {
        const std::lock_guard lock(mutex_);
        auto &attempt = attempts_[index];
        late = attempt.done;
        attempt.done = true;
        slot = attempt.slot;
        serviceTime = services_.now() - attempt.startedAt;
    }
    if (late)
        return;
    if (verdict.outcome == Outcome::Unknown && isOk(result))
        services_.abandonConnections(slot); // an answer to another request came on a connection
    services_.release(slot, verdict.grantResult, serviceTime);
    if (verdict.outcome == Outcome::Ran)
        onAnswer(index, std::move(value(result)));
    else
        onFailure(index, verdict.outcome, verdict.reason);
}

void RequestFlow::onAnswer(std::size_t index, HttpResponse response)
{
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        --running_;
        history_ = withAttempt(history_, Outcome::Ran);
        result = {.outcome = Outcome::Ran,
                  .reason = Reason::None,
                  .status = response.status,
                  .headers = std::move(response.headers),
                  .body = std::move(response.body),
                  .target = attempts_[index].slot.targetName,
                  .region = regions_.back(),
                  .attempts = history_.attempts};
    }
    finish(std::move(result));
    cancelExchanges();
}

void RequestFlow::onFailure(std::size_t index, Outcome outcome, Reason reason)
{
    bool retry = false;
    Milliseconds pause{0};
    FlowResult result;
    {
        const std::lock_guard lock(mutex_);
        --running_;
        history_ = withAttempt(history_, outcome);
        if (finished_ || running_ > 0)
            return;
        const auto remaining = request_.deadline - services_.now();
        pause = outcome == Outcome::Unknown && reason == Reason::ConnectionLost
                ? lostConnectionPause
                : Milliseconds(0);
        retry = services_.mayRetry(request_.requestClass, history_, remaining - pause);
        const Outcome covering = combinedOutcome(history_);
        result = {.outcome = covering,
                  .reason = reason,
                  .status = statusOf(covering, reason),
                  .target = attempts_[index].slot.targetName,
                  .attempts = history_.attempts};
    }
    if (retry && pause.count() > 0)
        services_.after(pause, [self = shared_from_this()] { self->askGrant(false); });
    else if (retry)
        askGrant(false);
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
                  .status = statusOf(outcome, Reason::Cancelled),
                  .attempts = history.attempts};
    }
    finish(std::move(result));
    cancelExchanges();
}

void RequestFlow::cancelExchanges()
{
    std::vector<HttpClient::SendId> open;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &attempt : attempts_) {
            if (!attempt.done && attempt.sendId != 0)
                open.push_back(attempt.sendId);
        }
    }
    for (const auto id : open)
        services_.cancelExchange(id);
}

} // namespace chestnutvane
