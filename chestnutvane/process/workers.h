// The process's pool of worker threads, with timers.
//
// Example:
//
//   Workers workers(4);
//   workers.post([] { ... });
//   workers.every(Milliseconds{200}, [] { ... });
//
// Thread-safe.
#pragma once

#include <functional>
#include <memory>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

class Workers
{
public:
    explicit Workers(int threads);

    // Same as stop().
    ~Workers();

    Workers(const Workers &) = delete;
    Workers &operator=(const Workers &) = delete;

    // Runs the task on a worker.
    void post(std::function<void()> task);

    // Runs the task on a worker after a delay.
    void after(Duration delay, std::function<void()> task);

    // Runs the task on a worker again and again, with the period between two ends. Runs of one task
    // never overlap.
    void every(Duration period, std::function<void()> task);

    // Lets running tasks end, drops all others and joins the threads. Call from no worker.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
