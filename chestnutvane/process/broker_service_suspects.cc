// The part of BrokerService that lists and clears suspects: requests that may crash targets.

#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/log.h"

namespace chestnutvane {

BrokerService::SuspectList BrokerService::suspects()
{
    return state_.use([](State &state) {
        return SuspectList{state.suspectsRegion, state.suspects.report(Clock::now())};
    });
}

std::uint32_t BrokerService::clearSuspect(std::uint64_t fingerprint)
{
    const auto crashes = state_.use([&](State &state) {
        return state.suspects.clearByOperator(fingerprint, Clock::now());
    });
    logEvent(Event::SuspectCleared, {{"fingerprint", fingerprint}, {"crashes", crashes}});
    return crashes;
}

} // namespace chestnutvane
