// Deduplicates at-most-once requests by their one-time keys (design 7.2). Each incarnation has one
// table, with the requests whose keys name this incarnation.
//
// Example:
//
//   OnceDecision decision = table.begin(key, fingerprint, waiterId, OnceSource::Caller, now);
//   if (std::holds_alternative<OnceDispatch>(decision)) {
//       // Send the request. While table.recordAttempt(key, attemptOutcome), it may be sent again.
//       OnceCompletion completion = table.finish(key, result, now);
//       // Answer the caller and each of completion.waiters with completion.result.
//   }
//
// A key runs at most once, because only the incarnation named in the key may run it. That
// incarnation stores every key of its most recent windows and runs no key of an older window. Every
// result is final, including "not-run": the answer may reach the caller late, so the key must not
// run afterwards. A caller that receives "not-run" sends the request again with a new key.
//
// A request with a key must pass begin() before it is refused for any other reason. An earlier send
// of it may have run, so a refusal without begin() must not report "not-run".
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

// The HTTP answer of a target.
struct OnceAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// The final result of an at-most-once request.
struct OnceResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 0; // HTTP status
    std::shared_ptr<const OnceAnswer> answer; // set only with Outcome::Ran
};

// The key is new: send the request to a target, then call finish().
struct OnceDispatch
{ };

// A request with this key is in progress. The waiter was added; finish() will return it.
struct OnceWait
{ };

// The key names another incarnation: forward the request to it and don't run it here. If the
// forward fails for any reason, answer with ownerUnreachableResult().
struct OnceForward
{
    std::string incarnation;
};

// The request has finished: answer with this result. If it has no answer of a target, it is a
// refusal.
struct OnceStored
{
    OnceResult result;
};

// The request must not run: answer with this result. Nothing was stored for the request.
struct OnceRefused
{
    OnceResult result;
};

using OnceDecision = std::variant<OnceDispatch, OnceWait, OnceForward, OnceStored, OnceRefused>;

// Who sent the request to this instance.
enum class OnceSource {
    Caller,
    Peer, // already forwarded once; not forwarded again, to prevent loops
};

struct OnceLimits
{
    std::uint64_t keysPerWindow = 32768; // a new window starts after this many new keys
    Milliseconds windowLength{60000}; // or after this time
    std::uint64_t retainedWindows = 5; // including the current one
    std::size_t maxStoredBytes = 64U << 20U; // total size of the stored answers
};

// Identifies a request that waits for the result of another one with the same key. Chosen by the
// caller of begin().
using OnceWaiter = std::uint64_t;

struct OnceCompletion
{
    OnceResult result; // the final result, which may differ from the one passed to finish()
    std::vector<OnceWaiter> waiters;
};

// The result of a request whose key is missing or malformed: 428 not-run, because no table accepts
// such a request. "present" tells whether there is a key.
OnceResult invalidKeyResult(bool present);

// The result of a request whose key names an incarnation that is unreachable or dead: 503 unknown.
// Also used if the forward was certainly not sent, because an earlier send may have run.
OnceResult ownerUnreachableResult();

class OnceTable
{
public:
    OnceTable(std::string incarnation, OnceLimits limits, TimePoint now);

    // Decides how to handle a request. The waiter is stored only if the decision is OnceWait.
    OnceDecision begin(const OneTimeKey &key, const Fingerprint &fingerprint, OnceWaiter waiter,
                       OnceSource source, TimePoint now);

    // Records the outcome of an attempt of a request in progress, which stays in progress. Returns
    // whether the request may be sent again: only if no attempt so far can have run.
    bool recordAttempt(const OneTimeKey &key, Outcome attempt);

    // Finishes a request in progress and returns its waiters. A result "not-run" becomes "unknown"
    // if an attempt may have run. If no request with the key is in progress, the result is
    // "unknown" and there are no waiters.
    OnceCompletion finish(const OneTimeKey &key, OnceResult result, TimePoint now);

    // Removes a waiter whose deadline has passed. Returns its result, 504 unknown, or nothing if it
    // no longer waits.
    std::optional<OnceResult> removeWaiter(const OneTimeKey &key, OnceWaiter waiter);

    // Returns the prefix for new keys, which look-up answers and the header Vane-Key-Prefix carry.
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
            0; // keys added to any window since the current window started
    TimePoint windowOpenedAt_;
    std::size_t storedBytes_ = 0;
    std::map<std::uint64_t, Window> windows_;
    std::deque<std::pair<std::uint64_t, std::string>> answerOrder_; // oldest first
};

} // namespace chestnutvane
