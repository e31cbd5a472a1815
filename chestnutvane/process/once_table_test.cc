#include "chestnutvane/process/once_table.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

// Key handling of the simulated instances. Apart from Correct, each variant has a plausible fault
// that the simulation must detect.
enum class Variant {
    Correct,
    RunLocallyWhenOwnerUnreachable,
    RetryAfterUnknown,
    KeyWithoutFingerprint,
    RefuseBeforeTable, // answers "not-run" on overload without calling begin()
};

struct Counters
{
    int schedules = 0;
    int doubleRuns = 0; // keys that ran more than once
    int falseNotRuns = 0; // requests that ran although "not-run" was reported
    int wrongAnswers = 0; // answers of another request, or "ran" for a request that did not run
    int ran = 0, waited = 0, stored = 0, expired = 0, forwarded = 0, retried = 0;
};

// Simulates a fleet and its messages. Messages are delivered in any order, late or never. Between
// two deliveries, an instance may be killed, replaced, paused or resumed.
class FleetSimulation
{
public:
    FleetSimulation(Variant variant, std::uint64_t seed, Counters &counters)
        : variant_(variant), random_(seed), counters_(counters), nodes_(3)
    {
        for (auto &node : nodes_)
            restart(node);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        for (const auto &[key, count] : runsOfKey_)
            counters_.doubleRuns += count > 1 ? 1 : 0;
        for (const auto &request : reportedNotRun_)
            counters_.falseNotRuns += ran_.contains(request) ? 1 : 0;
        counters_.ran += static_cast<int>(ran_.size());
        ++counters_.schedules;
    }

private:
    struct Node
    {
        bool paused = false;
        std::string incarnation; // empty while dead
        std::unique_ptr<OnceTable> table;
        std::map<int, int> attempts; // calls that this instance runs, with their current attempt
    };
    struct Call
    {
        std::size_t key;
        std::uint64_t fingerprint;
        std::string forwarder; // incarnation that forwarded the call; empty if none did
        bool open = true; // the forwarder still waits for the answer
    };
    enum class Kind { Request, Dispatch, TargetReply, ForwardReply };
    struct Message
    {
        Kind kind;
        std::string to; // incarnation; empty for Dispatch
        int call;
        int attempt = 0;
        std::string from{}; // incarnation that sent the Dispatch
        OnceResult result{};
    };
    using Request = std::pair<std::size_t, std::uint64_t>;

    std::size_t randomBelow(std::size_t bound) { return random_() % bound; }
    bool chance(unsigned percent) { return randomBelow(100) < percent; }

    Node *nodeOf(const std::string &incarnation)
    {
        for (auto &node : nodes_) {
            if (!incarnation.empty() && node.incarnation == incarnation)
                return &node;
        }
        return nullptr;
    }

    void restart(Node &node)
    {
        node = Node{};
        node.incarnation = formatIncarnation(random_(), random_());
        const OnceLimits limits{.keysPerWindow = 2,
                                .windowLength = Milliseconds{60000},
                                .retainedWindows = 2,
                                .maxStoredBytes = 12};
        node.table = std::make_unique<OnceTable>(node.incarnation, limits, now_);
    }

    void step()
    {
        Node &node = nodes_[randomBelow(nodes_.size())];
        if (const auto roll = randomBelow(100); roll < 30) {
            send(node);
        } else if (roll < 80) {
            deliver();
        } else if (roll < 86) {
            timeOut();
        } else if (roll < 89) {
            node.paused = !node.paused;
        } else if (roll < 92) {
            node = Node{};
        } else if (roll < 96) {
            if (node.incarnation.empty())
                restart(node);
        } else {
            now_ += Milliseconds{randomBelow(30000)};
        }
    }

    // Sends a request with a new key, or with one that any caller has used before.
    void send(Node &node)
    {
        if (node.incarnation.empty())
            return;
        if (keys_.empty() || chance(35)) {
            const std::string prefix = node.table->prefix(now_);
            keys_.push_back(value(parseOneTimeKey(prefix + ".random-"
                                                  + std::to_string(1000000000 + keys_.size()))));
        }
        const std::size_t recent = std::min<std::size_t>(keys_.size(), 8);
        const std::size_t key =
                chance(80) ? keys_.size() - 1 - randomBelow(recent) : randomBelow(keys_.size());
        calls_.push_back({key, chance(90) ? 0U : 1U, ""});
        post({Kind::Request, node.incarnation, lastCall()});
    }

    int lastCall() const { return static_cast<int>(calls_.size()) - 1; }
    void post(Message message) { messages_.push_back(std::move(message)); }

    void deliver()
    {
        if (messages_.empty())
            return;
        const std::size_t index = randomBelow(messages_.size());
        const Message message = messages_[index];
        Node *node = nodeOf(message.to);
        if (message.kind != Kind::Dispatch && node != nullptr && node->paused)
            return;
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        const bool lost = chance(8);
        if (message.kind == Kind::Dispatch) {
            runAtTarget(message, lost);
        } else if (node == nullptr || lost) {
            return;
        } else if (message.kind == Kind::Request) {
            handle(*node, message.call);
        } else if (message.kind == Kind::TargetReply) {
            onTargetReply(*node, message);
        } else if (Call &call = calls_[message.call]; call.open) {
            call.open = false;
            deliverToCaller(call, message.result);
        }
    }

    // Simulates time-outs: a forwarder stops waiting, a waiter reaches its deadline, or a dispatch
    // reaches its deadline while it is in flight, so that it can still reach the target late.
    void timeOut()
    {
        if (calls_.empty())
            return;
        const int id = static_cast<int>(randomBelow(calls_.size()));
        Call &call = calls_[id];
        if (Node *forwarder = nodeOf(call.forwarder);
            forwarder != nullptr && call.open && !forwarder->paused) {
            call.open = false;
            if (variant_ == Variant::RunLocallyWhenOwnerUnreachable) {
                call.forwarder.clear();
                dispatch(*forwarder, id);
            } else {
                deliverToCaller(call, ownerUnreachableResult());
            }
        }
        if (Node *owner = nodeOf(keys_[call.key].incarnation); owner != nullptr && !owner->paused) {
            if (const auto result = owner->table->removeWaiter(keys_[call.key], id))
                reply(id, *result);
        }
        for (std::size_t i = 0; i < messages_.size(); ++i) {
            if (messages_[i].kind == Kind::Dispatch && chance(20))
                post({Kind::TargetReply, messages_[i].from, messages_[i].call, messages_[i].attempt,
                      "", result(Outcome::Unknown)});
        }
    }

    static OnceResult result(Outcome outcome, std::uint64_t fingerprint = 0)
    {
        if (outcome != Outcome::Ran)
            return {outcome, Reason::ConnectionLost, 502, nullptr};
        return {outcome, Reason::None, 200,
                std::make_shared<const OnceAnswer>(
                        OnceAnswer{200, {}, "print" + std::to_string(fingerprint)})};
    }

    void handle(Node &node, int id)
    {
        const Call call = calls_[id];
        if (variant_ == Variant::RefuseBeforeTable && chance(10))
            return reply(id, {Outcome::NotRun, Reason::Overloaded, 503, nullptr});
        const bool forwarded = !call.forwarder.empty();
        const Fingerprint fingerprint{
                .high = 0,
                .low = variant_ == Variant::KeyWithoutFingerprint ? 0 : call.fingerprint};
        const OnceDecision decision =
                node.table->begin(keys_[call.key], fingerprint, id,
                                  forwarded ? OnceSource::Peer : OnceSource::Caller, now_);
        if (std::holds_alternative<OnceDispatch>(decision)) {
            dispatch(node, id);
        } else if (std::holds_alternative<OnceWait>(decision)) {
            ++counters_.waited;
        } else if (const auto *forward = std::get_if<OnceForward>(&decision)) {
            ++counters_.forwarded;
            calls_[id].forwarder = node.incarnation;
            post({Kind::Request, forward->incarnation, id});
        } else if (const auto *stored = std::get_if<OnceStored>(&decision)) {
            ++counters_.stored;
            reply(id, stored->result);
        } else {
            const auto &refused = std::get<OnceRefused>(decision).result;
            counters_.expired += refused.reason == Reason::KeyExpired ? 1 : 0;
            reply(id, refused);
        }
    }

    void dispatch(Node &node, int id)
    {
        post({Kind::Dispatch, "", id, ++node.attempts[id], node.incarnation});
    }

    void runAtTarget(const Message &message, bool lost)
    {
        const Call &call = calls_[message.call];
        Outcome outcome = Outcome::Unknown;
        if (const auto roll = randomBelow(10); lost || roll == 0) {
            // The target crashes before it runs the request.
        } else if (roll < 4) {
            outcome = Outcome::NotRun; // connect refused, or shed
        } else {
            ++runsOfKey_[call.key];
            ran_.insert({call.key, call.fingerprint});
            if (roll > 5) // else the target crashes after it ran the request, or the answer is lost
                outcome = Outcome::Ran;
        }
        post({Kind::TargetReply, message.from, message.call, message.attempt, "",
              result(outcome, call.fingerprint)});
    }

    void onTargetReply(Node &node, const Message &message)
    {
        const auto current = node.attempts.find(message.call);
        if (current == node.attempts.end() || current->second != message.attempt)
            return; // the exchange has already ended
        const OneTimeKey &key = keys_[calls_[message.call].key];
        const bool again = node.table->recordAttempt(key, message.result.outcome)
                || (variant_ == Variant::RetryAfterUnknown
                    && message.result.outcome == Outcome::Unknown);
        if (again && chance(70)) {
            ++counters_.retried;
            return dispatch(node, message.call);
        }
        node.attempts.erase(current);
        if (key.incarnation != node.incarnation)
            return reply(message.call, message.result);
        const OnceCompletion finished = node.table->finish(key, message.result, now_);
        reply(message.call, finished.result);
        for (const OnceWaiter waiter : finished.waiters)
            reply(static_cast<int>(waiter), finished.result);
    }

    void reply(int id, const OnceResult &result)
    {
        if (calls_[id].forwarder.empty())
            deliverToCaller(calls_[id], result);
        else
            post({Kind::ForwardReply, calls_[id].forwarder, id, 0, "", result});
    }

    void deliverToCaller(const Call &call, const OnceResult &result)
    {
        const Request request{call.key, call.fingerprint};
        if (result.outcome == Outcome::NotRun)
            reportedNotRun_.insert(request);
        const bool isWrongAnswer =
                result.answer && result.answer->body != "print" + std::to_string(call.fingerprint);
        if (isWrongAnswer || (result.outcome == Outcome::Ran && !ran_.contains(request)))
            ++counters_.wrongAnswers;
    }

    Variant variant_;
    std::mt19937_64 random_;
    Counters &counters_;
    TimePoint now_{};
    std::vector<Node> nodes_;
    std::vector<OneTimeKey> keys_;
    std::vector<Call> calls_;
    std::vector<Message> messages_;
    std::map<std::size_t, int> runsOfKey_;
    std::set<Request> ran_, reportedNotRun_;
};

Counters simulate(Variant variant, int schedules)
{
    Counters counters;
    for (int seed = 1; seed <= schedules; ++seed) {
        FleetSimulation(variant, static_cast<std::uint64_t>(seed), counters).run(300);
        if (variant == Variant::Correct
            && counters.doubleRuns + counters.falseNotRuns + counters.wrongAnswers > 0) {
            ADD_FAILURE() << "first violation in schedule " << seed;
            break;
        }
    }
    std::cout << "schedules " << counters.schedules << ", requests run " << counters.ran
              << ", waited " << counters.waited << ", stored answers " << counters.stored
              << ", expired " << counters.expired << ", forwards " << counters.forwarded
              << ", retries " << counters.retried << ": run twice " << counters.doubleRuns
              << ", false not-run " << counters.falseNotRuns << ", wrong answers "
              << counters.wrongAnswers << '\n';
    return counters;
}

// Guards against a key that runs twice anywhere in the fleet, and against "not-run" reported for a
// request that ran before or runs afterwards.
TEST(OnceTableModelTest, NoKeyRunsTwice)
{
    const Counters counters = simulate(Variant::Correct, 10000);
    EXPECT_EQ(counters.doubleRuns, 0);
    EXPECT_EQ(counters.falseNotRuns, 0);
    EXPECT_EQ(counters.wrongAnswers, 0);
    for (const int reached : {counters.ran, counters.waited, counters.stored, counters.expired,
                              counters.forwarded, counters.retried})
        EXPECT_GT(reached, counters.schedules / 4) << "the schedules no longer reach this case";
}

// The following tests guard against a simulation that does not detect faults: it must detect the
// fault of each incorrect variant.
TEST(OnceTableModelTest, FindsLocalRunWhenOwnerIsUnreachable)
{
    EXPECT_GT(simulate(Variant::RunLocallyWhenOwnerUnreachable, 1000).doubleRuns, 100);
}

TEST(OnceTableModelTest, FindsRetryAfterUnknown)
{
    EXPECT_GT(simulate(Variant::RetryAfterUnknown, 1000).doubleRuns, 100);
}

TEST(OnceTableModelTest, FindsTableWithoutFingerprint)
{
    EXPECT_GT(simulate(Variant::KeyWithoutFingerprint, 1000).wrongAnswers, 100);
}

TEST(OnceTableModelTest, FindsRefusalBeforeTable)
{
    EXPECT_GT(simulate(Variant::RefuseBeforeTable, 1000).falseNotRuns, 100);
}

const std::string owner = formatIncarnation(1, 2);

OneTimeKey keyOf(int number, std::uint64_t window = 1)
{
    return {owner, window, "random-" + std::to_string(1000000000 + number)};
}

OnceResult ranWith(std::size_t bytes)
{
    return {Outcome::Ran, Reason::None, 200,
            std::make_shared<const OnceAnswer>(OnceAnswer{200, {}, std::string(bytes, 'a')})};
}

// Guards against unbounded memory use by stored answers and by new keys with an old prefix.
TEST(OnceTableTest, AnswersAndEntriesAreBounded)
{
    const TimePoint now{};
    OnceTable table(owner, {.keysPerWindow = 100, .retainedWindows = 5, .maxStoredBytes = 1000},
                    now);
    for (int i = 0; i < 2950; ++i) {
        const OneTimeKey key = keyOf(i, std::max<std::uint64_t>(table.window(), 4) - 3);
        ASSERT_TRUE(std::holds_alternative<OnceDispatch>(
                table.begin(key, {}, 0, OnceSource::Caller, now)));
        table.finish(key, ranWith(300), now);
        ASSERT_LE(table.storedBytes(), 1000U);
        ASSERT_LE(table.entryCount(), 500U);
    }
    const OneTimeKey dropped = keyOf(2940, table.window() - 3);
    const auto decision = table.begin(dropped, {}, 0, OnceSource::Caller, now);
    ASSERT_TRUE(std::holds_alternative<OnceStored>(decision));
    EXPECT_EQ(std::get<OnceStored>(decision).result.status, 410);
    EXPECT_EQ(std::get<OnceStored>(decision).result.outcome, Outcome::Ran);
}

// Guards against a waiter that is lost when its window expires while the request is in progress,
// and against running a request whose key the table no longer stores.
TEST(OnceTableTest, RequestInProgressOutlivesItsWindow)
{
    TimePoint now{};
    OnceTable table(owner, {}, now);
    table.begin(keyOf(1), {}, 10, OnceSource::Caller, now);
    table.begin(keyOf(1), {}, 11, OnceSource::Caller, now);
    for (int i = 0; i < 5; ++i)
        table.prefix(now += Milliseconds{60000});
    EXPECT_EQ(std::get<OnceRefused>(table.begin(keyOf(1), {}, 12, OnceSource::Caller, now))
                      .result.reason,
              Reason::KeyExpired);
    EXPECT_EQ(table.finish(keyOf(1), ranWith(5), now).waiters, std::vector<OnceWaiter>{11});
    EXPECT_EQ(table.entryCount(), 0U);
    EXPECT_EQ(table.storedBytes(), 0U);
    EXPECT_TRUE(std::holds_alternative<OnceRefused>(
            table.begin(keyOf(2, table.window() + 1), {}, 0, OnceSource::Caller, now)));
}

// Guards against "not-run" reported for a request of which an earlier attempt may have run.
TEST(OnceTableTest, OutcomeCoversAllAttempts)
{
    const TimePoint now{};
    OnceTable table(owner, {}, now);
    table.begin(keyOf(1), {}, 0, OnceSource::Caller, now);
    EXPECT_TRUE(table.recordAttempt(keyOf(1), Outcome::NotRun));
    EXPECT_FALSE(table.recordAttempt(keyOf(1), Outcome::Unknown));
    const OnceResult refused{Outcome::NotRun, Reason::TargetRefused, 503, nullptr};
    EXPECT_EQ(table.finish(keyOf(1), refused, now).result.outcome, Outcome::Unknown);
}

} // namespace
} // namespace chestnutvane
