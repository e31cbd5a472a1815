// Decides which requests of a team run within its quota over all instances.
//
// Each instance estimates the team's bucket for the whole fleet: it subtracts its own admissions and
// those that peers report, and predicts what peers admit between two reports. While the demand
// exceeds what the bucket allows, each instance admits the same share of the requests that it
// gets. Peers that are not heard keep their equal share of the rate, so an instance that is cut off
// may use just that. docs/design/quota.md says why.
//
// Example:
//
//   TeamQuotas quotas(incarnation);
//   quotas.setLimits({{teamKey, {perSecond, burst}}}, now);
//   if (const QuotaVerdict verdict = quotas.admit(teamKey, instances, now); !verdict.isAdmitted)
//       refuse(verdict.retryAfter);
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
    OverShare, // no peer is heard, and this instance's share of the quota is spent
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
    // keeps no more than the new burst. What is known of the demand is kept.
    void setLimits(const std::unordered_map<std::uint32_t, QuotaLimit> &limits, TimePoint now);

    // Decides on a request. instances is the number of instances of the fleet, dead or alive, as far
    // as the list of instances tells. Takes constant time.
    [[nodiscard]] QuotaVerdict admit(std::uint32_t team, int instances, TimePoint now);

    // Returns the credit of an admitted request that was refused before a target ran it.
    void giveBack(std::uint32_t team, TimePoint now);

    // The figures for the next report to each peer: teams that asked within the last usageTime,
    // those with the highest demand relative to the limit first, at most maxReportedTeams.
    [[nodiscard]] std::vector<TeamUsage> usageToReport(TimePoint now);

    // Takes the usage of a peer from a report that is newer than the last of this incarnation.
    // age is the time since the report was composed. Call it also if the usage is empty.
    void merge(std::uint64_t incarnation, std::span<const TeamUsage> usage, Duration age,
               TimePoint now);

    // Forgets a peer that has left or was replaced by another incarnation.
    void forgetPeer(std::uint64_t incarnation, TimePoint now);

    // Number of instances that are heard, with this one.
    [[nodiscard]] int heard(TimePoint now);

    // A peer that is not heard for longer keeps its equal share.
    static constexpr Milliseconds livenessTimeout{2000};
    // Covers the loss of two reports in succession at the longest interval.
    static constexpr Milliseconds usageTime{2000};
    static constexpr std::size_t maxReportedTeams = 64; // bounds the part of a datagram
    static constexpr std::size_t maxPeers = 4096; // bounds the memory

private:
    struct Team
    {
        QuotaLimit limit;
        double level = 0; // requests left in the bucket; prediction of peers included
        double share = 1; // of its requests that each instance admits now
        double shareSeconds = 0; // integral of share over time
        double peerDemand = 0; // requests a second, sum over the peers that are heard
        double ownDemand = 0; // requests a second, at updatedAt
        double carry = 0; // part of a request that is not admitted yet, in [0, 1)
        double promised = 0; // refused requests that were told when to come back
        std::uint32_t episode = 0;
        std::uint64_t admitted = 0; // in the episode
        TimePoint updatedAt;
        TimePoint askedAt; // the last request
    };
    // What a peer last reported for a team.
    struct PeerUsage
    {
        TeamUsage reported;
        double shareSeconds = 0; // of the team when the report was composed
        TimePoint listedAt;
    };
    struct Peer
    {
        TimePoint composedAt; // the last report
        bool isHeard = false;
        std::vector<PeerUsage> usage;
    };

    [[nodiscard]] double reach(int instances) const;
    [[nodiscard]] double capacity(const Team &team) const;
    void update(Team &team, TimePoint now);
    void updateShare(Team &team);
    void charge(Peer &peer, const TeamUsage &usage, TimePoint composedAt, TimePoint now);
    void silence(Peer &peer, TimePoint now);
    void expirePeers(TimePoint now);
    [[nodiscard]] Duration delayUntilRoom(Team &team, TimePoint now);

    std::unordered_map<std::uint32_t, Team> teams_; // those with a limit
    std::unordered_map<std::uint64_t, Peer> peers_; // by incarnation
    std::uint64_t random_;
    int heardPeers_ = 0;
    int instances_ = 1;
    TimePoint expiredAt_; // last call of expirePeers()
};

} // namespace chestnutvane
