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

constexpr double tickMs = 10;
constexpr double heldListMs = 200;
constexpr double headroomReportMs = 1000;
// Design page, section 7.5: a unit without a broker is waited for this long in all when another
// region has room.
constexpr double brokerWaitMs = 100;
const std::string service = "service";

class BrokerPolicy : public FaultPolicy
{
public:
    explicit BrokerPolicy(FaultModelWorld &world)
        : world_(world), settings_(world.settings()), units_(world.settings().regions),
          asked_(world.requests.size())
    {
        for (int i = 0; i < settings_.regions * settings_.instances; ++i)
            holders_.emplace_back(idOf(i));
        for (int region = 0; region < settings_.regions; ++region)
            takeRole(region, region * settings_.instances);
        tick();
        sendHeldLists();
        reportHeadroom();
    }

    void arrive(std::size_t request) override
    {
        ask(request, world_.regionOf(world_.requests[request].instance));
    }

    void exchangeEnded(std::size_t request, std::size_t target, GrantResult result) override;
    void report(const FaultReport &report) override;
    void instanceDied(int instance) override;

private:
    struct Unit
    {
        std::optional<SlotBroker> broker;
        int instance = -1; // of the broker
        std::uint64_t epoch = 0;
        double lostAt = 0; // when the last broker died
        std::vector<std::size_t> parked; // requests that wait for a new broker
    };
    // Where a request is.
    struct Asked
    {
        std::uint32_t regions = 0; // bit set of those whose broker could not serve it
        int region = 0; // of the broker asked last
        std::uint64_t sequence = 0;
        GrantId grant;
        double sentAt = 0;
    };

    static HolderId idOf(int instance) { return {1, static_cast<std::uint64_t>(instance)}; }
    static int instanceOf(const HolderId &holder) { return static_cast<int>(holder.low); }
    static std::string nameOf(int region) { return std::to_string(region); }
    TimePoint now() const { return modelTime(world_.schedule.now()); }
    Unit &unit(int region) { return units_[static_cast<std::size_t>(region)]; }
    GrantHolder &holderOf(std::size_t request)
    {
        return holders_[static_cast<std::size_t>(world_.requests[request].instance)];
    }

    void takeRole(int region, int instance);
    void askForHeldGrants(int region);
    void ask(std::size_t request, int region);
    void park(std::size_t request, int region);
    void fallBack(std::size_t request, Reason reason);
    std::vector<FallbackRegion> candidates(std::size_t request) const;
    void granted(std::size_t request, int region, const GrantEffect &grant);
    void release(int region, int instance, const GrantId &id, GrantResult result, double serviceMs);
    void tick();
    void sendHeldLists();
    void reportHeadroom();

    // Calls a function of a region's broker, if it has one, and sends the effects.
    template <class Function, class... Arguments>
    void call(int region, Function function, const Arguments &...arguments)
    {
        Unit &it = unit(region);
        if (!it.broker)
            return;
        BrokerEffects effects;
        ((*it.broker).*function)(arguments..., now(), world_.random(), effects);
        for (const BrokerEffect &effect : effects)
            deliver(region, effect);
    }

    // Runs a function at an instance, if it lives when the message arrives.
    void atInstance(int from, int to, std::function<void()> run)
    {
        world_.schedule.after(world_.delay(from, to), [this, to, run = std::move(run)] {
            if (world_.isAlive(to))
                run();
        });
    }

    void deliver(int region, const BrokerEffect &effect);

    FaultModelWorld &world_;
    const FaultModelSettings settings_;
    std::vector<Unit> units_; // by region
    std::vector<GrantHolder> holders_; // by instance
    std::vector<Asked> asked_; // by request
    std::map<std::pair<int, std::uint64_t>, std::size_t> requestOf_; // by instance and sequence
    HeadroomTable headroom_;
};

void BrokerPolicy::takeRole(int region, int instance)
{
    Unit &it = unit(region);
    ++it.epoch;
    it.instance = instance;
    it.broker.emplace(
            it.epoch,
            BrokerSettings{.longestGrant = modelDuration(settings_.deadlineMs), .warmStart = true});
    std::vector<BrokerTarget> targets;
    for (std::size_t i = 0; i < world_.targets.size(); ++i) {
        if (world_.targets[i].region == region)
            targets.push_back({i, settings_.slots, false, world_.targets[i].leaving});
    }
    std::vector<HolderId> earlier;
    for (std::size_t i = 0; it.epoch > 1 && i < holders_.size(); ++i)
        earlier.push_back(idOf(static_cast<int>(i)));
    it.broker->setAuthority(TimePoint::max());
    call(region, &SlotBroker::setTargets, targets);
    call(region, &SlotBroker::startRebuild, earlier);
    if (!earlier.empty())
        askForHeldGrants(region);
    for (const std::size_t request : std::exchange(it.parked, {})) {
        if (!world_.requests[request].ended && world_.isAlive(world_.requests[request].instance))
            ask(request, region);
    }
}

void BrokerPolicy::askForHeldGrants(int region)
{
    const Unit &it = unit(region);
    for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
        if (!world_.isAlive(i)) {
            call(region, &SlotBroker::holderGone, idOf(i));
            continue;
        }
        atInstance(it.instance, i, [this, region, i, epoch = it.epoch, from = it.instance] {
            const RebuildRequest question{static_cast<UnitId>(region), epoch};
            auto held = holders_[static_cast<std::size_t>(i)].answerRebuild(question, now());
            atInstance(i, from, [this, region, held = std::move(held)] {
                call(region, &SlotBroker::heldReport, held);
            });
        });
    }
}

void BrokerPolicy::ask(std::size_t index, int region)
{
    const FaultRequest &request = world_.requests[index];
    Unit &it = unit(region);
    Asked &asked = asked_[index];
    asked.region = region;
    if (!it.broker) {
        park(index, region);
        return;
    }
    GrantRequest message;
    message.holder = idOf(request.instance);
    message.importance = 0;
    message.queueLimit = modelDuration(settings_.queueLimitMs);
    message.remaining = modelDuration(settings_.deadlineMs - (world_.schedule.now() - request.at));
    message.tried = request.tried;
    message.sequence =
            holderOf(index).startRequest(static_cast<UnitId>(region), 0, now(), message.remaining);
    asked.sequence = message.sequence;
    requestOf_[{request.instance, message.sequence}] = index;
    atInstance(request.instance, it.instance, [this, region, message] {
        call(region, &SlotBroker::request, message, SuspectVerdict::Clear);
    });
}

// Waits for a broker; without one the request goes to another region.
void BrokerPolicy::park(std::size_t request, int region)
{
    Unit &it = unit(region);
    it.parked.push_back(request);
    double wait = settings_.queueLimitMs;
    for (const FallbackRegion &candidate : candidates(request)) {
        if (hasSpareCapacity(candidate))
            wait = std::max(0.0, it.lostAt + brokerWaitMs - world_.schedule.now());
    }
    world_.schedule.after(wait, [this, request, region] {
        if (std::erase(unit(region).parked, request) > 0 && !world_.requests[request].ended)
            fallBack(request, Reason::BrokerUnreachable);
    });
}

std::vector<FallbackRegion> BrokerPolicy::candidates(std::size_t request) const
{
    std::vector<FallbackRegion> result;
    for (int region = 0; region < settings_.regions; ++region) {
        if (region == asked_[request].region || (asked_[request].regions >> region & 1U) != 0)
            continue;
        result.push_back({.region = static_cast<std::uint16_t>(region),
                          .headroom = headroom_.headroom(service, nameOf(region), now()),
                          .slots = static_cast<double>(settings_.targets * settings_.slots),
                          .linkShare = 1});
    }
    return result;
}

void BrokerPolicy::fallBack(std::size_t request, Reason reason)
{
    Asked &asked = asked_[request];
    asked.regions |= 1U << asked.region;
    const auto others = candidates(request);
    const double point = static_cast<double>(world_.random() >> 11U) * 0x1.0p-53;
    if (const auto chosen = chooseFallback(others, reason, point))
        ask(request, others[*chosen].region);
    else
        world_.refuse(request);
}

void BrokerPolicy::deliver(int region, const BrokerEffect &effect)
{
    const int from = unit(region).instance;
    if (const auto *grant = std::get_if<GrantEffect>(&effect)) {
        const int to = instanceOf(grant->holder);
        const auto found = requestOf_.find({to, grant->sequence});
        atInstance(from, to, [this, region, request = found->second, it = *grant] {
            granted(request, region, it);
        });
    } else if (const auto *refusal = std::get_if<RefusalEffect>(&effect)) {
        const int to = instanceOf(refusal->holder);
        const auto found = requestOf_.find({to, refusal->sequence});
        atInstance(from, to, [this, request = found->second, it = *refusal] {
            if (world_.requests[request].ended || asked_[request].sequence != it.sequence)
                return;
            holderOf(request).abandon(it.sequence);
            headroom_.ownOutcome(service, nameOf(asked_[request].region), OwnOutcome::Refused,
                                 now());
            fallBack(request, it.reason);
        });
    }
}

void BrokerPolicy::granted(std::size_t request, int region, const GrantEffect &grant)
{
    const GrantAnswer answer{.unit = static_cast<UnitId>(region),
                             .sequence = grant.sequence,
                             .id = grant.id,
                             .target = grant.target,
                             .probe = grant.probe,
                             .alone = grant.alone};
    switch (holderOf(request).accept(answer, now()).verdict) {
    case GrantVerdict::Accepted:
        asked_[request].grant = grant.id;
        asked_[request].sentAt = world_.schedule.now();
        world_.send(request, grant.target);
        break;
    case GrantVerdict::OldEpoch:
        break;
    case GrantVerdict::NotWaiting:
    case GrantVerdict::Expired:
        release(region, world_.requests[request].instance, grant.id, GrantResult::NotSent, 0);
        break;
    }
}

void BrokerPolicy::exchangeEnded(std::size_t index, std::size_t target, GrantResult result)
{
    const Asked &asked = asked_[index];
    const FaultRequest &request = world_.requests[index];
    holderOf(index).finish(asked.grant, static_cast<UnitId>(asked.region));
    requestOf_.erase({request.instance, asked.sequence});
    release(asked.region, request.instance, asked.grant, result,
            world_.schedule.now() - asked.sentAt);
    if (result == GrantResult::Succeeded)
        headroom_.ownOutcome(service, nameOf(asked.region), OwnOutcome::Served, now());
    if (result != GrantResult::ConnectFailed)
        return;
    world_.requests[index].tried.add(target);
    ask(index, asked.region);
}

void BrokerPolicy::release(int region, int instance, const GrantId &id, GrantResult result,
                           double serviceMs)
{
    atInstance(instance, unit(region).instance, [this, region, instance, id, result, serviceMs] {
        call(region, &SlotBroker::release, idOf(instance), id, result, modelDuration(serviceMs));
    });
}

void BrokerPolicy::report(const FaultReport &report)
{
    const TargetReport message{.target = report.target,
                               .load = static_cast<double>(report.load) / settings_.slots,
                               .leaving = report.leaving,
                               .startId = report.startId};
    call(world_.targets[report.target].region, &SlotBroker::targetReport, message);
}

// The lease of the dead instance shows its death to the brokers, and frees its own role.
void BrokerPolicy::instanceDied(int instance)
{
    const int region = world_.regionOf(instance);
    const bool wasBroker = unit(region).broker && unit(region).instance == instance;
    if (wasBroker) {
        unit(region).broker.reset();
        unit(region).lostAt = world_.schedule.now();
        for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
            GrantHolder &holder = holders_[static_cast<std::size_t>(i)];
            for (const std::uint64_t sequence : holder.waiting(static_cast<UnitId>(region))) {
                holder.abandon(sequence);
                const std::size_t request = requestOf_.at({i, sequence});
                atInstance(i, i, [this, request, region] { park(request, region); });
            }
        }
    }
    world_.schedule.after(settings_.leaseMs, [this, instance, region, wasBroker] {
        for (int i = 0; i < settings_.regions; ++i)
            call(i, &SlotBroker::holderGone, idOf(instance));
        const int next = instance + 1;
        if (wasBroker && world_.regionOf(next) == region && world_.isAlive(next))
            takeRole(region, next);
    });
}

void BrokerPolicy::tick()
{
    for (int region = 0; region < settings_.regions; ++region)
        call(region, &SlotBroker::tick);
    if (world_.isRunning())
        world_.schedule.after(tickMs, [this] { tick(); });
}

void BrokerPolicy::sendHeldLists()
{
    for (int i = 0; i < static_cast<int>(holders_.size()); ++i) {
        for (int region = 0; region < settings_.regions && world_.isAlive(i); ++region) {
            if (!unit(region).broker)
                continue;
            auto held = holders_[static_cast<std::size_t>(i)].heldList(static_cast<UnitId>(region),
                                                                       now());
            atInstance(i, unit(region).instance, [this, region, held = std::move(held)] {
                call(region, &SlotBroker::heldReport, held);
            });
        }
    }
    if (world_.isRunning())
        world_.schedule.after(heldListMs, [this] { sendHeldLists(); });
}

void BrokerPolicy::reportHeadroom()
{
    for (int region = 0; region < settings_.regions; ++region) {
        const Unit &it = unit(region);
        if (!it.broker)
            continue;
        const BrokerStatus status = it.broker->status();
        const double free = it.broker->headroom() * status.slots;
        headroom_.report(service, nameOf(region),
                         {.epoch = it.epoch,
                          .freeSlots = static_cast<std::uint32_t>(std::lround(free)),
                          .totalSlots = static_cast<std::uint32_t>(status.slots),
                          .queued = static_cast<std::uint32_t>(status.queued)},
                         now());
    }
    if (world_.isRunning())
        world_.schedule.after(headroomReportMs, [this] { reportHeadroom(); });
}

} // namespace

std::unique_ptr<FaultPolicy> makeBrokerPolicy(FaultModelWorld &world)
{
    return std::make_unique<BrokerPolicy>(world);
}

} // namespace chestnutvane
