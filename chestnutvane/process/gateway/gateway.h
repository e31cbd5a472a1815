// Request path of the gateway: from a caller's request to the response of a target.
//
// Each instance places requests on targets on its own. It knows the load of the targets from its
// own attempts and from the reports of the other instances. Requests that no target can run at once
// wait in one queue per service, the most important first.
//
// Example:
//
//   Gateway gateway(io, settings, metrics);
//   gateway.setRoutes(table);
//   gateway.registry().replaceAll(entries, now, RemovalPolicy::Immediate);
//   gateway.handle(call);
//
// Not thread-safe: everything runs on the io_context's single thread.
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
#include "chestnutvane/process/gateway/admission/arrival_rates.h"
#include "chestnutvane/process/gateway/admission/shutdown_admission.h"
#include "chestnutvane/process/gateway/admission/team_quota.h"
#include "chestnutvane/process/gateway/admission/team_shares.h"
#include "chestnutvane/process/gateway/admission/unknown_keys.h"
#include "chestnutvane/process/gateway/fleet/load_report.h"
#include "chestnutvane/process/gateway/gateway_settings.h"
#include "chestnutvane/process/gateway/limits/crash_watch.h"
#include "chestnutvane/process/gateway/limits/send_limits.h"
#include "chestnutvane/process/gateway/split_choice.h"
#include "chestnutvane/process/gateway/store/learned_state.h"
#include "chestnutvane/process/gateway/target_registry.h"
#include "chestnutvane/process/gateway/work/placement.h"
#include "chestnutvane/process/gateway/work/work_times.h"
#include "chestnutvane/process/metrics.h"
#include "chestnutvane/version/route_table.h"
#include "chestnutvane/version/team_access.h"

namespace chestnutvane {

// A caller's request that has not been answered yet.
struct PendingRequest
{
    explicit PendingRequest(net::io_context &io) : deadlineTimer(io) { }

    Call call;
    // Route table of the revision that applies to the request.
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    int importance = 0; // of the team before that of the route; 0 is the most important
    // What the newest revision that has a route for the request says of it; the rest of the route
    // is bound at its arrival.
    std::string team; // the caller's team; empty: none
    std::uint64_t teamKey = 0; // Team::id; 0: none
    std::optional<std::vector<std::string>> homeRegions; // that may serve it; nothing: any
    std::uint32_t quotaKey = 0; // of the team whose quota was charged; 0: none
    Duration quotaRetryAfter{0}; // if its team is over the quota
    std::shared_ptr<const RouteTable> policyTable; // the revision of these fields
    std::string service;
    std::string id;
    std::uint64_t object = 0; // key of the object; 0: no object affinity
    TimePoint aimAt; // when the latency aim of the route passes
    TimePoint deadlineAt; // the caller's deadline or the route's time limit, whichever is first
    int runs = 0; // attempts that a target may have executed
    int arrivals = 0; // attempts that reached a target
    int connectFailures = 0;
    // Hashes of targets that get no further attempt of this request.
    std::vector<std::uint64_t> triedTargets;
    // Failure response of a target, delivered if no retry follows.
    std::optional<HttpResponseMessage> failureResponse;
    std::shared_ptr<TargetExchange> exchange;
    std::shared_ptr<Target> target;
    bool sentWarm = false; // the target was considered warm for the object
    bool sentAhead = false; // the target was considered to have no free slot
    // Depth of the object in the LRU list of the target when the request was sent, if it was
    // listed.
    std::optional<std::size_t> sentObjectDepth;
    // The last target refused the request while it had a free slot.
    bool refusedWithFreeSlot = false;
    WorkEstimate sentEstimate;
    Duration expectedResponseTime{0}; // as estimated in the last placement pass
    std::size_t candidateCount = 0; // candidate targets in that pass
    std::size_t queueSize = 0; // waiting requests of the service in that pass
    std::uint64_t plannedTarget = 0; // hash of the target it waits for; 0: not placed yet
    bool waitLogged = false;
    bool callerGone = false; // left while an at-most-once attempt was in flight
    net::steady_timer deadlineTimer;
    bool done = false;
};

// Time reserved before the aim for the way from this instance to the caller: twice the usual
// transit time.
inline constexpr Milliseconds callerTransitTime{8};

// Targets of a later tier are candidates only if there is none of an earlier one.
enum class TargetTier {
    Usable,
    InBackOff, // after failures
    Leaving, // said that it shuts down, and still serves
};

// State of an eligible target during one placement pass.
struct TargetSnapshot
{
    std::shared_ptr<Target> target;
    Candidate shared; // the values that are the same for all requests of the pass
    double peerQueueLength = 0; // waiting requests of other instances per target of the region
    TargetTier tier = TargetTier::Usable;
};

// Which waiting requests a placement pass covers.
enum class PassScope {
    Affected, // those affected by the event that triggered the pass
    All,
};

class Gateway
{
public:
    Gateway(net::io_context &io, const GatewaySettings &settings, Metrics &metrics);

    // Accepts a caller's request.
    void handle(Call call);

    // Decides on a request whose body is not complete. Returns the answer if the request can be
    // refused without its body; otherwise sets its importance.
    [[nodiscard]] std::optional<HttpResponseMessage> refuseHead(const HttpRequestMessage &head,
                                                                int &importance);

    // Applies a revision to all requests that arrive from now on.
    void setRoutes(std::shared_ptr<const RouteTable> table);
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const { return table_; }

    TargetRegistry &registry() { return registry_; }
    FleetView &fleet() { return fleet_; }
    [[nodiscard]] const FleetView &fleet() const { return fleet_; }

    // Schedules a placement pass over all waiting requests, after a change of targets or instances.
    void scheduleFullPasses();

    // Like scheduleFullPasses(), but with a minimum interval. For frequent events: a large fleet
    // sends several hundred reports a second, too many for a pass each.
    void scheduleThrottledPasses();

    // Applies the warm objects of a peer's report.
    void applyWarmObjects(const std::vector<WarmObject> &warmObjects);

    // Returns the learned state: run times, warm capacities, and the warm objects of the targets in
    // the same region.
    [[nodiscard]] LearnedState learnedState() const;

    // Sets a function that returns how long ago the configuration was last known to be the newest.
    void setConfigurationAge(std::function<Milliseconds()> function)
    {
        configurationAge_ = std::move(function);
    }

    // Applies what a peer reported of the quotas of teams, and how many instances it hears; `age`
    // is the time since the report was composed.
    void applyQuotaUsage(const PeerIdentity &peer, const std::vector<TeamUsage> &usage,
                         int heardThere, Duration age);
    // Sets the quota figures of a report.
    void fillQuotaReport(LoadReport &report);

    // Call when a target ended without draining: it restarted or is no longer registered.
    void onTargetEnded(const std::string &id) { chargeLostRequests(reportKey(hash64(id))); }

    // Crash counts of requests: those to send in reports, and those received in a report.
    [[nodiscard]] std::vector<CrashCount> crashCountsToReport() const
    {
        return crashWatch_.countsToReport(Clock::now());
    }
    void applyCrashCounts(std::span<const CrashCount> counts)
    {
        crashWatch_.merge(counts, Clock::now());
    }

    // Applies the uses of teams of another instance's report.
    void applyTeamUses(std::uint64_t incarnation, std::span<const TeamUse> uses)
    {
        teamShares_.applyReport(incarnation, uses, Clock::now());
    }

    // Sets a function that is called when requests were charged with a crash, so that the other
    // instances hear of it at once.
    void setOnCrashCharged(std::function<void()> function)
    {
        onCrashCharged_ = std::move(function);
    }

    // Sets the instances that the store lists. They share the common limits also before their first
    // report arrives.
    void setListedInstances(const std::vector<PeerIdentity> &instances);

    // Adds state that instances learned earlier. State learned by this instance takes precedence;
    // targets that have restarted since are left out.
    void restoreLearnedState(const LearnedState &state);

    // Applies the speeds that targets stated to a peer.
    void applyStatedSpeeds(std::span<const StatedSpeed> speeds);

    // Sets the load figures of a report: attempts in flight, waiting requests and the speeds that
    // targets stated.
    void fillReport(LoadReport &report) const;

    // Sets a function that is called when the load figures change. Its argument is the warm object
    // of a new attempt, or null.
    void setOnLoadChange(std::function<void(const WarmObject *)> function)
    {
        onLoadChange_ = std::move(function);
    }

    // Begins the graceful shutdown. Requests that may not be answered before its end are refused
    // from now on, those that wait included.
    void beginShutdown(const ShutdownWindow &window);

    // The number of requests that have not been answered yet.
    [[nodiscard]] std::size_t pendingRequests() const { return pendingCount_; }

    // Decays the failure rates and run time factors of targets, and expires old state. Call twice a
    // second.
    void tick();

private:
    using Pending = std::shared_ptr<PendingRequest>;
    using Queue = std::vector<Pending>;

    // Request intake (gateway.cc).
    [[nodiscard]] Pending makePending(Call call, const Route &route, const Access &access);
    // Logs the refusal of a request that gets no place in a queue, and returns its answer.
    [[nodiscard]] HttpResponseMessage refusalAtArrival(const HttpRequestMessage &request,
                                                       http::status status, std::string_view reason,
                                                       Duration retryAfter) const;
    // As above, for a request whose key no team holds, or that needs a key and has none.
    [[nodiscard]] HttpResponseMessage denial(const HttpRequestMessage &request,
                                             const Access &access);
    [[nodiscard]] Access accessFor(const HttpRequestMessage &request, const RouteTable &table,
                                   const Route &route) const;
    static void setPolicy(PendingRequest &pending, std::shared_ptr<const RouteTable> table,
                          const Route &route, const Team *team);
    // Quotas of teams (gateway_quota.cc).
    //
    // Charges the quota of the request's team. Returns false if the team is over it.
    [[nodiscard]] bool chargeQuota(PendingRequest &pending);
    // Gives the charge back if no target has run the request.
    void returnQuota(PendingRequest &pending);
    // Updates the number of instances that share quotas, and forgets those that are no longer
    // known.
    void updateQuotaInstances();
    void enqueue(const Pending &pending);
    void dequeue(const Pending &pending);
    void onCallerDisconnected(const Pending &pending);
    void onDeadline(const Pending &pending);

    // Turns of waiting requests, and returns of refused callers (gateway_admission.cc).
    //
    // Puts the waiting requests of a service in the order of placement. Returns those to place in
    // this pass; late ones that leave the free slots to others are not among them.
    [[nodiscard]] Queue orderQueue(const std::string &service,
                                   const std::vector<TargetSnapshot> &snapshots, TimePoint now);
    [[nodiscard]] bool isHeld(const PendingRequest &pending, const WorkEstimate &work,
                              const std::vector<TargetSnapshot> &snapshots, TimePoint now) const;
    // Whether a request is sent to a target without a free slot, to be queued there.
    [[nodiscard]] bool isQueuedAtTarget(const PendingRequest &pending, const Candidate &candidate,
                                        const WorkEstimate &work, TimePoint now) const;
    // Updates the shares of teams, and the metrics of those above their share.
    void updateTeamShares(TimePoint now);
    // Counts a request that arrived.
    void countArrival(const PendingRequest &pending, TimePoint now);
    // Returns the Retry-After time of a request that is refused for lack of room.
    [[nodiscard]] Duration retryAfterForRoom(const PendingRequest &pending,
                                             const WorkEstimate &work, TimePoint now);
    // The number of serving instances in this region, this one included.
    [[nodiscard]] std::size_t instancesInRegion(TimePoint now) const;

    // Placement (gateway_placing.cc).
    void schedulePass(const std::string &service, PassScope scope);
    // Runs a placement pass over the waiting requests of a service. With a long queue, a pass of
    // scope Affected covers only new requests, those that wait for a target of freedTargets_, and
    // the head of the queue.
    void runPass(const std::string &service, PassScope scope);
    [[nodiscard]] std::vector<TargetSnapshot> snapshotTargets(const std::string &service,
                                                              TimePoint now);
    // Sets the candidates for a request, without the targets it has tried, and their indices in
    // snapshots.
    void fillCandidates(const PendingRequest &pending, const std::vector<TargetSnapshot> &snapshots,
                        std::vector<Candidate> &candidates, std::vector<std::size_t> &indices);
    // Applies the newest revision to the team and home regions of a request that waits. Returns
    // whether the request may still be served.
    [[nodiscard]] bool updatePolicy(PendingRequest &pending) const;
    // Answers a request whose key was taken away while it waited.
    void answerRevoked(const Pending &pending);
    [[nodiscard]] bool isSendAllowed(const std::string &service, const Target &target,
                                     TimePoint now);
    [[nodiscard]] bool shouldSendFirstRequest(const Target &target, TimePoint now) const;
    [[nodiscard]] std::size_t coldPhaseShare(const std::string &service, const Target &target,
                                             TimePoint now) const;
    [[nodiscard]] InstanceRank rankFor(const Target &target, TimePoint now) const;
    // Whether a report of the instance arrived so recently that it may still send requests.
    [[nodiscard]] bool isHeard(const std::string &instance, TimePoint now) const;
    // Whether the other instances that share the common limits are known.
    [[nodiscard]] bool areInstancesKnown(TimePoint now) const;
    // The number of instances that share the common limits; the highest number until it is known.
    [[nodiscard]] std::size_t instanceCount(TimePoint now) const;
    [[nodiscard]] Duration roundTrip(const Target &target) const;
    // Returns the earliest end of a pause of a target that may serve the request; nothing if none
    // pauses. `isUntried` leaves out those that were tried.
    [[nodiscard]] std::optional<TimePoint> earliestReturn(const PendingRequest &pending,
                                                          TimePoint now, bool isUntried) const;
    // Lets a request without a candidate wait for the end of a pause, or answers it at once.
    void awaitReturnOrAnswer(const Pending &pending, TimePoint now);

    // Attempts and their results (gateway_attempts.cc).
    void send(const Pending &pending, const std::shared_ptr<Target> &target,
              const Candidate &candidate, const WorkEstimate &work);
    [[nodiscard]] std::shared_ptr<HttpRequestMessage>
    makeMessage(const PendingRequest &pending, const Target &target, TimePoint now) const;
    void onResult(const Pending &pending, ExchangeResult result);
    void onAnswer(const Pending &pending, TargetAnswer answer, Duration run);
    void onFailure(const Pending &pending, const ExchangeError &failure, bool reused);
    void releaseSlot(const Pending &pending);
    // Applies what a target says of itself in an answer.
    void applyTargetWord(const PendingRequest &pending, const TargetAnswer &answer, TimePoint now);
    void markLeaving(Target &target, const std::string &requestId, TimePoint now);
    [[nodiscard]] static std::uint64_t requestFingerprint(const PendingRequest &pending);
    [[nodiscard]] bool isCrashSuspect(const PendingRequest &pending) const;
    void chargeLostRequests(std::uint64_t target);
    // Finds out whether a target that lost a request has ended, and charges its requests if so.
    void probeAfterLoss(Target &target, TimePoint now);
    void recordFailure(Target &target, const ExchangeError &failure, bool reused, TimePoint now);
    // Retries the request if that is allowed; otherwise answers it.
    void retryOrAnswer(const Pending &pending, std::string_view reason);
    // Answers a request that gets no further attempt, with the best that is known of it. If it has
    // not run, it is refused with the Retry-After time.
    void answerUnserved(const Pending &pending, std::string_view reason, Duration retryAfter);
    void deliver(const Pending &pending, HttpResponseMessage message, std::string_view outcome);
    // Upper limit of the Retry-After time in refusals, unless targets asked for a longer pause.
    static constexpr Duration maxRetryAfter = Milliseconds(1500);
    // Retry-After time if another attempt may succeed at once.
    static constexpr Duration immediateRetryAfter = Milliseconds(10);
    // Refuses a request that has not run, with 429 or 503.
    void refuse(const Pending &pending, http::status status, std::string_view reason,
                Duration retryAfter);
    void answerWithError(const Pending &pending, http::status status, std::string_view reason);
    void finish(const Pending &pending, HttpResponseMessage message);
    // Counts the result of a request of a team, under a bounded number of labels.
    void countForTeam(const PendingRequest &pending, std::string_view result);
    void notifyLoadChange(const WarmObject *warmObject);

    // Cost of requests and speed of targets (gateway_work.cc).
    [[nodiscard]] bool isPlacedByWork(const std::string &service) const;
    // Applies the speed that a target stated with an answer.
    void hearSpeed(Target &target, const TargetAnswer &answer, TimePoint now);
    // Learns from a run of a service that is placed by work.
    void learnWork(const PendingRequest &pending, const TargetAnswer &answer, Duration run,
                   TimePoint now);
    // Learns from a run of another service.
    void learnRunTime(const PendingRequest &pending, Duration run, TimePoint now);
    void fillStatedSpeeds(LoadReport &report) const;
    RetryLimiter &retryLimiterOf(const std::string &service);
    WarmCapacityEstimator &warmCapacityOf(const std::string &service);

    net::io_context &io_;
    const GatewaySettings &settings_;
    Metrics &metrics_;
    std::string region_;
    std::shared_ptr<const RouteTable> table_;
    TargetRegistry registry_;
    FleetView fleet_;
    // Zones, by id, of listed instances that were not heard when the list was read.
    std::map<std::string, std::string> unheardZones_;
    bool isInstanceListRead_ = false;
    TimePoint createdAt_ = Clock::now();
    RunTimeEstimator runTimes_;
    SplitChoice splits_;
    TargetPool pool_;
    PlacementSettings placementSettings_;
    std::map<std::string, Queue> queues_; // by service, in the order of placement
    // By service; nothing: none scheduled.
    std::map<std::string, std::optional<PassScope>> scheduledPasses_;
    std::map<std::string, std::set<std::uint64_t>> freedTargets_; // by service, since its last pass
    net::steady_timer passTimer_;
    bool isPassTimerSet_ = false;
    TimePoint earliestFullPass_; // lower limit for scheduleThrottledPasses()
    CrashWatch crashWatch_;
    TeamShares teamShares_{createdAt_};
    std::map<std::string, ArrivalRates> arrivalRates_; // by service
    std::map<std::string, SlidingWindowCounter> refusals_; // for lack of room, by service
    std::map<std::string, RetryLimiter> retryLimiters_;
    std::unordered_map<std::uint64_t, SlidingWindowCounter> coldStartAttempts_; // by target hash
    std::map<std::string, WarmCapacityEstimator> warmCapacities_; // by service
    std::map<std::string, Duration> roundTrips_; // by zone
    std::map<std::string, std::size_t> regionNumbers_; // for Candidate::region
    std::map<std::string, double> responseSizes_; // mean in bytes, by route
    std::function<void(const WarmObject *)> onLoadChange_;
    std::function<void()> onCrashCharged_;
    std::function<Milliseconds()> configurationAge_;
    UnknownKeys unknownKeys_;
    TeamQuotas quotas_;
    bool hasQuotas_ = false;
    std::map<std::string, std::uint64_t> quotaPeers_; // incarnations by instance id
    std::set<std::string> listedInstances_; // other instances, as the store last listed them
    std::set<std::string> labelledTeams_; // teams with metrics of their own
    // Outlived by the callbacks of probes, which check it.
    std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
    std::optional<ShutdownWindow> shutdown_;
    net::steady_timer shutdownTimer_; // the end of shutdownSendTime
    net::steady_timer pauseTimer_; // the earliest end of a pause that a request waits for
    std::size_t pendingCount_ = 0;
    std::set<std::string> speedTellingServices_; // whose targets state their speed
    struct SpeedToReport
    {
        int percent = 0;
        TimePoint statedAt;
    };
    std::map<std::uint64_t, SpeedToReport> speedsToReport_; // by target hash
};

} // namespace chestnutvane
