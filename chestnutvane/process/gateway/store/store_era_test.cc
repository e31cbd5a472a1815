// The feed over a store that comes back from a copy.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>

#include <boost/asio/io_context.hpp>

#include "chestnutvane/process/gateway/store/store_feed.h"

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// A store in memory that can be restored from a copy.
class EraStore
{
public:
    struct Copy
    {
        std::map<std::string, StoreEntry> items;
        std::vector<StoreChange> history;
        std::uint64_t version = 0;
    };

    void write(const std::string &key, const std::string &text)
    {
        state_.items[key] = {key, text, ++state_.version};
        state_.history.push_back({state_.items[key], false});
    }

    void remove(const std::string &key)
    {
        if (state_.items.erase(key) > 0)
            state_.history.push_back({{key, "", ++state_.version}, true});
    }

    [[nodiscard]] Copy copy() const { return state_; }

    void restore(const Copy &copy)
    {
        state_ = copy;
        ++era;
    }

    [[nodiscard]] WatchResult list(const std::string &prefix) const
    {
        WatchResult result{.version = state_.version, .era = era};
        for (const auto &[key, entry] : state_.items) {
            if (key.starts_with(prefix))
                result.entries.push_back(entry);
        }
        return result;
    }

    Store adapter()
    {
        Store store;
        store.list = [this](const std::string &prefix, const auto &done) {
            answer(prefix, [done, result = list(prefix)] { done(result); });
        };
        store.listStale = store.list;
        store.changesSince = [this](const std::string &prefix, std::uint64_t after,
                                    const auto &done) {
            if (after > state_.version)
                return answer(prefix, [done, era = era] {
                    done(StoreError{StoreFailure::HistoryCompacted, "", era});
                });
            StoreChanges changes{.version = state_.version, .era = era};
            for (const StoreChange &change : state_.history) {
                if (change.entry.version > after && change.entry.key.starts_with(prefix))
                    changes.changes.push_back(change);
            }
            answer(prefix, [done, changes] { done(changes); });
        };
        store.grantLease = [this](Milliseconds, const auto &done) { done(++granted); };
        store.keepAlive = [this](std::uint64_t id, const auto &done) {
            renewed.push_back(id);
            done(Done{});
        };
        store.revokeLease = [this](std::uint64_t id, const auto &done) {
            revoked.push_back(id);
            done(Done{});
        };
        store.compareAndSwap = [this](const CompareAndSwap &swap, const auto &done) {
            entryLeases.push_back(swap.leaseId);
            done(std::uint64_t{1});
        };
        return store;
    }

    // Answers what was asked while answers were held back.
    void release()
    {
        holds = false;
        for (const auto &held : std::exchange(held_, {}))
            held();
    }

    std::uint64_t era = 1;
    bool holds = false; // answers about heldPrefix
    std::string heldPrefix; // empty: of all prefixes
    std::uint64_t granted = 0;
    std::vector<std::uint64_t> renewed;
    std::vector<std::uint64_t> revoked;
    std::vector<std::uint64_t> entryLeases;

private:
    void answer(const std::string &prefix, std::function<void()> send)
    {
        if (holds && prefix.starts_with(heldPrefix))
            held_.push_back(std::move(send));
        else
            send();
    }

    Copy state_{.items = {}, .history = {}, .version = 10};
    std::vector<std::function<void()>> held_;
};

// The encoded entry of a target.
std::string target(std::int64_t start, std::uint64_t sequence, bool draining = false)
{
    return std::to_string(start) + " " + std::to_string(sequence) + (draining ? " draining" : "");
}

Result<TargetEntry, FeedError> decodeTarget(std::string id, std::string_view text)
{
    std::istringstream input{std::string(text)};
    TargetEntry entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.address = "10.0.0.1:" + entry.id;
    entry.zone = "z1";
    input >> entry.startedAt >> entry.sequence;
    entry.draining = text.ends_with("draining");
    return entry;
}

// An instance with what it makes of its feed.
struct Instance
{
    Instance(boost::asio::io_context &io, EraStore &store, const std::string &id)
        : registry(std::map<std::string, std::string>{{"z1", "r1"}}), feed(makeFeed(io, store, id))
    { }

    std::unique_ptr<StoreFeed> makeFeed(boost::asio::io_context &io, EraStore &store,
                                        const std::string &id)
    {
        FeedFormat format;
        format.operatorPrefix = "o/";
        format.routesKey = "o/routes";
        format.evacuationPrefix = "o/evacuate/";
        format.targetPrefix = "t/";
        format.instancePrefix = "i/";
        format.decodeTarget = decodeTarget;
        format.decodeRoutes =
                [](std::string_view text) -> Result<std::shared_ptr<const RouteTable>, FeedError> {
            auto table = RouteTable::create(std::stoull(std::string(text)), {}, {}, {});
            if (!isOk(table))
                return FeedError{FeedFault::BadRoutes, ""};
            return value(std::move(table));
        };
        FeedCallbacks callbacks;
        callbacks.onRoutes = [this](const auto &table) { revisions.push_back(table->revision()); };
        callbacks.onEvacuatedZones = [this](const auto &zones) { evacuated = zones; };
        callbacks.onInstances = [](const auto &) {};
        callbacks.onTargets = [this](const auto &entries, RemovalPolicy removals) {
            registry.replaceAll(entries, Clock::now(), removals);
        };
        callbacks.onContentChanged = [this](const std::string &change) { lastChange = change; };
        callbacks.onEraChanged = [this](ContentSource source) { eraChanges.push_back(source); };
        callbacks.onContentConfirmed = [] {};
        callbacks.askPeer = [this](const PeerIdentity &) { ++peerRequests; };
        return std::make_unique<StoreFeed>(io, store.adapter(), format, PeerIdentity{id, 1},
                                           callbacks);
    }

    [[nodiscard]] bool isEligible(const std::string &id) const
    {
        const auto found = registry.findById(id);
        return found && registry.isEligible(*found);
    }

    [[nodiscard]] LoadReport report() const
    {
        LoadReport report;
        report.targetsFeed = feed->targetsStatus();
        report.operatorFeed = feed->operatorStatus();
        report.feedChange = lastChange;
        return report;
    }

    TargetRegistry registry;
    std::vector<std::uint64_t> revisions;
    std::set<std::string> evacuated;
    std::vector<ContentSource> eraChanges;
    std::string lastChange;
    int peerRequests = 0;
    std::unique_ptr<StoreFeed> feed; // the last member, so that it is destroyed first
};

// A store with a configuration and two targets, and instances that read it.
struct EraWorld
{
    EraWorld()
    {
        store.write("o/routes", "1");
        store.write("t/1", target(1, 1));
        store.write("t/2", target(1, 1));
    }

    std::unique_ptr<Instance> start(const std::string &id)
    {
        auto instance = std::make_unique<Instance>(io, store, id);
        instance->feed->start();
        runUntil([&] { return instance->feed->hasAllContent(); });
        return instance;
    }

    // Lets the instance read both prefixes now.
    void read(Instance &instance)
    {
        LoadReport outdates;
        // Later than any read of this instance, with a fingerprint of no content.
        outdates.targetsFeed = {1, -1s, instance.feed->era()};
        outdates.operatorFeed = {1, -1s, instance.feed->era()};
        io.restart();
        instance.feed->onPeerReport(outdates);
        io.poll();
    }

    void runUntil(const std::function<bool()> &condition)
    {
        constexpr int steps = 2000;
        for (int i = 0; i < steps && !condition(); ++i)
            io.run_for(5ms);
        ASSERT_TRUE(condition());
    }

    boost::asio::io_context io{1};
    EraStore store;
};

class StoreEraTest : public ::testing::Test, protected EraWorld
{ };

// Guards against writes that are taken for old ones because revisions went back.
TEST_F(StoreEraTest, AWriteAfterTheCopyCountsThoughItsRevisionIsLower)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    for (int i = 0; i < 5; ++i)
        store.write("t/1", target(1, 2 + static_cast<std::uint64_t>(i)));
    read(*instance);
    store.restore(copy);
    store.write("t/1", target(1, 7, true));
    read(*instance);
    EXPECT_FALSE(instance->isEligible("1"));
    EXPECT_TRUE(instance->isEligible("2"));
    store.write("t/2", target(1, 2, true));
    read(*instance);
    EXPECT_FALSE(instance->isEligible("2"));
    EXPECT_EQ(instance->eraChanges, std::vector{ContentSource::Store});
}

// Guards against a history that runs on from a revision that the store has given out again.
TEST_F(StoreEraTest, AHistoryIsNotFollowedAcrossACopy)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("t/3", target(1, 1));
    read(*instance);
    ASSERT_TRUE(instance->isEligible("3"));
    store.restore(copy);
    store.remove("t/2"); // with the revision of the lost write
    store.write("t/4", target(1, 1));
    read(*instance);
    EXPECT_TRUE(instance->isEligible("4"));
    EXPECT_EQ(instance->feed->content().targets.list.entries, store.list("t/").entries);
    runUntil([&] { return !instance->isEligible("2"); });
    runUntil([&] { return !instance->isEligible("3"); });
}

// Guards against requests to a target that drains because the copy says that it does not.
TEST_F(StoreEraTest, ADrainThatTheCopyLacksStays)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("t/1", target(1, 2, true));
    read(*instance);
    store.restore(copy);
    read(*instance);
    EXPECT_FALSE(instance->isEligible("1"));
    store.restore(copy);
    read(*instance);
    EXPECT_FALSE(instance->isEligible("1"));
    store.write("t/1", target(2, 1)); // a new start
    read(*instance);
    EXPECT_TRUE(instance->isEligible("1"));
}

// Guards against requests to a target that has left because the copy holds it still, and against a
// running one that stays away.
TEST_F(StoreEraTest, ATargetThatLeftStaysAway)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.remove("t/1");
    read(*instance);
    ASSERT_FALSE(instance->isEligible("1"));
    store.restore(copy);
    read(*instance);
    EXPECT_FALSE(instance->isEligible("1"));
    store.write("t/1", target(1, 2)); // its entry had only expired
    read(*instance);
    EXPECT_TRUE(instance->isEligible("1"));
}

// Guards against the loss of a running target that the copy lacks, and against one that is kept
// although it does not register again.
TEST_F(StoreEraTest, ATargetThatTheCopyLacksIsKeptForTheGrace)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("t/3", target(1, 1));
    store.write("t/4", target(1, 1));
    read(*instance);
    store.restore(copy);
    const auto restoredAt = Clock::now();
    read(*instance);
    EXPECT_TRUE(instance->isEligible("3"));
    store.write("t/3", target(1, 2));
    runUntil([&] { return !instance->isEligible("4"); });
    EXPECT_GE(Clock::now() - restoredAt, 2s);
    EXPECT_TRUE(instance->isEligible("3"));
}

// Guards against an evacuation that ends because the copy lacks it, and against one that does not
// end any more.
TEST_F(StoreEraTest, AnEvacuationThatTheCopyLacksIsKeptForTheGrace)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("o/evacuate/z1", "{}");
    store.write("o/evacuate/z2", "{}");
    read(*instance);
    store.restore(copy);
    read(*instance);
    EXPECT_EQ(instance->evacuated, (std::set<std::string>{"z1", "z2"}));
    store.write("o/evacuate/z1", "{}");
    runUntil([&] { return instance->evacuated == std::set<std::string>{"z1"}; });
}

// Guards against a configuration that is replaced by an older one of the copy, and against a newer
// one that is not taken.
TEST_F(StoreEraTest, AnOlderConfigurationOfTheCopyIsNotTaken)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("o/routes", "5");
    read(*instance);
    store.restore(copy);
    read(*instance);
    EXPECT_EQ(instance->revisions, (std::vector<std::uint64_t>{1, 5}));
    store.write("o/routes", "7");
    read(*instance);
    EXPECT_EQ(instance->revisions, (std::vector<std::uint64_t>{1, 5, 7}));
}

// Guards against two contents that look the same because their revisions are equal.
TEST_F(StoreEraTest, EqualRevisionsDoNotMakeContentsEqual)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("o/evacuate/z1", "first");
    read(*instance);
    const auto lost = instance->feed->operatorStatus();
    store.restore(copy);
    store.write("o/evacuate/z1", "second"); // with the same revision
    const auto other = start("b");
    const auto current = other->feed->operatorStatus();
    EXPECT_NE(lost.fingerprint, current.fingerprint);
    EXPECT_NE(lost.era, current.era);
}

// Guards against an instance that renews or ends the lease of another one, whose id was given out
// again, and against an entry that is missing.
TEST_F(StoreEraTest, TheLeaseIsTakenAnew)
{
    const auto instance = start("a");
    runUntil([this] { return !store.entryLeases.empty(); });
    const std::uint64_t before = store.granted;
    store.restore(store.copy());
    read(*instance);
    runUntil([this, before] { return store.entryLeases.back() > before; });
    EXPECT_EQ(store.granted, before + 1);
    store.renewed.clear();
    runUntil([this] { return !store.renewed.empty(); });
    EXPECT_EQ(store.renewed.front(), before + 1);
    EXPECT_TRUE(store.revoked.empty());
}

// Guards against an answer from before the store came back that undoes what was read since.
TEST_F(StoreEraTest, AnAnswerOfAnEarlierEraIsDropped)
{
    const auto instance = start("a");
    const auto copy = store.copy();
    store.write("t/3", target(1, 1));
    store.holds = true;
    read(*instance); // its answers are under way
    store.restore(copy);
    store.write("t/2", target(1, 2, true));
    Instance other(io, store, "b");
    store.holds = false;
    other.feed->start();
    runUntil([&other] { return other.feed->hasAllContent(); });
    instance->feed->applyPeerContent(other.feed->content(), BootClock::now());
    ASSERT_FALSE(instance->isEligible("2"));
    store.release();
    io.poll();
    EXPECT_FALSE(instance->isEligible("2"));
    EXPECT_EQ(instance->feed->targetsStatus().era, 2U);
    runUntil([&] {
        return instance->feed->content().targets.list.entries == store.list("t/").entries;
    });
}

// Guards against the first list of a prefix that is taken for one of the new era, which another
// prefix has told of meanwhile.
TEST_F(StoreEraTest, AListOfAnEarlierEraIsDropped)
{
    const auto copy = store.copy();
    store.write("o/routes", "5");
    store.holds = true;
    store.heldPrefix = "o/";
    Instance instance(io, store, "a");
    instance.feed->start();
    io.poll();
    store.restore(copy);
    read(instance);
    ASSERT_EQ(instance.feed->era(), 2U);
    store.release();
    io.poll();
    EXPECT_EQ(instance.feed->operatorStatus().fingerprint, 0U);
    runUntil([&instance] { return instance.feed->hasAllContent(); });
    EXPECT_EQ(instance.feed->content().operatorKeys.list.entries, store.list("o/").entries);
}

// Guards against an instance of the old era that confirms or changes the content of the new one,
// and against one that does not learn of the new era while it cannot reach the store.
TEST_F(StoreEraTest, InstancesOfDifferentErasDoNotConfirmEachOther)
{
    const auto cutOff = start("a");
    const auto reader = start("b");
    const auto copy = store.copy();
    store.write("t/1", target(1, 2, true));
    read(*cutOff);
    store.restore(copy);
    store.write("t/2", target(1, 2, true));
    read(*reader);
    const BootTime confirmed = BootClock::now() - reader->feed->targetsAge();
    LoadReport old = cutOff->report();
    old.targetsFeed.age = old.operatorFeed.age = -1s; // a late report with a wrong age
    store.holds = true;
    reader->feed->onPeerReport(old);
    EXPECT_LE(BootClock::now() - reader->feed->targetsAge(), confirmed + 5ms);
    EXPECT_TRUE(reader->isEligible("1")); // it never knew of the drain
    cutOff->feed->setReader(false);
    cutOff->feed->onPeerReport(reader->report());
    EXPECT_EQ(cutOff->peerRequests, 1);
    cutOff->feed->applyPeerContent(reader->feed->content(), BootClock::now());
    EXPECT_EQ(cutOff->feed->era(), 2U);
    EXPECT_EQ(cutOff->eraChanges, std::vector{ContentSource::Peer});
    EXPECT_FALSE(cutOff->isEligible("1"));
    EXPECT_FALSE(cutOff->isEligible("2"));
    EXPECT_EQ(cutOff->feed->targetsStatus().fingerprint, reader->feed->targetsStatus().fingerprint);
    // Content of the old era changes nothing any more.
    const auto late = cutOff->feed->targetsStatus().fingerprint;
    FeedContent outdated = cutOff->feed->content();
    outdated.targets.list.era = 1;
    outdated.targets.list.entries.clear();
    reader->feed->applyPeerContent(outdated, BootClock::now() + 1s);
    EXPECT_EQ(reader->feed->targetsStatus().fingerprint, late);
}

enum class Step { Heartbeat, Drain, Restart, Leave, Configure, Copy, Restore, Read };

// Guards, over random orders of writes, copies and reads, against a followed content that differs
// from the store's, and against a target or a configuration that goes back to an earlier state.
RC_GTEST_PROP(StoreEraPropertyTest, NothingGoesBackOverRandomOrders, ())
{
    EraWorld world;
    EraStore &store = world.store;
    const auto steps = *rc::gen::container<std::vector<std::pair<Step, int>>>(rc::gen::pair(
            rc::gen::element(Step::Heartbeat, Step::Drain, Step::Restart, Step::Leave,
                             Step::Configure, Step::Copy, Step::Restore, Step::Read, Step::Read),
            rc::gen::inRange(1, 4)));
    using Written = std::tuple<std::int64_t, std::uint64_t, bool>; // start, sequence, draining
    std::map<int, Written> written{{1, {1, 1, false}}, {2, {1, 1, false}}, {3, {1, 0, false}}};
    std::map<std::string, Written> newestRead;
    std::uint64_t revision = 1;
    auto copy = store.copy();
    const auto instance = world.start("a");
    for (const auto &[step, id] : steps) {
        const std::string key = "t/" + std::to_string(id);
        auto &[startedAt, sequence, draining] = written[id];
        switch (step) {
        case Step::Heartbeat:
            store.write(key, target(startedAt, ++sequence, draining));
            break;
        case Step::Drain:
            draining = true;
            store.write(key, target(startedAt, ++sequence, draining));
            break;
        case Step::Restart:
            written[id] = {startedAt + 1, 1, false};
            store.write(key, target(startedAt, sequence, draining));
            break;
        case Step::Leave:
            store.remove(key);
            break;
        case Step::Configure:
            store.write("o/routes", std::to_string(revision += 2));
            break;
        case Step::Copy:
            copy = store.copy();
            break;
        case Step::Restore:
            store.restore(copy);
            break;
        case Step::Read:
            world.read(*instance);
            RC_ASSERT(instance->feed->era() == store.era);
            RC_ASSERT(instance->feed->content().targets.list.entries == store.list("t/").entries);
            RC_ASSERT(instance->feed->content().operatorKeys.list.entries
                      == store.list("o/").entries);
            for (const StoreEntry &entry : store.list("t/").entries) {
                const auto listed = value(decodeTarget(entry.key.substr(2), entry.value));
                const Written state{listed.startedAt, listed.sequence, listed.draining};
                const auto newest = newestRead.find(listed.id);
                const auto known = instance->registry.findById(listed.id);
                if (newest == newestRead.end() || state > newest->second)
                    RC_ASSERT(known && known->entry.sequence == listed.sequence
                              && known->entry.startedAt == listed.startedAt);
            }
            break;
        }
        RC_ASSERT(std::is_sorted(instance->revisions.begin(), instance->revisions.end()));
        for (const auto &[name, known] : instance->registry.all()) {
            const TargetEntry &entry = known->entry;
            const Written state{entry.startedAt, entry.sequence, entry.draining};
            auto &newest = newestRead.try_emplace(entry.id, state).first->second;
            RC_ASSERT(state >= newest);
            newest = state;
        }
    }
}

} // namespace
} // namespace chestnutvane
