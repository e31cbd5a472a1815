// Hands the results of asynchronous calls to the thread of the object that made the calls.
//
// An adapter calls back on a thread of its own, and may do so after the object has been destroyed.
// A callback made here runs on the io_context of the object, and does nothing once the object is
// gone. Handlers of timers need the same: one that is already queued is not cancelled with its
// timer.
//
// Example:
//
//   class Reader
//   {
//       void read()
//       {
//           store_.get(key, owner_.posted<StoreAnswer>([this](const StoreAnswer &a) { take(a); }));
//       }
//       Store store_;
//       OwnerThread owner_; // the last member, so that it is destroyed first
//   };
//
// The owner lives on the one thread of the io_context, which must outlive all calls.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "chestnutvane/base/result.h"

namespace chestnutvane {

class OwnerThread
{
public:
    explicit OwnerThread(boost::asio::io_context &io) : io_(io) { }

    OwnerThread(const OwnerThread &) = delete;
    OwnerThread &operator=(const OwnerThread &) = delete;

    // Returns a function that may be called on any thread, at any time; it passes its argument to
    // the function given on the thread of the owner.
    template <class T, class Function>
    [[nodiscard]] auto posted(Function function) const
    {
        return [&io = io_, take = guarded(std::move(function))](T result) {
            boost::asio::post(
                    io, [take, result = std::move(result)]() mutable { take(std::move(result)); });
        };
    }

    // Returns a function that calls the one given while the owner lives. Only for the thread of the
    // owner.
    template <class Function>
    [[nodiscard]] auto guarded(Function function) const
    {
        return [alive = std::weak_ptr<const Done>(alive_),
                function = std::move(function)](auto &&...arguments) {
            if (!alive.expired())
                std::invoke(function, std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    boost::asio::io_context &io_;
    std::shared_ptr<const Done> alive_ = std::make_shared<const Done>();
};

} // namespace chestnutvane
