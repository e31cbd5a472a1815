// The life of one request: ask for a grant, send to the target, retry where that is allowed,
// answer.
//
// The flow does no I/O itself; it is driven by the functions of RequestServices, which tests
// replace by fakes.
//
// Example:
//
//   auto flow = RequestFlow::create(services, incoming, [](FlowResult result) { ... });
//   flow->start();
//
// Thread-safe: each callback may come on any thread. The result function is called exactly once.
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

// A request as it came from a caller.
struct IncomingRequest
{
    std::uint64_t number = 0; // of this instance; names the request in logs
    std::string id; // unique in the fleet; sent to the target as Vane-Request-Id
    RequestClass requestClass;
    std::string method;
    std::string path; // within the service, starts with "/"
    std::string query;
    std::vector<HttpHeader> headers; // to be passed on
    std::shared_ptr<const std::string> body;
    std::uint64_t fingerprint = 0;
    TimePoint deadline;
    std::string region; // to be tried first
};

// What a flow asks the unit's broker for.
struct GrantRequestSpec
{
    std::string service;
    std::string region;
    int importance = 0;
    Duration queueLimit{};
    // How long a unit without a reachable broker is waited for; queueLimit if not set.
    std::optional<Duration> brokerWait;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    TriedTargets tried;
};

// A grant that this instance holds.
struct HeldSlot
{
    UnitId unit = 0;
    GrantId id;
    TargetId target = 0;
    std::string targetName;
    std::string targetAddress; // "IP:port"
    TimePoint endsAt;
};

// A grant, or why there is none.
using GrantReply = std::variant<HeldSlot, Reason>;

// How the exchange with a target ended.
using HttpExchangeResult = Result<HttpResponse, HttpError>;

// What a flow needs from the process.
struct RequestServices
{
    std::function<TimePoint()> now;
    std::function<void(GrantRequestSpec, std::function<void(GrantReply)>)> requestGrant;
    std::function<void(const HeldSlot &, GrantResult, Duration serviceTime)> release;
    // Sends to a target; yields an id for cancelExchange.
    std::function<HttpClient::SendId(HttpRequest, std::function<void(HttpExchangeResult)>)> send;
    std::function<void(HttpClient::SendId)> cancelExchange;
    // Asks the target for its health over a new connection; true: it answered.
    std::function<void(const HeldSlot &, std::function<void(bool)>)> probe;
    // Stops the reuse of the open connections to a target.
    std::function<void(const HeldSlot &)> abandonConnections;
    std::function<bool(const RequestClass &, const AttemptHistory &, Duration remaining)>
            admitRetry;
    // The region to ask after the last one of "tried" refused a grant, or nothing.
    std::function<std::optional<std::string>(std::span<const std::string> tried, Reason)>
            fallbackRegion;
    // Runs a task after a delay.
    std::function<void(Duration, std::function<void()>)> after;
};

// Pause before a retry after a lost connection. Without it the retries of a request that crashes
// its targets overtook the broker's probe, which confirms a crash in about 1 ms, and took down
// three targets of one region within 3 ms.
inline constexpr Milliseconds lostConnectionRetryDelay{50};

// What the caller is told.
struct FlowResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 502;
    std::vector<HttpHeader> headers; // of the target
    std::string body;
    std::string target; // name of the target that answered
    std::string region; // of that target
    int attempts = 0;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    using Callback = std::function<void(FlowResult)>;

    static std::shared_ptr<RequestFlow> create(RequestServices services, IncomingRequest request,
                                               Callback callback);

    void start();

    // Ends the request because its caller went away: the exchanges are cancelled and the grants
    // given back. The result is "cancelled".
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

    void requestGrant(bool hedge);
    void onGrant(GrantReply reply, bool hedge);
    void onRefusal(Reason reason, bool hedge);
    void beginAttempt(HeldSlot slot);
    void onExchangeResult(std::size_t index, HttpExchangeResult result);
    void onSilence(std::size_t index);
    // Takes one retry from the budget for an attempt beside a silent one: slow answers of a whole
    // service must not double its load.
    bool admitHedge();
    void onResponse(std::size_t index, HttpResponse response);
    void onFailure(std::size_t index, Outcome outcome, Reason reason);
    void finish(FlowResult result);
    void cancelExchanges(); // those in progress
    HttpRequest makeHttpRequest(std::size_t index, const HeldSlot &slot);
    bool isAtMostOnce() const;
    bool isInProgress(std::size_t index);

    RequestServices services_;
    IncomingRequest request_;

    // Guards all below. Of the services only now(), admitRetry() and fallbackRegion() are called
    // under it; they must not call back into the flow.
    std::mutex mutex_;
    Callback callback_;
    std::vector<Attempt> attempts_;
    AttemptHistory history_;
    TriedTargets triedTargets_;
    std::vector<std::string> triedRegions_; // tried ones, the current one last
    Reason firstRefusalReason_ = Reason::None; // of a broker, since the last attempt
    int activeAttempts_ = 0; // attempts in progress or waiting for a grant
    bool finished_ = false;
};

// What an exchange tells about one attempt: a whole answer, or an outcome with its reason.
struct AttemptResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    GrantResult grantResult = GrantResult::NotSent;
};

// Judges an exchange with a target. An answer that names another request is not ours: it is
// Unknown. A 503 with "Vane-Not-Run: 1" is a refusal of the target.
AttemptResult classifyExchange(const HttpExchangeResult &result, const std::string &requestId);

// HTTP status for a refusal or failure without an answer of a target.
int httpStatusFor(Outcome outcome, Reason reason);

} // namespace chestnutvane
