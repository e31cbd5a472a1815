#include "chestnutvane/connection/caller_memory.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace chestnutvane {
namespace {

constexpr std::size_t percent = 100;
// Shares of the machine's memory.
constexpr std::size_t requestsPercent = 9;
constexpr std::size_t bodiesPercent = 22;
constexpr std::size_t answersPercent = 9;

bool isUnfinished(CallerStage stage)
{
    return stage == CallerStage::Head || stage == CallerStage::Body;
}

} // namespace

CallerMemoryLimits callerMemoryLimits(std::size_t machineBytes)
{
    return {{machineBytes / percent * requestsPercent, machineBytes / percent * bodiesPercent,
             machineBytes / percent * answersPercent}};
}

CallerMemoryLimits unboundedCallerMemory()
{
    CallerMemoryLimits limits;
    limits.bytes.fill(std::numeric_limits<std::size_t>::max());
    return limits;
}

bool mayGiveWay(const CallerStanding &standing, MemoryPart part)
{
    switch (part) {
    case MemoryPart::Requests:
        return standing.stage != CallerStage::Handled;
    case MemoryPart::Bodies:
        return standing.stage == CallerStage::Body;
    case MemoryPart::Answers:
        return true;
    }
    return false;
}

bool givesWayBefore(const CallerStanding &a, const CallerStanding &b)
{
    const auto order = [](const CallerStanding &standing) {
        return std::tuple(standing.hasOpenCalls && !isUnfinished(standing.stage), standing.progress,
                          -standing.importance);
    };
    return order(a) < order(b);
}

// Above the limit a connection may still hold an equal share. The largest one may hold any amount
// while all others leave half of the part free, so that a single request inside the limits of its
// size is served however small the machine is.
bool CallerMemory::makeRoom(MemoryPart part, const CallerAccount &asking)
{
    std::set<const CallerAccount *> unable;
    while (used(part) > limit(part)) {
        const auto holders = static_cast<std::size_t>(
                std::count_if(accounts_.begin(), accounts_.end(),
                              [part](const auto *account) { return account->bytes(part) > 0; }));
        CallerAccount *first = nullptr;
        CallerStanding firstStanding;
        std::size_t largest = 0;
        for (CallerAccount *account : accounts_) {
            if (account->bytes(part) == 0)
                continue;
            largest = std::max(largest, account->bytes(part));
            // Heads take little each, and many of them are what fills their part.
            if (part != MemoryPart::Requests && account != &asking
                && account->bytes(part) * holders <= limit(part))
                continue;
            const CallerStanding standing = account->owner_.standing(part);
            if (!unable.contains(account) && mayGiveWay(standing, part)
                && (first == nullptr || givesWayBefore(standing, firstStanding))) {
                first = account;
                firstStanding = standing;
            }
        }
        if (used(part) - largest <= limit(part) / 2)
            return true;
        if (first == nullptr || first == &asking)
            return asking.bytes(part) * accounts_.size() <= limit(part);
        const std::size_t before = used(part);
        first->owner_.giveWay(part);
        if (used(part) >= before)
            unable.insert(first);
    }
    return true;
}

CallerAccount::CallerAccount(std::shared_ptr<CallerMemory> memory, CallerAccountOwner &owner)
    : memory_(std::move(memory)), owner_(owner)
{
    memory_->accounts_.insert(this);
}

CallerAccount::~CallerAccount()
{
    for (const auto part : {MemoryPart::Requests, MemoryPart::Bodies, MemoryPart::Answers})
        release(part);
    memory_->accounts_.erase(this);
}

bool CallerAccount::resize(MemoryPart part, std::size_t bytes)
{
    const std::size_t index = CallerMemory::indexOf(part);
    const bool grows = bytes > bytes_[index];
    memory_->used_[index] += bytes - bytes_[index];
    bytes_[index] = bytes;
    return !grows || memory_->used(part) <= memory_->limit(part) || memory_->makeRoom(part, *this);
}

void CallerAccount::release(MemoryPart part)
{
    const std::size_t index = CallerMemory::indexOf(part);
    memory_->used_[index] -= std::exchange(bytes_[index], 0);
}

MemoryHold::MemoryHold(std::shared_ptr<CallerMemory> memory, MemoryPart part, std::size_t bytes)
    : memory_(std::move(memory)), part_(part), bytes_(bytes)
{
    memory_->used_[CallerMemory::indexOf(part_)] += bytes_;
}

MemoryHold::~MemoryHold()
{
    memory_->used_[CallerMemory::indexOf(part_)] -= bytes_;
}

} // namespace chestnutvane
