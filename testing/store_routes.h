// The routes of the store stand-in: the platform's key-value service over HTTP, with counted calls
// and switches for faults.
//
// POST /control/faults takes JSON {"down": bool, "delay-ms": N, "lose-answers": N,
// "delay-by-address": {"IP": ms}}; GET /control/counters returns the calls by kind.
//
// Thread-safe. Must outlive the server that calls it.
#pragma once

#include <memory>

#include "chestnutvane/connection/http_server.h"

namespace chestnutvane {

class StoreRoutes
{
public:
    StoreRoutes();
    ~StoreRoutes();

    StoreRoutes(const StoreRoutes &) = delete;
    StoreRoutes &operator=(const StoreRoutes &) = delete;

    void handle(ServerRequest request, Responder respond);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace chestnutvane
