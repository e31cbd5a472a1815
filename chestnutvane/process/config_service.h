// Keeps the configuration of an instance up to date: receives revisions from the store and from
// peers, compiles them, and applies operators' changes to the store.
//
// Example:
//
//   ConfigService configuration(instance);
//   configuration.start();
//   configuration.apply(request, [](ApplyVerdict verdict) { ... });
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "chestnutvane/process/config_apply.h"
#include "chestnutvane/process/instance.h"

namespace chestnutvane {

class ConfigService
{
public:
    explicit ConfigService(Instance &instance);

    // Starts the store watch and the timer that updates readiness. Call it once.
    void start();

    // Compiles a head received from the store or a peer and adopts it if it is newer. Logs a head
    // that does not compile or that conflicts with the current one.
    void adoptIfNewer(const ConfigHead &head, ConfigSource source);

    // Fetches the configuration from the live peer with the highest revision, if that is above the
    // current one. Does nothing while another fetch is in flight.
    void fetchFromPeers();

    // Returns the current head as JSON, for a peer's "config-get".
    std::string encodedHead();

    // Applies a validated change. The callback is called once, with the final verdict.
    void apply(ApplyRequest request, std::function<void(ApplyVerdict)> callback);

    // Updates whether this instance is ready to serve.
    void updateReadiness();

private:
    struct Apply;

    void watch(std::optional<std::uint64_t> afterVersion);
    void fetchFrom(const std::string &address);
    void step(const std::shared_ptr<Apply> &apply, ApplyStep next);

    Instance &instance_;
    std::atomic<bool> fetching_{false};
};

} // namespace chestnutvane
