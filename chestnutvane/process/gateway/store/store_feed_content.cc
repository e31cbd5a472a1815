// Applies lists read from the store, and changes and content received from peers.

#include "chestnutvane/process/gateway/store/store_feed.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {

void StoreFeed::applyList(Loop loop, const WatchResult &list, BootTime start, ContentSource source)
{
    LoopState &state = loops_[indexOf(loop)];
    EntryHashes entryHashes =
            loop == Loop::Operator ? applyOperatorList(list) : applyTargetList(list);
    FeedChange change = changeBetween(state.entryHashes, entryHashes, list);
    change.prefix = loop == Loop::Operator ? FeedPrefix::OperatorKeys : FeedPrefix::Targets;
    // Without earlier content there is nothing that peers could apply a change to.
    const bool hadContent = freshness(loop).hasContent();
    freshness(loop).onContentRead(start, change.to, source);
    state.lastList = list;
    state.entryHashes = std::move(entryHashes);
    if (hadContent && change.from == change.to)
        return;
    // While removals are deferred, a target missing from the list may be alive. Each instance
    // decides that by itself, so the change is not sent.
    std::string encoded;
    if (hadContent && (loop != Loop::Targets || !removalsDeferred_))
        encoded = encodeChange(change);
    callbacks_.onContentChanged(encoded.size() <= maxChangeBytes ? encoded : std::string());
}

// Applies the change in a peer's report if it starts from this instance's content. Otherwise the
// content is marked outdated when the status in the report is compared, and a read follows.
void StoreFeed::applyPeerChange(const LoadReport &report)
{
    const auto decoded = decodeChange(report.feedChange);
    if (!isOk(decoded)) {
        logEvent(Event::ReportIgnored,
                 {{"from", report.sender.id}, {"reason", error(decoded).detail}});
        return;
    }
    const FeedChange &change = value(decoded);
    const Loop loop = change.prefix == FeedPrefix::OperatorKeys ? Loop::Operator : Loop::Targets;
    const FeedStatus &status = loop == Loop::Operator ? report.operatorFeed : report.targetsFeed;
    const BootTime readAt = BootClock::now() - status.age - maxReportTransit;
    if (!freshness(loop).mayApplyChange(change.from, readAt) || change.to != status.fingerprint)
        return;
    LoopState &state = loops_[indexOf(loop)];
    logEvent(Event::ChangeApplied,
             {{"peer", report.sender.id},
              {"prefix", enumName(feedPrefixNames, change.prefix)},
              {"written", change.written.size()},
              {"removed", change.removed.size()},
              {"store-version", change.version},
              {"age-ms", status.age.count()}});
    state.peerChangeReadAt = readAt;
    applyList(loop, applyChange(state.lastList, change), readAt, ContentSource::Peer);
    if (freshness(loop).status(readAt).fingerprint != change.to)
        freshness(loop).markOutdated();
}

FeedContent StoreFeed::content() const
{
    return {{loops_[indexOf(Loop::Operator)].lastList, operatorAge()},
            {loops_[indexOf(Loop::Targets)].lastList, targetsAge()}};
}

void StoreFeed::applyPeerContent(const FeedContent &content, BootTime requestedAt)
{
    for (const Loop loop : {Loop::Operator, Loop::Targets}) {
        const PrefixContent &prefixContent =
                loop == Loop::Operator ? content.operatorKeys : content.targets;
        const BootTime readAt = requestedAt - prefixContent.age;
        if (freshness(loop).hasContent() && readAt <= freshness(loop).confirmedAt())
            continue; // this instance's content is as new or newer
        LoopState &state = loops_[indexOf(loop)];
        state.peerChangeReadAt = readAt;
        // Entries with equal hashes are not replaced, as this instance may have newer heartbeats.
        const FeedChange change = changeBetween(
                state.entryHashes, entryHashesOf(loop, prefixContent.list), prefixContent.list);
        applyList(loop, applyChange(state.lastList, change), readAt, ContentSource::Peer);
    }
}

// Entries are decoded once for each version, as a read or a peer's change replaces few of them.
const StoreFeed::DecodedTarget &StoreFeed::decodedTarget(const StoreEntry &entry)
{
    const auto known = decodedTargets_.find(entry.key);
    if (known != decodedTargets_.end() && known->second.version == entry.version
        && known->second.value == entry.value)
        return known->second;
    auto target = format_.decodeTarget(targetIdOf(entry), entry.value);
    const std::uint64_t hash = isOk(target) ? contentHash(value(target)) : 0;
    return decodedTargets_
            .insert_or_assign(entry.key,
                              DecodedTarget{entry.version, entry.value, std::move(target), hash})
            .first->second;
}

EntryHashes StoreFeed::entryHashesOf(Loop loop, const WatchResult &list)
{
    EntryHashes entryHashes;
    for (const StoreEntry &entry : list.entries) {
        if (loop == Loop::Operator) {
            entryHashes[entry.key] = entry.version;
        } else if (const DecodedTarget &target = decodedTarget(entry); isOk(target.entry)) {
            entryHashes[entry.key] = target.hash;
        }
    }
    return entryHashes;
}

std::string StoreFeed::targetIdOf(const StoreEntry &entry) const
{
    return entry.key.substr(format_.targetPrefix.size());
}

EntryHashes StoreFeed::applyOperatorList(const WatchResult &result)
{
    std::set<std::string> evacuatedZones;
    EntryHashes entryHashes;
    for (const StoreEntry &entry : result.entries) {
        entryHashes[entry.key] = entry.version;
        if (entry.key.starts_with(format_.evacuationPrefix))
            evacuatedZones.insert(entry.key.substr(format_.evacuationPrefix.size()));
        if (entry.key != format_.routesKey || entry.value == routesText_)
            continue;
        auto routes = format_.decodeRoutes(entry.value);
        if (isOk(routes)) {
            routesText_ = entry.value;
            logEvent(Event::RoutesAdopted,
                     {{"revision", value(routes)->revision()},
                      {"store-version", entry.version},
                      {"routes", value(routes)->routes().size()}});
            callbacks_.onRoutes(value(std::move(routes)));
        } else {
            logEvent(Event::RoutesRefused,
                     {{"fault", enumName(feedFaultNames, error(routes).fault)},
                      {"detail", error(routes).detail},
                      {"store-version", entry.version}});
        }
    }
    if (evacuatedZones != evacuatedZones_) {
        std::string list;
        for (const auto &zone : evacuatedZones)
            list += (list.empty() ? "" : ",") + zone;
        logEvent(Event::EvacuationChanged, {{"zones", list}, {"store-version", result.version}});
        evacuatedZones_ = evacuatedZones;
        callbacks_.onEvacuatedZones(std::move(evacuatedZones));
    }
    return entryHashes;
}

// A new heartbeat alone does not change the returned hashes.
EntryHashes StoreFeed::applyTargetList(const WatchResult &result)
{
    EntryHashes entryHashes;
    std::vector<TargetEntry> targets;
    std::set<std::string> ignored;
    std::set<std::string> keys;
    for (const StoreEntry &entry : result.entries) {
        keys.insert(entry.key);
        const std::string id = targetIdOf(entry);
        const auto &[version, text, target, hash] = decodedTarget(entry);
        if (isOk(target)) {
            entryHashes[entry.key] = hash;
            targets.push_back(value(target));
            targets.back().revision = version;
            continue;
        }
        ignored.insert(id);
        if (!ignoredTargets_.contains(id))
            logEvent(Event::TargetIgnored,
                     {{"id", id},
                      {"fault", enumName(feedFaultNames, error(target).fault)},
                      {"detail", error(target).detail}});
    }
    ignoredTargets_ = std::move(ignored);
    std::erase_if(decodedTargets_,
                  [&keys](const auto &decoded) { return !keys.contains(decoded.first); });
    removalsDeferred_ =
            reachableSince_ != TimePoint{} && Clock::now() - reachableSince_ < reregistrationGrace;
    callbacks_.onTargets(std::move(targets),
                         removalsDeferred_ ? RemovalPolicy::Keep : RemovalPolicy::Immediate);
    return entryHashes;
}

} // namespace chestnutvane
