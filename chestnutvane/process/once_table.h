// The memory of one incarnation about the at-most-once requests that it may run (design 7.2).
//
// Example:
//
//   OnceDecision begin = table.begin(key, print, waiterId, OnceSource::Caller, now);
//   if (std::holds_alternative<OnceDispatch>(begin)) {
//       // Send the request. While table.recordAttempt(key, attemptOutcome), send it again.
//       OnceCompletion finished = table.finish(key, result, now);
//       // Answer the own caller and every finished.waiters with finished.result.
//   }
//
// A key runs at most once because only the incarnation that it names may run it, and that
// incarnation remembers every key of its last windows and runs no key of an older one. A result is
// final, also a "not-run": its answer may arrive late, so the key must not run after it. A caller
// that was told "not-run" sends again with a new key.
//
// A request with a key must pass begin() before it is refused for any other reason: an earlier
// send of it may have run, so a refusal ahead of the table cannot claim "not-run".
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "chestnutvane/base/time.h"
#include "chestnutvane/request/fingerprint.h"
#include "chestnutvane/request/one_time_key.h"
#include "chestnutvane/request/outcome.h"

namespace chestnutvane {

// The answer of a target.
struct OnceAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// The final result of a request.
struct OnceResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 0; // HTTP status
    std::shared_ptr<const OnceAnswer> answer; // set only with Outcome::Ran
};

// The caller of begin() sends the request to a target and then calls finish().
struct OnceDispatch
{ };

// The request is in progress; finish() returns the waiter.
struct OnceWait
{ };

// The key names another incarnation: forward the request to it, and nothing else. Whatever the
// failure of the forward, answer ownerUnreachableResult().
struct OnceForward
{
    std::string incarnation;
};

// The request has ended; answer with this result. Without an answer it is a refusal.
struct OnceStored
{
    OnceResult result;
};

// The request is not run. The table has no memory of it.
struct OnceRefused
{
    OnceResult result;
};

using OnceDecision = std::variant<OnceDispatch, OnceWait, OnceForward, OnceStored, OnceRefused>;

// Who sent the request to this instance.
enum class OnceSource {
    Caller,
    Peer, // already forwarded once; never forwarded again, so that no loop arises
};

struct OnceLimits
{
    std::uint64_t keysPerWindow = 32768;
    Milliseconds windowLength{60000};
    std::uint64_t retainedWindows = 5;
    std::size_t maxStoredBytes = 64U << 20U; // sum of stored answers
};

using OnceWaiter = std::uint64_t;

struct OnceCompletion
{
    OnceResult result; // the result that holds, also for the caller of finish()
    std::vector<OnceWaiter> waiters;
};

// The answer to a request whose key cannot be read: 428 not-run. It never passed a table.
OnceResult invalidKeyResult(bool present);

// The answer when the named incarnation cannot be reached or has died: 503 unknown. It also holds
// when the link surely carried nothing, because an earlier send may have run.
OnceResult ownerUnreachableResult();

class OnceTable
{
public:
    OnceTable(std::string incarnation, OnceLimits limits, TimePoint now);

    // Decides what to do with a request. The waiter is remembered only with OnceWait.
    OnceDecision begin(const OneTimeKey &key, const Fingerprint &fingerprint, OnceWaiter waiter,
                       OnceSource source, TimePoint now);

    // Records how an attempt of a request in progress ended, and tells whether another one may
    // follow: only if every attempt so far has surely not run. The entry stays in progress.
    bool recordAttempt(const OneTimeKey &key, Outcome attempt);

    // Ends a request in progress and returns its waiters. A "not-run" becomes "unknown" if an
    // attempt may have run. Without a request in progress the result is "unknown", without waiters.
    OnceCompletion finish(const OneTimeKey &key, OnceResult result, TimePoint now);

    // Removes a waiter whose deadline has passed. Returns its answer, 504 unknown, or nothing if it
    // is not waiting any more.
    std::optional<OnceResult> removeWaiter(const OneTimeKey &key, OnceWaiter waiter);

    // The prefix of new keys, for look-up answers and the header Vane-Key-Prefix.
    std::string prefix(TimePoint now);

    std::uint64_t window() const { return window_; }
    std::size_t entryCount() const;
    std::size_t storedBytes() const { return storedBytes_; }

private:
    struct Entry
    {
        Fingerprint fingerprint;
        bool finished = false;
        bool mayHaveRun = false;
        OnceResult result;
        std::size_t answerBytes = 0;
        std::vector<OnceWaiter> waiters;
    };
    using Window = std::unordered_map<std::string, Entry>;

    bool isExpired(std::uint64_t window) const
    {
        return window + limits_.retainedWindows <= window_;
    }
    Entry *inProgress(const OneTimeKey &key);
    void advanceWindowIfDue(TimePoint now);
    void evictAnswersAbove(std::size_t bound);

    std::string incarnation_;
    OnceLimits limits_;
    std::uint64_t window_ = 1;
    std::uint64_t keysSinceAdvance_ =
            0; // keys added, to any window, since the current one was opened
    TimePoint windowOpenedAt_;
    std::size_t storedBytes_ = 0;
    std::map<std::uint64_t, Window> windows_;
    std::deque<std::pair<std::uint64_t, std::string>> answerOrder_; // oldest first
};

} // namespace chestnutvane
