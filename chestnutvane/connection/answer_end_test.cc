#include "chestnutvane/connection/answer_end.h"

#include <gtest/gtest.h>

namespace chestnutvane {
namespace {

AnswerVerdict verdictOnStatus(unsigned status)
{
    return judgeAnswer({.status = status, .read = AnswerRead::Complete});
}

// Guards against answers with a status that no caller can act on.
TEST(AnswerEndTest, FinalAnswersHaveAStatusOf200To599)
{
    for (const unsigned status : {200U, 204U, 304U, 404U, 503U, 599U})
        EXPECT_EQ(verdictOnStatus(status), AnswerVerdict::Final) << status;
    for (const unsigned status : {100U, 102U, 103U, 199U})
        EXPECT_EQ(verdictOnStatus(status), AnswerVerdict::Informational) << status;
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 999U})
        EXPECT_EQ(verdictOnStatus(status), AnswerVerdict::Malformed) << status;
}

// Guards against the part of a body that is taken for a whole one.
TEST(AnswerEndTest, ABodyThatEndsWithItsConnectionNeedsARegularClose)
{
    ReceivedAnswer answer{.status = 200, .read = AnswerRead::Complete, .endsWithConnection = true};
    EXPECT_EQ(judgeAnswer(answer), AnswerVerdict::Final);
    answer.connectionFailed = true;
    EXPECT_EQ(judgeAnswer(answer), AnswerVerdict::Cut);
    answer.endsWithConnection = false; // its framing proves the end
    EXPECT_EQ(judgeAnswer(answer), AnswerVerdict::Final);
}

// Guards against an early end of the stream that counts as an answer, whatever its framing.
TEST(AnswerEndTest, WhatWasNotReadToItsEndIsNoAnswer)
{
    for (const bool endsWithConnection : {false, true}) {
        ReceivedAnswer answer{.status = 200, .endsWithConnection = endsWithConnection};
        answer.read = AnswerRead::Cut;
        EXPECT_EQ(judgeAnswer(answer), AnswerVerdict::Cut);
        answer.read = AnswerRead::Garbled;
        EXPECT_EQ(judgeAnswer(answer), AnswerVerdict::Malformed);
    }
}

} // namespace
} // namespace chestnutvane
