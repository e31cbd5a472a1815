// Requests grants from the broker of a unit, on this instance or on a peer, and releases them.
//
// Example:
//
//   grants.requestGrant(wish, [&](GrantReply reply) { ... });
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

    // Requests a grant. While the broker cannot be reached, the request is retried for
    // wish.brokerWait, or for the queue limit if that is not set; then the reply is
    // BrokerUnreachable. A brokerWait below the queue limit includes the time for which earlier
    // requests of the unit found no broker. The callback is called once, on any thread.
    void requestGrant(GrantRequestSpec wish, std::function<void(GrantReply)> callback);

    // Releases a grant. The slot of a cancelled or timed-out request is held a little longer, until
    // its target can have stopped working on it. If a release message is lost, the following lists
    // of held grants tell the broker that the grant has ended.
    void release(const HeldSlot &slot, GrantResult result, Duration serviceTime);

    // Sends the lists of held grants to the brokers; to be called with each heartbeat. Lists are
    // sent for units with held grants or waiting requests and for those used within idleListTime.
    // A broker reclaims a lost grant after two lists, so an idle unit needs no further ones.
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

    // Records whether the broker of the request's unit answered.
    void recordBrokerContact(const PendingRequest &pending, bool answered);
    // The time of the first attempt since the broker of the unit last answered, or
    // TimePoint::max() if the last attempt was answered.
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
    std::mutex usedUnitsMutex_; // guards the two maps; no other lock is acquired while it is held
    std::map<UnitId, UsedUnit> usedUnits_;
    std::map<UnitId, TimePoint> unreachableSince_;
};

} // namespace chestnutvane
