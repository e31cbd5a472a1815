// A table with its lock, checked against the lock order.
//
// Example:
//
//   Guarded<OnceTable, LockRank::OnceTable> table(incarnation, limits, now);
//   auto begin = table.use([&](OnceTable &once) { return once.begin(...); });
//
// A thread that takes a lock of the same or a lower rank than one it holds aborts the process: a
// wrong order would deadlock only now and then, and a test must see it every time.
#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <utility>

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

// The order in which locks may be taken by one thread.
enum class LockRank : std::uint32_t {
    Membership,
    Configuration,
    Broker,
    GrantHolder,
    OnceTable,
    Metrics,
};

inline constexpr EnumName<LockRank> lockRankNames[] = {
        {LockRank::Membership, "membership"}, {LockRank::Configuration, "configuration"},
        {LockRank::Broker, "broker"},         {LockRank::GrantHolder, "grant-holder"},
        {LockRank::OnceTable, "once-table"},  {LockRank::Metrics, "metrics"},
};

namespace internal {

inline thread_local std::uint32_t heldRanks = 0;

// Marks a rank as held by this thread while it lives.
class RankMark
{
public:
    explicit RankMark(LockRank rank) : bit_(1U << static_cast<std::uint32_t>(rank))
    {
        if (heldRanks >= bit_) {
            std::fprintf(stderr, "lock order violated at %s\n",
                         std::string(enumName(lockRankNames, rank)).c_str());
            std::abort();
        }
        heldRanks |= bit_;
    }
    ~RankMark() { heldRanks &= ~bit_; }

    RankMark(const RankMark &) = delete;
    RankMark &operator=(const RankMark &) = delete;

private:
    std::uint32_t bit_;
};

} // namespace internal

template <class T, LockRank rank>
class Guarded
{
public:
    template <class... Arguments>
    explicit Guarded(Arguments &&...arguments) : value_(std::forward<Arguments>(arguments)...)
    { }

    // Calls the function with the table while the lock is held. The function must not do I/O.
    template <class Function>
    decltype(auto) use(Function &&function)
    {
        const internal::RankMark mark(rank);
        const std::lock_guard lock(mutex_);
        return std::forward<Function>(function)(value_);
    }

private:
    std::mutex mutex_;
    T value_;
};

} // namespace chestnutvane
