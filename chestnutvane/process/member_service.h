// Heartbeats to other instances and the lease in the store.
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

    // Starts heartbeats and the lease.
    void start();

    // Handles a heartbeat of a peer; returns the reply, an own heartbeat.
    std::string onHeartbeat(const std::string &body);

    // Called with the highest revision that peers report.
    void onHigherRevision(std::function<void(std::uint64_t)> callback);

    // Says to all peers that this instance is leaving.
    void beginLeaving();

    // Ends the lease and calls back when the store has answered or cannot be reached.
    void endLease(std::function<void()> done);

    // Whether new work may be taken.
    bool mayAcceptWork();

private:
    // Decides whether this instance is isolated and logs each change; false if it is.
    bool updateIsolation();
    void runHeartbeat();
    // The heartbeats to send now, each with its address. Takes the membership lock.
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
    std::mutex statusMutex_; // guards statuses_ only; taken alone
    std::map<std::string, MemberStatus> statuses_; // as last logged
};

} // namespace chestnutvane
