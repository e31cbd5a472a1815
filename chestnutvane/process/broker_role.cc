#include "chestnutvane/process/broker_role.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "chestnutvane/process/message_fields.h"

namespace chestnutvane {

std::string encode(const BrokerRecord &record)
{
    const nlohmann::json json = {{"incarnation", internal::toJson(record.incarnation)},
                                 {"instance", record.instanceId},
                                 {"epoch", record.epoch}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<BrokerRecord, MessageError> decodeBrokerRecord(std::string_view text)
{
    internal::FieldReader reader(nlohmann::json::parse(text, nullptr, false));
    BrokerRecord record;
    reader.read("incarnation", record.incarnation);
    reader.read("instance", record.instanceId);
    reader.read("epoch", record.epoch);
    return reader.result(record);
}

bool isRoleFree(const RoleEntry &entry, bool holderLeaseEnded)
{
    return entry.version == 0 || entry.record.incarnation == HolderId{} || holderLeaseEnded;
}

std::string_view preferredBroker(UnitId unit, std::span<const RoleMember> members)
{
    std::string_view best;
    std::uint64_t bestHash = 0;
    for (const RoleMember &member : members) {
        if (!member.live || member.leaving)
            continue;
        const std::uint64_t hash = hash64(member.instanceId, unit);
        if (best.empty() || hash > bestHash || (hash == bestHash && member.instanceId < best)) {
            best = member.instanceId;
            bestHash = hash;
        }
    }
    return best;
}

RoleDecision decideBrokerRole(const RoleInput &input, TimePoint now)
{
    RoleDecision decision;
    if (!input.entry)
        return decision;
    const RoleEntry &entry = *input.entry;
    decision.expectedVersion = entry.version;
    decision.record = entry.record;

    const bool isHolder = entry.version != 0 && entry.record.incarnation == input.selfIncarnation;
    if (isHolder) {
        // Without a lease, another instance can acquire the role at any time.
        if (input.selfLeaving || input.leaseLost) {
            decision.action = RoleAction::Relinquish;
            decision.record.incarnation = {};
            decision.record.instanceId.clear();
            return decision;
        }
        decision.action = RoleAction::Keep;
        if (!input.leaseEverHeld || input.isolated)
            return decision;
        decision.grantUntil = input.leaseRenewalStart + maxGrantLeaseAge;
        // While no instance reaches the store, none can acquire the role.
        const auto authority = mayGrant(now - input.leaseRenewalStart, input.contacts, {});
        if (!input.storeReachable && authority == GrantAuthority::StoreDown)
            decision.grantUntil = std::max(decision.grantUntil, now + outageGrantTime);
        return decision;
    }

    const bool leaseFresh = input.leaseEverHeld && !input.leaseLost
            && now < input.leaseRenewalStart + maxGrantLeaseAge;
    if (input.selfLeaving || input.isolated || !input.storeReachable || !leaseFresh
        || !isRoleFree(entry, input.holderLeaseEnded))
        return decision;
    const bool isRelinquished = entry.version == 0 || entry.record.incarnation == HolderId{};
    if (!isRelinquished && now < input.storeReachableSince + outageSettleTime)
        return decision;
    const bool preferred = preferredBroker(input.unit, input.members) == input.selfId;
    if (!preferred && now - input.freeSince < nonPreferredDelay)
        return decision;
    decision.action = RoleAction::Acquire;
    decision.record = {input.selfIncarnation, input.selfId, entry.record.epoch + 1};
    return decision;
}

} // namespace chestnutvane
