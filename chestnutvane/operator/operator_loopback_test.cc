// Drives the tool's functions against the operator listener of an instance whose store is a map.

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "chestnutvane/connection/http_server.h"
#include "chestnutvane/operator/commands.h"
#include "chestnutvane/process/services.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

const std::string rules = "region a zones=a1 # asked by Mei\nservice s # asked by Lin\n";

// A store of one key with switches for its faults.
class OneKeyStore
{
public:
    std::atomic<bool> up{true};
    std::atomic<bool> loseNextAnswer{false}; // the write takes effect, then the store is down

    Store functions()
    {
        Store store;
        store.get = [this](const std::string &key, const auto &callback) { callback(read(key)); };
        store.compareAndSwap = [this](const CompareAndSwap &call, const auto &callback) {
            callback(write(call));
        };
        return store;
    }

private:
    Result<StoreEntry, StoreError> read(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        if (!up)
            return StoreError{StoreFailure::Unavailable, "down"};
        if (version_ == 0)
            return StoreError{StoreFailure::NotFound, key};
        return StoreEntry{key, value_, version_};
    }

    Result<std::uint64_t, StoreError> write(const CompareAndSwap &call)
    {
        const std::lock_guard lock(mutex_);
        if (!up)
            return StoreError{StoreFailure::Unavailable, "down"};
        if (call.expectedVersion != version_)
            return StoreError{StoreFailure::Conflict, "version"};
        value_ = call.value;
        ++version_;
        if (!loseNextAnswer.exchange(false))
            return version_;
        up = false;
        return StoreError{StoreFailure::ResponseLost, "lost"};
    }

    std::mutex mutex_;
    std::string value_;
    std::uint64_t version_ = 0;
};

class OperatorLoopbackTest : public testing::Test
{
protected:
    OperatorLoopbackTest()
    {
        instance_.workers = std::make_unique<Workers>(2);
        instance_.store = store_.functions();
        const Handler handler = [this](ServerRequest request, Responder respond) {
            if (request.path == "/v1/apply" && cutNextVerdict_.exchange(false))
                respond = [cut = std::move(respond)](ServerResponse response) {
                    response.abort = true;
                    cut(std::move(response));
                };
            services_.operators.handle(std::move(request), std::move(respond));
        };
        server_ = value(HttpServer::create({.port = 0}, handler));
        address_ = "127.0.0.1:" + std::to_string(server_->port());
    }

    ~OperatorLoopbackTest() override
    {
        server_.reset();
        instance_.workers->stop();
    }

    CommandResult run(Command command)
    {
        OperatorClient client({address_}, makeExchange(*http_));
        command.json = true;
        command.author = "Lin";
        command.askedBy = "Mei";
        if (command.timeout == Milliseconds(0))
            command.timeout = Milliseconds(2000);
        return runCommand(
                command,
                {.client = client,
                 .waiting = {.now = [] { return Clock::now(); },
                             .sleep = [](Milliseconds time) { std::this_thread::sleep_for(time); }},
                 .readFile = [this](const std::string &) { return std::optional(file_); },
                 .newChangeId = [this] { return "id-" + std::to_string(++lastId_); },
                 .progress =
                         [this](const std::string &) {
                             if (const auto race = std::exchange(beforeSend_, nullptr))
                                 race();
                         }});
    }

    json inForce() const
    {
        OperatorClient client({address_}, makeExchange(*http_));
        return value(client.get("/v1/config", Milliseconds(2000))).body;
    }

    static MemberRecord record(const std::string &id)
    {
        MemberRecord own;
        own.id = id;
        own.incarnation = std::string(32, id.back());
        own.generation = 1;
        own.sequence = 1;
        own.zone = "a1";
        own.peerAddress = "127.0.0.1:1" + id.substr(1);
        return own;
    }

    const Command apply_{.name = CommandName::Apply, .file = "f"};
    const Command hasty_{.name = CommandName::Apply, .timeout = Milliseconds(600), .file = "f"};
    const Command drain_{
            .name = CommandName::Drain, .drainKind = DrainKind::Zone, .drainSubject = "a1"};
    OneKeyStore store_;
    Instance instance_{Settings{.instanceId = "i1", .zone = "a1"}, std::string(32, '1'),
                       holderIdOf(std::string(32, '1')), record("i1")};
    Services services_{instance_};
    std::atomic<bool> cutNextVerdict_{false};
    std::unique_ptr<HttpServer> server_;
    std::string address_;
    std::unique_ptr<HttpClient> http_ = value(HttpClient::create({}));
    std::string file_ = rules;
    std::function<void()> beforeSend_ = [] {};
    int lastId_ = 0;
};

// Guards against a tool and an instance that differ about paths, members or verdicts.
TEST_F(OperatorLoopbackTest, AppliesDrainsAndUndoes)
{
    EXPECT_EQ(run(apply_).status, ExitStatus::Done);
    EXPECT_EQ(inForce()["rules"], rules);
    EXPECT_EQ(run(drain_).status, ExitStatus::Done);
    EXPECT_EQ(inForce()["rules"], rules + "drain zone=a1 # asked by Mei\n");
    auto undo = drain_;
    undo.undo = true;
    EXPECT_EQ(run(undo).status, ExitStatus::Done);
    EXPECT_EQ(inForce()["rules"], rules);
    EXPECT_EQ(inForce()["author"], "Lin, asked by Mei");
    EXPECT_EQ(inForce()["revision"], 3);
}

// Guards against an operator who overwrites a change that was accepted while he edited.
TEST_F(OperatorLoopbackTest, ChangeInBetweenIsAConflict)
{
    EXPECT_EQ(run(apply_).status, ExitStatus::Done);
    beforeSend_ = [this] { EXPECT_EQ(run(drain_).status, ExitStatus::Done); };
    file_ = rules + "service t # asked by Lin\n";
    const auto result = run(apply_);
    EXPECT_EQ(result.status, ExitStatus::Conflict);
    const auto answer = json::parse(result.output);
    EXPECT_EQ(answer["base-revision"], 1);
    EXPECT_EQ(answer["revision"], 2);
    EXPECT_EQ(answer["rules"], rules + "drain zone=a1 # asked by Mei\n");
    EXPECT_EQ(inForce()["revision"], 2);
}

// Guards against a change that is applied twice, or reported as failed, after its answer was lost
// between instance and tool.
TEST_F(OperatorLoopbackTest, LostVerdictIsFoundByTheSameChangeId)
{
    cutNextVerdict_ = true;
    const auto result = run(apply_);
    EXPECT_EQ(result.status, ExitStatus::Done);
    EXPECT_EQ(json::parse(result.output)["attempts"], 2);
    EXPECT_EQ(inForce()["revision"], 1);
}

// Guards against a wrong verdict when the store's answer is lost and the store stays down, and
// against a change id that is not found after the store is back.
TEST_F(OperatorLoopbackTest, LostWriteIsUndeterminedUntilTheStoreIsBack)
{
    store_.loseNextAnswer = true;
    EXPECT_EQ(run(hasty_).status, ExitStatus::Undetermined);
    const Command ask{.name = CommandName::Status, .changeId = "id-1", .base = 0};
    EXPECT_EQ(run(ask).status, ExitStatus::Undetermined);
    store_.up = true;
    const auto found = run(ask);
    EXPECT_EQ(found.status, ExitStatus::Done);
    EXPECT_EQ(json::parse(found.output)["revision"], 1);
}

// Guards against "undetermined" for a change that was surely not written.
TEST_F(OperatorLoopbackTest, StoreThatIsDownAcceptsNothing)
{
    store_.up = false;
    const auto result = run(hasty_);
    EXPECT_EQ(result.status, ExitStatus::Failed);
    EXPECT_EQ(json::parse(result.output)["reason"], "store-down");
}

// Guards against a success that passes over a live instance with a former revision.
TEST_F(OperatorLoopbackTest, LiveInstanceWithFormerRevisionLags)
{
    instance_.membership.use([](MembershipState &state) {
        auto other = record("i2");
        other.state = MemberState::Serving;
        state.table.receive({.sender = other}, Clock::now());
    });
    const auto result = run(hasty_);
    EXPECT_EQ(result.status, ExitStatus::Lagging);
    EXPECT_EQ(json::parse(result.output)["lagging"][0]["id"], "i2");
}

// Guards against a status that shows only the units of the answering instance, and against
// members of the answer that scripts read and that are gone.
TEST_F(OperatorLoopbackTest, StatusShowsUnitsOfOtherInstances)
{
    const std::string version = rules
            + "region b zones=b1 # asked by Mei\n"
              "target t-1 service=s zone=a1 address=127.0.0.1:1 slots=4 connections=9 # asked by "
              "Lin\n"
              "target t-2 service=s zone=b1 address=127.0.0.1:2 slots=4 connections=9 # asked by "
              "Lin\n";
    file_ = version;
    EXPECT_EQ(run(apply_).status, ExitStatus::Done);
    instance_.membership.use([](MembershipState &state) {
        auto other = record("i2");
        other.state = MemberState::Serving;
        other.brokers = {{"s", "a", 3}};
        other.headroom = {{"s", "a", 3, 2, 4, 0, Milliseconds(0)}};
        state.table.receive({.sender = other}, Clock::now());
        applyHeadroomReports(state.headroom, other, Clock::now() - Milliseconds(400));
    });
    const auto status = json::parse(run({.name = CommandName::Status}).output);
    EXPECT_EQ(status["units"], json::array()) << "the answering instance has no broker role";
    EXPECT_EQ(status["members"].size(), 2U);
    const auto &units = status["fleet-units"];
    ASSERT_EQ(units.size(), 2U);
    EXPECT_EQ(units[0]["region"], "a");
    EXPECT_EQ(units[0]["broker"], "i2");
    EXPECT_EQ(units[0]["epoch"], 3);
    EXPECT_EQ(units[0]["headroom"], 0.5);
    EXPECT_GE(units[0]["report-age-ms"], 400);
    EXPECT_EQ(units[1]["region"], "b");
    EXPECT_TRUE(units[1]["broker"].is_null());
    const auto text = statusText(status, Colour::Off);
    EXPECT_NE(text.find("s/a "), std::string::npos) << text;
    EXPECT_NE(text.find("broker i2"), std::string::npos) << text;
    EXPECT_NE(text.find("no known broker"), std::string::npos) << text;
}

// Guards against a suspect that operators cannot see or clear by the fingerprint that they are
// shown, and a clear that the counts of another instance undo.
TEST_F(OperatorLoopbackTest, SuspectIsShownAndCleared)
{
    constexpr std::uint64_t fingerprint = 0xffffffffffffffffULL; // exact only as text
    const std::vector<CrashCount> counts{{{9, 9}, "b", fingerprint, 2, 0, std::chrono::minutes(4)}};
    services_.brokers.mergeCrashCounts(counts);
    const Command list{.name = CommandName::Suspects};
    const auto before = json::parse(run(list).output);
    ASSERT_EQ(before["suspects"].size(), 1U);
    const auto &suspect = before["suspects"][0];
    EXPECT_EQ(suspect["fingerprint"], "18446744073709551615");
    EXPECT_EQ(suspect["crashes"], 2);
    EXPECT_EQ(suspect["refused"], false) << "the limit of the fleet is 3";
    EXPECT_EQ(suspect["regions"][0]["region"], "b");
    EXPECT_EQ(suspect["regions"][0]["refused"], true);
    EXPECT_NEAR(suspect["regions"][0]["refused-for-ms"].get<double>(), 360'000, 5'000);
    const auto text = suspectsText(before, Colour::Off);
    EXPECT_NE(text.find("18446744073709551615"), std::string::npos) << text;
    EXPECT_NE(text.find("2 crash(es), refused for 3"), std::string::npos) << text;

    const auto cleared = run({.name = CommandName::Suspects, .clear = fingerprint});
    EXPECT_EQ(cleared.status, ExitStatus::Done);
    EXPECT_EQ(json::parse(cleared.output)["crashes"], 2);
    services_.brokers.mergeCrashCounts(counts);
    const auto after = json::parse(run(list).output)["suspects"];
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after[0]["crashes"], 0);
    EXPECT_EQ(after[0]["clears"], 1);
}

// Guards against a body that ends the process or clears another fingerprint.
TEST_F(OperatorLoopbackTest, MalformedClearIsRefused)
{
    OperatorClient client({address_}, makeExchange(*http_));
    const std::vector<json> bodies{json::object(),
                                   json::array(),
                                   {{"fingerprint", 7}},
                                   {{"fingerprint", "7x"}},
                                   {{"fingerprint", "-1"}}};
    for (const auto &body : bodies) {
        const auto answer = client.post("/v1/suspects/clear", body, Milliseconds(2000));
        ASSERT_TRUE(isOk(answer)) << body;
        EXPECT_EQ(value(answer).status, 400) << body;
    }
    EXPECT_TRUE(services_.brokers.suspects().suspects.empty());
}

// Guards against an instance that names only the first mistake, for tools that do not check.
TEST_F(OperatorLoopbackTest, InstanceNamesEveryMistake)
{
    OperatorClient client({address_}, makeExchange(*http_));
    json body{{"rules", "foo\nbar\n"}, {"base-revision", 0}, {"change-id", "x"}, {"author", "Lin"}};
    const auto answer = client.post("/v1/apply", body, Milliseconds(2000));
    ASSERT_TRUE(isOk(answer));
    EXPECT_EQ(value(answer).status, 400);
    EXPECT_GE(value(answer).body["mistakes"].size(), 2U);
    EXPECT_EQ(value(answer).body["mistakes"].back()["line"], 2);
}

} // namespace
} // namespace chestnutvane
