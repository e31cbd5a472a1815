#include "chestnutvane/process/gateway/store/learned_state_persister.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

using namespace std::chrono_literals;

// Persisters over one value in memory.
class LearnedStatePersisterTest : public ::testing::Test
{
protected:
    LearnedStatePersisterTest()
    {
        store_.listStale = [this](const std::string &, const auto &done) {
            ++reads_;
            if (storeUnavailable_)
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

    LearnedStateCallbacks callbacks(std::uint64_t target, bool isWriter)
    {
        return {[target] {
                    LearnedState state;
                    state.targets = {{target, 1, {2}}};
                    return state;
                },
                [this](const LearnedState &state) { restored_.push_back(state); },
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
    bool storeUnavailable_ = false;
    std::vector<LearnedState> restored_;
};

// Guards against the loss of the learned state when all instances lose power.
TEST_F(LearnedStatePersisterTest, AStartingInstanceRestoresTheEarlierState)
{
    {
        LearnedStatePersister persister(io_, store_, "l/", "here", callbacks(7, true));
        persister.start();
        runUntil([this] { return writes_ == 2; });
        EXPECT_TRUE(restored_.empty());
    }
    io_.restart();
    LearnedStatePersister later(io_, store_, "l/", "here", callbacks(8, false));
    later.start();
    runUntil([this] { return !restored_.empty(); });
    ASSERT_EQ(restored_.size(), 1);
    EXPECT_EQ(restored_.front().targets.front().target, 7);
}

// Guards against processing the answer to a read after the persister has been destroyed.
TEST_F(LearnedStatePersisterTest, AReadThatEndsAfterThePersisterIsDropped)
{
    std::function<void(Result<WatchResult, StoreError>)> answer;
    const auto readNow = std::exchange(
            store_.listStale, [&answer](const std::string &, const auto &done) { answer = done; });
    auto persister =
            std::make_unique<LearnedStatePersister>(io_, store_, "l/", "here", callbacks(7, true));
    persister->start();
    version_ = 1;
    value_ = encodeLearnedState(callbacks(8, false).snapshot());
    readNow("l/", answer); // answered before the persister is destroyed, dispatched after that
    persister.reset();
    readNow("l/", answer);
    io_.run_for(5ms);
    EXPECT_TRUE(restored_.empty());
}

// Guards against processing the answer to a write after the persister has been destroyed.
// AddressSanitizer reported this when the persister was destroyed between the answer and its
// dispatch by the io_context.
TEST_F(LearnedStatePersisterTest, AWriteThatEndsAfterThePersisterIsDropped)
{
    std::function<void(Result<std::uint64_t, StoreError>)> answer;
    store_.compareAndSwap = [&answer](const CompareAndSwap &, const auto &done) { answer = done; };
    auto persister =
            std::make_unique<LearnedStatePersister>(io_, store_, "l/", "here", callbacks(7, true));
    persister->start();
    runUntil([&answer] { return answer != nullptr; });
    answer(std::uint64_t{2});
    persister.reset();
    io_.restart();
    EXPECT_EQ(io_.run_for(5ms), 1); // the answer was dropped, and no timer was set
}

// Guards against an instance that assumes that the targets of other regions hold no objects.
TEST_F(LearnedStatePersisterTest, AStartingInstanceRestoresTheStateOfAllRegions)
{
    LearnedStatePersister persister(io_, store_, "l/", "there", callbacks(7, false));
    version_ = 1;
    value_ = encodeLearnedState(callbacks(8, false).snapshot()); // of the region "here"
    persister.start();
    runUntil([this] { return !restored_.empty(); });
    EXPECT_EQ(restored_.front().targets.front().target, 8);
}

// Guards against an instance that starts while the store is unavailable, and then overwrites the
// state with the incomplete one that it has learned since.
TEST_F(LearnedStatePersisterTest, NothingIsWrittenBeforeARead)
{
    storeUnavailable_ = true;
    LearnedStatePersister persister(io_, store_, "l/", "here", callbacks(7, true));
    persister.start();
    runUntil([this] { return reads_ == 4; });
    EXPECT_EQ(writes_, 0);
    storeUnavailable_ = false;
    runUntil([this] { return writes_ == 1; });
}

// Guards against a writer that stops for ever after another instance of its region has written.
TEST_F(LearnedStatePersisterTest, AWriterContinuesAfterAConflict)
{
    LearnedStatePersister persister(io_, store_, "l/", "here", callbacks(7, true));
    persister.start();
    runUntil([this] { return writes_ == 1; });
    ++version_; // another instance wrote
    runUntil([this] { return writes_ == 2; });
}

} // namespace
} // namespace chestnutvane
