// What the failure tests share: a deployment of two regions, four instances and six targets, load
// from callers, and the targets' own records of what they ran.
//
// Example:
//
//   FaultWorld world(40);
//   ASSERT_TRUE(world.start()) << world.problem();
//   Load load(world.deployment(), {.path = "/orders", .atMostOnce = true, .maxSends = 4});
//   world.deployment().sendSignal("i1", SIGKILL);
//   const auto calls = load.stop();
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/deployment.h"

namespace chestnutvane {

// A line that a target printed.
struct TargetLine
{
    std::string what; // "run" or "crash"
    std::int64_t atMs = 0; // on the monotonic clock
    std::string tag;
    std::string target;
};

// A deployment of instances i1 and i2 (region north), i3 and i4 (south), targets t-1 to t-3 (north)
// and t-4 to t-6 (south), with service "shop" and classes "/views" (idempotent), "/orders" (at
// most once) and "/reports" (idempotent, up to 20 s). Logs go to a folder of its own that is
// emptied at the start.
class FaultWorld
{
public:
    explicit FaultWorld(int network);

    // Starts all processes and waits until they serve. False: see problem().
    bool start();
    const std::string &problem() const { return problem_; }
    Deployment &deployment() { return *deployment_; }

    // Returns what all targets printed so far, also those that ended.
    std::vector<TargetLine> targetLines() const;
    // Returns how often each tag ran.
    std::map<std::string, int> runsByTag() const;
    // Returns how many requests ran more than once, of those whose tags begin with a prefix.
    int countRepeatedRuns(std::string_view prefix) const;
    // Returns how often the instances logged an event, by its name in process/events.h.
    int countEvents(std::string_view name) const;

private:
    int network_;
    std::string logFolder_;
    std::string problem_;
    std::unique_ptr<Deployment> deployment_;
};

struct LoadOptions
{
    std::string path = "/views";
    std::string query = "work-ms=20";
    bool atMostOnce = false; // sends a key
    int maxSends = 1; // of one request, to other instances until an answer says ran or not-run
    Milliseconds sendTimeout{4000}; // after which a send counts as unanswered
    int threads = 6;
    Milliseconds pause{5}; // between two requests of a thread
    // Above 0: from the start of one request of a thread to the start of the next, in place of the
    // pause, so that slow answers do not thin out the load. Threads are spread over the period.
    Milliseconds period{0};
    std::string prefix = "q"; // of the tags
};

// One request of a caller, with all sends.
struct CallRecord
{
    std::string tag;
    std::string outcome; // of the last answer; empty: no answer came
    std::string reason; // of the last answer, or why none came
    int status = 0; // of the last answer
    int sends = 0;
    bool crossed = false; // an answer was not whole or belonged to another request
    TimePoint startedAt;
    TimePoint endedAt;
};

// Callers that follow look-up answers, each with a thread of its own, until they are stopped.
class Load
{
public:
    Load(Deployment &deployment, LoadOptions options);
    ~Load();

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    // Lets the requests in flight end and returns all calls.
    std::vector<CallRecord> stop();

private:
    struct Entry
    {
        std::string address;
        std::string keyPrefix;
    };
    struct Caller;

    void run(int thread);
    CallRecord call(Caller &caller, const std::string &tag);
    void lookUp(Caller &caller);

    Deployment &deployment_;
    LoadOptions options_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_; // guards calls_
    std::vector<CallRecord> calls_;
    std::vector<std::thread> threads_;
};

// Sends one request of service "shop" to an instance. The target is "PATH?QUERY".
Result<HttpResponse, HttpError> sendTo(Deployment &deployment, const std::string &callerAddress,
                                       const std::string &target,
                                       std::vector<HttpHeader> headers = {},
                                       Milliseconds timeout = Milliseconds(4000));

// Sums up calls by outcome, reason and status, for the message of a failed check.
std::string summary(const std::vector<CallRecord> &calls);

// Returns how many calls did not end with a whole answer of status 200 that says ran.
std::size_t countFailed(const std::vector<CallRecord> &calls);

// Returns the calls that started at a time or later.
std::vector<CallRecord> startedSince(const std::vector<CallRecord> &calls, TimePoint time);

// Returns a time in the unit and with the origin of TargetLine::atMs.
std::int64_t monotonicMs(TimePoint time);

// Returns the instance that has the broker of a region, or nothing.
std::string brokerOf(Deployment &deployment, const std::string &region);

} // namespace chestnutvane
