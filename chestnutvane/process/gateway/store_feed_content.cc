// What the lists of the store say, and what other instances tell of it.

#include "chestnutvane/process/gateway/store_feed.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {

void StoreFeed::take(Loop loop, const WatchResult &list, BootTime start)
{
    LoopState &state = loops_[indexOf(loop)];
    FeedContents contents = loop == Loop::Operator ? takeOperator(list) : takeTargets(list);
    FeedChange change = changeBetween(state.contents, contents, list);
    change.prefix = loop == Loop::Operator ? FeedPrefix::OperatorKeys : FeedPrefix::Targets;
    const bool known = freshness(loop).hasRead(); // others may know the content before
    freshness(loop).onOwnRead(start, change.to);
    state.lastList = list;
    state.contents = std::move(contents);
    if (known && change.from == change.to)
        return;
    // A list that lacks targets which may still live is for each instance to judge.
    std::string encoded;
    if (known && (loop != Loop::Targets || !keptTargets_))
        encoded = encodeChange(change);
    events_.onChanged(encoded.size() <= maxChangeBytes ? encoded : std::string());
}

// Applies a change that another instance read to the content that it read before, if that is the
// own content. Else the own content is outdated, and a read follows.
void StoreFeed::applyPeerChange(const LoadReport &report)
{
    const auto decoded = decodeChange(report.change);
    if (!isOk(decoded)) {
        logEvent(Event::ReportIgnored,
                 {{"from", report.sender.id}, {"reason", error(decoded).detail}});
        return;
    }
    const FeedChange &change = value(decoded);
    const Loop loop = change.prefix == FeedPrefix::OperatorKeys ? Loop::Operator : Loop::Targets;
    const FeedStatus &status = loop == Loop::Operator ? report.operatorFeed : report.targetsFeed;
    const BootTime readAt = BootClock::now() - status.age - reportTransit;
    if (!freshness(loop).mayApply(change.from, readAt) || change.to != status.fingerprint)
        return;
    LoopState &state = loops_[indexOf(loop)];
    logEvent(Event::ChangeApplied,
             {{"peer", report.sender.id},
              {"prefix", enumName(feedPrefixNames, change.prefix)},
              {"written", change.written.size()},
              {"removed", change.removed.size()},
              {"store-version", change.version},
              {"age-ms", status.age.count()}});
    state.changedByPeer = readAt;
    take(loop, applyChange(state.lastList, change), readAt);
    if (freshness(loop).status(readAt).fingerprint != change.to)
        freshness(loop).setOutdated();
}

FeedContent StoreFeed::content() const
{
    return {{loops_[indexOf(Loop::Operator)].lastList, operatorStatus().age},
            {loops_[indexOf(Loop::Targets)].lastList, targetsStatus().age}};
}

void StoreFeed::takeShared(const FeedContent &content, BootTime asked)
{
    for (const Loop loop : {Loop::Operator, Loop::Targets}) {
        const FeedPart &part = loop == Loop::Operator ? content.operatorKeys : content.targets;
        const BootTime readAt = asked - part.age;
        if (freshness(loop).hasRead() && readAt <= freshness(loop).confirmedAt())
            continue; // a read of this instance in the meantime is newer
        LoopState &state = loops_[indexOf(loop)];
        state.changedByPeer = readAt;
        // Entries that mean the same stay: their heartbeats here may be newer.
        const FeedChange change =
                changeBetween(state.contents, contentsOf(loop, part.list), part.list);
        take(loop, applyChange(state.lastList, change), readAt);
    }
}

FeedContents StoreFeed::contentsOf(Loop loop, const WatchResult &list) const
{
    FeedContents contents;
    for (const StoreEntry &entry : list.entries) {
        if (loop == Loop::Operator) {
            contents[entry.key] = entry.version;
        } else if (const auto target = format_.decodeTarget(idOf(entry), entry.value);
                   isOk(target)) {
            contents[entry.key] = contentHash(value(target));
        }
    }
    return contents;
}

std::string StoreFeed::idOf(const StoreEntry &entry) const
{
    return entry.key.substr(format_.targetPrefix.size());
}

FeedContents StoreFeed::takeOperator(const WatchResult &result)
{
    std::set<std::string> evacuated;
    FeedContents contents;
    for (const StoreEntry &entry : result.entries) {
        contents[entry.key] = entry.version;
        if (entry.key.starts_with(format_.evacuationPrefix))
            evacuated.insert(entry.key.substr(format_.evacuationPrefix.size()));
        if (entry.key != format_.routesKey || entry.value == routesText_)
            continue;
        auto routes = format_.decodeRoutes(entry.value);
        if (isOk(routes)) {
            routesText_ = entry.value;
            logEvent(Event::RoutesAdopted,
                     {{"revision", value(routes)->revision()},
                      {"store-version", entry.version},
                      {"routes", value(routes)->routes().size()}});
            events_.onRoutes(value(std::move(routes)));
        } else {
            logEvent(Event::RoutesRefused,
                     {{"fault", enumName(feedFaultNames, error(routes).fault)},
                      {"detail", error(routes).detail},
                      {"store-version", entry.version}});
        }
    }
    if (evacuated != evacuated_) {
        std::string list;
        for (const auto &zone : evacuated)
            list += (list.empty() ? "" : ",") + zone;
        logEvent(Event::EvacuationChanged, {{"zones", list}, {"store-version", result.version}});
        evacuated_ = evacuated;
        events_.onEvacuated(std::move(evacuated));
    }
    return contents;
}

// A heartbeat alone does not change the contents that are returned.
FeedContents StoreFeed::takeTargets(const WatchResult &result)
{
    FeedContents contents;
    std::vector<TargetEntry> targets;
    std::set<std::string> ignored;
    for (const StoreEntry &entry : result.entries) {
        const std::string id = idOf(entry);
        auto target = format_.decodeTarget(id, entry.value);
        if (isOk(target)) {
            contents[entry.key] = contentHash(value(target));
            targets.push_back(value(std::move(target)));
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
    keptTargets_ = regained_ != TimePoint{} && Clock::now() - regained_ < returnOfEntries;
    events_.onTargets(std::move(targets),
                      keptTargets_ ? RemovalPolicy::Keep : RemovalPolicy::Immediate);
    return contents;
}

} // namespace chestnutvane
