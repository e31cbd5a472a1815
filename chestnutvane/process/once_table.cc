#include "chestnutvane/process/once_table.h"

#include <iterator>

namespace chestnutvane {
namespace {

std::size_t sizeOf(const OnceAnswer &answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto &[name, text] : answer.headers)
        bytes += name.size() + text.size();
    return bytes;
}

OnceResult refusal(Outcome outcome, int status, Reason reason)
{
    return {.outcome = outcome, .reason = reason, .status = status, .answer = nullptr};
}

} // namespace

OnceResult invalidKeyResult(bool present)
{
    return refusal(Outcome::NotRun, 428, present ? Reason::KeyMalformed : Reason::KeyRequired);
}

OnceResult ownerUnreachableResult()
{
    return refusal(Outcome::Unknown, 503, Reason::KeyOwnerUnreachable);
}

OnceTable::OnceTable(std::string incarnation, OnceLimits limits, TimePoint now)
    : incarnation_(std::move(incarnation)), limits_(limits), windowOpenedAt_(now)
{ }

OnceDecision OnceTable::begin(const OneTimeKey &key, const Fingerprint &fingerprint,
                              OnceWaiter waiter, OnceSource source, TimePoint now)
{
    if (key.incarnation != incarnation_) {
        if (source == OnceSource::Peer)
            return OnceRefused{ownerUnreachableResult()};
        return OnceForward{key.incarnation};
    }
    advanceWindowIfDue(now);
    if (key.window == 0 || key.window > window_)
        return OnceRefused{invalidKeyResult(true)};
    if (isExpired(key.window))
        return OnceRefused{refusal(Outcome::Unknown, 503, Reason::KeyExpired)};

    Window &window = windows_[key.window];
    const auto [found, isNew] = window.try_emplace(key.random);
    Entry &entry = found->second;
    if (isNew) {
        entry.fingerprint = fingerprint;
        ++keysSinceAdvance_;
        return OnceDispatch{};
    }
    if (entry.fingerprint != fingerprint)
        return OnceRefused{refusal(Outcome::NotRun, 422, Reason::KeyReused)};
    if (!entry.finished) {
        entry.waiters.push_back(waiter);
        return OnceWait{};
    }
    return OnceStored{entry.result};
}

bool OnceTable::recordAttempt(const OneTimeKey &key, Outcome attempt)
{
    Entry *entry = inProgress(key);
    if (entry == nullptr)
        return false;
    entry->mayHaveRun = entry->mayHaveRun || attempt != Outcome::NotRun;
    return !entry->mayHaveRun;
}

OnceCompletion OnceTable::finish(const OneTimeKey &key, OnceResult result, TimePoint now)
{
    Entry *entry = inProgress(key);
    if (entry == nullptr)
        return {.result = refusal(Outcome::Unknown, 503, Reason::KeyExpired), .waiters = {}};
    if (result.outcome == Outcome::NotRun && entry->mayHaveRun)
        result.outcome = Outcome::Unknown;
    if (result.outcome != Outcome::Ran)
        result.answer = nullptr;

    OnceCompletion finished{.result = std::move(result), .waiters = std::move(entry->waiters)};
    entry->waiters.clear();
    entry->finished = true;
    entry->result = finished.result;
    if (finished.result.answer) {
        entry->answerBytes = sizeOf(*finished.result.answer);
        storedBytes_ += entry->answerBytes;
        answerOrder_.emplace_back(key.window, key.random);
    }
    if (isExpired(key.window)) {
        storedBytes_ -= entry->answerBytes;
        windows_[key.window].erase(key.random);
        if (windows_[key.window].empty())
            windows_.erase(key.window);
    }
    evictAnswersAbove(limits_.maxStoredBytes);
    advanceWindowIfDue(now);
    return finished;
}

std::optional<OnceResult> OnceTable::removeWaiter(const OneTimeKey &key, OnceWaiter waiter)
{
    Entry *entry = inProgress(key);
    if (entry == nullptr || std::erase(entry->waiters, waiter) == 0)
        return std::nullopt;
    return refusal(Outcome::Unknown, 504, Reason::DeadlineExceeded);
}

std::string OnceTable::prefix(TimePoint now)
{
    advanceWindowIfDue(now);
    return formatKeyPrefix(incarnation_, window_);
}

std::size_t OnceTable::entryCount() const
{
    std::size_t count = 0;
    for (const auto &[number, window] : windows_)
        count += window.size();
    return count;
}

OnceTable::Entry *OnceTable::inProgress(const OneTimeKey &key)
{
    if (key.incarnation != incarnation_)
        return nullptr;
    const auto window = windows_.find(key.window);
    if (window == windows_.end())
        return nullptr;
    const auto entry = window->second.find(key.random);
    return entry == window->second.end() || entry->second.finished ? nullptr : &entry->second;
}

// Starts a new window if the current one has reached its number of keys or its length. Counts the
// new keys of all retained windows, because callers may still use an older prefix. So the retained
// windows together hold at most retainedWindows * keysPerWindow entries, apart from those in
// progress.
void OnceTable::advanceWindowIfDue(TimePoint now)
{
    if (keysSinceAdvance_ < limits_.keysPerWindow && now - windowOpenedAt_ < limits_.windowLength)
        return;
    ++window_;
    keysSinceAdvance_ = 0;
    windowOpenedAt_ = now;
    for (auto window = windows_.begin(); window != windows_.end() && isExpired(window->first);) {
        // Entries in progress are retained beyond their window, because their waiters need the
        // result.
        std::erase_if(window->second, [this](const auto &item) {
            storedBytes_ -= item.second.answerBytes;
            return item.second.finished;
        });
        window = window->second.empty() ? windows_.erase(window) : std::next(window);
    }
    std::erase_if(answerOrder_, [this](const auto &answer) { return isExpired(answer.first); });
}

void OnceTable::evictAnswersAbove(std::size_t bound)
{
    while (storedBytes_ > bound && !answerOrder_.empty()) {
        const auto [number, random] = std::move(answerOrder_.front());
        answerOrder_.pop_front();
        const auto window = windows_.find(number);
        if (window == windows_.end())
            continue;
        const auto found = window->second.find(random);
        if (found == window->second.end())
            continue;
        Entry &entry = found->second;
        storedBytes_ -= entry.answerBytes;
        entry.answerBytes = 0;
        entry.result = refusal(Outcome::Ran, 410, Reason::AnswerDropped);
    }
}

} // namespace chestnutvane
