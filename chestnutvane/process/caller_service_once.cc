// The part of CallerService that handles at-most-once requests: keys, waiters and forwarding.

#include "chestnutvane/process/call_answer.h"
#include "chestnutvane/process/caller_service.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/request/fingerprint.h"

namespace chestnutvane {
namespace internal {
namespace {

constexpr int unavailable = 503;

} // namespace
} // namespace internal

void CallerService::startOnce(const std::shared_ptr<Call> &call, const std::string &keyText)
{
    const auto parsed = parseOneTimeKey(keyText);
    if (!isOk(parsed)) {
        conclude(call, invalidKeyResult(true));
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
    if (std::holds_alternative<OnceDispatch>(begin))
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
        const auto result =
                instance_.once.use([&](OnceTable &once) { return once.removeWaiter(key, waiter); });
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
                    return once.finish(key, onceResultOf(std::move(result)), Clock::now());
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
                    return once.recordAttempt(key, combinedOutcome(history));
                });
                return allowed && instance_.retryBudget.use([&](RetryBudget &budget) {
                    return decideRetry(requestClass, history, remaining, Duration::zero(), budget)
                            == RetryDecision::Retry;
                });
            });
}

void CallerService::forward(const std::shared_ptr<Call> &call, const std::string &keyText,
                            const std::string &incarnation)
{
    std::string address;
    instance_.membership.use([&](MembershipState &state) {
        for (const auto &member : state.table.members(Clock::now())) {
            if (member.record.incarnation == incarnation && member.status != MemberStatus::Expired)
                address = member.record.peerAddress;
        }
    });
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call->deadline - Clock::now());
    if (address.empty() || remaining.count() <= 0) {
        conclude(call, ownerUnreachableResult());
        return;
    }
    logEvent(Event::RequestForwarded, {{"request", call->number}, {"owner", address}});
    const ForwardRequest message{.service = call->requestClass.service,
                                 .method = call->request.method,
                                 .path = call->request.path,
                                 .query = call->request.query,
                                 .headers = passedOnHeaders(call->request.headers),
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
                              conclude(call, ownerUnreachableResult());
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
        reply(encode(refusal(Outcome::Unknown, Reason::NoMatchingClass, internal::unavailable)));
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

} // namespace chestnutvane
