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
    void serve(TimePoint now, std::uint64_t random, BrokerEffects &effects);
    void serveProbes(TimePoint now, BrokerEffects &effects);
    void serveReserved(TimePoint now, BrokerEffects &effects);
    bool serveOne(std::uint32_t index, TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Refuses the queued request if it or a less important one would wait too long.
    void limitQueue(std::uint32_t index, TimePoint now, BrokerEffects &effects);

    void issue(std::uint32_t index, std::size_t targetIndex, bool probe, TimePoint now,
               BrokerEffects &effects);
    void refuse(std::uint32_t index, Reason reason, BrokerEffects &effects);
    void dropQueued(std::uint32_t index);
    void reserveFor(std::uint32_t index);
    void endReservation();
    void endGrant(GrantEntry &grant);
    void reportCrash(CrashEvidence sign, std::size_t targetIndex, std::uint64_t fingerprint,
                     BrokerEffects &effects);
    void adopt(const HeldGrant &held, const HolderId &holder, bool awaited, TimePoint now);
    void judgeMissing(const GrantsHeld &report, std::uint64_t listMark, BrokerEffects &effects);
    void endRebuildIfDone();

    [[nodiscard]] std::size_t findTarget(TargetId id) const; // targets.size() if there is none
    std::size_t findOrAddTarget(TargetId id);
    [[nodiscard]] int effectiveTotal() const;
    [[nodiscard]] int knownTotal() const; // without slots that an unheard holder may use
    [[nodiscard]] bool isGone(const HolderId &holder) const;

    // The wait of the last of the first `ahead` requests at least as important as the level.
    // "slots" is effectiveTotal().
    [[nodiscard]] Duration estimatedWait(int level, std::size_t ahead, int slots) const;
    void noteArrival(int level, TimePoint now);

    std::uint64_t epoch;
    BrokerSettings settings;
    std::vector<TargetSlots> targets;
    bool targetsSet = false;
    bool anyFailed = false; // whether a target may be limited to probes
    int aloneRunning = 0;
    GrantTable grants;
    bool anyGone = false; // whether a grant may have a dead holder
    RequestQueue queue;
    BrokerRebuild rebuild;
    TimePoint grantUntil = TimePoint::min();
    bool deposed = false; // a holder has seen a higher epoch
    double meanServiceNs;
    double measured = 16; // measurements in the mean, bounded; the assumed time counts as 16

    // Admitted requests a second by level, averaged over about a second.
    std::array<double, RequestQueue::levels> arrivalRate{};
    TimePoint arrivalRateAt = TimePoint::min();

    // The target kept free of new grants for a queued request that must run alone.
    std::optional<std::size_t> reservedTarget;
    std::uint32_t reservedEntry = RequestQueue::none;

    std::vector<HolderId> gone; // the last few dead holders
    std::pmr::unsynchronized_pool_resource pool; // reuses the nodes of the map
    // Queued and granted requests; the value is the queue index, or none if granted.
    std::pmr::unordered_map<RequestKey, std::uint32_t, RequestKeyHash> known;
};

} // namespace chestnutvane
