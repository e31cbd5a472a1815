// Decides whether what was read from a connection is a target's answer.
//
// A body may have neither a length nor chunks and end with its connection. Its end is proved only
// by a regular close: behind a reset, the bytes that had arrived still look like a whole body. The
// reset may have been reported to the write of the request, after which the read sees nothing but
// the end of the stream.
//
// Example:
//
//   if (judgeAnswer({.status = 200, .read = AnswerRead::Complete}) == AnswerVerdict::Final)
//       deliver();
//
// Pure functions without state.
#pragma once

#include "chestnutvane/base/enum_names.h"

namespace chestnutvane {

// How the reading of an answer ended.
enum class AnswerRead {
    Complete, // all that its framing asks for
    Cut, // the stream ended or failed before
    Garbled, // bytes that are no HTTP/1.1
};

struct ReceivedAnswer
{
    unsigned status = 0; // 0 if its head was not read
    AnswerRead read = AnswerRead::Cut;
    bool endsWithConnection = false; // has neither a length nor chunks
    bool connectionFailed = false; // an error of either direction, or unknown whether there was one
};

enum class AnswerVerdict {
    Final,
    Informational, // another answer follows
    Cut, // a part of an answer, or none
    Malformed,
};

inline constexpr EnumName<AnswerVerdict> answerVerdictNames[] = {
        {AnswerVerdict::Final, "final"},
        {AnswerVerdict::Informational, "informational"},
        {AnswerVerdict::Cut, "cut"},
        {AnswerVerdict::Malformed, "malformed"},
};

// Returns what was read. A final answer has a status of 200 to 599 and an end that is proved by its
// framing or by a regular close.
[[nodiscard]] AnswerVerdict judgeAnswer(const ReceivedAnswer &answer);

} // namespace chestnutvane
