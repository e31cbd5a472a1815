#include "chestnutvane/connection/call_pipeline.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

HttpResponseMessage answerWith(const std::string &body)
{
    HttpResponseMessage answer(http::status::ok, 11);
    answer.body() = body;
    return answer;
}

// Guards against answers in another order than their requests.
TEST(CallPipelineTest, AnswersComeInTheOrderOfTheRequests)
{
    CallPipeline pipeline;
    const auto first = pipeline.add(http::verb::get);
    const auto second = pipeline.add(http::verb::head);
    pipeline.setAnswer(second, answerWith("second"));
    EXPECT_FALSE(pipeline.takeAnswer());
    pipeline.setAnswer(first, answerWith("first"));
    pipeline.setAnswer(first, answerWith("again")); // a call has one answer
    EXPECT_EQ(pipeline.takeAnswer()->body(), "first");
    EXPECT_EQ(pipeline.takeAnswer()->body(), "second");
    EXPECT_FALSE(pipeline.takeAnswer());
    EXPECT_TRUE(pipeline.isEmpty());
}

// Guards against requests with effects that overtake others or are overtaken.
TEST(CallPipelineTest, OnlySafeRequestsAreHandledTogether)
{
    CallPipeline pipeline;
    EXPECT_TRUE(pipeline.mayStart(http::verb::post));
    const auto view = pipeline.add(http::verb::get);
    EXPECT_TRUE(pipeline.mayStart(http::verb::get));
    EXPECT_FALSE(pipeline.mayStart(http::verb::post));
    EXPECT_FALSE(pipeline.mayStart(http::verb::unknown));
    pipeline.setAnswer(view, answerWith(""));
    EXPECT_FALSE(pipeline.mayStart(http::verb::post)); // the answer has not been sent
    ASSERT_TRUE(pipeline.takeAnswer());
    pipeline.add(http::verb::post);
    EXPECT_FALSE(pipeline.mayStart(http::verb::get));
}

// Guards against a caller that makes an instance work on and keep any number of answers.
TEST(CallPipelineTest, TheNumberOfCallsIsBounded)
{
    CallPipeline pipeline;
    for (std::size_t i = 0; i < CallPipeline::maxConcurrentCalls; ++i) {
        ASSERT_TRUE(pipeline.mayStart(http::verb::get));
        pipeline.add(http::verb::get);
    }
    EXPECT_FALSE(pipeline.mayStart(http::verb::get));
}

// Guards against work that goes on for a caller that has gone, and against ending work that is
// done.
TEST(CallPipelineTest, AbandonReturnsTheFunctionsOfOpenCalls)
{
    CallPipeline pipeline;
    int gone = 0;
    const auto answered = pipeline.add(http::verb::get);
    const auto open = pipeline.add(http::verb::get);
    pipeline.setOnGone(answered, [&gone] { gone += 1; });
    pipeline.setOnGone(open, [&gone] { gone += 10; });
    pipeline.setAnswer(answered, answerWith(""));
    for (const auto &function : pipeline.abandon())
        function();
    EXPECT_EQ(gone, 10);
    pipeline.setAnswer(open, answerWith("late"));
    EXPECT_FALSE(pipeline.takeAnswer());
}

} // namespace
} // namespace chestnutvane
