// A model of a unit: instances that hold grants and may be its broker, a store with leases, targets
// that run a request until it ends or its deadline passes, and messages that are lost, late or
// crossed. Instances are killed, paused, restarted and give up the role at any moment.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "chestnutvane/process/broker_role.h"
#include "chestnutvane/process/grant_holder.h"
#include "chestnutvane/process/slot_broker.h"

namespace chestnutvane {
namespace {

constexpr UnitId unit = 7;
constexpr Milliseconds step(20);
constexpr Milliseconds leaseTtl(5000);
constexpr Milliseconds longestRequest(3000);
constexpr Milliseconds lossyFor(30000);
constexpr Milliseconds quietFor(40000);
constexpr std::size_t faultCount = 29; // one for each second of lossyFor

// Faults of naive designs, to show that the model finds them.
enum class Variant {
    Correct,
    NoRebuild, // a new broker grants without asking for held grants
    AnyEpoch, // holders accept grants of replaced brokers
    FirstMissingList, // a grant missing from any one list is reclaimed
};

struct Running
{
    TargetId target = 0;
    TimePoint endsAt; // by itself or by the deadline
};

struct Instance
{
    HolderId id;
    std::optional<GrantHolder> holder;
    std::optional<SlotBroker> broker;
    bool alive = true;
    TimePoint pausedUntil;
    TimePoint restartAt;
    TimePoint leavingUntil;
    TimePoint leaseRenewed;
    bool leaseLost = false;
    TimePoint freeSince = TimePoint::max();
    std::map<std::uint64_t, TimePoint> waitingUntil;
    std::map<GrantId, TimePoint> exchanges; // when the holder sees their end
};

class World
{
public:
    World(std::uint64_t seed, Variant variant) : variant_(variant), random_(seed)
    {
        targets_ = {{1, 1}, {2, 2}};
        instances_.resize(4);
        for (Instance &instance : instances_)
            start(instance);
    }

    // Runs the faults, one for each second, then a quiet time. Returns false at the first
    // dispatch above a target's slots.
    bool run(const std::vector<int> &faults)
    {
        std::size_t next = 0;
        for (; now_ < TimePoint(lossyFor) && !violated_; now_ += step) {
            if (next < faults.size() && now_ >= TimePoint(Milliseconds(1000) * (next + 1)))
                fault(faults[next++]);
            stepAll(true);
        }
        calm_ = true;
        for (; now_ < TimePoint(lossyFor + quietFor) && !violated_; now_ += step)
            stepAll(false);
        return !violated_;
    }

    // Whether the present broker has all slots back.
    bool allReturned()
    {
        for (const Instance &instance : instances_) {
            if (instance.alive && instance.broker
                && instance.broker->epoch() == entry_.record.epoch) {
                const BrokerStatus status = instance.broker->status();
                return status.inUse == 0 && status.queued == 0 && !status.rebuilding;
            }
        }
        return false;
    }

    [[nodiscard]] std::uint64_t dispatched() const { return dispatched_; }
    [[nodiscard]] std::uint64_t epochs() const { return entry_.record.epoch; }

private:
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

    void start(Instance &instance)
    {
        instance = Instance{};
        instance.id = {1, ++incarnations_};
        instance.holder.emplace(instance.id);
        instance.leaseRenewed = now_;
        leases_[instance.id] = now_ + leaseTtl;
    }

    bool active(const Instance &instance) const
    {
        return instance.alive && now_ >= instance.pausedUntil;
    }

    void fault(int code)
    {
        // The instance that is the broker is hit more often.
        Instance *instance = &instances_[below(instances_.size())];
        for (Instance &it : instances_) {
            if (it.broker && (code & 0x80) != 0)
                instance = &it;
        }
        switch (code % 8) {
        case 0:
            instance->alive = false;
            instance->restartAt = now_ + Milliseconds(100 + below(8000));
            break;
        case 1:
            instance->pausedUntil = now_ + Milliseconds(100 + below(9000));
            break;
        case 2:
            instance->leavingUntil = now_ + Milliseconds(2000);
            break;
        case 3:
            slowUntil_ = now_ + Milliseconds(1500);
            break;
        default:
            break;
        }
    }

    // Delivers to the incarnation that is at the instance now, or not at all.
    void send(std::size_t to, std::function<void(Instance &)> handle)
    {
        if (!calm_ && below(20) == 0)
            return;
        auto delay = Milliseconds(below(30));
        if (!calm_ && (now_ < slowUntil_ || below(30) == 0))
            delay = Milliseconds(below(2900));
        messages_.emplace(now_ + delay, Message{to, instances_[to].id, std::move(handle)});
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const Message message = messages_.begin()->second;
            messages_.erase(messages_.begin());
            Instance &instance = instances_[message.to];
            if (!instance.alive || instance.id != message.id)
                continue;
            if (now_ < instance.pausedUntil)
                messages_.emplace(instance.pausedUntil, message);
            else
                message.handle(instance);
        }
    }

    std::optional<std::size_t> indexOf(const HolderId &id) const
    {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (instances_[i].id == id)
                return i;
        }
        return std::nullopt;
    }

    void sendEffects(const BrokerEffects &effects)
    {
        for (const BrokerEffect &effect : effects) {
            const auto *grant = std::get_if<GrantEffect>(&effect);
            if (grant == nullptr)
                continue;
            const auto to = indexOf(grant->holder);
            if (!to)
                continue;
            GrantAnswer answer{unit,          grant->sequence, Reason::None, grant->id,
                               grant->target, grant->probe,    grant->alone};
            send(*to, [this, answer](Instance &it) { grantArrives(it, answer); });
        }
    }

    void grantArrives(Instance &instance, GrantAnswer answer)
    {
        const GrantAnswer original = answer;
        if (variant_ == Variant::AnyEpoch)
            answer.id.epoch = std::max(answer.id.epoch, instance.holder->highestEpoch(unit));
        const GrantAcceptance acceptance = instance.holder->accept(answer, now_);
        if (acceptance.verdict != GrantVerdict::Accepted) {
            release(instance, original.id, GrantResult::NotSent);
            return;
        }
        instance.waitingUntil.erase(answer.sequence);
        // One request in eight runs until its deadline.
        TimePoint end = below(8) == 0 ? acceptance.endsAt : now_ + Milliseconds(below(600));
        end = std::min(end, acceptance.endsAt);
        instance.exchanges[answer.id] = end;
        ++dispatched_;
        running_.push_back({answer.target, end});
        const auto used = std::count_if(running_.begin(), running_.end(), [&](const Running &it) {
            return it.target == answer.target && it.endsAt > now_;
        });
        if (used > targets_[answer.target])
            violated_ = true;
    }

    void release(Instance &instance, const GrantId &id, GrantResult result)
    {
        if (const auto broker = currentBroker())
            send(*broker, [this, holder = instance.id, id, result](Instance &it) {
                callBroker(it, [&](BrokerEffects &effects) {
                    it.broker->release(holder, id, result, {}, now_, random_(), effects);
                });
            });
    }

    // What the store says.
    std::optional<std::size_t> currentBroker() const { return indexOf(entry_.record.incarnation); }

    template <class Call>
    void callBroker(Instance &instance, Call call)
    {
        if (!instance.broker)
            return;
        BrokerEffects effects;
        call(effects);
        sendEffects(effects);
    }

    void sendHeld(std::size_t to, GrantsHeld list)
    {
        if (variant_ == Variant::FirstMissingList) {
            list.waiting.clear();
            list.lastSequence = UINT64_MAX;
        }
        send(to, [this, list = std::move(list)](Instance &it) mutable {
            callBroker(it, [&](BrokerEffects &effects) {
                it.broker->heldReport(list, now_, random_(), effects);
                if (variant_ == Variant::FirstMissingList) {
                    ++list.number; // counts one list as two
                    it.broker->heldReport(list, now_, random_(), effects);
                }
            });
        });
    }

    void stepAll(bool load)
    {
        deliver();
        std::erase_if(running_, [&](const Running &it) { return it.endsAt <= now_; });
        for (Instance &instance : instances_) {
            if (!instance.alive && now_ >= instance.restartAt)
                start(instance);
            if (active(instance))
                stepInstance(instance, load);
        }
    }

    void stepInstance(Instance &instance, bool load)
    {
        renewLease(instance);
        stepRole(instance);
        std::erase_if(instance.exchanges, [&](const auto &it) {
            if (it.second > now_)
                return false;
            instance.holder->finish(it.first, unit);
            release(instance, it.first, GrantResult::Succeeded);
            return true;
        });
        std::erase_if(instance.waitingUntil, [&](const auto &it) {
            if (it.second > now_)
                return false;
            instance.holder->abandon(it.first);
            return true;
        });
        const auto broker = currentBroker();
        if (!broker)
            return;
        if (load && below(4) == 0) {
            GrantRequest request;
            request.holder = instance.id;
            request.remaining = Milliseconds(200 + below(longestRequest.count() - 200));
            request.queueLimit = longestRequest;
            request.sequence = instance.holder->startRequest(unit, 0, now_, request.remaining);
            instance.waitingUntil[request.sequence] = now_ + request.remaining;
            send(*broker, [this, request](Instance &it) {
                callBroker(it, [&](BrokerEffects &effects) {
                    it.broker->request(request, SuspectVerdict::Clear, now_, random_(), effects);
                });
            });
        }
        if (now_.time_since_epoch() % Milliseconds(200) < step)
            sendHeld(*broker, instance.holder->heldList(unit, now_));
    }

    void renewLease(Instance &instance)
    {
        if (now_ - instance.leaseRenewed < Milliseconds(1500))
            return;
        if (leases_[instance.id] <= now_)
            instance.leaseLost = true;
        instance.leaseRenewed = now_;
        leases_[instance.id] = now_ + leaseTtl;
    }

    void stepRole(Instance &instance)
    {
        std::vector<RoleMember> members;
        for (const Instance &it : instances_)
            members.push_back({std::to_string(&it - instances_.data()), it.id, it.alive,
                               now_ < it.leavingUntil});
        RoleInput input;
        input.unit = unit;
        input.selfId = std::to_string(&instance - instances_.data());
        input.selfIncarnation = instance.id;
        input.selfLeaving = now_ < instance.leavingUntil;
        input.members = members;
        input.entry = entry_;
        input.storeReachable = true;
        input.storeReachableSince = TimePoint::min();
        input.holderLeaseEnded = entry_.version != 0 && leases_[entry_.record.incarnation] <= now_;
        if (!isRoleFree(entry_, input.holderLeaseEnded))
            instance.freeSince = TimePoint::max();
        else if (instance.freeSince == TimePoint::max())
            instance.freeSince = now_;
        input.freeSince = instance.freeSince;
        input.leaseRenewalStart = instance.leaseRenewed;
        input.leaseEverHeld = true;
        input.leaseLost = instance.leaseLost;
        const RoleDecision decision = decideBrokerRole(input, now_);
        switch (decision.action) {
        case RoleAction::Acquire:
            entry_ = {entry_.version + 1, decision.record};
            becomeBroker(instance);
            break;
        case RoleAction::Keep:
            runBroker(instance, decision.grantUntil);
            break;
        case RoleAction::Relinquish:
            entry_ = {entry_.version + 1, decision.record};
            [[fallthrough]];
        case RoleAction::None:
            instance.leaseLost = false;
            instance.broker.reset();
            break;
        }
    }

    void becomeBroker(Instance &instance)
    {
        instance.broker.emplace(entry_.record.epoch,
                                BrokerSettings{.longestGrant = longestRequest, .warmStart = true});
        std::vector<BrokerTarget> targets;
        for (const auto &[id, slots] : targets_)
            targets.push_back({id, slots, false, false});
        std::vector<HolderId> holders;
        for (const auto &[id, until] : leases_) {
            if (until + longestRequest + Milliseconds(200) > now_ && variant_ != Variant::NoRebuild)
                holders.push_back(id);
        }
        callBroker(instance, [&](BrokerEffects &effects) {
            instance.broker->setTargets(targets, now_, random_(), effects);
            instance.broker->startRebuild(holders, now_, random_(), effects);
        });
    }

    void runBroker(Instance &instance, TimePoint grantUntil)
    {
        if (!instance.broker)
            return;
        instance.broker->setAuthority(grantUntil);
        for (const HolderId &holder : instance.broker->unreported()) {
            if (const auto to = indexOf(holder))
                send(*to,
                     [this, epoch = instance.broker->epoch(),
                      back = indexOf(instance.id)](Instance &it) {
                         sendHeld(*back, it.holder->answerRebuild({unit, epoch}, now_));
                     });
        }
        callBroker(instance, [&](BrokerEffects &effects) {
            for (const auto &[id, until] : leases_) {
                if (until <= now_)
                    instance.broker->holderGone(id, now_, random_(), effects);
            }
            instance.broker->tick(now_, random_(), effects);
        });
    }

    struct Message
    {
        std::size_t to = 0;
        HolderId id;
        std::function<void(Instance &)> handle;
    };

    Variant variant_;
    std::mt19937_64 random_;
    TimePoint now_;
    TimePoint slowUntil_;
    bool calm_ = false;
    bool violated_ = false;
    std::uint64_t incarnations_ = 0;
    std::uint64_t dispatched_ = 0;
    std::map<TargetId, int> targets_;
    std::vector<Instance> instances_;
    std::multimap<TimePoint, Message> messages_;
    std::vector<Running> running_;
    std::map<HolderId, TimePoint> leases_; // when each lapses
    RoleEntry entry_;
};

// Guards against more requests on a target than slots, and against grants that never return, in
// any order of faults, over all holders and epochs.
RC_GTEST_PROP(SlotBrokerModelTest, NeverAboveSlotsAndNoGrantIsLost, ())
{
    const auto faults = *rc::gen::container<std::vector<int>>(faultCount, rc::gen::inRange(0, 256));
    World world(*rc::gen::arbitrary<std::uint64_t>(), Variant::Correct);
    RC_ASSERT(world.run(faults));
    RC_ASSERT(world.allReturned());
}

std::vector<int> randomFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<int> faults(faultCount);
    for (int &fault : faults)
        fault = static_cast<int>(random() % 256);
    return faults;
}

// Guards against a model in which nothing runs or no broker is ever replaced.
TEST(SlotBrokerModelTest, RequestsRunAndBrokersChange)
{
    std::uint64_t dispatched = 0;
    std::uint64_t epochs = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        World world(seed, Variant::Correct);
        EXPECT_TRUE(world.run(randomFaults(seed))) << "seed " << seed;
        dispatched += world.dispatched();
        epochs += world.epochs();
    }
    RecordProperty("dispatched", std::to_string(dispatched));
    RecordProperty("epochs", std::to_string(epochs));
    EXPECT_GT(dispatched, 40U * 30);
    EXPECT_GT(epochs, 40U * 3);
}

class NaiveVariantTest : public testing::TestWithParam<Variant>
{ };

// Guards against a model that is too weak: each naive design must be caught.
TEST_P(NaiveVariantTest, GoesAboveSlots)
{
    int caught = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::vector<int> faults = randomFaults(seed);
        // A late grant of a replaced broker matters while its request waits (3 s), so brokers
        // give up the role and messages are slow in turn, and nobody dies.
        if (GetParam() == Variant::AnyEpoch) {
            for (std::size_t i = 0; i < faults.size(); ++i)
                faults[i] = i % 3 == 0 ? 3 : i % 3 == 1 ? 0x82 : 7;
        }
        caught += World(seed, GetParam()).run(faults) ? 0 : 1;
    }
    RecordProperty("caught", caught);
    EXPECT_GT(caught, 0);
}

INSTANTIATE_TEST_SUITE_P(All, NaiveVariantTest,
                         testing::Values(Variant::NoRebuild, Variant::AnyEpoch,
                                         Variant::FirstMissingList));

} // namespace
} // namespace chestnutvane
