// The grants that an instance holds, of all units.
//
// Example:
//
//   std::uint64_t sequence = holder.startRequest(unit, fingerprint, now, remaining);
//   ... send the grant request; on the answer:
//   GrantAcceptance acceptance = holder.accept(answer, now);
//   if (acceptance.verdict == GrantVerdict::Accepted)
//       ... run the exchange, at most until acceptance.endsAt, then:
//       holder.finish(answer.id, unit);
//
// Not thread-safe: the daemon calls it under the grant holder lock.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_messages.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

// What a holder makes of a grant that arrived.
enum class GrantVerdict {
    Accepted,
    OldEpoch, // a newer broker exists; must not be used
    NotWaiting, // the request was cancelled or already answered; release it as NotSent
    Expired, // its time has passed; release it as NotSent
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

    // Starts a wait for a grant; to be called at or before the sending of the request. The
    // remaining time is cut to maxGrantTime. Returns the sequence number of the request.
    std::uint64_t startRequest(UnitId unit, std::uint64_t fingerprint, TimePoint now,
                               Duration remaining);

    // Ends the wait for a grant: refused, cancelled, or the broker changed. A grant that arrives
    // later for this sequence number is not accepted.
    void abandon(std::uint64_t sequence);

    // Takes a grant (an answer with Reason::None).
    GrantAcceptance accept(const GrantAnswer &answer, TimePoint now);

    // The exchange has ended; the grant is no longer held. Returns false if it was not held.
    bool finish(const GrantId &id, UnitId unit);

    // The end of the time of a held grant, checked again directly before sending. Returns false
    // if the grant is not held or its time has passed.
    [[nodiscard]] bool maySend(const GrantId &id, UnitId unit, TimePoint now) const;

    // Records the epoch of a broker. Returns false if a higher one is known: its messages are to
    // be ignored.
    bool observeEpoch(UnitId unit, std::uint64_t epoch);

    [[nodiscard]] std::uint64_t highestEpoch(UnitId unit) const;

    // The list of held grants of a unit, for the heartbeat. A grant stays in it until finish(),
    // also after its end.
    GrantsHeld heldList(UnitId unit, TimePoint now);

    // The answer to a new broker's rebuild: records its epoch and returns the list.
    GrantsHeld answerRebuild(const RebuildRequest &request, TimePoint now);

    // Requests that await an answer of the unit's broker; after a change of broker the daemon
    // abandons each and starts it again.
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
