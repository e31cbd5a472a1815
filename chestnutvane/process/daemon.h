// The daemon: assembles the services of one instance and runs until it is told to stop.
//
// Example:
//
//   auto daemon = Daemon::create(settings);
//   if (isOk(daemon))
//       value(daemon)->runUntil(stopSignal);
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/base/result.h"
#include "chestnutvane/process/settings.h"

namespace chestnutvane {

enum class StartFailure {
    CallerListener,
    OperatorListener,
    PeerListener,
    HttpClient,
    PeerClient,
};

inline constexpr EnumName<StartFailure> startFailureNames[] = {
        {StartFailure::CallerListener, "caller-listener"},
        {StartFailure::OperatorListener, "operator-listener"},
        {StartFailure::PeerListener, "peer-listener"},
        {StartFailure::HttpClient, "http-client"},
        {StartFailure::PeerClient, "peer-client"},
};

struct StartError
{
    StartFailure failure = StartFailure::CallerListener;
    std::string detail;
};

class Daemon
{
public:
    // Opens the listeners and joins the fleet.
    static Result<std::unique_ptr<Daemon>, StartError> create(const Settings &settings);

    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Shuts down gracefully: out of look-ups, waits until cached answers have expired, gives up all
    // broker roles, finishes the requests in flight, ends the lease. Blocks until done.
    void shutDown();

private:
    struct Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
