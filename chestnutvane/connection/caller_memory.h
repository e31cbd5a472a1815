// Counts the memory that a process holds for callers, and decides who gives way when it runs out.
//
// Each connection has an account. It is charged for what it holds as stored, not as sent: its
// buffers and fields, an unfinished body by the bytes that have come, and answers that the caller
// has not taken. A complete request stays charged by its MemoryHold until nobody uses it.
//
// When a part is full, the connection whose work is worth least gives way: the one without progress
// for longest, then the least important one. A request that is handled never gives way; requests
// without a route are refused before they hold a body.
//
// Example:
//
//   auto memory = std::make_shared<CallerMemory>(callerMemoryLimits(machineBytes));
//   CallerAccount account(memory, owner);
//   if (!account.resize(MemoryPart::Bodies, bytes))
//       refuse();
//
// Pure state without I/O. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <set>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

enum class MemoryPart {
    Requests, // connections, heads with their fields, read buffers
    Bodies,
    Answers, // not taken by their callers yet
};

inline constexpr std::size_t memoryPartCount = 3;

// Bytes that may be held for callers, by part.
struct CallerMemoryLimits
{
    std::array<std::size_t, memoryPartCount> bytes{};
};

// No limit at all.
[[nodiscard]] CallerMemoryLimits unboundedCallerMemory();

// The limits on a machine with this memory, in bytes. Together they take four tenths of it; the
// rest is for the process, its exchanges with targets, and the sockets' buffers.
[[nodiscard]] CallerMemoryLimits callerMemoryLimits(std::size_t machineBytes);

// What a connection does, as far as it matters for giving way.
enum class CallerStage {
    Ending, // answered for the last time
    Idle, // between two requests
    Head, // a head is not complete
    Body, // a head is complete, its body is not
    Handled, // nothing is being read
};

// What decides whether a connection gives way before another.
struct CallerStanding
{
    CallerStage stage = CallerStage::Idle;
    int importance = 0; // of its unfinished request, 0: highest
    TimePoint progress{}; // when it last made progress
    bool hasOpenCalls = false; // requests of it are handled
};

class CallerAccount;

class CallerMemory
{
public:
    explicit CallerMemory(CallerMemoryLimits limits) : limits_(limits) { }

    [[nodiscard]] std::size_t used(MemoryPart part) const { return used_[indexOf(part)]; }
    [[nodiscard]] std::size_t limit(MemoryPart part) const { return limits_.bytes[indexOf(part)]; }

    // Whether over half of a part is used.
    [[nodiscard]] bool isTight(MemoryPart part) const { return used(part) > limit(part) / 2; }

    static constexpr std::size_t indexOf(MemoryPart part) { return static_cast<std::size_t>(part); }

private:
    friend class CallerAccount;
    friend class MemoryHold;

    // Lets others give way until there is room in the part. Returns false if the asking account has
    // to give way itself.
    [[nodiscard]] bool makeRoom(MemoryPart part, const CallerAccount &asking);

    CallerMemoryLimits limits_;
    std::array<std::size_t, memoryPartCount> used_{};
    std::set<CallerAccount *> accounts_;
};

// A connection with an account.
class CallerAccountOwner
{
public:
    // What the connection does now, for a part that is full.
    [[nodiscard]] virtual CallerStanding standing(MemoryPart part) const = 0;

    // Returns what the connection holds of the part. Returns false if it cannot. May end the
    // account.
    virtual bool giveWay(MemoryPart part) = 0;

protected:
    ~CallerAccountOwner() = default;
};

// Memory that one connection holds. Its end returns all of it.
class CallerAccount
{
public:
    // The owner must outlive the account.
    CallerAccount(std::shared_ptr<CallerMemory> memory, CallerAccountOwner &owner);
    ~CallerAccount();

    CallerAccount(const CallerAccount &) = delete;
    CallerAccount &operator=(const CallerAccount &) = delete;

    // Sets what is held of a part, in bytes. Returns false if there is no room for growth, and the
    // connection has to give way. The bytes are charged in both cases.
    [[nodiscard]] bool resize(MemoryPart part, std::size_t bytes);

    // Returns what is held of a part.
    void release(MemoryPart part);

    [[nodiscard]] std::size_t bytes(MemoryPart part) const
    {
        return bytes_[CallerMemory::indexOf(part)];
    }

private:
    friend class CallerMemory;

    std::shared_ptr<CallerMemory> memory_;
    CallerAccountOwner &owner_;
    std::array<std::size_t, memoryPartCount> bytes_{};
};

// Memory that outlives the reading of its connection, such as that of a request that is handled.
class MemoryHold
{
public:
    MemoryHold(std::shared_ptr<CallerMemory> memory, MemoryPart part, std::size_t bytes);
    ~MemoryHold();

    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

private:
    std::shared_ptr<CallerMemory> memory_;
    MemoryPart part_;
    std::size_t bytes_;
};

// Whether a connection gives way before another one where memory of a part is short.
[[nodiscard]] bool givesWayBefore(const CallerStanding &a, const CallerStanding &b);

// Whether a connection may give way to return memory of a part.
[[nodiscard]] bool mayGiveWay(const CallerStanding &standing, MemoryPart part);

} // namespace chestnutvane
