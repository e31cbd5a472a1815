// The request path of the gateway: from a caller's request to the answer of a target.
//
// Each instance places requests by itself, with what it knows of the load of the targets from its
// own attempts and the reports of the other instances. Requests that no target can take at once
// wait in one queue for each service, the most important first.
//
// Example:
//
//   Gateway gateway(io, settings, metrics);
//   gateway.setRoutes(table);
//   gateway.registry().replaceAll(entries, now, RemovalPolicy::Immediate);
//   gateway.handle(call);
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/connection/target_exchange.h"
#include "chestnutvane/process/gateway/crash_watch.h"
#include "chestnutvane/process/gateway/gateway_settings.h"
#include "chestnutvane/process/gateway/learned_state.h"
#include "chestnutvane/process/gateway/load_report.h"
#include "chestnutvane/process/gateway/placement.h"
#include "chestnutvane/process/gateway/send_limits.h"
#include "chestnutvane/process/gateway/split_choice.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/gateway/work_times.h"
#include "chestnutvane/process/metrics.h"
#include "chestnutvane/version/route_table.h"

namespace chestnutvane {

// A request of a caller until it is answered.
struct PendingRequest
{
    explicit PendingRequest(net::io_context &io) : limitTimer(io) { }

    Call call;
    std::shared_ptr<const RouteTable> table; // of the revision under which it is handled
    const Route *route = nullptr;
    std::string service;
    std::string id;
    std::uint64_t object = 0; // 0: the route has no object affinity
    TimePoint aimAt;
    TimePoint limitAt; // the caller's deadline or the route's time limit, whichever is first
    int runs = 0; // attempts that may have run
    int arrivals = 0; // attempts that reached a target
    int connectFailures = 0;
    std::vector<std::uint64_t> tried; // targets that are not tried again
    std::optional<HttpResponseMessage> failedAnswer; // a target's own failure, if no retry follows
    std::shared_ptr<TargetExchange> exchange;
    std::shared_ptr<Target> target;
    bool sentWarm = false;
    std::optional<std::size_t> sentDepth; // of the object at the target, if it is remembered there
    bool refusedBesideRoom = false; // the last target refused it although it had a free slot
    WorkEstimate sentWork;
    Duration expected{0}; // time to the answer by the last look at the targets
    std::size_t candidates = 0; // targets at that look
    std::size_t queued = 0; // requests of the service that waited then
    std::uint64_t plannedTarget = 0; // hash of the target it waits for; 0: not looked at yet
    bool waitLogged = false;
    net::steady_timer limitTimer;
    bool done = false;
};

// A target that requests may be sent to, as seen by one look at the waiting requests.
struct TargetView
{
    std::shared_ptr<Target> target;
    Candidate shared; // what is the same for all requests of the look
    double queuedElsewhere = 0; // waiting requests of other instances for each target of the region
    bool avoided = false; // used only if there is no other
};

// Which waiting requests a look concerns.
enum class LookScope {
    Concerned, // by the event that caused it
    All,
};

class Gateway
{
public:
    Gateway(net::io_context &io, const GatewaySettings &settings, Metrics &metrics);

    // Takes a request of a caller.
    void handle(Call call);

    // Puts a revision in force for the requests that come from now on.
    void setRoutes(std::shared_ptr<const RouteTable> table) { table_ = std::move(table); }
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const { return table_; }

    TargetRegistry &registry() { return registry_; }
    FleetView &fleet() { return fleet_; }
    [[nodiscard]] const FleetView &fleet() const { return fleet_; }

    // Looks at all waiting requests again, after news of targets or instances.
    void reconsider();

    // The same, at once or after a pause, for what happens too often for a look each time: a large
    // fleet sends several hundred reports a second.
    void reconsiderLater();

    // Takes the warm objects of a report.
    void noteWarm(const std::vector<WarmObject> &notes);

    // What this instance has learned of the targets of its region, and of run times.
    [[nodiscard]] LearnedState learned() const;

    // A target has ended without having drained: it started again, or is not registered any more.
    void onTargetEnded(const std::string &id) { chargeLost(reportKey(hash64(id))); }

    // Crashes of targets that requests are charged with, for reports, and those of a report.
    [[nodiscard]] std::vector<CrashCount> crashNews() const { return crashes_.news(Clock::now()); }
    void noteCrashes(std::span<const CrashCount> counts) { crashes_.merge(counts, Clock::now()); }

    // Starts from what instances learned before. What this one has learned itself stays; targets
    // that have started again since are left out.
    void takeLearned(const LearnedState &state);

    // Fills in the figures of a report: attempts in flight and waiting requests.
    void fillReport(LoadReport &report) const;

    // Calls the function when the figures of reports have changed, with the note of a new attempt.
    void setOnChange(std::function<void(const WarmObject *)> function)
    {
        onChange_ = std::move(function);
    }

    // New requests must end before the time given: the process ends then.
    void setEnd(TimePoint end) { end_ = end; }

    // Requests that are not answered yet.
    [[nodiscard]] std::size_t pendingRequests() const { return pending_; }

    // Forgets old failures of targets step by step. Call twice a second.
    void tick();

private:
    using Pending = std::shared_ptr<PendingRequest>;
    using Queue = std::vector<Pending>;

    // Request intake (gateway.cc).
    [[nodiscard]] Pending makePending(Call call, const Route &route);
    void enqueue(const Pending &pending);
    void leaveQueue(const Pending &pending);
    void onGone(const Pending &pending);
    void onLimit(const Pending &pending);

    // Placing (gateway_placing.cc).
    void schedulePump(const std::string &service, LookScope scope);
    // Places what waits for a service. With a long queue only the requests that an event concerns
    // are looked at: new ones, those that wait for a target of freedTargets_, and the first of the
    // queue.
    void pump(const std::string &service, LookScope scope);
    [[nodiscard]] std::vector<TargetView> viewTargets(const std::string &service, TimePoint now);
    // Fills in the targets that the request may go to and has not tried, and their places in views.
    void fillCandidates(const PendingRequest &pending, const std::vector<TargetView> &views,
                        std::vector<Candidate> &candidates, std::vector<std::size_t> &indices);
    [[nodiscard]] bool mayTake(const std::string &service, const Target &target, TimePoint now);
    [[nodiscard]] bool takesIntoUse(const Target &target, TimePoint now) const;
    [[nodiscard]] std::size_t instancesIn(const std::string &region, TimePoint now) const;
    [[nodiscard]] Duration roundTrip(const Target &target) const;

    // Attempts and their ends (gateway_attempts.cc).
    void send(const Pending &pending, const std::shared_ptr<Target> &target,
              const Candidate &candidate, const WorkEstimate &work);
    [[nodiscard]] std::shared_ptr<HttpRequestMessage>
    makeMessage(const PendingRequest &pending, const Target &target, TimePoint now) const;
    void onResult(const Pending &pending, ExchangeResult result);
    void onAnswer(const Pending &pending, TargetAnswer answer, Duration run);
    void onFailure(const Pending &pending, const ExchangeError &failure, bool reused);
    void release(const Pending &pending);
    [[nodiscard]] static std::uint64_t identityOf(const PendingRequest &pending);
    [[nodiscard]] bool isCrashSuspect(const PendingRequest &pending) const;
    void chargeLost(std::uint64_t target);
    void blame(Target &target, const ExchangeError &failure, bool reused, TimePoint now);
    // Sends the request again if it may be; otherwise answers it.
    void retryOrAnswer(const Pending &pending, std::string_view reason);
    void deliver(const Pending &pending, HttpResponseMessage message, std::string_view outcome);
    // Refusals tell the caller to come back after this time at the latest.
    static constexpr Milliseconds longestRetryAfter{1500};
    void refuse(const Pending &pending, std::string_view reason, Duration retryAfter);
    void answerOwn(const Pending &pending, http::status status, std::string_view reason);
    void finish(const Pending &pending, HttpResponseMessage message);
    void changed(const WarmObject *note);
    RetryWindow &retryWindow(const std::string &service);
    KeptObjects &keptObjects(const std::string &service);

    net::io_context &io_;
    const GatewaySettings &settings_;
    Metrics &metrics_;
    std::string region_;
    std::shared_ptr<const RouteTable> table_;
    TargetRegistry registry_;
    FleetView fleet_;
    WorkTimes times_;
    SplitChoice splits_;
    TargetPool pool_;
    PlacementSettings placement_;
    std::map<std::string, Queue> queues_; // by service, in the order of service
    std::map<std::string, std::optional<LookScope>> scheduled_; // looks to come, by service
    std::map<std::string, std::set<std::uint64_t>> freedTargets_; // since the last look, by service
    net::steady_timer lookTimer_;
    bool lookArranged_ = false;
    TimePoint nextLook_; // earliest time of the next look by reconsiderLater()
    CrashWatch crashes_;
    std::map<std::string, RetryWindow> retryWindows_;
    std::unordered_map<std::uint64_t, SlidingCount> coldSends_; // by target hash
    std::map<std::string, KeptObjects> kept_; // by service
    std::map<std::string, Duration> roundTrips_; // by zone
    std::function<void(const WarmObject *)> onChange_;
    std::optional<TimePoint> end_;
    std::size_t pending_ = 0;
};

} // namespace chestnutvane
