#include "chestnutvane/process/gateway/store/store_feed.h"

#include <gtest/gtest.h>

#include <thread>

#include <boost/asio/io_context.hpp>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Feeds over an in-memory store that counts its calls. Targets are encoded as
// "SLOTS[#SEQUENCE][ draining]".
class StoreFeedTest : public ::testing::Test
{
protected:
    using ListCallback = std::function<void(Result<WatchResult, StoreError>)>;

    StoreFeedTest()
    {
        store_.grantLease = [](Milliseconds, const auto &done) { done(std::uint64_t{1}); };
        store_.keepAlive = [this](std::uint64_t, const auto &done) {
            ++otherCalls_;
            if (storeUnavailable_)
                return done(StoreError{StoreFailure::Unavailable, ""});
            done(Done{});
        };
        store_.compareAndSwap = [](const CompareAndSwap &, const auto &done) {
            done(std::uint64_t{1});
        };
        store_.revokeLease = store_.keepAlive;
        store_.listStale = [this](const std::string &, const ListCallback &done) {
            ++otherCalls_;
            if (storeUnavailable_)
                return done(StoreError{StoreFailure::Unavailable, ""});
            done(WatchResult{});
        };
        lists_["t/"] = targets({{"t/1", "3"}, {"t/2", "3"}}, 1);
        lists_["o/"].version = 1;
    }

    static WatchResult targets(const std::map<std::string, std::string> &values,
                               std::uint64_t version)
    {
        WatchResult list;
        list.version = version;
        for (const auto &[key, text] : values)
            list.entries.push_back({key, text, version});
        return list;
    }

    std::unique_ptr<StoreFeed> makeFeed(const std::string &id)
    {
        FeedFormat format;
        format.operatorPrefix = "o/";
        format.routesKey = "o/routes";
        format.evacuationPrefix = "o/evacuate/";
        format.targetPrefix = "t/";
        format.instancePrefix = "i/";
        format.decodeTarget = [](std::string key,
                                 std::string_view text) -> Result<TargetEntry, FeedError> {
            TargetEntry entry;
            entry.id = std::move(key);
            entry.slots = std::stoi(std::string(text));
            entry.draining = text.ends_with("draining");
            if (const auto mark = text.find('#'); mark != std::string_view::npos)
                entry.sequence = std::stoull(std::string(text.substr(mark + 1)));
            return entry;
        };
        Store store = store_;
        store.list = [this, id](const std::string &prefix, const ListCallback &done) {
            ++reads_[id + ' ' + prefix];
            if (storeUnavailable_ && (unavailableTo_.empty() || unavailableTo_ == id))
                done(StoreError{StoreFailure::Unavailable, ""});
            else if (id == delayedInstance_)
                delayedAnswers_.emplace_back(lists_[prefix], done);
            else
                done(lists_[prefix]);
        };
        store.keepAlive = [this, id](std::uint64_t lease, const auto &done) {
            ++renewals_[id];
            store_.keepAlive(lease, done);
        };
        FeedCallbacks callbacks;
        callbacks.onRoutes = [](const auto &) {};
        callbacks.onEvacuatedZones = [](const auto &) {};
        callbacks.onInstances = [this, id](const InstanceList &list) {
            hasCurrentLeases_[id] = list.hasCurrentLeases;
        };
        callbacks.onTargets = [this, id](const std::vector<TargetEntry> &entries, RemovalPolicy) {
            auto &states = targetStates_[id];
            states.clear();
            for (const TargetEntry &entry : entries) {
                states[entry.id] = entry.draining ? "draining" : "ready";
                sequences_[id + ' ' + entry.id] = entry.sequence;
            }
        };
        callbacks.onContentChanged = [this](const std::string &change) { lastChange_ = change; };
        callbacks.onEraChanged = [](ContentSource) {};
        callbacks.onContentConfirmed = [] {};
        callbacks.askPeer = [this](const PeerIdentity &) { ++peerRequests_; };
        return std::make_unique<StoreFeed>(io_, store, format, PeerIdentity{id, 1}, callbacks);
    }

    // Starts a reader and an instance that relies on its reports; both have the targets 1 and 2.
    std::pair<std::unique_ptr<StoreFeed>, std::unique_ptr<StoreFeed>> startPair()
    {
        auto reader = makeFeed("reader");
        auto other = makeFeed("other");
        reader->start();
        other->start();
        runUntilTargets("other", {{"1", "ready"}, {"2", "ready"}});
        other->setReader(false);
        return {std::move(reader), std::move(other)};
    }

    // Returns the report that the instance sends to its peers now.
    static LoadReport reportOf(const StoreFeed &feed, const std::string &change)
    {
        LoadReport report;
        report.targetsFeed = feed.targetsStatus();
        report.operatorFeed = feed.operatorStatus();
        report.feedChange = change;
        return report;
    }

    // Runs the io_context until a condition holds, for 10 s at most.
    void runUntil(const std::function<bool()> &condition)
    {
        constexpr int steps = 2000;
        for (int i = 0; i < steps && !condition(); ++i)
            io_.run_for(5ms);
        ASSERT_TRUE(condition());
    }

    // Runs until an instance has exactly the expected targets.
    void runUntilTargets(const std::string &id, const std::map<std::string, std::string> &expected)
    {
        runUntil([this, id, expected] { return targetStates_[id] == expected; });
    }

    boost::asio::io_context io_{1};
    Store store_;
    std::map<std::string, WatchResult> lists_;
    std::map<std::string, int> reads_; // by instance and prefix
    int otherCalls_ = 0; // lease renewals and reads of the list of instances
    std::map<std::string, int> renewals_; // of leases, by instance
    bool storeUnavailable_ = false;
    std::string unavailableTo_; // the only instance whose lists fail then; empty: all
    std::string delayedInstance_; // reads of this instance are not answered yet
    std::vector<std::pair<WatchResult, ListCallback>> delayedAnswers_;
    // By instance and target.
    std::map<std::string, std::map<std::string, std::string>> targetStates_;
    std::map<std::string, std::uint64_t> sequences_; // by instance and target
    std::map<std::string, bool> hasCurrentLeases_; // by instance; of the last list of instances
    std::string lastChange_; // passed to onContentChanged by any feed
    int peerRequests_ = 0; // calls of askPeer
};

// Guards against reads by every instance of a large fleet after each change of a target: instances
// apply the change in the reader's report instead.
TEST_F(StoreFeedTest, AChangeReadByAnotherInstanceNeedsNoRead)
{
    const auto [reader, other] = startPair();
    lists_["t/"] = targets({{"t/1", "3 draining"}, {"t/3", "3"}}, 2);
    const std::map<std::string, std::string> expected{{"1", "draining"}, {"3", "ready"}};
    runUntilTargets("reader", expected);
    const auto change = decodeChange(lastChange_);
    ASSERT_TRUE(isOk(change));
    EXPECT_EQ(value(change).written.size(), 2);
    EXPECT_EQ(value(change).removed.size(), 1);
    const int before = reads_["other t/"];
    other->onPeerReport(reportOf(*reader, lastChange_));
    EXPECT_EQ(targetStates_["other"], expected);
    EXPECT_EQ(reads_["other t/"], before);
    EXPECT_EQ(other->targetsStatus().fingerprint, reader->targetsStatus().fingerprint);
}

// Guards against applying a change to content that it does not start from, after the report with an
// earlier change was lost.
TEST_F(StoreFeedTest, AChangeAfterALostOneLeadsToARead)
{
    const auto [reader, other] = startPair();
    delayedInstance_ = "other"; // so that its own reads do not deliver the change
    lists_["t/"] = targets({{"t/1", "3"}}, 2);
    runUntilTargets("reader", {{"1", "ready"}});
    lists_["t/"] = targets({{"t/1", "3 draining"}}, 3);
    runUntilTargets("reader", {{"1", "draining"}});
    const std::map<std::string, std::string> old{{"1", "ready"}, {"2", "ready"}};
    other->onPeerReport(reportOf(*reader, lastChange_));
    EXPECT_EQ(targetStates_["other"], old);
    EXPECT_EQ(peerRequests_, 1);
    delayedInstance_.clear();
    for (const auto &[list, done] : std::exchange(delayedAnswers_, {}))
        done(list);
    runUntilTargets("other", {{"1", "draining"}});
}

// Guards against reads by all instances after a change that was lost or too large for a report: an
// instance requests the content from the peer that has it, and reads only if that fails.
TEST_F(StoreFeedTest, AnOutdatedInstanceAsksTheReaderFirst)
{
    const auto [reader, other] = startPair();
    lists_["t/"] = targets({{"t/1", "3"}}, 2);
    const std::map<std::string, std::string> expected{{"1", "ready"}};
    runUntilTargets("reader", expected);
    const int before = reads_["other t/"];
    other->onPeerReport(reportOf(*reader, {}));
    EXPECT_EQ(peerRequests_, 1);
    EXPECT_EQ(reads_["other t/"], before);
    other->applyPeerContent(reader->content(), BootClock::now());
    EXPECT_EQ(targetStates_["other"], expected);
    EXPECT_EQ(reads_["other t/"], before);
    // Content that is older than this instance's own is not applied.
    lists_["t/"] = targets({{"t/1", "3"}, {"t/4", "3"}}, 3);
    FeedContent old = reader->content();
    runUntilTargets("reader", {{"1", "ready"}, {"4", "ready"}});
    other->onPeerReport(reportOf(*reader, {}));
    EXPECT_EQ(peerRequests_, 2);
    other->readOutdated(); // the peer did not answer
    runUntilTargets("other", {{"1", "ready"}, {"4", "ready"}});
    old.targets.age = std::chrono::hours(1);
    other->applyPeerContent(old, BootClock::now());
    EXPECT_EQ(targetStates_["other"].size(), 2);
}

// Guards against heartbeat sequences that decrease when a peer's content is applied: the target
// would be treated as restarted, and its warm objects and run time factor discarded.
TEST_F(StoreFeedTest, SharedContentKeepsNewerHeartbeats)
{
    const auto reader = makeFeed("reader");
    const auto other = makeFeed("other");
    lists_["t/"] = targets({{"t/1", "3#5"}, {"t/2", "3#5"}}, 1);
    reader->start();
    runUntilTargets("reader", {{"1", "ready"}, {"2", "ready"}});
    delayedInstance_ = "reader";
    lists_["t/"] = targets({{"t/1", "3#9"}, {"t/2", "3#9"}}, 2);
    other->start();
    runUntilTargets("other", {{"1", "ready"}, {"2", "ready"}});
    ASSERT_EQ(sequences_["other 1"], 9);
    FeedContent content = reader->content();
    content.targets.list = targets({{"t/1", "3#5"}, {"t/2", "3#10 draining"}}, 3);
    content.targets.age = Milliseconds(0);
    other->applyPeerContent(content, BootClock::now());
    const std::map<std::string, std::string> expected{{"1", "ready"}, {"2", "draining"}};
    EXPECT_EQ(targetStates_["other"], expected);
    EXPECT_EQ(sequences_["other 1"], 9);
    EXPECT_EQ(sequences_["other 2"], 10);
}

// Guards against a fleet that calls an unavailable store four times as often as needed, as refused
// calls are charged too. Only the reads probe the store; the other calls resume when one succeeds.
TEST_F(StoreFeedTest, OnlyReadsProbeAnUnavailableStore)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntilTargets("reader", {{"1", "ready"}, {"2", "ready"}});
    storeUnavailable_ = true;
    runUntil([this] { return reads_["reader t/"] >= 3 && reads_["reader o/"] >= 3; });
    const int before = otherCalls_;
    const int reads = reads_["reader t/"];
    runUntil([this, reads] { return reads_["reader t/"] >= reads + 6; });
    EXPECT_LE(otherCalls_ - before, 2);
    storeUnavailable_ = false;
    const int callsAtReturn = otherCalls_;
    runUntil([this, callsAtReturn] { return otherCalls_ >= callsAtReturn + 2; });
}

// Guards against an instance without a lease after an outage of the store: its content is confirmed
// by reports, so that it makes no read whose success would resume the renewals.
TEST_F(StoreFeedTest, AnInstanceWhoseContentIsConfirmedRenewsItsLeaseAgain)
{
    const auto [reader, other] = startPair();
    unavailableTo_ = "other";
    storeUnavailable_ = true;
    const int reads = reads_["other t/"] + reads_["other o/"];
    const int renewals = renewals_["other"];
    runUntil([&] {
        return reads_["other t/"] + reads_["other o/"] >= reads + 2
                && renewals_["other"] > renewals;
    });
    const auto runWithReports = [&, &reader = reader, &other = other](Milliseconds time) {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
            other->onPeerReport(reportOf(*reader, {}));
            io_.run_for(5ms);
        }
    };
    runWithReports(1200ms); // the retries of the reads find that none is due
    storeUnavailable_ = false;
    const int before = renewals_["other"];
    runWithReports(1500ms);
    EXPECT_GT(renewals_["other"], before);
}

// Guards against callers that are directed to instances that died seconds ago: the only survivor
// has nothing but the list of the store, and a stale one may be seconds old.
TEST_F(StoreFeedTest, AnInstanceThatHearsNobodyReadsTheCurrentListOfInstances)
{
    const auto [reader, other] = startPair();
    other->onPeerReport(reportOf(*reader, {}));
    io_.run_for(500ms);
    EXPECT_EQ(reads_["other i/"], 0);
    runUntil([this] { return reads_["other i/"] >= 2; });
}

// Guards against a list that is used until its next regular read, seconds after the last other
// instance fell silent: it may have been read while the entry of a dead instance still existed.
TEST_F(StoreFeedTest, SilenceBringsTheNextReadOfTheInstancesForward)
{
    const auto [reader, other] = startPair();
    const auto runHearing = [&, &reader = reader, &other = other](Milliseconds time) {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
            other->onPeerReport(reportOf(*reader, {}));
            io_.run_for(20ms);
        }
    };
    runHearing(3s); // the next regular read is seconds ahead now
    ASSERT_EQ(reads_["other i/"], 0);
    other->setHearsNobody(true);
    io_.run_for(100ms);
    EXPECT_EQ(reads_["other i/"], 1);
    EXPECT_TRUE(hasCurrentLeases_["other"]);
    other->setHearsNobody(true);
    io_.run_for(100ms);
    EXPECT_EQ(reads_["other i/"], 1);
    io_.run_for(2s);
    EXPECT_GE(reads_["other i/"], 2);
}

// Guards against leaving the living out of the directory while the list of instances cannot be
// read, and against trusting leases that may have paused meanwhile.
TEST_F(StoreFeedTest, AnOutageIsToldToTheUsersOfTheInstanceList)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntilTargets("reader", {{"1", "ready"}, {"2", "ready"}});
    feed->setHearsNobody(true);
    runUntil([this] { return hasCurrentLeases_["reader"]; });
    EXPECT_TRUE(feed->canReadInstances());
    storeUnavailable_ = true;
    runUntil([&feed] { return !feed->canReadInstances(); });
    storeUnavailable_ = false;
    runUntil([&feed] { return feed->canReadInstances(); });
    EXPECT_FALSE(hasCurrentLeases_["reader"]);
    runUntil([this] { return hasCurrentLeases_["reader"]; });
}

// Guards against requests to a deregistered target: a read that started before a peer's change was
// applied, but is answered after it, must not undo the change.
TEST_F(StoreFeedTest, AnOlderReadDoesNotUndoAChange)
{
    const auto [reader, other] = startPair();
    delayedInstance_ = "other";
    runUntil([this] { return delayedAnswers_.size() == 2; }); // its reads of both prefixes
    io_.run_for(2 * maxReportTransit);
    lists_["t/"] = targets({{"t/1", "3"}}, 2);
    const std::map<std::string, std::string> expected{{"1", "ready"}};
    runUntilTargets("reader", expected);
    other->onPeerReport(reportOf(*reader, lastChange_));
    EXPECT_EQ(targetStates_["other"], expected);
    for (const auto &[list, done] : std::exchange(delayedAnswers_, {}))
        done(list);
    io_.run_for(20ms);
    EXPECT_EQ(targetStates_["other"], expected);
}

// Guards against processing answers of the store after the feed has been destroyed.
TEST_F(StoreFeedTest, AnswersAfterDestructionOfTheFeedAreDropped)
{
    delayedInstance_ = "reader";
    auto feed = makeFeed("reader");
    feed->start();
    io_.run_for(5ms);
    ASSERT_EQ(delayedAnswers_.size(), 2);
    const auto answers = std::exchange(delayedAnswers_, {});
    // Answered before the feed is destroyed, dispatched after that.
    answers[0].second(answers[0].first);
    feed.reset();
    answers[1].second(answers[1].first);
    io_.restart();
    io_.run_for(5ms);
    EXPECT_TRUE(targetStates_.empty());
}

// Guards against older content of a peer that replaces a newer change, because the change looks as
// old as the last read of the peer that passed it on.
TEST_F(StoreFeedTest, OlderContentDoesNotUndoAChangeThatAPeerPassedOn)
{
    constexpr auto betweenReads = 60ms; // more than reports are assumed to take
    auto [reader, passedOn] = startPair();
    std::this_thread::sleep_for(betweenReads);
    auto missed = makeFeed("missed");
    missed->start();
    runUntilTargets("missed", {{"1", "ready"}, {"2", "ready"}});
    missed->setReader(false);
    reader->setReader(true);
    std::this_thread::sleep_for(betweenReads);
    lists_["t/"] = targets({{"t/1", "3"}, {"t/2", "3 draining"}}, 2);
    runUntilTargets("reader", {{"1", "ready"}, {"2", "draining"}});
    passedOn->onPeerReport(reportOf(*reader, lastChange_));
    ASSERT_EQ(targetStates_["other"]["2"], "draining");
    storeUnavailable_ = true;
    auto starting = makeFeed("starting");
    starting->start();
    starting->applyPeerContent(passedOn->content(), BootClock::now());
    starting->setReader(false);
    ASSERT_EQ(targetStates_["starting"]["2"], "draining");
    starting->applyPeerContent(missed->content(), BootClock::now());
    EXPECT_EQ(targetStates_["starting"]["2"], "draining");
}

// A store of targets with a history, which counts the price of its calls: a page of a list costs a
// call, a stale one a tenth.
class FeedHistoryTest : public StoreFeedTest
{
protected:
    FeedHistoryTest()
    {
        store_.listStale = [this](const std::string &prefix, const ListCallback &done) {
            price_ += prefix == "t/" ? stalePrice * pageCount : 0;
            done(prefix == "t/" ? staleTargets_ : WatchResult{});
        };
        store_.changesSince = [this](const std::string &prefix, std::uint64_t after,
                                     const auto &done) {
            price_ += 1;
            changesAfter_.push_back(after);
            if (areChangesTooLarge_)
                return done(StoreError{StoreFailure::TooLarge, ""});
            if (after < firstHistory_)
                return done(StoreError{StoreFailure::HistoryCompacted, ""});
            StoreChanges result;
            result.version = version_;
            for (const StoreChange &change : history_) {
                if (change.entry.version > after && change.entry.key.starts_with(prefix))
                    result.changes.push_back(change);
            }
            done(std::move(result));
        };
        for (int i = 0; i < targetCount; ++i)
            write("t/" + std::to_string(i), "3");
        staleTargets_ = lists_["t/"];
        write("t/0", "3 draining"); // not in the stale list
    }

    void write(const std::string &key, const std::string &text, bool removed = false)
    {
        history_.push_back({{key, text, ++version_}, removed});
        WatchResult &list = lists_["t/"];
        list = applyStoreChanges(version_ == 1 ? WatchResult{} : list,
                                 {version_, {history_.back()}});
        lists_["o/"].version = version_;
    }

    static constexpr int targetCount = 100;
    static constexpr double pageCount = targetCount / 50.0;
    static constexpr double stalePrice = 0.1;
    std::uint64_t version_ = 0;
    std::uint64_t firstHistory_ = 0;
    bool areChangesTooLarge_ = false;
    std::vector<StoreChange> history_;
    std::vector<std::uint64_t> changesAfter_;
    WatchResult staleTargets_;
    double price_ = 0; // of stale lists and changes
};

// Guards against a start that pays for each page of the targets, and against one that serves what a
// stale list says.
TEST_F(FeedHistoryTest, AStartReadsAStaleListAndTheChangesSince)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntil([this] { return targetStates_["reader"].size() == targetCount; });
    EXPECT_EQ(targetStates_["reader"]["0"], "draining");
    EXPECT_EQ(reads_["reader t/"], 0);
    EXPECT_LE(price_, stalePrice * pageCount + 1);
    EXPECT_EQ(changesAfter_.front(), staleTargets_.version);
}

// Guards against a reader that lists all targets again and again.
TEST_F(FeedHistoryTest, AReaderReadsOnlyChanges)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntil([this] { return targetStates_["reader"].size() == targetCount; });
    write("t/1", "", true);
    write("t/new", "3");
    runUntil([this] { return targetStates_["reader"].contains("new"); });
    EXPECT_FALSE(targetStates_["reader"].contains("1"));
    EXPECT_EQ(reads_["reader t/"], 0);
    EXPECT_EQ(reads_["reader o/"], 1);
}

// Guards against content that stays as it is after the store dropped its history: a list follows,
// the cheap one first.
TEST_F(FeedHistoryTest, AGapInTheHistoryLeadsToAList)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntil([this] { return targetStates_["reader"].size() == targetCount; });
    write("t/1", "", true);
    staleTargets_ = lists_["t/"];
    firstHistory_ = version_;
    write("t/2", "", true);
    runUntil([this] { return !targetStates_["reader"].contains("2"); });
    EXPECT_FALSE(targetStates_["reader"].contains("1"));
    EXPECT_EQ(reads_["reader t/"], 0);
    write("t/3", "", true);
    firstHistory_ = version_; // newer than the stale list
    runUntil([this] { return !targetStates_["reader"].contains("3"); });
    EXPECT_EQ(reads_["reader t/"], 1);
}

// Guards against changes that are asked for again and again although a slow link cannot carry all
// versions of a large value in time.
TEST_F(FeedHistoryTest, ChangesThatAreLongerThanAListLeadToAList)
{
    const auto feed = makeFeed("reader");
    feed->start();
    runUntil([this] { return targetStates_["reader"].size() == targetCount; });
    areChangesTooLarge_ = true;
    write("t/1", "", true);
    runUntil([this] { return !targetStates_["reader"].contains("1"); });
    EXPECT_EQ(reads_["reader t/"], 1);
    areChangesTooLarge_ = false;
    write("t/2", "", true);
    runUntil([this] { return !targetStates_["reader"].contains("2"); });
    EXPECT_EQ(reads_["reader t/"], 1);
}

} // namespace
} // namespace chestnutvane
