// The bounded queue between the places that log and the output that takes the lines.
//
// Two bounds hold: bytes that wait, for a reader that stops reading, and bytes a second of routine
// lines, for a load that would make the log the main work of a process. Routine lines tell of
// requests that were served; they are dropped before all others. What is dropped is counted by
// event.
//
// Example:
//
//   LogQueue queue({});
//   queue.add({Event::RequestRefused, line}, Clock::now());
//   write(queue.nextBlock(4096));
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/process/events.h"

namespace chestnutvane {

struct LogQueueSettings
{
    // A quarter of a megabyte holds about 1,000 lines, more than a second of the heaviest load that
    // one instance is planned for.
    std::size_t maxBytes = 256U << 10U;
    // The heaviest load that is planned for an instance, 100 requests a second with four lines of
    // 250 bytes each, writes half of it.
    std::size_t routineBytesPerSecond = 200'000;
};

struct LogLine
{
    Event event = Event::Started;
    std::string text; // with its line break
};

class LogQueue
{
public:
    explicit LogQueue(const LogQueueSettings &settings) : settings_(settings) { }

    // Appends a line. A routine line above the rate, or one for which there is no room, is dropped;
    // any other line takes the room of the oldest routine lines first. Returns whether it was
    // taken.
    bool add(LogLine line, TimePoint now);

    // Removes whole lines from the front and returns them, as many as fit into the bytes given, but
    // at least one if any waits.
    std::string nextBlock(std::size_t most);

    [[nodiscard]] bool empty() const { return bytes_ == 0; }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    // Returns the lines dropped since the last call, by event.
    std::map<Event, std::uint64_t> takeDropped();

private:
    bool withinRate(std::size_t size, TimePoint now);
    void makeRoom(std::size_t size);

    LogQueueSettings settings_;
    std::deque<LogLine> lines_; // dropped ones are empty
    std::deque<std::uint64_t> routine_; // numbers of the routine lines in lines_
    std::uint64_t firstNumber_ = 0; // of the front of lines_
    std::size_t bytes_ = 0;
    double credit_ = 0; // bytes that routine lines may use now
    TimePoint creditAt_ = TimePoint::min();
    std::map<Event, std::uint64_t> dropped_;
};

} // namespace chestnutvane
