// Decides whether an instance acquires, keeps or relinquishes the broker role of one unit.
//
// The role is stored under the key "broker/SERVICE/REGION". The key is never deleted: relinquishing
// the role writes a record without an incarnation and keeps the epoch.
//
// Example:
//
//   RoleDecision decision = decideBrokerRole(input, now);
//   if (decision.action == RoleAction::Acquire || decision.action == RoleAction::Relinquish)
//       store.compareAndSwap({key, decision.expectedVersion, encode(decision.record)}, ...);
//   if (decision.action == RoleAction::Keep)
//       broker.allowGrantsUntil(decision.grantUntil);
//
// The functions have no state and are safe to call from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "chestnutvane/base/result.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/process/grant_types.h"
#include "chestnutvane/process/isolation.h"

namespace chestnutvane {

// The value of the store key of a broker role.
struct BrokerRecord
{
    HolderId incarnation; // zero if no instance holds the role
    std::string instanceId;
    std::uint64_t epoch = 0; // incremented with each acquisition

    friend bool operator==(const BrokerRecord &, const BrokerRecord &) = default;
};

// Encodes the record as JSON.
std::string encode(const BrokerRecord &record);

// Returns an error if the text is no JSON object or if a field is missing or has the wrong type.
Result<BrokerRecord, MessageError> decodeBrokerRecord(std::string_view text);

// An instance of the unit's region, as listed in the membership table.
struct RoleMember
{
    std::string instanceId;
    HolderId incarnation;
    bool live = false; // sent a heartbeat within the last 1.5 s; always true for the own entry
    bool leaving = false;
};

// The store key of the unit's role, as last read or as reported by the watch.
struct RoleEntry
{
    std::uint64_t version = 0; // 0 if the key does not exist
    BrokerRecord record;
};

struct RoleInput
{
    UnitId unit = 0;
    std::string selfId;
    HolderId selfIncarnation;
    bool selfLeaving = false;
    std::span<const RoleMember> members; // of the region, including the own entry
    std::optional<RoleEntry> entry; // empty if the key has not been read since process start
    bool storeReachable = false; // see StoreContact
    TimePoint storeReachableSince; // end of the last outage, or the first contact
    // According to the store, the incarnation in the record has no lease key.
    bool holderLeaseEnded = false;
    TimePoint freeSince; // when this instance first saw the role free; ignored if it is held
    TimePoint leaseRenewalStart; // start of this instance's last successful lease renewal
    bool leaseEverHeld = false; // whether leaseRenewalStart is set
    // This instance has no lease, or another one than when it acquired the role. Must stay set
    // until the role is relinquished, because another instance may have held it in between.
    bool leaseLost = false;
    ContactView contacts;
    bool isolated = false; // no contact with the store or any peer
};

enum class RoleAction {
    None, // nothing to do: another instance holds the role or is to acquire it
    Acquire, // write the record with compare-and-swap, then start a rebuild with its epoch
    Keep,
    Relinquish, // stop issuing grants and write the record with compare-and-swap
};

inline constexpr EnumName<RoleAction> roleActionNames[] = {
        {RoleAction::None, "none"},
        {RoleAction::Acquire, "take"},
        {RoleAction::Keep, "keep"},
        {RoleAction::Relinquish, "give-up"},
};

struct RoleDecision
{
    RoleAction action = RoleAction::None;
    std::uint64_t expectedVersion = 0; // for Acquire and Relinquish
    BrokerRecord record; // for Acquire and Relinquish: to be written; for Keep: the current one
    TimePoint grantUntil = TimePoint::min(); // for Keep: issue no grants at or after this time
};

// A broker issues grants only while its last lease renewal is younger than this. It is the lease
// TTL minus 1 s, so that the broker stops before another instance can acquire the role.
inline constexpr Milliseconds maxGrantLeaseAge{4000};
// An instance other than the preferred broker waits this long before it acquires a free role.
inline constexpr Milliseconds nonPreferredDelay{2000};
// When mayGrant() allows grants without a valid lease, a decision allows them for this long. The
// next decision must follow within that time.
inline constexpr Milliseconds outageGrantTime{1000};
// After a store outage, a role whose holder has lost its lease is acquired only after this time.
// The holder may still issue grants for outageGrantTime after it last heard that no instance
// reached the store, and it hears of the restored contact with the next heartbeat (200 ms).
inline constexpr Milliseconds outageSettleTime{1500};

// Whether no live instance holds the role, so that it may be acquired.
[[nodiscard]] bool isRoleFree(const RoleEntry &entry, bool holderLeaseEnded);

// Returns the id of the member with the highest rendezvous hash among those that are live and not
// leaving, or an empty string if there is none.
[[nodiscard]] std::string_view preferredBroker(UnitId unit, std::span<const RoleMember> members);

// Decides the next action, which the caller must carry out.
[[nodiscard]] RoleDecision decideBrokerRole(const RoleInput &input, TimePoint now);

} // namespace chestnutvane
