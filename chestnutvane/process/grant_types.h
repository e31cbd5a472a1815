// Identifiers and value types that brokers and grant holders exchange. A grant allows its holder to
// use one slot of a target for one request.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/hash.h"
#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Upper bound of the validity of a grant.
inline constexpr Milliseconds maxGrantTime{30000};

// The incarnation of an instance that holds grants: a random 128-bit id of one process start.
struct HolderId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const HolderId &, const HolderId &) = default;
    friend bool operator<(const HolderId &a, const HolderId &b)
    {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

// Identifies a target on all instances, independent of their revision.
using TargetId = std::uint64_t;
inline TargetId targetIdOf(std::string_view targetName)
{
    return hash64(targetName);
}

// Identifies a unit, a (service, region) pair.
using UnitId = std::uint64_t;
inline UnitId unitIdOf(std::string_view service, std::string_view region)
{
    return hash64(region, hash64(service));
}

// Identifies a grant. The epoch is that of the broker that issued it.
struct GrantId
{
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;

    friend bool operator==(const GrantId &, const GrantId &) = default;
    friend bool operator<(const GrantId &a, const GrantId &b)
    {
        return std::tie(a.epoch, a.number) < std::tie(b.epoch, b.number);
    }
};

// How the exchange for which a grant was issued ended.
enum class GrantResult {
    Succeeded, // a complete answer was received
    Shed, // the target answered that it did not run the request
    ConnectFailed, // the connection was refused or timed out; nothing was sent
    ConnectionLost, // the connection was closed before the answer was complete
    TimedOut, // the exchange was aborted at the deadline
    Cancelled, // the exchange was aborted because the caller disconnected
    NotSent, // the grant was not used
};

inline constexpr EnumName<GrantResult> grantResultNames[] = {
        {GrantResult::Succeeded, "succeeded"},
        {GrantResult::Shed, "shed"},
        {GrantResult::ConnectFailed, "connect-failed"},
        {GrantResult::ConnectionLost, "connection-lost"},
        {GrantResult::TimedOut, "timed-out"},
        {GrantResult::Cancelled, "cancelled"},
        {GrantResult::NotSent, "not-sent"},
};

// The targets that earlier attempts of a request used, limited to the most recent ones.
struct TriedTargets
{
    static constexpr std::size_t capacity = 4;

    std::array<TargetId, capacity> ids{};
    std::size_t count = 0;

    // Adds a target. Replaces the oldest one if there are already "capacity" targets.
    void add(TargetId target)
    {
        if (count == capacity)
            std::rotate(ids.begin(), ids.begin() + 1, ids.end());
        else
            ++count;
        ids[count - 1] = target;
    }

    [[nodiscard]] bool contains(TargetId target) const
    {
        return std::find(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(count), target)
                != ids.begin() + static_cast<std::ptrdiff_t>(count);
    }

    friend bool operator==(const TriedTargets &, const TriedTargets &) = default;
};

// A request for a grant. Sequence numbers are assigned by GrantHolder::startRequest(). They
// increase and are never reused by an incarnation; a retry or a resend to another broker gets a new
// one.
struct GrantRequest
{
    HolderId holder;
    std::uint64_t sequence = 0;
    int importance = 5; // 0 is the most important, 9 the least
    Duration queueLimit{}; // longest acceptable wait in the queue
    Duration remaining{}; // time to the request's deadline; the broker caps it at maxGrantTime
    std::uint64_t fingerprint = 0; // hash of service, method, path, query and body
    TriedTargets tried;

    friend bool operator==(const GrantRequest &, const GrantRequest &) = default;
};

// A grant that its holder has not released.
struct HeldGrant
{
    GrantId id;
    TargetId target = 0;
    Duration remaining{}; // time to the end of its validity
    std::uint64_t sequence = 0; // of the grant request
    std::uint64_t fingerprint = 0;
    bool alone = false; // no other request may run on the target at the same time

    friend bool operator==(const HeldGrant &, const HeldGrant &) = default;
};

} // namespace chestnutvane
