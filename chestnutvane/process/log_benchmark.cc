// Processor time of a log line, with a reader and with one that has stopped reading.
#include <benchmark/benchmark.h>

#include <array>
#include <iostream>
#include <stdexcept>

#include <fcntl.h>
#include <unistd.h>

#include "chestnutvane/process/log.h"

namespace {

using namespace chestnutvane;

enum class Reader {
    Reads,
    Stopped,
};

// Puts a pipe in the place of the standard output for as long as it lives.
class OutputPipe
{
public:
    OutputPipe() : saved_(::dup(STDOUT_FILENO))
    {
        if (saved_ < 0 || ::pipe(ends_.data()) != 0)
            throw std::runtime_error("pipe");
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        ::dup2(ends_[1], STDOUT_FILENO);
    }
    OutputPipe(const OutputPipe &) = delete;
    OutputPipe &operator=(const OutputPipe &) = delete;
    ~OutputPipe()
    {
        ::dup2(saved_, STDOUT_FILENO);
        for (const int descriptor : {saved_, ends_[0], ends_[1]})
            ::close(descriptor);
    }

    // Takes out what was written.
    void drain() const
    {
        static std::array<char, 65536> part;
        while (::read(ends_[0], part.data(), part.size()) > 0)
            continue;
    }

private:
    int saved_;
    std::array<int, 2> ends_{};
};

void writeLines(benchmark::State &state, Reader reader)
{
    const OutputPipe output;
    constexpr int linesPerDrain = 100; // of 200 bytes: a pipe holds 64 kB
    int lines = 0;
    for (auto round : state) {
        // The line of a refused request, which is never dropped for its rate.
        logEvent(Event::RequestRefused,
                 {{"request", "fea7984901e0b038"},
                  {"route", "seat-maps"},
                  {"status", 503},
                  {"reason", "no-room"},
                  {"outcome", "not-run"},
                  {"targets", 16},
                  {"expected-ms", 252},
                  {"aim-left-ms", 15},
                  {"revision", 8}});
        if (reader == Reader::Reads && ++lines % linesPerDrain == 0) {
            state.PauseTiming();
            output.drain();
            state.ResumeTiming();
        }
    }
    output.drain();
    flushLog();
    output.drain();
}

BENCHMARK_CAPTURE(writeLines, reader_reads, Reader::Reads);
BENCHMARK_CAPTURE(writeLines, reader_stopped, Reader::Stopped);

} // namespace

int main(int argc, char **argv)
{
    setUpLog(LogLevel::Info, 1, "i1");
    benchmark::Initialize(&argc, argv);
    benchmark::ConsoleReporter reporter;
    reporter.SetOutputStream(&std::cerr); // the standard output is what is measured
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return 0;
}
