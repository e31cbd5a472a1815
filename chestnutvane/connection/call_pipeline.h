// The calls of one caller connection that are not answered yet, in the order of their requests.
//
// Callers pipeline: they send further requests before the first one is answered. Requests with safe
// methods are handled at the same time (RFC 9112, 9.3.2), so that a slow one does not delay the
// work of those behind it; their answers are sent in the order of the requests. Any other request
// is handled alone.
//
// Example:
//
//   CallPipeline pipeline;
//   if (pipeline.mayStart(request.method()))
//       number = pipeline.add(request.method());
//   pipeline.setAnswer(number, std::move(response));
//   while (auto next = pipeline.takeAnswer())
//       write(*next);
//
// Pure state without I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "chestnutvane/connection/http_types.h"

namespace chestnutvane {

class CallPipeline
{
public:
    // Requests of one connection that are handled at the same time, at most: bounds the answers
    // that are kept for a caller behind a slow one.
    static constexpr std::size_t maxConcurrentCalls = 16;

    // Whether a request with the method may be handled now.
    [[nodiscard]] bool mayStart(http::verb method) const;

    // Adds a call behind the others. Returns its number.
    std::uint64_t add(http::verb method);

    // Sets the function that is called if the caller goes away before the answer is there. Ignored
    // for a call that has an answer or has ended.
    void setOnGone(std::uint64_t number, std::function<void()> gone);

    // Takes the answer of a call. Returns false, and ignores it, for a call that has an answer or
    // has ended.
    bool setAnswer(std::uint64_t number, HttpResponseMessage answer);

    // Removes the first call and returns its answer, once that is there.
    [[nodiscard]] std::optional<HttpResponseMessage> takeAnswer();

    // Ends all calls and returns the functions to call for those without an answer.
    [[nodiscard]] std::vector<std::function<void()>> abandon();

    // Whether a call has no answer yet.
    [[nodiscard]] bool hasOpenCalls() const;

    [[nodiscard]] bool isEmpty() const { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    struct PipelinedCall
    {
        std::uint64_t number = 0;
        bool safe = false; // the method is
        std::function<void()> gone;
        std::optional<HttpResponseMessage> answer;
    };

    [[nodiscard]] PipelinedCall *findOpen(std::uint64_t number);

    std::deque<PipelinedCall> calls_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace chestnutvane
