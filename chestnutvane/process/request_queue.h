// The queue of one broker: strict priority by importance, then earliest arrival first. Allocates
// only to grow.
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
    TimePoint endsAt; // the grant ends here
    // Refused when it is still queued then. A quarter of the queue limit is allowed on top of the
    // limit: without it nine tenths of the refusals at three times capacity came late, to requests
    // that were admitted at the limit and waited slightly longer than estimated.
    TimePoint expiresAt;
    bool alone = false;
    std::uint32_t previous = 0;
    std::uint32_t next = 0;
};

class RequestQueue
{
public:
    static constexpr std::uint32_t none = UINT32_MAX;
    static constexpr int levels = 10;

    RequestQueue();

    // Appends to the level of the request's importance; returns the entry's index, which stays
    // valid until remove().
    std::uint32_t push(const QueuedRequest &request);
    void remove(std::uint32_t index);

    QueuedRequest &at(std::uint32_t index) { return entries_[index]; }
    [[nodiscard]] const QueuedRequest &at(std::uint32_t index) const { return entries_[index]; }

    // The first entry of all, or none; and the one after an entry in the order of service.
    [[nodiscard]] std::uint32_t first() const;
    [[nodiscard]] std::uint32_t after(std::uint32_t index) const;

    // The first entry of the least important level that has one, or none.
    [[nodiscard]] std::uint32_t firstOfLeastImportant() const;

    // The last entry of the least important level that has one, or none.
    [[nodiscard]] std::uint32_t last() const;

    [[nodiscard]] std::size_t size() const { return size_; }

    // Number of entries at least as important as the given level.
    [[nodiscard]] std::size_t sizeUpTo(int importance) const;

    // Grows to the given number of entries in advance.
    void reserve(std::size_t count);

    // The level of a request; values out of range count as the nearest level.
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
