// The daemon's entry point: settings, log, signals.

#include <csignal>
#include <iostream>

#include "chestnutvane/process/daemon.h"
#include "chestnutvane/process/log.h"
#include "chestnutvane/process/settings.h"

namespace {

using namespace chestnutvane;

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

// Blocks the stop signals in this thread and all threads started later, and returns them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // a peer that closes early shows as a failed write
    return signals;
}

int run(const Settings &settings)
{
    const auto signals = blockStopSignals();
    setUpLog(*enumFromName(logLevelNames, settings.logLevel), settings.logSample,
             settings.instanceId);
    auto daemon = Daemon::create(settings);
    if (!isOk(daemon)) {
        const auto &[failure, detail] = error(daemon);
        logEvent(Event::ListenFailed,
                 {{"what", enumName(startFailureNames, failure)}, {"detail", detail}});
        std::cerr << "chestnutvaned: " << enumName(startFailureNames, failure) << ": " << detail
                  << "\n";
        return exitFailure;
    }
    int received = 0;
    sigwait(&signals, &received);
    value(daemon)->shutDown();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = parseSettings({argv + 1, argv + argc}, readEnvironment);
    if (const auto *text = std::get_if<SettingsText>(&parsed)) {
        std::cout << text->text;
        return 0;
    }
    if (const auto *errors = std::get_if<SettingErrors>(&parsed)) {
        std::cerr << describe(*errors);
        return exitUsage;
    }
    return run(std::get<Settings>(parsed));
}
