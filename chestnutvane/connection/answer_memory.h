// Bounds the memory for answers that several exchanges read at the same time.
//
// A limit for each answer alone does not bound all of them together. Above the common limit, the
// answers with more than an equal part of it are given up, so that small ones are still read.
//
// Example:
//
//   memory.startAnswer();
//   if (!memory.resizeAnswer(sizeBefore, sizeNow))
//       giveUp();
//   memory.endAnswer(sizeNow);
//
// Not thread-safe.
#pragma once

#include <cstddef>

namespace chestnutvane {

class AnswerMemory
{
public:
    // All answers together hold at most twice `limit` bytes.
    explicit AnswerMemory(std::size_t limit) : limit_(limit) { }

    // Counts an exchange that reads an answer, until endAnswer().
    void startAnswer() { ++answers_; }

    // Updates the size of an unfinished answer, in bytes. Returns false if the exchange must be
    // given up, because too much is buffered and this answer has more than its part.
    [[nodiscard]] bool resizeAnswer(std::size_t before, std::size_t now)
    {
        bufferedBytes_ += now - before;
        return bufferedBytes_ <= limit_ || now * answers_ <= limit_;
    }

    // Ends the count of an exchange whose answer had this size at last.
    void endAnswer(std::size_t size)
    {
        --answers_;
        bufferedBytes_ -= size;
    }

private:
    std::size_t limit_;
    std::size_t answers_ = 0; // exchanges that read one
    std::size_t bufferedBytes_ = 0; // in these answers
};

} // namespace chestnutvane
