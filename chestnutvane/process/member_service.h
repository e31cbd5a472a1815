// Sends and receives heartbeats, maintains the lease of this instance in the store, and detects
// isolation.
//
// Example:
//
//   MemberService members(instance, brokers, grants);
//   members.start();
//   members.beginLeaving();
//
// Thread-safe.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/grant_service.h"
#include "chestnutvane/process/instance.h"

namespace chestnutvane {

class MemberService
{
public:
    MemberService(Instance &instance, BrokerService &brokers, GrantService &grants);

    // Obtains the lease, and starts the timers of the heartbeats and the lease renewal.
    void start();

    // Handles a heartbeat of a peer. Returns the encoded reply, empty if there is none or if the
    // heartbeat is malformed.
    std::string onHeartbeat(const std::string &body);

    // Sets the callback that gets the highest revision in a heartbeat if it should be fetched.
    void onHigherRevision(std::function<void(std::uint64_t)> callback);

    // Sets the own state to leaving and sends heartbeats with it.
    void beginLeaving();

    // Revokes the lease. Calls back when the store has answered or could not be reached.
    void endLease(std::function<void()> done);

    // Returns whether new work may be accepted: false if this instance is isolated.
    bool mayAcceptWork();

private:
    // Decides whether this instance is isolated and logs each change. Returns false if it is.
    bool updateIsolation();
    void runHeartbeat();
    // Returns the heartbeats to send now, each with its address. Acquires the membership lock.
    std::vector<std::pair<std::string, Heartbeat>> dueHeartbeats(TimePoint now);
    void sendHeartbeat(const std::string &address, const Heartbeat &heartbeat);
    void onReply(const Heartbeat &reply);
    void receive(const Heartbeat &heartbeat);
    void updateOwnRecord();
    void logStatusChanges();
    void renewLease();
    void obtainLease();
    void writeLeaseKey(std::uint64_t leaseId, std::uint64_t expectedVersion, TimePoint startedAt);
    void onLeaseObtained(std::uint64_t leaseId, TimePoint startedAt);

    Instance &instance_;
    BrokerService &brokers_;
    GrantService &grants_;
    std::function<void(std::uint64_t)> higherRevisionCallback_;
    std::mutex statusMutex_; // guards statuses_; no other lock is held with it
    std::map<std::string, MemberStatus> statuses_; // as last logged
};

} // namespace chestnutvane
