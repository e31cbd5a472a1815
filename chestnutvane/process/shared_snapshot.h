// A pointer to an immutable value that readers share and a writer replaces.
//
// Example:
//
//   SharedSnapshot<RoutingSnapshot> current;
//   current.store(std::make_shared<const RoutingSnapshot>(...));
//   std::shared_ptr<const RoutingSnapshot> seen = current.load();
//
// Thread-safe. The lock is held only while the pointer is copied, so a reader never waits for the
// making of a value. std::atomic<std::shared_ptr> is not used: that of GCC 12 releases its lock bit
// without ordering in load(), which ThreadSanitizer reports as a race.
#pragma once

#include <memory>
#include <mutex>

namespace chestnutvane {

template <class T>
class SharedSnapshot
{
public:
    // Returns the current value, or null before the first store().
    std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(mutex_);
        value_.swap(value); // the former value is destroyed after the lock is released
    }

private:
    mutable std::mutex mutex_; // taken alone
    std::shared_ptr<const T> value_;
};

} // namespace chestnutvane
