// The queue of one broker, ordered by importance (strict priority), then by arrival. Entries are
// reused, so memory is allocated only when the queue grows.
//
// Example:
//
//   const std::uint32_t index = queue.push(queued);
//   for (std::uint32_t i = queue.first(); i != RequestQueue::none; i = queue.after(i))
//       inspect(queue.at(i));
//   queue.remove(index);
//
// Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/grant_types.h"

namespace chestnutvane {

struct QueuedRequest
{
    GrantRequest request;
    TimePoint arrivedAt;
    TimePoint endsAt; // end of the grant's validity
    // The request is refused if it is still queued at this time: the queue limit plus a quarter of
    // it. Without the extra quarter, nine tenths of the refusals at three times capacity came late:
    // they hit requests that had been admitted with an estimated wait close to the limit and then
    // waited slightly longer.
    TimePoint expiresAt;
    bool alone = false; // needs a target without other requests
    std::uint32_t previous = 0; // in the same level, or RequestQueue::none; set by the queue
    std::uint32_t next = 0; // likewise
};

class RequestQueue
{
public:
    static constexpr std::uint32_t none = UINT32_MAX; // the index of no entry
    static constexpr int levels = 10; // one for each importance, 0 to 9

    RequestQueue();

    // Appends a request to the level of its importance. Returns its index, which is valid until
    // remove().
    std::uint32_t push(const QueuedRequest &request);
    void remove(std::uint32_t index);

    QueuedRequest &at(std::uint32_t index) { return entries_[index]; }
    [[nodiscard]] const QueuedRequest &at(std::uint32_t index) const { return entries_[index]; }

    // The first entry, and the entry that follows the given one in queue order; none if there is
    // no such entry.
    [[nodiscard]] std::uint32_t first() const;
    [[nodiscard]] std::uint32_t after(std::uint32_t index) const;

    // The first entry of the least important level that is not empty, or none.
    [[nodiscard]] std::uint32_t firstOfLeastImportant() const;

    // The last entry in queue order, or none.
    [[nodiscard]] std::uint32_t last() const;

    [[nodiscard]] std::size_t size() const { return size_; }

    // Number of entries at least as important as the given level.
    [[nodiscard]] std::size_t sizeUpTo(int importance) const;

    // Reserves memory for the given number of entries.
    void reserve(std::size_t count);

    // The level of a request. An importance out of range is clamped to the nearest level.
    static int levelOf(const GrantRequest &request)
    {
        return std::clamp(request.importance, 0, levels - 1);
    }

private:
    struct Level
    {
        std::uint32_t head = none;
        std::uint32_t tail = none;
        std::size_t size = 0;
    };

    [[nodiscard]] std::uint32_t firstFromLevel(int level) const;

    std::array<Level, levels> levels_;
    std::vector<QueuedRequest> entries_;
    std::vector<std::uint32_t> freeIndices_;
    std::size_t size_ = 0;
};

} // namespace chestnutvane
