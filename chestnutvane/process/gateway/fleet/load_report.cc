#include "chestnutvane/process/gateway/fleet/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chestnutvane/process/gateway/fleet/report_parts.h"

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

// Increased with each change that older instances cannot decode.
constexpr int formatVersion = 3;

Json encodeCounts(const std::map<std::uint64_t, int> &counts)
{
    Json list = Json::array();
    for (const auto &[key, count] : counts) {
        list.push_back(key);
        list.push_back(count);
    }
    return list;
}

std::map<std::uint64_t, int> decodeCounts(const Json &list)
{
    std::map<std::uint64_t, int> counts;
    for (std::size_t i = 0; i + 1 < list.size(); i += 2)
        counts[list.at(i).get<std::uint64_t>()] = list.at(i + 1).get<int>();
    return counts;
}

Json encodeCrashCounts(const std::vector<CrashCount> &crashes)
{
    Json list = Json::array();
    for (const CrashCount &count : crashes) {
        const auto age = std::chrono::duration_cast<Milliseconds>(count.age);
        list.push_back(Json::array({count.countedBy.high, count.countedBy.low, count.region,
                                    count.fingerprint, count.crashes, count.cleared, age.count(),
                                    count.generation}));
    }
    return list;
}

std::vector<CrashCount> decodeCrashCounts(const Json &list)
{
    std::vector<CrashCount> crashes;
    for (const Json &item : list) {
        CrashCount count;
        count.countedBy = {item.at(0), item.at(1)};
        count.region = item.at(2);
        count.fingerprint = item.at(3);
        count.crashes = item.at(4);
        count.cleared = item.at(5);
        count.age = Milliseconds(item.at(6).get<Milliseconds::rep>());
        count.generation = item.at(7);
        crashes.push_back(std::move(count));
    }
    return crashes;
}

// Ages are those of reads of the store, which an instance that reports has made since its start.
bool isPlausibleAge(Milliseconds age)
{
    constexpr std::chrono::hours maxAge{24 * 365 * 100};
    return age >= Milliseconds{0} && age <= maxAge;
}

} // namespace

std::string encodeReport(const LoadReport &report, IdentityPart part)
{
    Json warm = Json::array();
    for (const auto &[target, object] : report.warmObjects) {
        warm.push_back(target);
        warm.push_back(object);
    }
    Json identity = Json::array({report.sender.incarnation});
    if (part == IdentityPart::Full) {
        for (const auto &text : {report.sender.id, report.sender.zone, report.sender.callerAddress,
                                 report.sender.reportAddress, report.sender.metricsAddress})
            identity.push_back(text);
        identity.push_back(report.sender.coreShare);
    }
    Json list = Json::array({formatVersion, identity, static_cast<int>(report.state),
                             report.sequence, report.revision, encodeCounts(report.inFlight),
                             encodeCounts(report.queued), warm, report.targetsFeed.fingerprint,
                             report.targetsFeed.age.count(), report.operatorFeed.fingerprint,
                             report.operatorFeed.age.count()});
    // Optional fields come last, as older instances ignore trailing fields that they do not know.
    const Json parts = encodeParts(report);
    const bool hasCrashCounts = !report.crashCounts.empty();
    if (!report.feedChange.empty() || hasCrashCounts || !parts.empty())
        list.push_back(Json::binary({report.feedChange.begin(), report.feedChange.end()}));
    if (hasCrashCounts || !parts.empty())
        list.push_back(encodeCrashCounts(report.crashCounts));
    if (!parts.empty())
        list.push_back(parts);
    std::string text;
    Json::to_cbor(list, text);
    return text;
}

Result<LoadReport, ReportError> decodeReport(std::string_view datagram)
{
    try {
        const Json list = Json::from_cbor(datagram.begin(), datagram.end());
        if (list.at(0).get<int>() != formatVersion)
            return ReportError{"unsupported load report format version "
                               + std::to_string(list.at(0).get<int>())};
        LoadReport report;
        const Json &identity = list.at(1);
        report.sender.incarnation = identity.at(0);
        if (identity.size() > 1)
            report.sender = {identity.at(1), report.sender.incarnation,
                             identity.at(2), identity.at(3),
                             identity.at(4), identity.at(5)};
        if (constexpr std::size_t coreShareAt = 6; identity.size() > coreShareAt)
            report.sender.coreShare = identity.at(coreShareAt);
        const int state = list.at(2);
        if (state < 0 || state > static_cast<int>(PeerState::Stopping))
            return ReportError{"unknown peer state in load report: " + std::to_string(state)};
        report.state = static_cast<PeerState>(state);
        report.sequence = list.at(3);
        report.revision = list.at(4);
        report.inFlight = decodeCounts(list.at(5));
        report.queued = decodeCounts(list.at(6));
        const Json &warm = list.at(7);
        for (std::size_t i = 0; i + 1 < warm.size(); i += 2)
            report.warmObjects.push_back({warm.at(i), warm.at(i + 1)});
        report.targetsFeed = {list.at(8), Milliseconds(list.at(9).get<Milliseconds::rep>())};
        report.operatorFeed = {list.at(10), Milliseconds(list.at(11).get<Milliseconds::rep>())};
        if (!isPlausibleAge(report.targetsFeed.age) || !isPlausibleAge(report.operatorFeed.age))
            return ReportError{"implausible age of content"};
        constexpr std::size_t changeAt = 12;
        if (list.size() > changeAt) {
            const auto &bytes = list.at(changeAt).get_binary();
            report.feedChange.assign(bytes.begin(), bytes.end());
        }
        if (list.size() > changeAt + 1)
            report.crashCounts = decodeCrashCounts(list.at(changeAt + 1));
        if (list.size() > changeAt + 2)
            decodeParts(list.at(changeAt + 2), report);
        return report;
    } catch (const Json::exception &failure) {
        return ReportError{failure.what()};
    }
}

bool FleetView::merge(LoadReport report, TimePoint now)
{
    const auto found = peers_.find(report.sender.id);
    if (found != peers_.end()
        && found->second.report.sender.incarnation == report.sender.incarnation
        && found->second.report.sequence >= report.sequence)
        return false;
    const std::string id = report.sender.id;
    Peer &peer = peers_[id];
    subtractFromSums(peer);
    if (peer.report.sender.incarnation != report.sender.incarnation) {
        idsByIncarnation_.erase(peer.report.sender.incarnation);
        idsByIncarnation_[report.sender.incarnation] = id;
    }
    peer = Peer{std::move(report), now};
    addToSums(peer);
    return true;
}

std::optional<PeerIdentity> FleetView::identityOf(std::uint64_t incarnation) const
{
    const auto found = idsByIncarnation_.find(incarnation);
    if (found == idsByIncarnation_.end())
        return std::nullopt;
    return peers_.at(found->second).report.sender;
}

void FleetView::addToSums(Peer &peer)
{
    for (const auto &[target, count] : peer.report.inFlight)
        sums_[target] += count;
    peer.includedInSums = true;
    nextExpiry_ = std::min(nextExpiry_, peer.receivedAt + reportTtl);
}

void FleetView::subtractFromSums(Peer &peer)
{
    if (!std::exchange(peer.includedInSums, false))
        return;
    for (const auto &[target, count] : peer.report.inFlight) {
        const auto sum = sums_.find(target);
        if (sum == sums_.end())
            continue; // the sum reached 0 and was erased, so this count is 0
        sum->second -= count;
        if (sum->second == 0)
            sums_.erase(sum);
    }
}

void FleetView::subtractExpired(TimePoint now)
{
    nextExpiry_ = TimePoint::max();
    for (auto &[id, peer] : peers_) {
        if (now - peer.receivedAt > reportTtl)
            subtractFromSums(peer);
        else if (peer.includedInSums)
            nextExpiry_ = std::min(nextExpiry_, peer.receivedAt + reportTtl);
    }
}

double FleetView::inFlightAt(std::uint64_t target, TimePoint now)
{
    if (now > nextExpiry_)
        subtractExpired(now);
    const auto sum = sums_.find(target);
    return sum == sums_.end() ? 0 : sum->second;
}

double FleetView::queuedFor(std::uint64_t service, const std::string &region,
                            const std::map<std::string, std::string> &zoneRegions,
                            TimePoint now) const
{
    double sum = 0;
    for (const auto &[id, peer] : peers_) {
        const auto zone = zoneRegions.find(peer.report.sender.zone);
        if (now - peer.receivedAt > reportTtl || zone == zoneRegions.end()
            || zone->second != region)
            continue;
        if (const auto found = peer.report.queued.find(service); found != peer.report.queued.end())
            sum += found->second;
    }
    return sum;
}

Duration FleetView::oldestReportAge(TimePoint now) const
{
    Duration oldest{0};
    for (const auto &[id, peer] : peers_) {
        if (peer.includedInSums)
            oldest = std::max(oldest, now - peer.receivedAt);
    }
    return oldest;
}

bool FleetView::isAlive(const std::string &id, TimePoint now) const
{
    const auto found = peers_.find(id);
    return found != peers_.end() && now - found->second.receivedAt <= livenessTimeout;
}

void FleetView::expire(TimePoint now)
{
    constexpr std::chrono::seconds peerRetention{30};
    subtractExpired(now);
    std::erase_if(peers_, [this, now, peerRetention](const auto &entry) {
        const Peer &peer = entry.second;
        if (now - peer.receivedAt <= peerRetention)
            return false;
        idsByIncarnation_.erase(peer.report.sender.incarnation);
        return true;
    });
}

} // namespace chestnutvane
