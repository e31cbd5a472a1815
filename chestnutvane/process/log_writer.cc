#include "chestnutvane/process/log_writer.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace chestnutvane {
namespace {

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & (POLLOUT | POLLERR)) != 0;
}

} // namespace

void LogWriter::write(LogLine line)
{
    const std::scoped_lock lock(mutex_);
    queue_.add(std::move(line), Clock::now());
    writeReady();
}

void LogWriter::flush()
{
    const std::scoped_lock lock(mutex_);
    writeReady();
}

std::map<Event, std::uint64_t> LogWriter::takeDropped()
{
    const std::scoped_lock lock(mutex_);
    if (!block_.empty() || !queue_.empty())
        return {};
    return queue_.takeDropped();
}

void LogWriter::writeReady()
{
    while (!block_.empty() || !queue_.empty()) {
        if (block_.empty())
            block_ = queue_.nextBlock(pipeBytes);
        if (!isWritable(descriptor_))
            return;
        const auto written =
                ::write(descriptor_, block_.data(), std::min(block_.size(), pipeBytes));
        if (written >= 0) {
            block_.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno == EAGAIN)
            return;
        // The reader has gone. There is no other place to report it, and requests go on.
        block_.clear();
    }
}

} // namespace chestnutvane
