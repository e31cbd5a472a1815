#include <iostream>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chestnutvane/process/config_apply.h"
#include "chestnutvane/process/config_holder.h"

namespace chestnutvane {
namespace {

// Ways to handle lost responses and late messages. The model must find faults in all but Correct.
enum class Variant {
    Correct,
    BlindRetry, // resends the write after a lost response and reports its conflict
    ForcedRetry, // after a conflict, overwrites the version that is current then
    LastMessageWins, // instances adopt any configuration that arrives
};

// Totals over all schedules of a variant.
struct Figures
{
    int applies = 0, accepted = 0, conflicts = 0, notAccepted = 0, undetermined = 0, lost = 0;
    int falseAccepted = 0; // "accepted" for a write that is not in the history
    int falseRefused = 0; // "conflict" or "not accepted" for a write that is in the history
    int reverted = 0; // writes that removed an accepted change
    int downgraded = 0; // instances that replaced a revision by a lower one
    int duplicated = 0; // changes that are in the history twice
    int diverged = 0; // one revision with two contents, or instances without the last revision
};

// Simulates operators that apply changes through instances. Calls are reordered and delayed,
// responses are lost, the store has outages, and instances receive heads in any order, repeatedly.
class Deployment
{
public:
    Deployment(Variant variant, std::uint64_t seed, Figures &figures)
        : variant_(variant), random_(seed), figures_(figures), configs_(3)
    { }

    void run()
    {
        for (int i = 0; i < 250; ++i)
            step();
        isStoreUp_ = true;
        while (!calls_.empty()) // all writes in flight take effect before the evaluation
            deliver(calls_.size() - 1);
        evaluate();
    }

private:
    struct Operator
    {
        ApplyRequest request;
        std::optional<ConfigApply> apply;
        CompareAndSwap lastWrite;
        bool retried = false;
        bool done = false;
        int serial = 0; // distinguishes the awaited response from late ones
    };
    struct Call
    {
        std::size_t operatorIndex;
        int serial;
        ApplyStep step;
    };

    std::size_t below(std::size_t bound) { return random_() % bound; }
    ConfigHead stored() const { return log_.empty() ? ConfigHead{} : log_.back(); }

    void step()
    {
        const auto roll = below(100);
        if (roll < 8) {
            begin();
        } else if (roll < 55) {
            if (!calls_.empty())
                deliver(below(calls_.size()));
        } else if (roll < 62) {
            loseAnswer();
        } else if (roll < 66) {
            isStoreUp_ = !isStoreUp_;
        } else if (roll < 70) {
            now_ += Milliseconds{below(4000)};
        } else if (roll < 72) {
            configs_[below(configs_.size())] = {}; // an instance is replaced
        } else if (!log_.empty()) {
            ConfigHolder &config = configs_[below(configs_.size())];
            const ConfigHolder &peer = configs_[below(configs_.size())];
            if (roll < 85)
                receive(config, log_[below(log_.size())], ConfigSource::Store);
            else
                receive(config, peer.head(), ConfigSource::Peer);
        }
    }

    void receive(ConfigHolder &config, const ConfigHead &head, ConfigSource source)
    {
        ConfigHolder next = variant_ == Variant::LastMessageWins ? ConfigHolder{} : config;
        figures_.diverged += next.adoptIfNewer(head, source) == AdoptResult::Conflict ? 1 : 0;
        figures_.downgraded += next.head().revision < config.head().revision ? 1 : 0;
        config = next;
    }

    // An operator edits the current rules or an outdated copy.
    void begin()
    {
        if (operators_.size() >= 12)
            return;
        const ConfigHead base = log_.empty() || below(3) > 0 ? stored() : log_[below(log_.size())];
        const std::string id = "change-" + std::to_string(operators_.size());
        if (!operators_.empty() && below(4) == 0)
            return repeat(below(operators_.size()));
        operators_.push_back({.request = {.changeId = id,
                                          .author = "Mei",
                                          .rules = base.rules + id + "\n",
                                          .baseRevision = base.revision},
                              .apply = {},
                              .lastWrite = {}});
        startLast();
    }

    // The instance that applies a change dies, and the tool resends the change to another one.
    void repeat(std::size_t operatorIndex)
    {
        if (operators_[operatorIndex].done)
            return;
        ++operators_[operatorIndex].serial;
        operators_[operatorIndex].done = true;
        Operator next{.request = operators_[operatorIndex].request, .apply = {}, .lastWrite = {}};
        next.request.repeated = true;
        operators_.push_back(next);
        startLast();
    }

    void startLast()
    {
        Operator &op = operators_.back();
        op.apply.emplace(op.request, now_);
        process(operators_.size() - 1, op.apply->start(now_));
    }

    void process(std::size_t operatorIndex, ApplyStep step)
    {
        Operator &op = operators_[operatorIndex];
        if (std::holds_alternative<ApplyPause>(step)) {
            now_ += Milliseconds{100};
            step = op.apply->onPauseElapsed(now_);
        }
        if (const auto *write = std::get_if<ApplyWrite>(&step))
            op.lastWrite = write->call;
        op.done = op.done || std::holds_alternative<ApplyVerdict>(step);
        if (const auto *verdict = std::get_if<ApplyVerdict>(&step))
            verdicts_.push_back(*verdict);
        else
            calls_.push_back({operatorIndex, ++op.serial, std::move(step)});
    }

    // Executes a call in the store and delivers the response, unless the operator has abandoned it.
    void deliver(std::size_t index)
    {
        const Call call = calls_[index];
        calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
        if (std::holds_alternative<ApplyRead>(call.step)) {
            Result<StoreEntry, StoreError> result = StoreError{StoreFailure::Unavailable, ""};
            if (isStoreUp_ && log_.empty())
                result = StoreError{StoreFailure::NotFound, ""};
            else if (isStoreUp_)
                result = StoreEntry{"", encodeConfigHead(stored()), log_.size()};
            if (call.serial == operators_[call.operatorIndex].serial)
                process(call.operatorIndex,
                        operators_[call.operatorIndex].apply->onRead(result, now_));
            return;
        }
        const CompareAndSwap &write = std::get<ApplyWrite>(call.step).call;
        Result<std::uint64_t, StoreError> result = StoreError{StoreFailure::Unavailable, ""};
        if (isStoreUp_ && write.expectedVersion != log_.size()) {
            result = StoreError{StoreFailure::Conflict, ""};
        } else if (isStoreUp_) {
            log_.push_back(value(decodeConfigHead(write.value)));
            result = std::uint64_t{log_.size()};
        }
        if (call.serial == operators_[call.operatorIndex].serial)
            onAnswer(call.operatorIndex, result);
    }

    // Loses the response to a write, which has taken effect, never will, or may do so later.
    void loseAnswer()
    {
        if (calls_.empty())
            return;
        const std::size_t index = below(calls_.size());
        const Call call = calls_[index];
        if (call.serial != operators_[call.operatorIndex].serial
            || !std::holds_alternative<ApplyWrite>(call.step))
            return;
        ++figures_.lost;
        ++operators_[call.operatorIndex].serial;
        if (const auto delivery = below(3); delivery == 0)
            deliver(index);
        else if (delivery == 1)
            calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
        onAnswer(call.operatorIndex, StoreError{StoreFailure::ResponseLost, ""});
    }

    void onAnswer(std::size_t operatorIndex, const Result<std::uint64_t, StoreError> &result)
    {
        Operator &op = operators_[operatorIndex];
        const bool conflict = !isOk(result) && error(result).failure == StoreFailure::Conflict;
        const bool lost = !isOk(result) && error(result).failure == StoreFailure::ResponseLost;
        if ((variant_ == Variant::BlindRetry && lost)
            || (variant_ == Variant::ForcedRetry && (lost || (conflict && op.retried)))) {
            if (conflict)
                op.lastWrite.expectedVersion = log_.size();
            op.retried = true;
            return process(operatorIndex, ApplyWrite{op.lastWrite});
        }
        if (variant_ == Variant::BlindRetry && conflict)
            return process(operatorIndex,
                           ApplyVerdict{.outcome = ApplyOutcome::Conflict,
                                        .changeId = op.request.changeId});
        process(operatorIndex, op.apply->onWritten(result, now_));
    }

    void evaluate()
    {
        std::multiset<std::string> ids;
        for (std::size_t i = 0; i < log_.size(); ++i) {
            ids.insert(log_[i].changeId);
            const std::string before = i == 0 ? "" : log_[i - 1].rules;
            if (log_[i].rules.rfind(before, 0) != 0 || log_[i].revision != i + 1)
                ++figures_.reverted;
        }
        for (const auto &op : operators_)
            figures_.duplicated += ids.count(op.request.changeId) > 1 ? 1 : 0;
        for (const auto &verdict : verdicts_) {
            const bool inHistory = ids.contains(verdict.changeId);
            ++figures_.applies;
            switch (verdict.outcome) {
            case ApplyOutcome::Accepted:
                ++figures_.accepted;
                figures_.falseAccepted += inHistory ? 0 : 1;
                break;
            case ApplyOutcome::Conflict:
                ++figures_.conflicts;
                figures_.falseRefused += inHistory ? 1 : 0;
                break;
            case ApplyOutcome::NotAccepted:
                ++figures_.notAccepted;
                figures_.falseRefused += inHistory ? 1 : 0;
                break;
            case ApplyOutcome::Undetermined:
                ++figures_.undetermined;
            }
        }
        for (auto &config : configs_) {
            receive(config, stored(), ConfigSource::Store);
            figures_.diverged += config.head() != stored() ? 1 : 0;
        }
    }

    Variant variant_;
    std::mt19937_64 random_;
    Figures &figures_;
    TimePoint now_{};
    bool isStoreUp_ = true;
    std::vector<ConfigHead> log_; // all heads written to the store; the version is the index + 1
    std::vector<ConfigHolder> configs_;
    std::vector<Operator> operators_;
    std::vector<Call> calls_;
    std::vector<ApplyVerdict> verdicts_;
};

Figures simulate(Variant variant, int schedules)
{
    Figures f;
    for (int seed = 1; seed <= schedules; ++seed)
        Deployment(variant, static_cast<std::uint64_t>(seed), f).run();
    std::cout << "schedules " << schedules << ", applies " << f.applies << " (accepted "
              << f.accepted << ", conflict " << f.conflicts << ", not accepted " << f.notAccepted
              << ", undetermined " << f.undetermined << "), lost responses " << f.lost
              << ": false accepted " << f.falseAccepted << ", false refused " << f.falseRefused
              << ", reverted " << f.reverted << ", duplicated " << f.duplicated << ", downgraded "
              << f.downgraded << ", diverged " << f.diverged << '\n';
    return f;
}

// Guards against a lost, reverted or wrongly reported change, and a downgrade of an instance.
TEST(ConfigModelTest, NoAcceptedChangeIsLost)
{
    const Figures f = simulate(Variant::Correct, 10000);
    EXPECT_EQ(f.falseAccepted + f.falseRefused, 0);
    EXPECT_EQ(f.reverted + f.duplicated, 0);
    EXPECT_EQ(f.downgraded + f.diverged, 0);
    for (const int reached : {f.accepted, f.conflicts, f.notAccepted, f.undetermined, f.lost})
        EXPECT_GT(reached, 250) << "the schedules no longer reach this case";
}

// Guard against a model that does not detect faults: each naive variant must fail in it.
TEST(ConfigModelTest, FindsBlindRetry)
{
    EXPECT_GT(simulate(Variant::BlindRetry, 1000).falseRefused, 50);
}

TEST(ConfigModelTest, FindsForcedRetry)
{
    const Figures f = simulate(Variant::ForcedRetry, 1000);
    EXPECT_GT(f.reverted, 50);
    EXPECT_GT(f.duplicated, 50);
}

TEST(ConfigModelTest, FindsLastMessageWins)
{
    EXPECT_GT(simulate(Variant::LastMessageWins, 1000).downgraded, 500);
}

ConfigHead headAt(std::uint64_t revision)
{
    ConfigHead head;
    while (head.revision < revision)
        head = nextConfigHead(head, "id-" + std::to_string(head.revision + 1), "Lin", "rules");
    return head;
}

// Guards against a definite verdict on a change that is older than the history of the head.
TEST(ConfigHeadTest, HistoryCovers64RevisionsAboveTheBase)
{
    EXPECT_EQ(lookUpChange(headAt(74), "other", 10), ChangeState::Superseded);
    EXPECT_EQ(lookUpChange(headAt(74), "id-11", 10), ChangeState::Accepted);
    EXPECT_EQ(lookUpChange(headAt(75), "id-11", 10), ChangeState::Unknown);
    EXPECT_EQ(lookUpChange(headAt(10), "other", 10), ChangeState::Pending);
    EXPECT_EQ(lookUpChange(headAt(9), "other", 10), ChangeState::Unknown);
}

// Guards against loss in encoding, and decoding a truncated head or an invalid history.
RC_GTEST_PROP(ConfigHeadTest, DecodesWhatWasEncoded, (std::uint8_t revision, std::uint16_t at))
{
    ConfigHead head = headAt(revision + 1U);
    head.rules = "drain zone=tpe-a # asked by \"林\"\n";
    const std::string text = encodeConfigHead(head);
    RC_ASSERT(decodeConfigHead(text) == (Result<ConfigHead, ConfigHeadError>{head}));
    RC_ASSERT(!isOk(decodeConfigHead(text.substr(0, at % text.size()))));
    head.history.back().changeId += "x";
    RC_ASSERT(decodeConfigHead(encodeConfigHead(head))
              == (Result<ConfigHead, ConfigHeadError>{ConfigHeadError::BadHistory}));
}

// Guards against "not accepted" for a change that an earlier attempt may have written, and against
// storing rules that differ from the validated text.
TEST(ConfigApplyTest, RepeatedChangeIsNeverReportedAsNotAccepted)
{
    const TimePoint now{};
    const Result<StoreEntry, StoreError> down = StoreError{StoreFailure::Unavailable, ""};
    for (const bool repeated : {false, true}) {
        ConfigApply apply({.changeId = "a", .author = "Mei", .rules = "", .repeated = repeated},
                          now);
        apply.start(now);
        EXPECT_TRUE(std::holds_alternative<ApplyPause>(apply.onRead(down, now)));
        const auto step = apply.onRead(down, now + Milliseconds{10000});
        EXPECT_EQ(std::get<ApplyVerdict>(step).outcome,
                  repeated ? ApplyOutcome::Undetermined : ApplyOutcome::NotAccepted);
    }
    ConfigApply apply({.changeId = "a", .author = "Mei", .rules = "\xff"}, now);
    const auto step = apply.onRead(StoreError{StoreFailure::NotFound, ""}, now);
    EXPECT_EQ(std::get<ApplyVerdict>(step).reason, ApplyReason::BadText);
}

// Guards against a starting instance that serves with a lower revision than a live peer has.
TEST(ConfigHolderTest, StartDuringOutageAdoptsTheHighestRevisionOfThePeers)
{
    ConfigHolder config;
    EXPECT_EQ(config.readiness({true, 0, 0}), ConfigReadiness::NoConfiguration);
    EXPECT_EQ(config.adoptIfNewer(headAt(5), ConfigSource::Peer), AdoptResult::Adopted);
    EXPECT_EQ(config.readiness({false, 2, 1}), ConfigReadiness::PeersPending);
    EXPECT_TRUE(config.recordPeerRevision(7));
    EXPECT_EQ(config.readiness({false, 2, 2}), ConfigReadiness::Lagging);
    EXPECT_EQ(config.adoptIfNewer(headAt(7), ConfigSource::Peer), AdoptResult::Adopted);
    EXPECT_EQ(config.readiness({false, 2, 2}), ConfigReadiness::Ready);
}

// Guards against an undetected conflict, and a head from a peer that replaces one from the store.
TEST(ConfigHolderTest, EqualRevisionsWithDifferentChangesAreAConflict)
{
    ConfigHead other = headAt(5);
    other.changeId = "other";
    ConfigHolder config;
    config.adoptIfNewer(other, ConfigSource::Peer);
    EXPECT_EQ(config.adoptIfNewer(headAt(5), ConfigSource::Store), AdoptResult::Conflict);
    EXPECT_EQ(config.head(), headAt(5));
    EXPECT_EQ(config.adoptIfNewer(other, ConfigSource::Peer), AdoptResult::Conflict);
    EXPECT_EQ(config.head(), headAt(5));
    EXPECT_EQ(config.adoptIfNewer(headAt(4), ConfigSource::Store), AdoptResult::Older);
    EXPECT_EQ(config.conflicts(), 2U);
}

} // namespace
} // namespace chestnutvane
