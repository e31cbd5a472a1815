#include "chestnutvane/process/gateway/learned_keeper.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// A keeper over one value in memory.
class LearnedKeeperTest : public ::testing::Test
{
protected:
    LearnedKeeperTest()
    {
        store_.listStale = [this](const std::string &, const auto &done) {
            ++reads_;
            if (isAway_)
                return done(StoreError{StoreFailure::Unavailable, ""});
            WatchResult list;
            if (version_ > 0)
                list.entries.push_back({"l/here", value_, version_});
            done(list);
        };
        store_.get = [this](const std::string &, const auto &done) {
            if (version_ == 0)
                return done(StoreError{StoreFailure::NotFound, ""});
            done(StoreEntry{"l/here", value_, version_});
        };
        store_.compareAndSwap = [this](const CompareAndSwap &swap, const auto &done) {
            if (swap.expectedVersion != version_)
                return done(StoreError{StoreFailure::Conflict, ""});
            value_ = swap.value;
            ++writes_;
            done(++version_);
        };
    }

    LearnedSource source(std::uint64_t target, bool isWriter)
    {
        return {[target] {
                    LearnedState state;
                    state.targets = {{target, 1, {2}}};
                    return state;
                },
                [this](const LearnedState &state) { taken_.push_back(state); },
                [isWriter] { return isWriter; }};
    }

    void runUntil(const std::function<bool()> &condition)
    {
        constexpr int steps = 3000;
        for (int i = 0; i < steps && !condition(); ++i)
            io_.run_for(5ms);
        ASSERT_TRUE(condition());
    }

    boost::asio::io_context io_{1};
    Store store_;
    std::string value_;
    std::uint64_t version_ = 0;
    int reads_ = 0;
    int writes_ = 0;
    bool isAway_ = false;
    std::vector<LearnedState> taken_;
};

// Guards against a fleet that has forgotten all after a loss of power on all instances.
TEST_F(LearnedKeeperTest, AStartTakesWhatAnEarlierOneLearned)
{
    {
        LearnedKeeper keeper(io_, store_, "l/", "here", source(7, true));
        keeper.start();
        runUntil([this] { return writes_ == 2; });
        EXPECT_TRUE(taken_.empty());
    }
    io_.restart();
    LearnedKeeper later(io_, store_, "l/", "here", source(8, false));
    later.start();
    runUntil([this] { return !taken_.empty(); });
    ASSERT_EQ(taken_.size(), 1);
    EXPECT_EQ(taken_.front().targets.front().target, 7);
}

// Guards against an answer to a read that is taken by a keeper which is gone.
TEST_F(LearnedKeeperTest, AReadThatEndsAfterItsKeeperIsDropped)
{
    std::function<void(Result<WatchResult, StoreError>)> answer;
    const auto readNow = std::exchange(
            store_.listStale, [&answer](const std::string &, const auto &done) { answer = done; });
    auto keeper = std::make_unique<LearnedKeeper>(io_, store_, "l/", "here", source(7, true));
    keeper->start();
    version_ = 1;
    value_ = encodeLearnedState(source(8, false).learned());
    readNow("l/", answer); // before the end of the keeper, taken after it
    keeper.reset();
    readNow("l/", answer);
    io_.run_for(5ms);
    EXPECT_TRUE(taken_.empty());
}

// Guards against the answer to a write that is taken by a keeper which is gone. AddressSanitizer
// found it when a keeper ended between the answer and the next turn of the io_context.
TEST_F(LearnedKeeperTest, AWriteThatEndsAfterItsKeeperIsDropped)
{
    std::function<void(Result<std::uint64_t, StoreError>)> answer;
    store_.compareAndSwap = [&answer](const CompareAndSwap &, const auto &done) { answer = done; };
    auto keeper = std::make_unique<LearnedKeeper>(io_, store_, "l/", "here", source(7, true));
    keeper->start();
    runUntil([&answer] { return answer != nullptr; });
    answer(std::uint64_t{2});
    keeper.reset();
    io_.restart();
    EXPECT_EQ(io_.run_for(5ms), 1); // the answer was dropped, and no timer was set
}

// Guards against an instance that takes the targets of other regions for cold.
TEST_F(LearnedKeeperTest, AStartTakesWhatAllRegionsLearned)
{
    LearnedKeeper keeper(io_, store_, "l/", "there", source(7, false));
    version_ = 1;
    value_ = encodeLearnedState(source(8, false).learned()); // of the region "here"
    keeper.start();
    runUntil([this] { return !taken_.empty(); });
    EXPECT_EQ(taken_.front().targets.front().target, 8);
}

// Guards against an instance that starts without the store and then replaces what was learned by
// the little that it knows.
TEST_F(LearnedKeeperTest, NothingIsWrittenBeforeARead)
{
    isAway_ = true;
    LearnedKeeper keeper(io_, store_, "l/", "here", source(7, true));
    keeper.start();
    runUntil([this] { return reads_ == 4; });
    EXPECT_EQ(writes_, 0);
    isAway_ = false;
    runUntil([this] { return writes_ == 1; });
}

// Guards against a writer that stops for good after another one of its region wrote.
TEST_F(LearnedKeeperTest, AWriterGoesOnAfterAnotherOne)
{
    LearnedKeeper keeper(io_, store_, "l/", "here", source(7, true));
    keeper.start();
    runUntil([this] { return writes_ == 1; });
    ++version_; // another one wrote
    runUntil([this] { return writes_ == 2; });
}

} // namespace
} // namespace chestnutvane
