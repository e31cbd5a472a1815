#include "chestnutvane/connection/close_watch.h"

#include <utility>

namespace chestnutvane {

void CloseWatch::onClose(std::function<void()> callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (!closed_) {
            callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

void CloseWatch::notify()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(closed_, true))
            return;
        callback = std::move(callback_);
    }
    if (callback)
        callback();
}

std::shared_ptr<CloseWatch> CloseWatches::add(const Peer &peer)
{
    auto watch = std::make_shared<CloseWatch>();
    const std::lock_guard lock(mutex_);
    watches_[peer] = watch;
    return watch;
}

void CloseWatches::remove(const Peer &peer, const std::shared_ptr<CloseWatch> &watch)
{
    const std::lock_guard lock(mutex_);
    const auto found = watches_.find(peer);
    if (found != watches_.end() && found->second == watch)
        watches_.erase(found);
}

void CloseWatches::notify(const Peer &peer)
{
    std::shared_ptr<CloseWatch> watch;
    {
        const std::lock_guard lock(mutex_);
        if (const auto found = watches_.find(peer); found != watches_.end()) {
            watch = std::move(found->second);
            watches_.erase(found);
        }
    }
    if (watch)
        watch->notify();
}

} // namespace chestnutvane
