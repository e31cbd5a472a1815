// The state of a SlotBroker and the operations that its calls share. Used only by slot_broker.
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

// Added to the expiry of a dead holder's grant before its slot is reused, because the clocks of
// broker and holder may drift apart.
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

    // Grants free slots to queued requests in the order of the queue, after due probes and the
    // reserved target.
    void grantFreeSlots(TimePoint now, std::uint64_t random, BrokerEffects &effects);
    // Grants due probes of failed targets.
    void grantProbes(TimePoint now, BrokerEffects &effects);
    // Grants the reserved target once it is idle, or ends the reservation if the target has failed
    // or is drained.
    void grantReservedTarget(TimePoint now, BrokerEffects &effects);
    // Grants a slot to the queued request. Returns false if the request has to wait.
    bool tryGrant(std::uint32_t index, TimePoint now, std::uint64_t random, BrokerEffects &effects);

    // Refuses the queued request if there are no slots or its estimated wait exceeds its limit.
    // Otherwise evicts less important requests from the end of the queue while the last one is
    // estimated to wait past its expiry.
    void enforceQueueLimits(std::uint32_t index, TimePoint now, BrokerEffects &effects);

    void issueGrant(std::uint32_t index, std::size_t targetIndex, bool probe, TimePoint now,
                    BrokerEffects &effects);
    void refuse(std::uint32_t index, Reason reason, BrokerEffects &effects);
    // Removes the entry from the queue and ends the reservation made for it.
    void removeFromQueue(std::uint32_t index);
    void reserveTargetFor(std::uint32_t index);
    void endReservation();
    void endGrant(GrantEntry &grant);
    // Appends a ChargeCrashEffect for each request that the sign proves to have been in flight at a
    // crash of the target. "fingerprint" is that of the ended grant, 0 if no grant ended.
    void chargeCrash(CrashEvidence sign, std::size_t targetIndex, std::uint64_t fingerprint,
                     BrokerEffects &effects);
    // Counts a reported grant of an earlier epoch as in use. "awaited": it is the holder's first
    // report to the rebuild.
    void adopt(const HeldGrant &held, const HolderId &holder, bool awaited, TimePoint now);
    // Reclaims the holder's grants that are missing from two lists. A grant in the list has the
    // given mark.
    void reclaimMissingGrants(const GrantsHeld &report, std::uint64_t listMark,
                              BrokerEffects &effects);
    void endRebuildIfDone();

    [[nodiscard]] std::size_t findTarget(TargetId id) const; // targets.size() if there is none
    std::size_t findOrAddTarget(TargetId id);
    // Effective slots of all targets, without those that an unreported holder may use.
    [[nodiscard]] int effectiveSlotTotal() const;
    // The same total; used while a rebuild runs.
    [[nodiscard]] int confirmedSlotTotal() const;
    [[nodiscard]] bool isDead(const HolderId &holder) const;

    // Estimates the wait of the request at the given position (from 1) among the queued requests at
    // least as important as the level. "slots" is the number of slots for queued requests.
    [[nodiscard]] Duration estimatedWait(int level, std::size_t position, int slots) const;
    // Counts an admitted request in arrivalRate.
    void recordArrival(int level, TimePoint now);

    std::uint64_t epoch;
    BrokerSettings settings;
    std::vector<TargetSlots> targets;
    bool targetsSet = false;
    bool anyTargetFailed = false; // whether a target may be limited to probe grants
    int aloneGrantCount = 0; // grants in use that run alone on a target
    GrantTable grants;
    bool anyHolderDead = false; // whether a grant in use may have a dead holder
    RequestQueue queue;
    BrokerRebuild rebuild;
    TimePoint grantUntil = TimePoint::min();
    bool superseded = false; // a holder knows a broker with a higher epoch
    double meanServiceNs;
    // Weight of the mean in measurements, bounded. The initial estimate counts as 16 of them.
    double serviceTimeSamples = 16;

    // Admitted requests per second, by level of importance, with exponential decay over 1 s.
    std::array<double, RequestQueue::levels> arrivalRate{};
    TimePoint arrivalRateUpdatedAt = TimePoint::min();

    // The target that gets no new grants until it is idle and can run a queued request alone, and
    // the queue index of that request.
    std::optional<std::size_t> reservedTarget;
    std::uint32_t reservedQueueIndex = RequestQueue::none;

    std::vector<HolderId> deadHolders; // the most recent ones, oldest first
    std::pmr::unsynchronized_pool_resource pool; // reuses the nodes of activeRequests
    // Queued and granted requests. The value is the queue index, or RequestQueue::none if granted.
    std::pmr::unordered_map<RequestKey, std::uint32_t, RequestKeyHash> activeRequests;
};

} // namespace chestnutvane
