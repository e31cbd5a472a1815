// Processes one request: obtains a grant from a broker, sends the request to the target of the
// grant, retries or falls back to another region where that is allowed, and returns the result.
//
// The connection of an attempt is silent if no byte of the response arrives within the silence
// limit of the request's class. For an idempotent request, the flow then probes the target over a
// new connection. If the target answers the probe, the silent connection is considered dead, and
// the flow starts a hedge: another attempt in parallel to the silent one.
//
// The flow does no I/O of its own. It calls the functions of RequestServices, which tests replace
// by fakes.
//
// Example:
//
//   auto flow = RequestFlow::create(services, incoming, [](FlowResult result) { ... });
//   flow->start();
//
// Thread-safe: the functions of RequestServices may call back on any thread. The result callback is
// called exactly once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/request/outcome.h"
#include "chestnutvane/request/request_class.h"
#include "chestnutvane/request/retry_policy.h"

namespace chestnutvane {

// A request of a caller, with its class and deadline.
struct IncomingRequest
{
    std::uint64_t number = 0; // unique in this instance; identifies the request in its logs
    std::string id; // unique among all instances; sent to the target as Vane-Request-Id
    RequestClass requestClass;
    std::string method;
    std::string path; // within the service, starts with "/"
    std::string query;
    std::vector<HttpHeader> headers; // to be sent to the target
    std::shared_ptr<const std::string> body;
    std::uint64_t fingerprint = 0; // lower 64 bits of the request's Fingerprint
    TimePoint deadline;
    std::string region; // the region whose broker is asked first
};

// Parameters of the request for a grant to the broker of a unit.
struct GrantRequestSpec
{
    std::string service;
    std::string region;
    int importance = 0;
    Duration queueLimit{}; // longest acceptable wait for a slot
    // Longest wait for a reachable broker of the unit; queueLimit if not set.
    std::optional<Duration> brokerWait;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    TriedTargets tried; // targets of earlier attempts
};

// A target slot that this instance holds under a grant.
struct HeldSlot
{
    UnitId unit = 0;
    GrantId id;
    TargetId target = 0;
    std::string targetName;
    std::string targetAddress; // "IP:port"
    TimePoint endsAt; // expiry of the grant
};

// The granted slot, or the reason of the refusal.
using GrantReply = std::variant<HeldSlot, Reason>;

// The response of a target, or why the exchange failed.
using HttpExchangeResult = Result<HttpResponse, HttpError>;

// The functions of the process that a flow calls.
struct RequestServices
{
    std::function<TimePoint()> now;
    // Requests a grant from the broker of a unit.
    std::function<void(GrantRequestSpec, std::function<void(GrantReply)>)> requestGrant;
    // Releases a grant and reports how it was used.
    std::function<void(const HeldSlot &, GrantResult, Duration serviceTime)> release;
    // Starts an exchange with a target. Returns an id for cancelExchange.
    std::function<HttpClient::SendId(HttpRequest, std::function<void(HttpExchangeResult)>)> send;
    std::function<void(HttpClient::SendId)> cancelExchange;
    // Sends a health check to the target over a new connection. Calls back with true if the target
    // answered.
    std::function<void(const HeldSlot &, std::function<void(bool)>)> probe;
    // Excludes the open connections to the target from reuse. Exchanges in flight continue.
    std::function<void(const HeldSlot &)> abandonConnections;
    // Returns whether another attempt is allowed. If so, consumes a token of the retry budget.
    // "remaining" is the time to the deadline.
    std::function<bool(const RequestClass &, const AttemptHistory &, Duration remaining)>
            admitRetry;
    // Returns the region whose broker is asked after the last region of "tried" refused a grant, or
    // nothing if the request must not fall back.
    std::function<std::optional<std::string>(std::span<const std::string> tried, Reason)>
            fallbackRegion;
    // Runs a task after a delay.
    std::function<void(Duration, std::function<void()>)> after;
};

// Delay before a retry after a lost connection. The broker's probe takes about 1 ms to confirm that
// a target crashed. Without the delay, retries of a request that crashes its targets were sent
// before that and crashed three targets of one region within 3 ms.
inline constexpr Milliseconds lostConnectionRetryDelay{50};

// The result of a request, from which the response to the caller is made.
struct FlowResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 502;
    std::vector<HttpHeader> headers; // of the target's response
    std::string body;
    std::string target; // name of the target that responded, or of the last attempt that failed
    std::string region; // of the target that responded
    int attempts = 0;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    using Callback = std::function<void(FlowResult)>;

    static std::shared_ptr<RequestFlow> create(RequestServices services, IncomingRequest request,
                                               Callback callback);

    // Requests the grant of the first attempt. Call it once.
    void start();

    // Ends the request after its caller disconnected. Cancels the exchanges in flight and releases
    // their grants. The reason in the result is Cancelled.
    void cancel();

private:
    struct Attempt
    {
        HeldSlot slot;
        TimePoint startedAt;
        HttpClient::SendId sendId = 0;
        bool done = false;
    };

    RequestFlow(RequestServices services, IncomingRequest request, Callback callback);

    // Requests a grant for the next attempt. A refused hedge does not fall back.
    void requestGrant(bool hedge);
    void onGrant(GrantReply reply, bool hedge);
    void onRefusal(Reason reason, bool hedge);
    void beginAttempt(HeldSlot slot);
    void onExchangeResult(std::size_t index, HttpExchangeResult result);
    void onSilence(std::size_t index);
    // Returns whether a hedge is allowed. If so, consumes a token of the retry budget: hedges must
    // not double the load of a service that is slow as a whole.
    bool admitHedge();
    void onResponse(std::size_t index, HttpResponse response);
    void onFailure(std::size_t index, Outcome outcome, Reason reason);
    void finish(FlowResult result);
    void cancelExchanges(); // all that are in flight
    HttpRequest makeHttpRequest(std::size_t index, const HeldSlot &slot);
    bool isAtMostOnce() const;
    bool isInProgress(std::size_t index);

    RequestServices services_;
    IncomingRequest request_;

    // Guards the members below. Only now(), admitRetry() and fallbackRegion() of services_ are
    // called with the mutex held; they must not call back into the flow.
    std::mutex mutex_;
    Callback callback_;
    std::vector<Attempt> attempts_;
    AttemptHistory history_;
    TriedTargets triedTargets_;
    std::vector<std::string> triedRegions_; // the current region is the last one
    Reason firstRefusalReason_ = Reason::None; // of the first broker refusal since the last attempt
    int activeAttempts_ = 0; // attempts in flight or waiting for a grant
    bool finished_ = false;
};

// The result of one attempt. The reason is None if the outcome is Ran.
struct AttemptResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    GrantResult grantResult = GrantResult::NotSent; // reported to the broker with the release
};

// Determines the result of an attempt from its exchange with the target. The outcome is Unknown if
// the response carries the Vane-Request-Id of another request, and NotRun with the reason
// TargetRefused for a 503 with "Vane-Not-Run: 1".
AttemptResult classifyExchange(const HttpExchangeResult &result, const std::string &requestId);

// Returns the HTTP status of a refusal or failure without a response of a target.
int httpStatusFor(Outcome outcome, Reason reason);

} // namespace chestnutvane
