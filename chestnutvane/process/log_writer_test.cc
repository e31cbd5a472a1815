#include "chestnutvane/process/log_writer.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

namespace chestnutvane {
namespace {

class Pipe
{
public:
    Pipe()
    {
        if (::pipe(ends_.data()) != 0)
            throw std::runtime_error("pipe");
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
    ~Pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    [[nodiscard]] int writeEnd() const { return ends_[1]; }

    // Returns what has been written so far.
    [[nodiscard]] std::string read() const
    {
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t bytes = 0; (bytes = ::read(ends_[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(bytes));
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

// Guards against a line that stays in the process although the reader takes lines.
TEST(LogWriterTest, LinesGoOutAtOnce)
{
    const Pipe pipe;
    LogWriter writer(pipe.writeEnd(), {});
    writer.write({Event::Started, "one\n"});
    EXPECT_EQ(pipe.read(), "one\n");
}

// Guards against a process that stands still because nobody reads its log: a pipe holds 64 kB.
TEST(LogWriterTest, AReaderThatStopsHoldsNobodyUp)
{
    const Pipe pipe;
    LogWriter writer(pipe.writeEnd(), {.maxBytes = 10'000, .routineBytesPerSecond = 1U << 30U});
    const std::string served(99, 's');
    const std::string refused(99, 'r');
    for (int i = 0; i < 2000; ++i)
        writer.write({Event::RequestServed, served + "\n"});
    for (int i = 0; i < 50; ++i)
        writer.write({Event::RequestRefused, refused + "\n"});
    EXPECT_TRUE(writer.takeDropped().empty()) << "older lines wait";
    std::string text = pipe.read();
    writer.flush();
    text += pipe.read();
    std::size_t refusedLines = 0;
    for (std::size_t at = text.find(refused); at != std::string::npos;
         at = text.find(refused, at + 1))
        ++refusedLines;
    EXPECT_EQ(refusedLines, 50U);
    EXPECT_EQ(text.size() % 100, 0U) << "a line was cut";
    const auto dropped = writer.takeDropped();
    EXPECT_EQ(dropped.at(Event::RequestServed) + text.size() / 100, 2050U);
    EXPECT_FALSE(dropped.contains(Event::RequestRefused));
}

// Guards against lines of several threads that mix.
TEST(LogWriterTest, LinesOfThreadsStayWhole)
{
    const Pipe pipe;
    LogWriter writer(pipe.writeEnd(), {});
    std::vector<std::thread> threads;
    constexpr std::size_t writers = 4;
    threads.reserve(writers);
    for (std::size_t i = 0; i < writers; ++i)
        threads.emplace_back([&writer, i] {
            const std::string text =
                    std::string(9, static_cast<char>('a' + static_cast<int>(i))) + "\n";
            for (int j = 0; j < 100; ++j)
                writer.write({Event::Started, text});
        });
    for (auto &thread : threads)
        thread.join();
    const std::string text = pipe.read();
    ASSERT_EQ(text.size(), 4U * 100 * 10);
    for (std::size_t at = 0; at < text.size(); at += 10)
        EXPECT_EQ(text.substr(at, 9), std::string(9, text[at]));
}

// Guards against an endless loop when the reader has closed its end.
TEST(LogWriterTest, AReaderThatHasGoneIsNoFailure)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    ::close(ends[0]);
    const auto previous = std::signal(SIGPIPE, SIG_IGN);
    LogWriter writer(ends[1], {});
    writer.write({Event::Started, "one\n"});
    std::signal(SIGPIPE, previous);
    ::close(ends[1]);
}

} // namespace
} // namespace chestnutvane
