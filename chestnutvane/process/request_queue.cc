#include "chestnutvane/process/request_queue.h"

namespace chestnutvane {

RequestQueue::RequestQueue() = default;

std::uint32_t RequestQueue::push(const QueuedRequest &request)
{
    if (freeIndices_.empty()) {
        entries_.emplace_back();
        freeIndices_.reserve(entries_.capacity());
        freeIndices_.push_back(static_cast<std::uint32_t>(entries_.size() - 1));
    }
    const std::uint32_t index = freeIndices_.back();
    freeIndices_.pop_back();
    Level &level = levels_[static_cast<std::size_t>(levelOf(request.request))];
    QueuedRequest &entry = entries_[index];
    entry = request;
    entry.previous = level.tail;
    entry.next = none;
    if (level.tail == none)
        level.head = index;
    else
        entries_[level.tail].next = index;
    level.tail = index;
    ++level.size;
    ++size_;
    return index;
}

void RequestQueue::remove(std::uint32_t index)
{
    const QueuedRequest &entry = entries_[index];
    Level &level = levels_[static_cast<std::size_t>(levelOf(entry.request))];
    if (entry.previous == none)
        level.head = entry.next;
    else
        entries_[entry.previous].next = entry.next;
    if (entry.next == none)
        level.tail = entry.previous;
    else
        entries_[entry.next].previous = entry.previous;
    --level.size;
    --size_;
    freeIndices_.push_back(index);
}

std::uint32_t RequestQueue::firstFromLevel(int level) const
{
    for (auto i = static_cast<std::size_t>(level); i < levels_.size(); ++i) {
        if (levels_[i].head != none)
            return levels_[i].head;
    }
    return none;
}

std::uint32_t RequestQueue::first() const
{
    return firstFromLevel(0);
}

std::uint32_t RequestQueue::after(std::uint32_t index) const
{
    const QueuedRequest &entry = entries_[index];
    return entry.next != none ? entry.next : firstFromLevel(levelOf(entry.request) + 1);
}

std::uint32_t RequestQueue::firstOfLeastImportant() const
{
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
        if (level->head != none)
            return level->head;
    }
    return none;
}

std::uint32_t RequestQueue::last() const
{
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
        if (level->tail != none)
            return level->tail;
    }
    return none;
}

std::size_t RequestQueue::sizeUpTo(int importance) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(std::clamp(importance, 0, levels - 1));
         ++i)
        count += levels_[i].size;
    return count;
}

void RequestQueue::reserve(std::size_t count)
{
    entries_.reserve(count);
    freeIndices_.reserve(count);
}

} // namespace chestnutvane
