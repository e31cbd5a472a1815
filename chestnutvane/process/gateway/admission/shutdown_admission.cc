#include "chestnutvane/process/gateway/admission/shutdown_admission.h"

namespace chestnutvane {
namespace {

// Time between the deadline of a request and the end of the process in which its answer is written.
constexpr Milliseconds answerMargin{150};
// The time left must be this many times the expected response time.
constexpr double repeatableSafety = 1.2;
constexpr double atMostOnceSafety = 3;

} // namespace

bool maySendBeforeShutdown(const ShutdownWindow &window, const ShutdownRequest &request)
{
    if (request.answeredAt + answerMargin <= window.end)
        return true;
    if (request.now >= window.begin + shutdownSendTime)
        return false;
    const double safety = request.isRepeatable ? repeatableSafety : atMostOnceSafety;
    using Seconds = std::chrono::duration<double>;
    return Seconds(request.expectedResponseTime) * safety <= Seconds(window.end - request.now);
}

} // namespace chestnutvane
