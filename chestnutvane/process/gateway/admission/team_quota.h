// Decides which requests of a team run within its quota over all instances.
//
// Each instance estimates the team's bucket for the whole fleet: it subtracts its own admissions
// and those that peers report, and predicts what peers admit between two reports. While the demand
// exceeds what the bucket allows, each instance admits the same share of the requests that it gets.
// Peers that are not heard keep their equal share of the rate, so an instance that is out of touch
// may use just that. docs/design/quota.md describes the protocol and its alternatives.
//
// Example:
//
//   TeamQuotas quotas(incarnation);
//   quotas.setLimits({{teamKey, {perSecond, burst}}}, now);
//   quotas.setInstances(instances, now);
//   if (const QuotaVerdict verdict = quotas.admit(teamKey, now); !verdict.isAdmitted)
//       refuse(verdict.retryAfter);
//
// usageToReport() is called at least every second, also without requests: a longer pause between
// two calls counts as a stop of the process.
//
// Not thread-safe: belongs to the gateway's single thread.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/time.h"
#include "chestnutvane/process/gateway/admission/team_usage.h"

namespace chestnutvane {

struct QuotaLimit
{
    double perSecond = 0; // 0: no limit
    double burst = 0; // requests above the rate that may run at once

    friend bool operator==(const QuotaLimit &, const QuotaLimit &) = default;
};

enum class QuotaReason {
    NoLimit, // the team has none
    WithinQuota,
    OverQuota, // the team asks for more than its quota over the fleet
    OverShare, // out of touch with all peers, and this instance's share of the quota is spent
};

inline constexpr EnumName<QuotaReason> quotaReasonNames[] = {
        {QuotaReason::NoLimit, "no_limit"},
        {QuotaReason::WithinQuota, "within_quota"},
        {QuotaReason::OverQuota, "over_quota"},
        {QuotaReason::OverShare, "over_share"},
};

// A decision and the figures that it follows from.
struct QuotaVerdict
{
    bool isAdmitted = true;
    QuotaReason reason = QuotaReason::NoLimit;
    Duration retryAfter{0}; // when a refused request is expected to find room
    double level = 0; // requests left in the team's bucket, below 0 while it is overdrawn
    double demandPerSecond = 0; // of the team over all instances that are heard
    double admittedShare = 1; // of the requests that arrive now
    int heard = 1; // instances that are heard, with this one
    int instances = 1;
    Duration oldestReport{0}; // age of the oldest report that the figures include
};

class TeamQuotas
{
public:
    // The seed must differ between instances: it keeps them from admitting in step.
    explicit TeamQuotas(std::uint64_t seed);

    // Replaces all limits. A team whose limit is new starts without burst; one whose limit falls
    // keeps no more than the new burst.
    void setLimits(const std::unordered_map<std::uint32_t, QuotaLimit> &limits, TimePoint now);

    // Sets the number of instances of the fleet, dead or alive, as far as the list of instances
    // tells, this one included.
    void setInstances(int instances, TimePoint now);

    // Decides on a request. Takes constant time.
    [[nodiscard]] QuotaVerdict admit(std::uint32_t team, TimePoint now);

    // Returns the credit of an admitted request that was refused before a target ran it.
    void giveBack(std::uint32_t team, TimePoint now);

    // The figures for the next report to each peer: teams that asked within the last usageTime,
    // those with the highest demand relative to the limit first, at most maxReportedTeams.
    [[nodiscard]] std::vector<TeamUsage> usageToReport(TimePoint now);

    // Takes the usage of a peer from a report that is newer than the last of this incarnation, and
    // its heard() at that time. age is the time since the report was composed. Call it also if the
    // usage is empty.
    void merge(std::uint64_t incarnation, std::span<const TeamUsage> usage, int heardThere,
               Duration age, TimePoint now);

    // Forgets a peer that has left or was replaced by another incarnation.
    void forgetPeer(std::uint64_t incarnation, TimePoint now);

    // Number of instances heard within livenessTimeout, with this one.
    [[nodiscard]] int heard(TimePoint now);

    // A peer that is not heard for longer keeps its equal share, one that reports often sooner.
    static constexpr Milliseconds livenessTimeout{2000};
    // Covers the loss of two reports in succession at the longest interval.
    static constexpr Milliseconds usageTime{2000};
    static constexpr std::size_t maxReportedTeams = 64; // bounds the part of a datagram
    static constexpr std::size_t maxPeers = 4096; // bounds the memory

private:
    struct Team
    {
        QuotaLimit limit;
        double level = 0; // requests left in the bucket, with the prediction for the peers
        double share = 1; // of its requests that each instance admits now
        double shareSeconds = 0; // integral of share over time
        double peerDemand = 0; // requests a second, sum over the peers that are heard
        double ownDemand = 0; // requests a second, as of updatedAt
        double steadyDemand = 0; // of the team, over a longer time
        double steadyOwnDemand = 0;
        double ownLevel = 0; // requests left of this instance's equal share
        double carry = 0; // part of a request that was not admitted yet, in [0, 1)
        double backlog = 0; // requests that all instances refused and that may come back
        std::uint32_t episode = 0;
        std::uint64_t admitted = 0; // in the episode
        TimePoint startedAt;
        TimePoint updatedAt;
        TimePoint askedAt; // the last request
    };
    // What a peer last reported for a team.
    struct PeerUsage
    {
        TeamUsage reported;
        double demand = 0; // requests a second, 0 while the peer is not heard
        double shareSeconds = 0; // of the team when the report was composed
        double prepaid = 0; // requests predicted until the peer was found not to be heard
        TimePoint listedAt;
    };
    struct Peer
    {
        TimePoint composedAt; // the last report
        Duration interval{0}; // the longest between reports of late
        TimePoint silentAt; // when it was last found not to be heard
        bool isHeard = false;
        int heardThere = 0; // instances that it hears, with itself
        std::vector<PeerUsage> usage;
    };

    // Returns whether the instance gets no reports, be it for a moment, or is heard by no peer.
    [[nodiscard]] bool isOutOfTouch(TimePoint now) const;
    // The part of the quota that the instances which are heard may use, in (0, 1].
    [[nodiscard]] double reach() const;
    [[nodiscard]] double capacity(const Team &team) const;
    // The lowest level, below 0.
    [[nodiscard]] static double maxDebt(const Team &team);
    [[nodiscard]] static double ownDemand(const Team &team);
    [[nodiscard]] static double demand(const Team &team);
    [[nodiscard]] double ownCapacity(const Team &team) const;
    // Finds out whether the process has stood still since the last call.
    void noticeStop(TimePoint now);
    void update(Team &team, TimePoint now);
    void updateShare(Team &team, TimePoint now);
    void charge(Peer &peer, bool wasHeard, const TeamUsage &usage, TimePoint now);
    // Replaces what was predicted for a peer since its last report by the figures of a new one.
    void correct(Team &team, PeerUsage &known, const TeamUsage &usage, TimePoint composedAt,
                 TimePoint now);
    // Counts on a peer again. One that was late for a moment has to account for that time.
    void markHeard(Peer &peer, TimePoint now);
    // Ends the prediction for a peer, whose equal share is left to it from now on.
    void markSilent(Peer &peer, TimePoint now);
    // Finds the peers that have become late, at most once in a while. Begins each public call.
    void expirePeers(TimePoint now);
    // Updates all levels after a change of reach() and scales them by the factor.
    void changeReach(double factor, TimePoint now);
    [[nodiscard]] double nextRandom();

    std::unordered_map<std::uint32_t, Team> teams_; // those with a limit
    std::unordered_map<std::uint64_t, Peer> peers_; // by incarnation
    std::uint64_t random_;
    int heardPeers_ = 0; // those that are not late
    int heardLately_ = 0; // peers heard within livenessTimeout, at the last scan
    int instances_ = 1;
    TimePoint heardThereAt_; // when peers last seemed to hear this instance
    TimePoint calledAt_; // the last call
    TimePoint wokeAt_; // the end of the last stop of the process
    Duration stopped_{0}; // time in which the process stood still, as nothing accrues then
    TimePoint expiredAt_; // last scan of expirePeers()
    TimePoint mergedAt_; // the last report of any peer
    Duration mergeInterval_{0}; // the longest between reports of any peers of late
    TimePoint oldestComposedAt_ = TimePoint::max(); // of the peers heard at that scan
};

} // namespace chestnutvane
