// A running gateway: its listeners, its feed from the store, its link to the other instances, and
// its graceful shutdown.
//
// Example:
//
//   auto process = GatewayProcess::create(io, settings, platform, client);
//   io.run(); // returns when the shutdown is complete
//
// Not thread-safe: everything runs on the io_context's one thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "chestnutvane/connection/caller_connection.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/gateway/directory.h"
#include "chestnutvane/process/gateway/fleet_link.h"
#include "chestnutvane/process/gateway/gateway.h"
#include "chestnutvane/process/gateway/learned_state_persister.h"
#include "chestnutvane/process/gateway/store_feed.h"
#include "chestnutvane/process/owner_thread.h"

namespace chestnutvane {

// What a platform's ways of speaking bring: its store, its formats and its directory calls.
struct GatewayPlatform
{
    Store store;
    FeedFormat format;
    // Reads a question of a caller from path and query; nothing for another call.
    std::function<std::optional<DirectoryQuery>(std::string_view target)> decodeQuery;
    // Writes the body of its answer.
    std::function<std::string(const std::vector<std::string> &addresses, Milliseconds ttl)>
            encodeAddresses;
};

class GatewayProcess
{
public:
    // The client and the io_context must outlive all calls of the process.
    static Result<std::unique_ptr<GatewayProcess>, ListenError>
    create(net::io_context &io, const GatewaySettings &settings, GatewayPlatform platform,
           HttpClient &client);

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    // Begins a graceful shutdown; the io_context is stopped at its end.
    void stop();

private:
    GatewayProcess(net::io_context &io, const GatewaySettings &settings, GatewayPlatform platform,
                   HttpClient &client);

    [[nodiscard]] std::optional<ListenError> listen();
    [[nodiscard]] bool isReady() const;
    void answerReadiness(Call call) const;
    void answerDirectory(Call call);
    void answerMetrics(Call call);
    [[nodiscard]] const std::string &packedLists();
    [[nodiscard]] std::vector<DirectoryInstance> instances() const;
    [[nodiscard]] FeedCallbacks feedEvents();
    void updateState();
    void waitForSignal();
    [[nodiscard]] LearnedStateCallbacks learnedSource();
    void takeLearned();
    void chooseReader();
    void learnFromPeer();
    void askPeer(const PeerIdentity &peer);
    void onShared(const std::string &peer, BootTime asked,
                  const Result<HttpResponse, HttpError> &answer);
    void tick();
    void checkEnd();

    net::io_context &io_;
    GatewaySettings settings_;
    GatewayPlatform platform_;
    HttpClient &client_;
    PeerIdentity self_;
    Metrics metrics_;
    Gateway gateway_;
    StoreFeed feed_;
    LearnedStatePersister learnedKeeper_;
    std::vector<LearnedState> learnedBefore_; // of each region, until the targets are known
    std::unique_ptr<FleetLink> link_;
    std::shared_ptr<CallerListener> callers_;
    std::shared_ptr<CallerListener> readiness_;
    std::shared_ptr<CallerListener> directory_;
    std::shared_ptr<CallerListener> metricsListener_;
    net::signal_set signals_;
    net::steady_timer tickTimer_;
    net::steady_timer endTimer_;
    bool targetsKnown_ = false;
    bool asksPeer_ = false; // a question to another instance is under way
    std::string askedPeer_; // the last one that was asked at a start
    std::string packedLists_; // what other instances are told
    std::pair<std::uint64_t, std::uint64_t> packedFor_; // fingerprints of its two lists
    std::optional<TimePoint> stopping_;
    OwnerThread owner_; // destroyed first
};

} // namespace chestnutvane
