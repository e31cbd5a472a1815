#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "chestnutvane/process/fault_policies.h"
#include "chestnutvane/process/grant_holder.h"
#include "chestnutvane/process/headroom.h"
#include "chestnutvane/process/slot_broker.h"
#include "chestnutvane/request/fallback_region.h"

namespace chestnutvane {
namespace {

constexpr double tickIntervalMs = 10;
constexpr double heldListIntervalMs = 200;
constexpr double headroomReportIntervalMs = 1000;
// A request waits at most this long after the death of its unit's broker for a new one, if another
// region has headroom (design, section 7.5).
constexpr double maxBrokerWaitMs = 100;
const std::string service = "service";

class BrokerPolicy : public FaultPolicy
{
public:
    explicit BrokerPolicy(FaultSimulation &simulation)
        : simulation_(simulation), settings_(simulation.settings()),
          units_(simulation.settings().regions), attempts_(simulation.requests.size())
    {
        for (int i = 0; i < settings_.regions * settings_.instances; ++i)
            holders_.emplace_back(holderIdOf(i));
        for (int region = 0; region < settings_.regions; ++region)
            takeRole(region, region * settings_.instances);
        tick();
        sendHeldLists();
        reportHeadroom();
    }

    void requestArrived(std::size_t request) override
    {
        requestGrant(request, simulation_.regionOf(simulation_.requests[request].instance));
    }

    void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) override;
    void reportReceived(const FaultReport &report) override;
    void instanceDied(int instance) override;

private:
    struct Unit
    {
        std::optional<SlotBroker> broker;
        int instance = -1; // on which the broker runs
        std::uint64_t epoch = 0;
        double brokerLostAt = 0; // when the previous broker died
        std::vector<std::size_t> awaitingBroker; // requests that wait for a new broker
    };
    // The grant requests of one request.
    struct GrantAttempt
    {
        std::uint32_t triedRegions = 0; // bit set of the regions that could not serve the request
        int region = 0; // whose broker got the latest grant request
        std::uint64_t sequence = 0;
        GrantId grant;
        double dispatchedAt = 0;
    };

    static HolderId holderIdOf(int instance) { return {1, static_cast<std::uint64_t>(instance)}; }
    static int instanceOf(const HolderId &holder) { return static_cast<int>(holder.low); }
    static std::string regionName(int region) { return std::to_string(region); }
    TimePoint now() const { return modelTime(simulation_.schedule.now()); }
    Unit &unit(int region) { return units_[static_cast<std::size_t>(region)]; }
    GrantHolder &holderOf(std::size_t request)
    {
        return holders_[static_cast<std::size_t>(simulation_.requests[request].instance)];
    }

    void takeRole(int region, int instance);
    void requestHeldGrants(int region);
    void requestGrant(std::size_t request, int region);
    void awaitBroker(std::size_t request, int region);
    void fallBack(std::size_t request, Reason reason);
    std::vector<FallbackRegion> candidates(std::size_t request) const;
    void grantArrived(std::size_t request, int region, const GrantEffect &grant);
    void release(int region, int instance, const GrantId &id, GrantResult result, double serviceMs);
    void tick();
    void sendHeldLists();
    void reportHeadroom();

    // Calls a member function of a region's broker, if it has one, and sends the effects.
    template <class Function, class... Arguments>
    void callBroker(int region, Function function, const Arguments &...arguments)
    {
        Unit &it = unit(region);
        if (!it.broker)
            return;
        BrokerEffects effects;
        ((*it.broker).*function)(arguments..., now(), simulation_.random(), effects);
        for (const BrokerEffect &effect : effects)
            sendEffect(region, effect);
    }

    // Sends a message: runs its handler after the delay, if the receiving instance is alive then.
    void sendMessage(int from, int to, std::function<void()> handler)
    {
        simulation_.schedule.after(simulation_.delay(from, to),
                                   [this, to, handler = std::move(handler)] {
                                       if (simulation_.isAlive(to))
                                           handler();
                                   });
    }

    void sendEffect(int region, const BrokerEffect &effect);

    FaultSimulation &simulation_;
    const FaultModelSettings settings_;
    std::vector<Unit> units_; // by region
    std::vector<GrantHolder> holders_; // by instance
    std::vector<GrantAttempt> attempts_; // by request
    // Requests by instance and sequence number of the grant request.
    std::map<std::pair<int, std::uint64_t>, std::size_t> requestIndexes_;
    HeadroomTable headroom_;
};

void BrokerPolicy::takeRole(int region, int instance)
{
    Unit &it = unit(region);
    ++it.epoch;
    it.instance = instance;
    it.broker.emplace(it.epoch,
                      BrokerSettings{.longestGrantTime = modelDuration(settings_.deadlineMs),
                                     .warmStart = true});
    std::vector<BrokerTarget> targets;
    for (std::size_t i = 0; i < simulation_.targets.size(); ++i) {
        if (simulation_.targets[i].region == region)
            targets.push_back({i, settings_.slots, false, simulation_.targets[i].leaving});
    }
    std::vector<HolderId> earlierHolders;
    for (std::size_t i = 0; it.epoch > 1 && i < holders_.size(); ++i)
        earlierHolders.push_back(holderIdOf(static_cast<int>(i)));
    it.broker->allowGrantsUntil(TimePoint::max());
    callBroker(region, &SlotBroker::setTargets, targets);
    callBroker(region, &SlotBroker::startRebuild, earlierHolders);
    if (!earlierHolders.empty())
        requestHeldGrants(region);
    for (const std::size_t request : std::exchange(it.awaitingBroker, {})) {
        if (!simulation_.requests[request].ended
            && simulation_.isAlive(simulation_.requests[request].instance))
            requestGrant(request, region);
    }
}

void BrokerPolicy::requestHeldGrants(int region)
{
    const Unit &it = unit(region);
    for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
        if (!simulation_.isAlive(i)) {
            callBroker(region, &SlotBroker::holderDied, holderIdOf(i));
            continue;
        }
        sendMessage(it.instance, i, [this, region, i, epoch = it.epoch, from = it.instance] {
            const RebuildRequest rebuildRequest{static_cast<UnitId>(region), epoch};
            auto held = holders_[static_cast<std::size_t>(i)].answerRebuild(rebuildRequest, now());
            sendMessage(i, from, [this, region, held = std::move(held)] {
                callBroker(region, &SlotBroker::heldReport, held);
            });
        });
    }
}

void BrokerPolicy::requestGrant(std::size_t index, int region)
{
    const FaultRequest &request = simulation_.requests[index];
    Unit &it = unit(region);
    GrantAttempt &attempt = attempts_[index];
    attempt.region = region;
    if (!it.broker) {
        awaitBroker(index, region);
        return;
    }
    GrantRequest message;
    message.holder = holderIdOf(request.instance);
    message.importance = 0;
    message.queueLimit = modelDuration(settings_.queueLimitMs);
    message.remaining =
            modelDuration(settings_.deadlineMs - (simulation_.schedule.now() - request.sentAt));
    message.tried = request.tried;
    message.sequence =
            holderOf(index).startRequest(static_cast<UnitId>(region), 0, now(), message.remaining);
    attempt.sequence = message.sequence;
    requestIndexes_[{request.instance, message.sequence}] = index;
    sendMessage(request.instance, it.instance, [this, region, message] {
        callBroker(region, &SlotBroker::request, message, SuspectVerdict::Allowed);
    });
}

// Holds the request until the region has a broker. After the longest wait the request falls back to
// another region.
void BrokerPolicy::awaitBroker(std::size_t request, int region)
{
    Unit &it = unit(region);
    it.awaitingBroker.push_back(request);
    double waitMs = settings_.queueLimitMs;
    for (const FallbackRegion &candidate : candidates(request)) {
        if (hasSpareCapacity(candidate))
            waitMs = std::max(0.0, it.brokerLostAt + maxBrokerWaitMs - simulation_.schedule.now());
    }
    simulation_.schedule.after(waitMs, [this, request, region] {
        if (std::erase(unit(region).awaitingBroker, request) > 0
            && !simulation_.requests[request].ended)
            fallBack(request, Reason::BrokerUnreachable);
    });
}

std::vector<FallbackRegion> BrokerPolicy::candidates(std::size_t request) const
{
    std::vector<FallbackRegion> result;
    for (int region = 0; region < settings_.regions; ++region) {
        if (region == attempts_[request].region
            || (attempts_[request].triedRegions >> region & 1U) != 0)
            continue;
        result.push_back({.region = static_cast<std::uint16_t>(region),
                          .headroom = headroom_.headroom(service, regionName(region), now()),
                          .slots = static_cast<double>(settings_.targets * settings_.slots),
                          .linkShare = 1});
    }
    return result;
}

void BrokerPolicy::fallBack(std::size_t request, Reason reason)
{
    GrantAttempt &attempt = attempts_[request];
    attempt.triedRegions |= 1U << attempt.region;
    const auto others = candidates(request);
    const double point = static_cast<double>(simulation_.random() >> 11U) * 0x1.0p-53;
    if (const auto chosen = chooseFallback(others, reason, point))
        requestGrant(request, others[*chosen].region);
    else
        simulation_.refuse(request);
}

void BrokerPolicy::sendEffect(int region, const BrokerEffect &effect)
{
    const int from = unit(region).instance;
    if (const auto *grant = std::get_if<GrantEffect>(&effect)) {
        const int to = instanceOf(grant->holder);
        const auto found = requestIndexes_.find({to, grant->sequence});
        sendMessage(from, to, [this, region, request = found->second, it = *grant] {
            grantArrived(request, region, it);
        });
    } else if (const auto *refusal = std::get_if<RefusalEffect>(&effect)) {
        const int to = instanceOf(refusal->holder);
        const auto found = requestIndexes_.find({to, refusal->sequence});
        sendMessage(from, to, [this, request = found->second, it = *refusal] {
            if (simulation_.requests[request].ended || attempts_[request].sequence != it.sequence)
                return;
            holderOf(request).abandon(it.sequence);
            headroom_.recordOwnOutcome(service, regionName(attempts_[request].region),
                                       OwnOutcome::Refused, now());
            fallBack(request, it.reason);
        });
    }
}

void BrokerPolicy::grantArrived(std::size_t request, int region, const GrantEffect &grant)
{
    const GrantAnswer answer{.unit = static_cast<UnitId>(region),
                             .sequence = grant.sequence,
                             .id = grant.id,
                             .target = grant.target,
                             .probe = grant.probe,
                             .alone = grant.alone};
    switch (holderOf(request).accept(answer, now()).verdict) {
    case GrantVerdict::Accepted:
        attempts_[request].grant = grant.id;
        attempts_[request].dispatchedAt = simulation_.schedule.now();
        simulation_.send(request, grant.target);
        break;
    case GrantVerdict::OldEpoch:
        break;
    case GrantVerdict::NotWaiting:
    case GrantVerdict::Expired:
        release(region, simulation_.requests[request].instance, grant.id, GrantResult::NotSent, 0);
        break;
    }
}

void BrokerPolicy::exchangeEnded(std::size_t index, std::size_t target, GrantResult result)
{
    const GrantAttempt &attempt = attempts_[index];
    const FaultRequest &request = simulation_.requests[index];
    holderOf(index).finish(attempt.grant, static_cast<UnitId>(attempt.region));
    requestIndexes_.erase({request.instance, attempt.sequence});
    release(attempt.region, request.instance, attempt.grant, result,
            simulation_.schedule.now() - attempt.dispatchedAt);
    if (result == GrantResult::Succeeded)
        headroom_.recordOwnOutcome(service, regionName(attempt.region), OwnOutcome::Served, now());
    if (result != GrantResult::ConnectFailed)
        return;
    simulation_.requests[index].tried.add(target);
    requestGrant(index, attempt.region);
}

void BrokerPolicy::release(int region, int instance, const GrantId &id, GrantResult result,
                           double serviceMs)
{
    sendMessage(instance, unit(region).instance, [this, region, instance, id, result, serviceMs] {
        callBroker(region, &SlotBroker::release, holderIdOf(instance), id, result,
                   modelDuration(serviceMs));
    });
}

void BrokerPolicy::reportReceived(const FaultReport &report)
{
    const TargetReport message{.target = report.target,
                               .load = static_cast<double>(report.load) / settings_.slots,
                               .leaving = report.leaving,
                               .startId = report.startId};
    callBroker(simulation_.targets[report.target].region, &SlotBroker::targetReport, message);
}

// The brokers learn of the death, and the next instance takes the role of a dead broker, when the
// lease of the dead instance expires.
void BrokerPolicy::instanceDied(int instance)
{
    const int region = simulation_.regionOf(instance);
    const bool wasBroker = unit(region).broker && unit(region).instance == instance;
    if (wasBroker) {
        unit(region).broker.reset();
        unit(region).brokerLostAt = simulation_.schedule.now();
        for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
            GrantHolder &holder = holders_[static_cast<std::size_t>(i)];
            for (const std::uint64_t sequence : holder.waiting(static_cast<UnitId>(region))) {
                holder.abandon(sequence);
                const std::size_t request = requestIndexes_.at({i, sequence});
                sendMessage(i, i, [this, request, region] { awaitBroker(request, region); });
            }
        }
    }
    simulation_.schedule.after(settings_.leaseMs, [this, instance, region, wasBroker] {
        for (int i = 0; i < settings_.regions; ++i)
            callBroker(i, &SlotBroker::holderDied, holderIdOf(instance));
        const int next = instance + 1;
        if (wasBroker && simulation_.regionOf(next) == region && simulation_.isAlive(next))
            takeRole(region, next);
    });
}

void BrokerPolicy::tick()
{
    for (int region = 0; region < settings_.regions; ++region)
        callBroker(region, &SlotBroker::tick);
    if (simulation_.isRunning())
        simulation_.schedule.after(tickIntervalMs, [this] { tick(); });
}

void BrokerPolicy::sendHeldLists()
{
    for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
        for (int region = 0; region < settings_.regions && simulation_.isAlive(i); ++region) {
            if (!unit(region).broker)
                continue;
            auto held = holders_[static_cast<std::size_t>(i)].heldList(static_cast<UnitId>(region),
                                                                       now());
            sendMessage(i, unit(region).instance, [this, region, held = std::move(held)] {
                callBroker(region, &SlotBroker::heldReport, held);
            });
        }
    }
    if (simulation_.isRunning())
        simulation_.schedule.after(heldListIntervalMs, [this] { sendHeldLists(); });
}

void BrokerPolicy::reportHeadroom()
{
    for (int region = 0; region < settings_.regions; ++region) {
        const Unit &it = unit(region);
        if (!it.broker)
            continue;
        const BrokerStatus status = it.broker->status();
        const double free = it.broker->headroom() * status.slots;
        headroom_.report(service, regionName(region),
                         {.epoch = it.epoch,
                          .freeSlots = static_cast<std::uint32_t>(std::lround(free)),
                          .totalSlots = static_cast<std::uint32_t>(status.slots),
                          .queued = static_cast<std::uint32_t>(status.queued)},
                         now());
    }
    if (simulation_.isRunning())
        simulation_.schedule.after(headroomReportIntervalMs, [this] { reportHeadroom(); });
}

} // namespace

std::unique_ptr<FaultPolicy> makeBrokerPolicy(FaultSimulation &simulation)
{
    return std::make_unique<BrokerPolicy>(simulation);
}

} // namespace chestnutvane
