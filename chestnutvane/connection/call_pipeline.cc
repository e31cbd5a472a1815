#include "chestnutvane/connection/call_pipeline.h"

#include <algorithm>
#include <utility>

namespace chestnutvane {
namespace {

bool isSafe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head;
}

} // namespace

bool CallPipeline::mayStart(http::verb method) const
{
    if (calls_.empty())
        return true;
    return isSafe(method) && calls_.size() < maxConcurrentCalls
            && std::all_of(calls_.begin(), calls_.end(),
                           [](const PipelinedCall &call) { return call.safe; });
}

std::uint64_t CallPipeline::add(http::verb method)
{
    calls_.push_back({++lastNumber_, isSafe(method), nullptr, std::nullopt});
    return lastNumber_;
}

void CallPipeline::setOnGone(std::uint64_t number, std::function<void()> gone)
{
    if (PipelinedCall *call = findOpen(number))
        call->gone = std::move(gone);
}

bool CallPipeline::setAnswer(std::uint64_t number, HttpResponseMessage answer)
{
    PipelinedCall *call = findOpen(number);
    if (call == nullptr)
        return false;
    call->answer = std::move(answer);
    call->gone = nullptr;
    return true;
}

bool CallPipeline::hasOpenCalls() const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const PipelinedCall &call) { return !call.answer; });
}

std::optional<HttpResponseMessage> CallPipeline::takeAnswer()
{
    if (calls_.empty() || !calls_.front().answer)
        return std::nullopt;
    auto answer = std::move(calls_.front().answer);
    calls_.pop_front();
    return answer;
}

std::vector<std::function<void()>> CallPipeline::abandon()
{
    std::vector<std::function<void()>> functions;
    for (PipelinedCall &call : calls_) {
        if (call.gone)
            functions.push_back(std::move(call.gone));
    }
    calls_.clear();
    return functions;
}

CallPipeline::PipelinedCall *CallPipeline::findOpen(std::uint64_t number)
{
    const auto found =
            std::find_if(calls_.begin(), calls_.end(),
                         [number](const PipelinedCall &call) { return call.number == number; });
    return found == calls_.end() || found->answer ? nullptr : &*found;
}

} // namespace chestnutvane
