#include "testing/run_until_stopped.h"

#include <csignal>
#include <iostream>

namespace chestnutvane {
namespace internal {
namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace
} // namespace internal

void blockStopSignals()
{
    const auto signals = internal::stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int runUntilStopped(const std::string &program, const HttpServerOptions &options, Handler handler)
{
    blockStopSignals();
    auto server = HttpServer::create(options, std::move(handler));
    if (!isOk(server)) {
        std::cerr << program << ": " << error(server).detail << "\n";
        return 1;
    }
    const auto signals = internal::stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace chestnutvane
