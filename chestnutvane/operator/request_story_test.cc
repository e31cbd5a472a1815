#include "chestnutvane/operator/request_story.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace chestnutvane {
namespace {

// Lines of four failed requests and of their targets, recorded on a day with lost answers, reused
// addresses and too much load.
std::vector<LogRecord> recorded()
{
    std::ifstream file(CHESTNUTVANE_SOURCE_DIR "/chestnutvane/operator/testdata/"
                                               "failed_requests.log");
    return parseLog(std::string(std::istreambuf_iterator<char>(file), {}));
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

// Guards against a refusal that cannot be told from one without any target.
TEST(RequestStoryTest, ARefusalForLackOfRoomNamesTheTargetItWaitedFor)
{
    const auto story = tellStory(recorded(), "7de29a065d166508");
    EXPECT_EQ(enumName(storyEndNames, story.end), "refused");
    ASSERT_EQ(story.steps.size(), 2U);
    EXPECT_TRUE(contains(story.steps[0].text, "waits for target i-556624c8a5"));
    EXPECT_TRUE(contains(story.steps[1].text, "no-room; 14 targets"));
    EXPECT_TRUE(contains(story.steps[1].text, "revision 16 adopted 12.3 s before"))
            << story.steps[1].text;
    EXPECT_TRUE(contains(story.cause, "so busy")) << story.cause;
}

// Guards against a refusal of a planned stop that reads like a lack of room.
TEST(RequestStoryTest, ARefusalInAShutdownSaysSo)
{
    const auto story = tellStory(
            parseLog(
                    "2026-12-05T22:27:57.679 front-z1-0 INFO 202 request-refused "
                    "request=archive-90 "
                    "route=archive status=503 reason=shutdown outcome=not-run arrivals=0 targets=4 "
                    "queued=1 expected-ms=923 retry-after-ms=10 ms=0\n"),
            "archive-90");
    EXPECT_EQ(enumName(storyEndNames, story.end), "refused");
    EXPECT_TRUE(contains(story.cause, "shutting down")) << story.cause;
}

// Guards against an unknown end whose target had already failed for others without a word of it.
TEST(RequestStoryTest, ALostConnectionNamesTheTargetAndWhatWasKnownOfIt)
{
    const auto story = tellStory(recorded(), "9e69cdede376be6e");
    EXPECT_EQ(enumName(storyEndNames, story.end), "failed");
    ASSERT_EQ(story.steps.size(), 3U);
    EXPECT_TRUE(contains(story.steps[1].text, "target avoided after connection-lost 1.0 s before"))
            << story.steps[1].text;
    EXPECT_TRUE(contains(story.cause, "i-6ada64dff2 closed the connection")) << story.cause;
    ASSERT_EQ(story.targets.size(), 1U);
    EXPECT_GE(story.targets[0].avoided, 1);
}

// Guards against a time limit that is put down to the queue when the target was silent.
TEST(RequestStoryTest, ATimeLimitNamesTheSilentTarget)
{
    const auto story = tellStory(recorded(), "d437bcc98570434f");
    EXPECT_EQ(enumName(storyEndNames, story.end), "failed");
    EXPECT_TRUE(contains(story.cause, "i-d21cb86d60 gave no answer")) << story.cause;
    EXPECT_TRUE(contains(storyText(story), "after 1060 ms"));
}

// Guards against attempts of one request that are told in the wrong order or left out.
TEST(RequestStoryTest, AllAttemptsAreToldInOrder)
{
    const auto story = tellStory(recorded(), "3831074d50899a25");
    ASSERT_EQ(story.steps.size(), 5U);
    EXPECT_TRUE(contains(story.steps[1].text, "sent to target i-a77cff35fc"));
    EXPECT_TRUE(contains(story.steps[2].text, "sent again after misdirected"));
    EXPECT_TRUE(contains(story.steps[3].text, "sent to target i-9f6c20922a"));
    EXPECT_EQ(story.targets.size(), 2U);
}

// Guards against a death of the instance that is told as a missing line.
TEST(RequestStoryTest, ADeathOfTheInstanceIsFound)
{
    const std::string log =
            "2026-12-04T10:00:00.000 i1 INFO 201 request-routed request=r1 target=t1 region=taipei "
            "revision=3\n"
            "2026-12-04T10:00:02.500 i1 INFO 100 started zone=tpe-a\n";
    const auto story = tellStory(parseLog(log), "r1");
    EXPECT_EQ(enumName(storyEndNames, story.end), "instance-died");
    EXPECT_TRUE(contains(story.cause, "started again 2.5 s later; target t1")) << story.cause;
}

// Guards against steps that change places because a clock was set back.
TEST(RequestStoryTest, StepsKeepTheirOrderWhenTheClockGoesBack)
{
    const std::string log = "2026-12-04T10:00:05.000 i1 INFO 201 request-routed request=r1 "
                            "target=t1 region=taipei\n"
                            "2026-12-04T10:00:03.000 i1 INFO 210 request-served request=r1 "
                            "status=200 target=t1 ms=20\n";
    const auto story = tellStory(parseLog(log), "r1");
    ASSERT_EQ(story.steps.size(), 2U);
    EXPECT_TRUE(contains(story.steps[0].text, "sent to target"));
    EXPECT_EQ(enumName(storyEndNames, story.end), "served");
}

// Guards against lines that were dropped without a word about it in the story.
TEST(RequestStoryTest, DroppedLinesAreNamed)
{
    const std::string log =
            "2026-12-04T10:00:00.000 i1 INFO 202 request-refused request=r1 status=503 "
            "reason=no-target\n"
            "2026-12-04T10:00:01.000 i1 WARNING 104 lines-dropped request-routed=3 "
            "request-served=4\n";
    EXPECT_EQ(tellStory(parseLog(log), "r1").droppedLines, 7U);
    EXPECT_EQ(enumName(storyEndNames, tellStory(parseLog(log), "r2").end), "not-found");
}

} // namespace
} // namespace chestnutvane
