// Runs a stand-in's HTTP server until SIGTERM or SIGINT.
//
// Example:
//
//   return runUntilStopped("store_standin", options, handler);
#pragma once

#include <string>

#include "chestnutvane/connection/http_server.h"

namespace chestnutvane {

// Serves until a stop signal arrives. Returns the exit status of the program: 0, or 1 if the
// listener cannot be opened, which is then reported on standard error. Blocks the stop signals, so
// it must be called before any other thread is started that should not receive them.
int runUntilStopped(const std::string &program, const HttpServerOptions &options, Handler handler);

// Blocks the stop signals in this thread and all threads that it starts later.
void blockStopSignals();

} // namespace chestnutvane
