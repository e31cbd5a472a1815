// Applies lists read from the store, and changes and content received from peers.

#include "chestnutvane/base/hash.h"
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
    freshness(loop).onContentRead(start, change.to, source, list.era);
    state.lastList = list;
    state.entryHashes = std::move(entryHashes);
    if (hadContent && change.from == change.to)
        return;
    // While removals are deferred, an entry missing from the list may be in force. Each instance
    // decides that by itself, so the change is not sent.
    std::string encoded;
    if (hadContent && !state.removalsDeferred)
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
    if (!freshness(loop).mayApplyChange(change.from, readAt, status.era)
        || change.to != status.fingerprint)
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
        const std::uint64_t era = prefixContent.list.era;
        LoopState &state = loops_[indexOf(loop)];
        const bool isNewEra = era > state.lastList.era && freshness(loop).hasContent();
        if (era < era_
            || (freshness(loop).hasContent() && !isNewEra
                && readAt <= freshness(loop).confirmedAt()))
            continue; // this instance's content is as new or newer
        if (era > era_)
            beginEra(era, ContentSource::Peer);
        state.peerChangeReadAt = readAt;
        if (isNewEra) {
            applyList(loop, prefixContent.list, readAt, ContentSource::Peer);
            // The next read starts from this list, or all instances would list at once.
            if (store_.changesSince)
                state.readKind = ReadKind::Changes;
            continue;
        }
        // Entries with equal hashes are not replaced, as this instance may have newer heartbeats.
        const FeedChange change = changeBetween(
                state.entryHashes, entryHashesOf(loop, prefixContent.list), prefixContent.list);
        WatchResult list = applyChange(state.lastList, change);
        list.era = era; // without earlier content, that of the peer
        applyList(loop, list, readAt, ContentSource::Peer);
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
            entryHashes[entry.key] = hash64(entry.value);
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

void StoreFeed::adoptRoutes(const StoreEntry &entry)
{
    if (entry.value == routesText_)
        return;
    const auto refuse = [&entry](FeedFault fault, std::string_view detail) {
        logEvent(Event::RoutesRefused,
                 {{"fault", enumName(feedFaultNames, fault)},
                  {"detail", detail},
                  {"store-version", entry.version}});
    };
    auto routes = format_.decodeRoutes(entry.value);
    if (!isOk(routes))
        return refuse(error(routes).fault, error(routes).detail);
    routesText_ = entry.value;
    const std::uint64_t revision = value(routes)->revision();
    if (routesRevision_ && revision < *routesRevision_)
        return refuse(FeedFault::OlderRevision, "revision " + std::to_string(revision));
    routesRevision_ = revision;
    logEvent(Event::RoutesAdopted,
             {{"revision", revision},
              {"store-version", entry.version},
              {"routes", value(routes)->routes().size()}});
    callbacks_.onRoutes(value(std::move(routes)));
}

EntryHashes StoreFeed::applyOperatorList(const WatchResult &result)
{
    std::map<std::string, EraRevision> listed;
    for (const StoreEntry &entry : result.entries) {
        if (entry.key.starts_with(format_.evacuationPrefix))
            listed[entry.key.substr(format_.evacuationPrefix.size())] = {result.era, entry.version};
        if (entry.key == format_.routesKey)
            adoptRoutes(entry);
    }
    LoopState &state = loops_[indexOf(Loop::Operator)];
    const auto end = graceEnd(Loop::Operator);
    state.removalsDeferred = end && Clock::now() < *end;
    std::set<std::string> evacuatedZones = applyEvacuations(
            evacuations_, listed,
            state.removalsDeferred ? ListState::MayLackWrites : ListState::Complete, result.era,
            BootClock::now());
    if (evacuatedZones != evacuatedZones_) {
        std::string list;
        for (const auto &zone : evacuatedZones)
            list += (list.empty() ? "" : ",") + zone;
        logEvent(Event::EvacuationChanged, {{"zones", list}, {"store-version", result.version}});
        evacuatedZones_ = evacuatedZones;
        callbacks_.onEvacuatedZones(std::move(evacuatedZones));
    }
    return entryHashesOf(Loop::Operator, result);
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
            targets.back().era = result.era;
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
    LoopState &state = loops_[indexOf(Loop::Targets)];
    const auto end = graceEnd(Loop::Targets);
    state.removalsDeferred = end && Clock::now() < *end;
    callbacks_.onTargets(std::move(targets),
                         state.removalsDeferred ? RemovalPolicy::Keep : RemovalPolicy::Immediate);
    return entryHashes;
}

} // namespace chestnutvane
