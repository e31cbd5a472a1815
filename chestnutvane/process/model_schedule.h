// Utilities of the discrete-event models of slot policies: a schedule of events in model time,
// percentiles, and conversions of model time (ms as double) to TimePoint and Duration.
//
// Example:
//
//   Schedule schedule;
//   schedule.at(10, [&] { schedule.at(schedule.now() + 5, finish); });
//   schedule.runAll();
//
// Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "chestnutvane/base/time.h"

namespace chestnutvane {

// Runs events in the order of their time (ms), events of the same time in the order of addition.
class Schedule
{
public:
    // Adds an event at the given time.
    void at(double time, std::function<void()> callback)
    {
        events_.push_back({time, ++addedCount_, std::move(callback)});
        std::push_heap(events_.begin(), events_.end());
    }

    // Adds an event that runs the given delay after now().
    void after(double delay, std::function<void()> callback)
    {
        at(now_ + delay, std::move(callback));
    }

    // Runs all events, including those that they add.
    void runAll()
    {
        while (!events_.empty()) {
            std::pop_heap(events_.begin(), events_.end());
            const Event event = std::move(events_.back());
            events_.pop_back();
            now_ = event.time;
            event.callback();
        }
    }

    // The time of the running event, 0 before the first.
    [[nodiscard]] double now() const { return now_; }

private:
    struct Event
    {
        double time = 0;
        std::uint64_t sequence = 0;
        std::function<void()> callback;

        // Reversed, because std::push_heap() puts the greatest event first.
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    std::vector<Event> events_; // a heap, the next event first
    std::uint64_t addedCount_ = 0;
    double now_ = 0;
};

// Returns the value at the given fraction (0 to 1) of the sorted values, or 0 if there are none.
// Reorders the values.
inline double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

inline TimePoint modelTime(double ms)
{
    return TimePoint(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
}

inline Duration modelDuration(double ms)
{
    return modelTime(ms).time_since_epoch();
}

} // namespace chestnutvane
