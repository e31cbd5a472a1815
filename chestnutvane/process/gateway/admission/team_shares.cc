#include "chestnutvane/process/gateway/admission/team_shares.h"

#include <algorithm>
#include <cmath>

namespace chestnutvane {
namespace {

using Seconds = std::chrono::duration<double>;

// A team is entitled to at least this part of what it asks for, relative to the others. Teams are
// promised a quarter of the rate at which all are served; the difference covers estimates.
constexpr double minServedPart = 1.0 / 3;
// A team is entitled to at least this part of the mean usual demand, so that the few requests of a
// small team do not count as an excess.
constexpr double smallTeamPart = 0.25;
// Level relative to the typical one from which a team is reported as above its share. Below, the
// figures of few requests vary too much to tell teams apart.
constexpr double aboveShare = 1.5;
// Lower limit of an entitlement, so that levels are finite.
constexpr double minEntitledSeconds = 1e-3;
// Figures below this are removed.
constexpr double negligibleSeconds = 1e-3;
// Entry of the teams beyond maxTeams.
constexpr std::uint32_t otherTeams = 0xffffffffU;
constexpr double millisecondsPerSecond = 1000;

std::uint32_t shortKey(std::uint64_t team)
{
    return static_cast<std::uint32_t>(team);
}

double decay(Duration age, Seconds timeConstant)
{
    return std::exp(-(Seconds(age) / timeConstant));
}

// Gain of two filters of first order in series, from their time constants.
constexpr double cascadeGain = Seconds(TeamShares::usualWindow)
        / (Seconds(TeamShares::usualWindow) - Seconds(TeamShares::useWindow));

// The time at a constant rate that makes up the sum `asked` at an age of the figures.
Seconds coveredByUse(Duration age)
{
    return Seconds(TeamShares::useWindow) * (1 - decay(age, TeamShares::useWindow));
}

// The same of the sum `usual`, which follows `asked` as a second filter of first order.
Seconds coveredByUsual(Duration age)
{
    constexpr Seconds use = TeamShares::useWindow;
    constexpr Seconds usual = TeamShares::usualWindow;
    constexpr Seconds shortest{0.1}; // the figures of the first moments are too few to weigh
    const double usualDecay = decay(age, usual);
    const Seconds covered =
            usual * (1 - usualDecay) - use * cascadeGain * (usualDecay - decay(age, use));
    return std::max(shortest, covered);
}

std::uint32_t toMilliseconds(double seconds)
{
    return static_cast<std::uint32_t>(std::lround(seconds * millisecondsPerSecond));
}

} // namespace

void TeamShares::Figures::decayTo(TimePoint now)
{
    const Duration age = std::max<Duration>(now - at, Duration{0});
    const double useDecay = decay(age, useWindow);
    const double usualDecay = decay(age, usualWindow);
    // A burst counts as usual demand only as it leaves the window of use.
    usual = usual * usualDecay + asked * cascadeGain * (usualDecay - useDecay);
    used *= useDecay;
    asked *= useDecay;
    at = std::max(at, now);
}

TeamShares::Figures &TeamShares::figuresOf(std::uint64_t team, TimePoint now)
{
    auto key = shortKey(team);
    if (teams_.size() >= maxTeams && !teams_.contains(key))
        key = otherTeams;
    Figures &figures = teams_.try_emplace(key, Figures{.at = now}).first->second;
    figures.decayTo(now);
    return figures;
}

void TeamShares::onAsked(std::uint64_t team, Duration work, TimePoint now)
{
    const double seconds = Seconds(work).count();
    sum_.decayTo(now);
    figuresOf(team, now).asked += seconds;
    sum_.asked += seconds;
}

void TeamShares::onSent(std::uint64_t team, Duration work, TimePoint now)
{
    const double seconds = Seconds(work).count();
    sum_.decayTo(now);
    figuresOf(team, now).used += seconds;
    sum_.used += seconds;
}

double TeamShares::usualInUseWindow(const Figures &figures, TimePoint now) const
{
    Figures all = sum_;
    all.decayTo(now);
    const double mean = all.usual / static_cast<double>(std::max<std::size_t>(teams(), 1));
    const Duration age = now - createdAt_;
    return std::max(figures.usual, smallTeamPart * mean)
            * (coveredByUse(age) / coveredByUsual(age));
}

TeamShares::Standing TeamShares::ownStanding(std::uint32_t team, TimePoint now) const
{
    auto found = teams_.find(team);
    if (found == teams_.end())
        found = teams_.find(otherTeams);
    Figures figures = found == teams_.end() ? Figures{.at = now} : found->second;
    figures.decayTo(now);
    return {figures.used,
            std::max({usualInUseWindow(figures, now), minServedPart * figures.asked,
                      minEntitledSeconds})};
}

TeamShares::Standing TeamShares::standing(std::uint64_t team, TimePoint now) const
{
    Standing result = ownStanding(shortKey(team), now);
    if (const auto found = peerSums_.find(shortKey(team)); found != peerSums_.end()) {
        result.used += static_cast<double>(found->second.usedMs) / millisecondsPerSecond;
        result.entitled += static_cast<double>(found->second.entitledMs) / millisecondsPerSecond;
    }
    return result;
}

double TeamShares::level(std::uint64_t team, TimePoint now) const
{
    const auto [used, entitled] = standing(team, now);
    return used / entitled;
}

void TeamShares::applyReport(std::uint64_t instance, std::span<const TeamUse> uses, TimePoint now)
{
    PeerFigures &peer = peers_[instance];
    subtract(peer.uses);
    const auto bounded = uses.first(std::min(uses.size(), maxReported));
    peer = {{bounded.begin(), bounded.end()}, now};
    for (const auto &[team, usedMs, entitledMs] : peer.uses) {
        PeerSum &sum = peerSums_[team];
        ++sum.peers;
        sum.usedMs += usedMs;
        sum.entitledMs += entitledMs;
    }
}

void TeamShares::subtract(std::span<const TeamUse> uses)
{
    for (const auto &[team, usedMs, entitledMs] : uses) {
        PeerSum &sum = peerSums_[team];
        sum.usedMs -= usedMs;
        sum.entitledMs -= entitledMs;
        if (--sum.peers == 0)
            peerSums_.erase(team);
    }
}

std::vector<TeamUse> TeamShares::report(TimePoint now) const
{
    if (!shortageAt_ || now - *shortageAt_ > reportTtl)
        return {};
    struct Own
    {
        std::uint32_t team;
        Standing standing;
        double excess;
    };
    std::vector<Own> own;
    for (const auto &[team, figures] : teams_) {
        const Standing standing = ownStanding(team, now);
        const double excess = standing.used - aboveShare * typicalLevel_ * standing.entitled;
        if (excess > 0 || peerSums_.contains(team))
            own.push_back({team, standing, excess});
    }
    std::ranges::sort(own, std::greater{},
                      [](const Own &entry) { return std::pair(entry.excess, entry.team); });
    own.resize(std::min(own.size(), maxReported));
    std::vector<TeamUse> uses;
    uses.reserve(own.size());
    for (const auto &[team, standing, excess] : own)
        uses.push_back({team, toMilliseconds(standing.used), toMilliseconds(standing.entitled)});
    return uses;
}

void TeamShares::update(TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) {
        const PeerFigures &peer = entry.second;
        const bool isOld = now - peer.receivedAt > reportTtl;
        if (isOld)
            subtract(peer.uses);
        return isOld;
    });
    for (auto &[team, figures] : teams_)
        figures.decayTo(now);
    std::erase_if(teams_, [&](const auto &entry) {
        const Figures &figures = entry.second;
        return figures.used + figures.asked + figures.usual < negligibleSeconds;
    });
    std::vector<double> levels;
    levels.reserve(teams_.size());
    for (const auto &[team, figures] : teams_)
        levels.push_back(level(team, now));
    typicalLevel_ = 0;
    if (levels.empty())
        return;
    const auto median = levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) / 2);
    std::nth_element(levels.begin(), median, levels.end());
    typicalLevel_ = *median;
}

} // namespace chestnutvane
