#include "chestnutvane/process/gateway/admission/pause_wait.h"

namespace chestnutvane {
namespace {

// Share of the time left until the deadline that pause and run may use. The rest covers the
// variance of run times.
constexpr double usableTimeShare = 0.85;

} // namespace

bool shouldAwaitReturn(TimePoint returnsAt, const PausedRequest &request)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds needed = returnsAt - request.now + request.runTime;
    return needed <= Seconds(request.deadline - request.now) * usableTimeShare;
}

} // namespace chestnutvane
