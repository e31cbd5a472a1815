// Keeps the configuration in force: learns revisions from the store and from peers, compiles them,
// and applies operators' changes.
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

    // Starts the watch of the store.
    void start();

    // Takes a head that the store or a peer offered.
    void adoptIfNewer(const ConfigHead &head, ConfigSource source);

    // Asks the live peers with a revision above the held one for it. Does nothing while a fetch is
    // on its way.
    void fetchFromPeers();

    // The held head as JSON, for a peer's "config-get".
    std::string encodedHead();

    // Applies a checked change; the callback is called once with the final verdict.
    void apply(ApplyRequest request, std::function<void(ApplyVerdict)> callback);

    // Re-evaluates whether this instance may serve.
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
