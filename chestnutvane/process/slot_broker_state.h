// The state of a SlotBroker and the steps that its calls share. Used only by slot_broker.
#pragma once

#include <array>
#include <memory_resource>
#include <optional>
#include <unordered_map>

#include "chestnutvane/process/broker_rebuild.h"
#include "chestnutvane/process/grant_table.h"
#include "chestnutvane/process/request_queue.h"
#include "chestnutvane/process/slot_broker.h"
#include "chestnutvane/process/target_slots.h"

namespace chestnutvane {

// Allows for clocks of broker and holder that run at slightly different rates.
inline constexpr Milliseconds grantEndMargin{200};

struct RequestKey
{
    HolderId holder;
    std::uint64_t sequence = 0;

    friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

struct RequestKeyHash
{
    std::size_t operator()(const RequestKey &key) const
    {
        return key.holder.low ^ (key.sequence * 0x9e3779b97f4a7c15U);
    }
};

struct SlotBroker::State
{
    State(std::uint64_t brokerEpoch, const BrokerSettings &brokerSettings);

    // Serves the queue as far as slots are free.
    void grantFreeSlots(TimePoint now, std::uint64_t random, BrokerEffects &effects);
    void grantProbes(TimePoint now, BrokerEffects &effects);
    void grantReservedTarget(TimePoint now, BrokerEffects &effects);
    bool tryGrant(std::uint32_t index, TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Refuses the queued request if it or a less important one would wait too long.
    void enforceQueueLimits(std::uint32_t index, TimePoint now, BrokerEffects &effects);

    void issueGrant(std::uint32_t index, std::size_t targetIndex, bool probe, TimePoint now,
                    BrokerEffects &effects);
    void refuse(std::uint32_t index, Reason reason, BrokerEffects &effects);
    void removeFromQueue(std::uint32_t index);
    void reserveTargetFor(std::uint32_t index);
    void endReservation();
    void endGrant(GrantEntry &grant);
    void chargeCrash(CrashSign sign, std::size_t targetIndex, std::uint64_t fingerprint,
                     BrokerEffects &effects);
    void adopt(const HeldGrant &held, const HolderId &holder, bool awaited, TimePoint now);
    void reclaimMissingGrants(const GrantsHeld &report, std::uint64_t mark, BrokerEffects &effects);
    void endRebuildIfDone();

    [[nodiscard]] std::size_t findTarget(TargetId id) const; // targets.size() if there is none
    std::size_t findOrAddTarget(TargetId id);
    [[nodiscard]] int effectiveSlotTotal() const;
    [[nodiscard]] int confirmedSlotTotal() const; // without slots that an unheard holder may use
    [[nodiscard]] bool isDead(const HolderId &holder) const;

    // The wait of the last of the first `ahead` requests at least as important as the level.
    // "slots" is effectiveTotal().
    [[nodiscard]] Duration estimatedWait(int level, std::size_t position, int slots) const;
    void recordArrival(int level, TimePoint now);

    std::uint64_t epoch;
    BrokerSettings settings;
    std::vector<TargetSlots> targets;
    bool targetsSet = false;
    bool anyTargetFailed = false; // whether a target may be limited to probes
    int aloneGrantCount = 0;
    GrantTable grants;
    bool anyHolderDead = false; // whether a grant may have a dead holder
    RequestQueue queue;
    BrokerRebuild rebuild;
    TimePoint grantUntil = TimePoint::min();
    bool superseded = false; // a holder has seen a higher epoch
    double meanServiceNs;
    double serviceTimeSamples =
            16; // measurements in the mean, bounded; the assumed time counts as 16

    // Admitted requests a second by level, averaged over about a second.
    std::array<double, RequestQueue::levels> arrivalRate{};
    TimePoint arrivalRateUpdatedAt = TimePoint::min();

    // The target kept free of new grants for a queued request that must run alone.
    std::optional<std::size_t> reservedTarget;
    std::uint32_t reservedQueueIndex = RequestQueue::none;

    std::vector<HolderId> deadHolders; // the last few dead holders
    std::pmr::unsynchronized_pool_resource pool; // reuses the nodes of the map
    // Queued and granted requests; the value is the queue index, or none if granted.
    std::pmr::unordered_map<RequestKey, std::uint32_t, RequestKeyHash> activeRequests;
};

} // namespace chestnutvane
