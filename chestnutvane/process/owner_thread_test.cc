#include "chestnutvane/process/owner_thread.h"

#include <optional>
#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>

namespace chestnutvane {
namespace {

// Guards against callbacks that run on the thread of an adapter.
TEST(OwnerThreadTest, AResultIsTakenOnTheThreadOfTheOwner)
{
    boost::asio::io_context io{1};
    const OwnerThread owner(io);
    std::thread::id taker;
    int taken = 0;
    const auto callback = owner.posted<int>([&](int result) {
        taker = std::this_thread::get_id();
        taken = result;
    });
    std::thread adapter([&] { callback(7); });
    adapter.join();
    EXPECT_EQ(taken, 0);
    io.run();
    EXPECT_EQ(taken, 7);
    EXPECT_EQ(taker, std::this_thread::get_id());
}

// Guards against an answer that is taken by an object which is gone: one that was posted before
// its end, and one that comes later.
TEST(OwnerThreadTest, AResultAfterTheEndOfTheOwnerIsDropped)
{
    boost::asio::io_context io{1};
    std::optional<OwnerThread> owner(std::in_place, io);
    int taken = 0;
    const auto callback = owner->posted<int>([&](int) { ++taken; });
    callback(1);
    owner.reset();
    callback(2);
    io.run();
    EXPECT_EQ(taken, 0);
}

// Guards against the handler of a timer that has expired before its owner was destroyed.
TEST(OwnerThreadTest, AnExpiredTimerOfAnOwnerThatIsGoneDoesNothing)
{
    boost::asio::io_context io{1};
    std::optional<OwnerThread> owner(std::in_place, io);
    int expired = 0;
    boost::asio::steady_timer timer(io, std::chrono::milliseconds(0));
    timer.async_wait(owner->guarded([&](const boost::system::error_code &) { ++expired; }));
    owner.reset();
    io.run();
    EXPECT_EQ(expired, 0);
}

} // namespace
} // namespace chestnutvane
