// Serves callers: look-ups and requests.
//
// Example:
//
//   CallerService callers(instance, lookUps, grants, members);
//   auto server = HttpServer::create(options, [&](ServerRequest request, Responder respond) {
//       callers.handle(std::move(request), std::move(respond));
//   });
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "chestnutvane/connection/http_server.h"
#include "chestnutvane/process/forward_message.h"
#include "chestnutvane/process/grant_service.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/look_up_service.h"
#include "chestnutvane/process/member_service.h"
#include "chestnutvane/process/steering_service.h"
#include "chestnutvane/request/request_flow.h"

namespace chestnutvane {

class CallerService
{
public:
    CallerService(Instance &instance, LookUpService &lookUps, GrantService &grants,
                  MemberService &members, SteeringService &steering);

    // Handles a request of a caller.
    void handle(ServerRequest request, Responder respond);

    // Handles a one-time request that another instance forwarded.
    void handleForward(const std::string &body, std::function<void(std::string)> reply);

    // Requests that were taken and not yet answered.
    int inFlight() const { return inFlight_.load(); }

private:
    // A request to a service, of a caller or forwarded.
    struct Call
    {
        std::uint64_t number = 0;
        std::shared_ptr<const Version> version;
        RequestClass requestClass;
        ServerRequest request; // its path is within the service
        std::shared_ptr<const std::string> body;
        TimePoint startedAt;
        TimePoint deadline;
        bool forwarded = false;
        std::function<void(ForwardAnswer)> answer;
    };

    // Whether a failed attempt may be followed by another within the time that remains.
    using RetryRule = std::function<bool(const RequestClass &, const AttemptHistory &, Duration)>;

    void handleLookUp(const ServerRequest &request, const Responder &respond);
    void handleService(ServerRequest request, Responder respond);
    void startCall(std::shared_ptr<Call> call);
    void startOnce(const std::shared_ptr<Call> &call, const std::string &keyText);
    void forward(const std::shared_ptr<Call> &call, const std::string &keyText,
                 const std::string &incarnation);
    void waitForResult(const std::shared_ptr<Call> &call, const OneTimeKey &key, OnceWaiter waiter);
    void runOnce(const std::shared_ptr<Call> &call, const OneTimeKey &key);
    void runFlow(const std::shared_ptr<Call> &call, std::function<void(FlowResult)> done,
                 RetryRule retry);
    RequestServices makeServices(const std::shared_ptr<Call> &call, RetryRule retry);
    // Grants, their release and the region to ask after a refusal.
    void addGrantServices(RequestServices &services, const std::shared_ptr<Call> &call);
    // Exchanges with targets, their probes and connections.
    void addTargetServices(RequestServices &services);
    void conclude(const std::shared_ptr<Call> &call, const OnceResult &result);
    void noteGrant(const Call &call, const HeldSlot &slot, const std::string &region);
    void noteAnswerBytes(const FlowResult &result);
    void noteFallback(const Call &call, const std::string &from, const std::string &to,
                      Reason reason);
    void noteRelease(const Call &call, const HeldSlot &slot, GrantResult result,
                     Duration serviceTime);
    void probe(const HeldSlot &slot, std::function<void(bool)> done);
    ServerResponse toResponse(ForwardAnswer answer) const;
    void logEnd(const Call &call, const ForwardAnswer &answer);

    Instance &instance_;
    LookUpService &lookUps_;
    GrantService &grants_;
    MemberService &members_;
    SteeringService &steering_;
    std::atomic<std::uint64_t> nextNumber_{1};
    std::atomic<OnceWaiter> nextWaiter_{1};
    std::atomic<int> inFlight_{0};
    std::mutex waitersMutex_; // guards waiters_ only; no other lock is taken under it
    std::map<OnceWaiter, std::shared_ptr<Call>> waiters_;
};

} // namespace chestnutvane
