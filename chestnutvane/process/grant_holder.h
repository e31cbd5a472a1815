// The grants that an instance holds and its pending grant requests, for all units.
//
// Example:
//
//   std::uint64_t sequence = holder.startRequest(unit, fingerprint, now, remaining);
//   ... send the grant request; on the answer:
//   GrantAcceptance acceptance = holder.accept(answer, now);
//   if (acceptance.verdict == GrantVerdict::Accepted)
//       ... run the exchange until acceptance.endsAt at the latest, then:
//       holder.finish(answer.id, unit);
//
// Not thread-safe; the daemon calls it while it holds the grant holder lock.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

// Whether a holder may use a grant that it received.
enum class GrantVerdict {
    Accepted,
    OldEpoch, // the grant must not be used, because a broker with a higher epoch exists
    NotWaiting, // the request was cancelled or already answered; release the grant as NotSent
    Expired, // the validity of the grant has ended; release it as NotSent
};

inline constexpr EnumName<GrantVerdict> grantVerdictNames[] = {
        {GrantVerdict::Accepted, "accepted"},
        {GrantVerdict::OldEpoch, "old-epoch"},
        {GrantVerdict::NotWaiting, "not-waiting"},
        {GrantVerdict::Expired, "expired"},
};

struct GrantAcceptance
{
    GrantVerdict verdict = GrantVerdict::Accepted;
    TimePoint endsAt; // the exchange must have ended by then
};

class GrantHolder
{
public:
    explicit GrantHolder(const HolderId &self);

    // Registers a grant request; to be called no later than the request is sent. The remaining time
    // is capped at maxGrantTime. Returns the sequence number of the request.
    std::uint64_t startRequest(UnitId unit, std::uint64_t fingerprint, TimePoint now,
                               Duration remaining);

    // Removes a grant request that was refused, was cancelled or is to be resent to another broker.
    // A grant that arrives later for this sequence number is not accepted.
    void abandon(std::uint64_t sequence);

    // Checks a grant (an answer with Reason::None) that arrived and holds it if it is accepted.
    GrantAcceptance accept(const GrantAnswer &answer, TimePoint now);

    // Removes a grant when its exchange has ended. Returns false if it was not held.
    bool finish(const GrantId &id, UnitId unit);

    // Whether the grant is held and still valid; to be checked directly before the request is sent
    // to the target.
    [[nodiscard]] bool maySend(const GrantId &id, UnitId unit, TimePoint now) const;

    // Records the epoch of a broker. Returns false if a higher epoch is known; messages of this
    // broker must then be ignored.
    bool observeEpoch(UnitId unit, std::uint64_t epoch);

    [[nodiscard]] std::uint64_t highestEpoch(UnitId unit) const;

    // Returns the list of held grants of a unit, to be sent with the heartbeat. A grant is listed
    // until finish(), even after its validity has ended.
    GrantsHeld heldList(UnitId unit, TimePoint now);

    // Answers the rebuild request of a new broker: records its epoch and returns the list.
    GrantsHeld answerRebuild(const RebuildRequest &request, TimePoint now);

    // Sequence numbers of the requests that wait for an answer of the unit's broker. When the
    // broker changes, the daemon abandons each of them and starts it again.
    [[nodiscard]] std::vector<std::uint64_t> waiting(UnitId unit) const;

private:
    struct Waiting
    {
        UnitId unit = 0;
        std::uint64_t fingerprint = 0;
        TimePoint endsAt;
    };
    struct Held
    {
        TargetId target = 0;
        std::uint64_t sequence = 0;
        std::uint64_t fingerprint = 0;
        bool alone = false;
        TimePoint endsAt;
    };
    struct Unit
    {
        std::uint64_t highestEpoch = 0;
        std::map<GrantId, Held> held;
    };

    HolderId self_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastList_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;
    std::map<UnitId, Unit> units_;
};

} // namespace chestnutvane
