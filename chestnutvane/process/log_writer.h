// Writes log lines to a file descriptor without waiting for its reader.
//
// Lines wait in a LogQueue while the reader of a pipe or socket takes none. A pipe that other
// processes write to as well can still block for one write of pipeBytes, as the kernel tells only
// that there was room; a file is written at once.
//
// Example:
//
//   LogWriter writer(STDOUT_FILENO, {});
//   writer.write({Event::Started, "100 started\n"});
//   writer.flush();
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "chestnutvane/process/log_queue.h"

namespace chestnutvane {

class LogWriter
{
public:
    // The caller keeps the descriptor open.
    LogWriter(int descriptor, const LogQueueSettings &settings)
        : descriptor_(descriptor), queue_(settings)
    { }

    // Queues a line and writes what the reader has room for.
    void write(LogLine line);

    // Writes what the reader has room for. Call it from time to time, for lines that no further
    // line follows.
    void flush();

    // Returns the lines dropped since the last call, by event; nothing while older lines still
    // wait, so that a line with the counts is not dropped itself.
    std::map<Event, std::uint64_t> takeDropped();

    // Bytes for which a pipe that is ready for a write has room.
    static constexpr std::size_t pipeBytes = 4096; // PIPE_BUF of Linux

private:
    void writeReady();

    const int descriptor_;
    std::mutex mutex_; // guards the members below; no other lock is taken while it is held
    LogQueue queue_;
    std::string block_; // taken from the queue, not yet written
};

} // namespace chestnutvane
