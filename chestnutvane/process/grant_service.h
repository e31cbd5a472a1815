// Asks the broker of a unit for grants, wherever it runs, and gives them back.
//
// Example:
//
//   grants.ask(wish, [&](GrantReply reply) { ... });
//   grants.release(slot, GrantResult::Succeeded, serviceTime);
//
// Thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/request/request_flow.h"

namespace chestnutvane {

class GrantService
{
public:
    GrantService(Instance &instance, BrokerService &brokers);

    // Asks for a grant. A broker that cannot be reached is looked for again until the queue limit
    // has passed; the answer then is BrokerUnreachable. The callback is called once, on any thread.
    void requestGrant(GrantWish wish, std::function<void(GrantReply)> callback);

    // Ends a grant; the slot of a cancelled or timed out request is kept until its target can
    // have stopped. A release that is lost is made good by the next list of held grants.
    void release(const HeldSlot &slot, GrantResult result, Duration serviceTime);

    // Sends the lists of held grants to the brokers of all units that this instance used within
    // idleListTime; call with each heartbeat. A broker takes a lost grant back after two lists, so
    // an idle unit needs no further ones.
    void sendHeldLists();

private:
    struct PendingRequest;
    struct UsedUnit
    {
        std::string service;
        std::string region;
        TimePoint lastUse;
    };

    void finishRelease(const HeldSlot &slot, GrantResult result, Duration serviceTime);
    void recordUse(const std::string &service, const std::string &region);

    // Notes whether the broker of a unit answered.
    void recordBrokerContact(const PendingRequest &pending, bool answered);
    // The time of the first try since which the unit's broker did not answer; max() if it did.
    TimePoint unreachableSince(UnitId unit);

    void sendRequest(const std::shared_ptr<PendingRequest> &pending);
    void scheduleRetry(const std::shared_ptr<PendingRequest> &pending);
    void onAnswer(const std::shared_ptr<PendingRequest> &pending, const GrantAnswer &answer);
    void sendRelease(const std::string &service, const std::string &region,
                     const GrantRelease &message);
    std::optional<HeldSlot> heldSlot(const PendingRequest &pending, const GrantAnswer &answer,
                                     TimePoint endsAt);

    Instance &instance_;
    BrokerService &brokers_;
    std::mutex usedUnitsMutex_; // guards the two maps; no other lock is taken under it
    std::map<UnitId, UsedUnit> usedUnits_;
    std::map<UnitId, TimePoint> unreachableSince_;
};

} // namespace chestnutvane
