// Decides whether an instance takes, keeps or gives up the broker role of one unit.
//
// The role is the store key "broker/SERVICE/REGION". The key is never removed: giving up the role
// writes a record without an incarnation and keeps the epoch.
//
// Example:
//
//   RoleDecision decision = decideBrokerRole(input);
//   if (decision.action == RoleAction::Acquire || decision.action == RoleAction::Relinquish)
//       store.compareAndSwap({key, decision.expectedVersion, encode(decision.record)}, ...);
//   broker.setAuthority(decision.grantUntil);
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
    HolderId incarnation; // zero: nobody holds the role
    std::string instanceId;
    std::uint64_t epoch = 0; // goes up by one with each takeover

    friend bool operator==(const BrokerRecord &, const BrokerRecord &) = default;
};

// The record as JSON text.
std::string encode(const BrokerRecord &record);
Result<BrokerRecord, MessageError> decodeBrokerRecord(std::string_view text);

// An instance of the unit's region, as membership has it.
struct RoleMember
{
    std::string instanceId;
    HolderId incarnation;
    bool live = false; // heard within 1.5 s; the own entry is always live
    bool leaving = false;
};

// The unit's key as last read or watched.
struct RoleEntry
{
    std::uint64_t version = 0; // 0: the key does not exist
    BrokerRecord record;
};

struct RoleInput
{
    UnitId unit = 0;
    std::string selfId;
    HolderId selfIncarnation;
    bool selfLeaving = false;
    std::span<const RoleMember> members; // of the region, with the own entry
    std::optional<RoleEntry> entry; // nothing: not read since the start
    bool storeReachable = false; // the last store call succeeded
    TimePoint storeReachableSince; // end of the last outage, or the first contact
    bool holderLeaseEnded = false; // the record's incarnation has no lease key, by a store answer
    TimePoint freeSince; // when this instance first saw the role free; ignored otherwise
    TimePoint leaseRenewalStart; // start of the own last successful lease renewal
    bool leaseEverHeld = false; // whether leaseRenewalStart is set
    // The own lease does not exist or is not the one under which the role was taken. Must stay
    // set until the role is given up: another instance may have had the role in between.
    bool leaseLost = false;
    ContactView contacts;
    bool isolated = false; // contact with neither the store nor a peer
};

enum class RoleAction {
    None, // nothing to do; another instance has the role or may take it
    Acquire, // write the record with compare-and-swap, then rebuild with its epoch
    Keep,
    Relinquish, // stop granting, write the record with compare-and-swap
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
    TimePoint grantUntil = TimePoint::min(); // for Keep: no grant at or after this time
};

// Lease TTL less 1 s: the broker stops granting before anybody can take the role.
inline constexpr Milliseconds maxGrantLeaseAge{4000};
// An instance that is not the preferred holder waits this long before it takes a free role.
inline constexpr Milliseconds nonPreferredDelay{2000};
// While mayGrant() allows grants without a valid lease, each decision allows them for this long; it
// must be renewed until then.
inline constexpr Milliseconds outageGrantTime{1000};

// After an outage a role whose holder lost its lease is taken only after this time: the holder may
// grant for outageGrantTime after it last heard that all were without the store, and it hears of
// the contact by the next heartbeat (200 ms).
inline constexpr Milliseconds outageSettleTime{1500};

// Whether nobody holds the role, so that it may be taken.
[[nodiscard]] bool isRoleFree(const RoleEntry &entry, bool holderLeaseEnded);

// The live, not leaving member with the highest rendezvous hash, or empty if there is none.
[[nodiscard]] std::string_view preferredBroker(UnitId unit, std::span<const RoleMember> members);

// Decides the next step. Has no effect by itself.
[[nodiscard]] RoleDecision decideBrokerRole(const RoleInput &input, TimePoint now);

} // namespace chestnutvane
