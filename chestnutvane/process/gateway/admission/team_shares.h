// Slot time that teams ask for and use, as the base of fair shares over the fleet.
//
// Load: one team sends several times its usual number of requests while the slots are short. Its
// share is weighted by its usual demand, so it pays for the excess itself and the other teams keep
// theirs. The method is weighted max-min fairness over attained service; unlike in weighted fair
// queueing, use is forgotten within seconds, so a team does not pay for an excess that did no harm.
//
// Each instance counts its own requests. Reports add the figures of teams above their share, so
// that a team gains nothing from sending through many instances.
//
// Example:
//
//   shares.onAsked(team, work, now);
//   if (shares.level(a, now) < shares.level(b, now))
//       sendFirst(requestOfA);
//   shares.onSent(team, work, now);
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/admission/team_use.h"

namespace chestnutvane {

class TeamShares
{
public:
    explicit TeamShares(TimePoint now) : createdAt_(now) { }

    // Counts a request that arrived, with its expected slot time. Call once per request.
    void onAsked(std::uint64_t team, Duration work, TimePoint now);

    // Counts an attempt, with its expected slot time.
    void onSent(std::uint64_t team, Duration work, TimePoint now);

    // Call when requests of several teams wait for slots.
    void onShortage(TimePoint now) { shortageAt_ = now; }

    // Replaces the figures of another instance.
    void applyReport(std::uint64_t instance, std::span<const TeamUse> uses, TimePoint now);

    // Returns what this instance reports: teams above their share, and teams that others reported,
    // the largest excess first and maxReported at most. Nothing while no slots are short.
    [[nodiscard]] std::vector<TeamUse> report(TimePoint now) const;

    // Slot time that a team used and may use at this instance and those that reported it, in
    // seconds. `entitled` is positive.
    struct Standing
    {
        double used = 0;
        double entitled = 0;
    };
    [[nodiscard]] Standing standing(std::uint64_t team, TimePoint now) const;

    // Used relative to entitled slot time; the team with the lowest level is served first.
    [[nodiscard]] double level(std::uint64_t team, TimePoint now) const;

    // Removes figures that no longer count, and updates the level from which teams are reported.
    // Call twice a second.
    void update(TimePoint now);

    // Number of teams with figures of this instance.
    [[nodiscard]] std::size_t teams() const { return teams_.size(); }

    // Time constant of the decay of use. Callers judge service over some seconds.
    static constexpr Milliseconds useWindow{5000};
    // Time constant of the usual demand; long against the bursts that it is compared with.
    static constexpr Milliseconds usualWindow{60000};
    // Age at which figures of another instance are ignored, as for load reports.
    static constexpr Milliseconds reportTtl{1500};
    // Teams in one report: about 100 bytes of a datagram.
    static constexpr std::size_t maxReported = 8;
    // Teams with figures; the rest share one entry, so that invented keys cannot use up memory.
    static constexpr std::size_t maxTeams = 1024;

private:
    // Decaying sums in seconds of slot time, as of `at`.
    struct Figures
    {
        double used = 0;
        double asked = 0;
        double usual = 0; // of what was asked before the window of `asked`
        TimePoint at{};

        void decayTo(TimePoint now);
    };
    struct PeerFigures
    {
        std::vector<TeamUse> uses;
        TimePoint receivedAt;
    };
    struct PeerSum
    {
        int peers = 0;
        std::uint64_t usedMs = 0;
        std::uint64_t entitledMs = 0;
    };

    Figures &figuresOf(std::uint64_t team, TimePoint now);
    // Usual demand of a team in seconds of slot time within useWindow.
    [[nodiscard]] double usualInUseWindow(const Figures &figures, TimePoint now) const;
    [[nodiscard]] Standing ownStanding(std::uint32_t team, TimePoint now) const;
    // Subtracts a report from peerSums_.
    void subtract(std::span<const TeamUse> uses);

    TimePoint createdAt_;
    std::optional<TimePoint> shortageAt_; // last call of onShortage()
    std::unordered_map<std::uint32_t, Figures> teams_;
    std::map<std::uint64_t, PeerFigures> peers_; // by instance
    // Sums of peers_, as each placement pass asks for the standing of many teams.
    std::unordered_map<std::uint32_t, PeerSum> peerSums_;
    Figures sum_; // of all teams
    double typicalLevel_ = 0; // median over teams_, as of the last update()
};

} // namespace chestnutvane
