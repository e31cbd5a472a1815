#include "chestnutvane/operator/commands.h"

#include <gtest/gtest.h>

#include <deque>

#include "chestnutvane/operator/rule_edit.h"

namespace chestnutvane {
namespace {

using nlohmann::json;

const std::string rules = "region a zones=a1 # asked by Mei\n";

// Servers that give prepared answers, a clock that moves only by sleeping, and a log of requests.
struct Fake
{
    using Reply = Result<HttpResponse, HttpError>;

    std::deque<Reply> applies; // to POST; the last one is repeated
    std::deque<Reply> statuses; // to GET /v1/status; the last one is repeated
    Reply config = answer({{"revision", 7}, {"rules", rules}});
    Reply change = answer({{"state", "open"}});
    std::vector<std::string> urls;
    std::vector<json> sent;
    TimePoint now{};

    static Reply answer(const json &body, int status = 200)
    {
        return HttpResponse{.status = status, .body = body.dump()};
    }
    static Reply verdict(const std::string &outcome, const json &more = json::object())
    {
        json body{{"outcome", outcome}, {"reason", "none"}, {"revision", 8}};
        body.update(more);
        return answer(body);
    }
    static Reply failure(bool mayHaveBeenSent)
    {
        return HttpError{mayHaveBeenSent ? HttpFailure::ConnectionLost : HttpFailure::ConnectFailed,
                         mayHaveBeenSent};
    }
    static Reply members(std::uint64_t own, std::uint64_t other, const char *status = "serving")
    {
        return answer({{"instance", "i1"},
                       {"revision", own},
                       {"members",
                        {{{"id", "i1"}, {"status", "serving"}, {"revision", 0}},
                         {{"id", "i2"}, {"status", status}, {"revision", other}}}}});
    }
    static Reply next(std::deque<Reply> &replies)
    {
        auto reply = replies.front();
        if (replies.size() > 1)
            replies.pop_front();
        return reply;
    }
    Reply exchange(const HttpRequest &request)
    {
        urls.push_back(request.url);
        if (request.method == "POST") {
            sent.push_back(json::parse(*request.body));
            return next(applies);
        }
        if (request.url.find("/v1/status") != std::string::npos)
            return next(statuses);
        return request.url.find("/v1/change") != std::string::npos ? change : config;
    }
    CommandResult run(Command command, const std::string &file = rules, Colour colour = Colour::Off)
    {
        OperatorClient client({"s1", "s2"},
                              [this](HttpRequest request) { return exchange(request); });
        command.author = "Lin";
        command.askedBy = "Mei";
        command.timeout = Milliseconds(2000);
        return runCommand(command,
                          {.client = client,
                           .waiting = {.now = [this] { return now; },
                                       .sleep = [this](Milliseconds length) { now += length; }},
                           .readFile = [&](const std::string &) { return std::optional(file); },
                           .newChangeId = [] { return std::string("id-1"); },
                           .progress = [](const std::string &) {},
                           .colour = colour});
    }
};

const Command apply{.name = CommandName::Apply, .file = "f"};

// Guards against a check that stops at the first mistake, and colour codes in a script's input.
TEST(CommandsTest, CheckPrintsEveryMistake)
{
    const std::string bad = "region a zones=a1\nfoo # asked by Mei\n";
    const auto text = Fake().run({.name = CommandName::Check, .file = "f"}, bad);
    EXPECT_EQ(text.status, ExitStatus::BadUsage);
    EXPECT_EQ(text.errors.find("f:1:"), 0U) << text.errors;
    EXPECT_NE(text.errors.find("\nf:2:1: unknown-rule: "), std::string::npos) << text.errors;
    EXPECT_EQ(text.errors.find('\x1b'), std::string::npos);
    const auto onTerminal = Fake().run({.name = CommandName::Check, .file = "f"}, bad, Colour::On);
    EXPECT_NE(onTerminal.errors.find('\x1b'), std::string::npos);
    const auto script =
            Fake().run({.name = CommandName::Check, .json = true, .file = "f"}, bad, Colour::On);
    EXPECT_EQ(json::parse(script.output)["mistakes"].size(), 2U);
}

// Guards against a second change after a lost answer: the repeat must have the same id and base,
// say that it is one, and go to another server.
TEST(CommandsTest, LostAnswerIsAskedAgainAtAnotherServer)
{
    Fake fake;
    fake.applies = {Fake::failure(true), Fake::verdict("undetermined"), Fake::verdict("accepted")};
    fake.statuses = {Fake::members(8, 8)};
    EXPECT_EQ(fake.run(apply).status, ExitStatus::Done);
    ASSERT_EQ(fake.sent.size(), 3U);
    EXPECT_EQ(fake.urls[1], "http://s1/v1/apply");
    EXPECT_EQ(fake.urls[2], "http://s2/v1/apply");
    for (std::size_t i = 0; i < fake.sent.size(); ++i) {
        EXPECT_EQ(fake.sent[i]["change-id"], "id-1");
        EXPECT_EQ(fake.sent[i]["base-revision"], 7);
        EXPECT_EQ(fake.sent[i]["repeated"], i > 0);
    }
}

// Guards against a first attempt that is called a repeat: an instance then cannot say for sure that
// nothing happened.
TEST(CommandsTest, ServerThatIsDownIsPassedOver)
{
    Fake fake;
    fake.applies = {Fake::failure(false), Fake::verdict("not-accepted", {{"reason", "too-large"}})};
    const auto result = fake.run(apply);
    EXPECT_EQ(result.status, ExitStatus::Failed);
    ASSERT_EQ(fake.sent.size(), 2U);
    EXPECT_EQ(fake.sent[1]["repeated"], false);
    EXPECT_NE(result.output.find("too-large"), std::string::npos);
}

// Guards against "not accepted" from a server that refuses the repeat of a change that an earlier
// one may have accepted, against an endless wait, and against a success without a verdict.
TEST(CommandsTest, WithoutVerdictTheChangeStaysUndetermined)
{
    const std::vector<Fake::Reply> secondAnswers{Fake::answer({{"error", "bad-rules"}}, 400),
                                                 Fake::failure(false), Fake::failure(true),
                                                 Fake::answer({{"error", "unknown-path"}}, 404),
                                                 HttpResponse{.status = 200, .body = "not json"}};
    for (const auto &second : secondAnswers) {
        Fake fake;
        fake.applies = {Fake::failure(true), second};
        const auto result = fake.run(apply);
        EXPECT_EQ(result.status, ExitStatus::Undetermined);
        EXPECT_NE(result.output.find("status --change id-1 --base 7"), std::string::npos);
        EXPECT_LE(fake.now - TimePoint{}, Milliseconds(2000));
    }
}

// Guards against a lagging instance that is passed over, a dead one that is waited for, and the own
// row of the answering instance, which is refreshed later than its revision.
TEST(CommandsTest, WaitsForLiveInstancesAndNamesThoseThatLag)
{
    Fake fake;
    fake.applies = {Fake::verdict("accepted")};
    fake.statuses = {Fake::members(8, 7), Fake::failure(false), Fake::members(8, 9)};
    EXPECT_EQ(fake.run(apply).status, ExitStatus::Done);

    fake.statuses = {Fake::members(8, 7)};
    const auto lagging = fake.run(apply);
    EXPECT_EQ(lagging.status, ExitStatus::Lagging);
    EXPECT_NE(lagging.output.find("i2 has revision 7"), std::string::npos) << lagging.output;

    fake.statuses = {Fake::members(8, 7, "silent")};
    EXPECT_EQ(fake.run(apply).status, ExitStatus::Done);
    fake.statuses = {Fake::failure(true)};
    EXPECT_EQ(fake.run(apply).status, ExitStatus::Lagging);
}

// Guards against a conflict that does not show what others changed.
TEST(CommandsTest, ConflictShowsDifference)
{
    Fake fake;
    fake.applies = {Fake::verdict(
            "conflict", {{"author", "Ann"}, {"rules", rules + "service s # asked by Ann\n"}})};
    const auto result = fake.run(apply);
    EXPECT_EQ(result.status, ExitStatus::Conflict);
    EXPECT_NE(result.output.find("revision 8 by Ann"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("+2: service s # asked by Ann"), std::string::npos);
}

// Guards against a refused rule file, text that JSON cannot hold, or a drain of an unknown name
// that reaches an instance.
TEST(CommandsTest, BadRulesAreNotSent)
{
    Fake fake;
    EXPECT_EQ(fake.run(apply, "foo\n").status, ExitStatus::BadUsage);
    EXPECT_EQ(fake.run(apply, rules + "# \xff\n").status, ExitStatus::BadUsage);
    EXPECT_EQ(fake.run({.name = CommandName::Drain, .drainSubject = "no"}).status,
              ExitStatus::BadUsage);
    EXPECT_TRUE(fake.sent.empty());
}

// Guards against a drain that loses other lines, and an undo that removes another drain.
TEST(CommandsTest, DrainEditsOnlyItsOwnLine)
{
    const DrainRule zone{DrainKind::Zone, "a1"};
    const std::string others = "drain zone=a11 # asked by Mei\r\n# drain zone=a1\n"
                               "drain region=a1 # asked by Mei";
    const auto drained = addDrain(others, zone, "Mei");
    ASSERT_TRUE(isOk(drained));
    EXPECT_EQ(value(drained), others + "\ndrain zone=a1 # asked by Mei\n");
    EXPECT_EQ(value(removeDrain("\tdrain  zone=a1# asked by Ann\n" + others, zone)), others);
    EXPECT_EQ(error(addDrain(value(drained), zone, "Ann")), EditFault::AlreadyDrained);
    EXPECT_EQ(error(removeDrain(others, zone)), EditFault::NotDrained);
}

// Guards against a lost answer to a clear that is reported as a failure or as a success.
TEST(CommandsTest, ClearWithLostAnswerIsUndetermined)
{
    const Command clear{.name = CommandName::Suspects, .clear = 7};
    Fake fake;
    fake.applies = {Fake::failure(true)};
    EXPECT_EQ(fake.run(clear).status, ExitStatus::Undetermined);
    EXPECT_EQ(fake.sent.size(), 1U);
    EXPECT_EQ(fake.sent.at(0)["fingerprint"], "7");
    fake.applies = {Fake::failure(false)};
    EXPECT_EQ(fake.run(clear).status, ExitStatus::Failed);
    fake.applies = {Fake::answer({{"error", "bad-request"}}, 400)};
    EXPECT_EQ(fake.run(clear).status, ExitStatus::Failed);
    fake.applies = {Fake::answer({{"fingerprint", "7"}, {"crashes", 2}, {"silent", {"i2"}}})};
    const auto done = fake.run(clear);
    EXPECT_EQ(done.status, ExitStatus::Done);
    EXPECT_NE(done.output.find("2 crash(es)"), std::string::npos) << done.output;
    EXPECT_NE(done.output.find("i2"), std::string::npos) << done.output;
}

// Guards against a state of a change that ends with the wrong exit status.
TEST(CommandsTest, StateOfChangeDecidesExitStatus)
{
    const std::vector<std::pair<std::string, ExitStatus>> cases{
            {"accepted", ExitStatus::Done},
            {"superseded", ExitStatus::Conflict},
            {"open", ExitStatus::Undetermined},
            {"forgotten", ExitStatus::Undetermined},
            {"not-found", ExitStatus::Undetermined}};
    for (const auto &[state, status] : cases) {
        Fake fake;
        fake.change = Fake::answer({{"state", state}});
        EXPECT_EQ(fake.run({.name = CommandName::Status, .changeId = "a&b=c"}).status, status);
        EXPECT_EQ(fake.urls.at(0), "http://s1/v1/change?id=a%26b%3Dc");
    }
}

} // namespace
} // namespace chestnutvane
