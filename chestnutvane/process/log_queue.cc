#include "chestnutvane/process/log_queue.h"

#include <algorithm>
#include <utility>

namespace chestnutvane {

bool LogQueue::add(LogLine line, TimePoint now)
{
    const std::size_t size = line.text.size();
    const bool routine = isRoutine(line.event);
    bool taken = !routine || withinRate(size, now);
    if (taken && !routine)
        makeRoom(size);
    taken = taken && bytes_ + size <= settings_.maxBytes;
    if (!taken) {
        ++dropped_[line.event];
        return false;
    }
    if (routine)
        routine_.push_back(firstNumber_ + lines_.size());
    bytes_ += size;
    lines_.push_back(std::move(line));
    return true;
}

bool LogQueue::withinRate(std::size_t size, TimePoint now)
{
    const auto rate = static_cast<double>(settings_.routineBytesPerSecond);
    if (creditAt_ == TimePoint::min())
        credit_ = rate; // one second of lines may come at once
    else
        credit_ += rate * std::chrono::duration<double>(now - creditAt_).count();
    creditAt_ = now;
    credit_ = std::min(credit_, rate);
    if (credit_ < static_cast<double>(size))
        return false;
    credit_ -= static_cast<double>(size);
    return true;
}

void LogQueue::makeRoom(std::size_t size)
{
    while (bytes_ + size > settings_.maxBytes && !routine_.empty()) {
        LogLine &oldest = lines_[routine_.front() - firstNumber_];
        routine_.pop_front();
        bytes_ -= oldest.text.size();
        ++dropped_[oldest.event];
        oldest.text.clear();
    }
}

std::string LogQueue::nextBlock(std::size_t most)
{
    std::string block;
    while (!lines_.empty()) {
        const std::string &text = lines_.front().text;
        if (!block.empty() && block.size() + text.size() > most)
            break;
        block += text;
        bytes_ -= text.size();
        if (!routine_.empty() && routine_.front() == firstNumber_)
            routine_.pop_front();
        lines_.pop_front();
        ++firstNumber_;
    }
    return block;
}

std::map<Event, std::uint64_t> LogQueue::takeDropped()
{
    return std::exchange(dropped_, {});
}

} // namespace chestnutvane
